//! Registers this instance in the store and reads the rows of the other instances. The same reads
//! return the rows of the quarantine, of leaving servers, of software versions and of streams, whose
//! keys are greater. After the store's return from an old copy all is read again, so that those that
//! keep rows notice which ones were lost.

use super::event::{LEASE_KEY_PREFIX, Member, StoreUpdate};
use super::store::{MAX_RETRY_DELAY, RETRY_DELAY, Store, commit, decode_row};
use super::{notices, origins, quarantine};
use crate::common::*;
use crate::decide::retry::backoff;
use crate::platform::rows::{self, Page};
use crate::world::deployment::Deployment;
use crate::world::table::{Commit, Row, Txn};
use std::rc::Rc;
use tokio::time::sleep;

/// Key prefix of the rows in which instances register.
const MEMBER_KEY_PREFIX: &str = "instance.";
/// Interval between reads of the instance list. It may be long: an instance that registers later
/// announces itself to all instances in the list.
const MEMBER_READ_INTERVAL: Duration = Duration::from_mins(2);
/// Delay before the second read: instances that started at the same time have registered by
/// then.
const SECOND_READ_DELAY: Duration = Duration::from_secs(3);
/// Time over which instances spread their reads after the store's return from an old copy.
const RETURN_SPREAD: Duration = Duration::from_secs(1);

/// Writes this instance's row, then reads those of the other instances. Of two instances that start
/// together, at least one thus finds the other and announces itself to it. The same read returns
/// the lease rows: if this instance's row already exists with the same content, it is from an
/// earlier run, whose leases may be reclaimed.
pub async fn run(store: Rc<Store>, deployment: Arc<Deployment>) {
    let key = format!("{MEMBER_KEY_PREFIX}{}", deployment.instance);
    let row = json!({"address": deployment.peers, "data_centre": deployment.data_centre});
    let encoded_row = row.to_string().into_bytes();
    let (mut version, mut is_written, mut failures) = (0, false, 0);
    let (mut is_first, mut has_returned) = (true, false);
    let mut has_read_after_write = false;
    loop {
        if !is_written {
            let txn = Txn::default().put(key.clone(), version, row.clone());
            is_written = matches!(commit(&store, &txn).await.result, Ok(Commit::Done(_)));
            if is_written && version == 0 && !has_returned {
                store.send_update(StoreUpdate::FirstStart).await;
            }
        }
        let Ok(page) = store.read(rows::SYSTEM_TABLE, MEMBER_KEY_PREFIX).await else {
            failures += 1;
            sleep(backoff(RETRY_DELAY, failures, MAX_RETRY_DELAY, 1.0)).await;
            continue;
        };
        let own_row = page.rows.iter().find(|row| row.key == key);
        version = own_row.map_or(0, |row| row.version);
        let already_exists = !is_written
            && own_row.is_some_and(|own_row| own_row.value == Some(encoded_row.clone()));
        if is_first && already_exists {
            store
                .send_update(StoreUpdate::FormerLeases(leases(&page), page.version.era))
                .await;
        }
        is_first = false;
        is_written |= already_exists;
        store
            .send_update(StoreUpdate::Members(members(&page)))
            .await;
        let entries = quarantine::decode_rows(&page.rows);
        store.send_update(StoreUpdate::Quarantine(entries)).await;
        let leaving = notices::decode_rows(&page.rows);
        store.send_update(StoreUpdate::Leaving(leaving)).await;
        let rows = origins::decode_rows(&page.rows);
        store.send_update(StoreUpdate::Origins(rows)).await;
        let delay = match (is_written, has_read_after_write) {
            (false, _) => RETRY_DELAY,
            (true, false) => SECOND_READ_DELAY,
            (true, true) => MEMBER_READ_INTERVAL,
        };
        tokio::select! {
            () = sleep(delay) => {}
            () = store.returned.notified() => {
                sleep(RETURN_SPREAD.mul_f64(deployment.spread())).await;
                (is_written, version, has_returned) = (false, 0, true);
            }
        }
        has_read_after_write = is_written;
    }
}

fn members(page: &Page) -> Vec<Member> {
    let rows = page.rows.iter();
    let members = rows.filter_map(|row| {
        let instance = row.key.strip_prefix(MEMBER_KEY_PREFIX)?.parse().ok()?;
        let value: Value = serde_json::from_slice(row.value.as_ref()?).ok()?;
        Some(Member {
            instance,
            address: value.get("address")?.as_str()?.parse().ok()?,
            data_centre: value.get("data_centre")?.as_str()?.parse().ok()?,
        })
    });
    members.collect()
}

fn leases(page: &Page) -> Vec<Row> {
    let rows = page.rows.iter();
    let rows = rows.filter(|row| row.key.starts_with(LEASE_KEY_PREFIX));
    rows.filter_map(decode_row).collect()
}
