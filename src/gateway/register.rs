//! This instance's row in the store, and the rows of the others.

use super::event::{LEASE, Member, News};
use super::store::{AGAIN, LONGEST_AGAIN, Store, commit, decode_row};
use crate::common::*;
use crate::decide::retry::backoff;
use crate::platform::rows::{self, Page};
use crate::world::deployment::Deployment;
use crate::world::table::{Commit, Row, Txn};
use std::rc::Rc;
use tokio::time::sleep;

/// Prefix of the rows in which instances register.
const MEMBERS: &str = "instance.";
/// Pause between reads of the list of instances; later ones announce themselves to all they read.
const MEMBERS_AGAIN: Duration = Duration::from_mins(2);
/// Pause before the second read: others that started at the same time have registered by then.
const MEMBERS_SOON: Duration = Duration::from_secs(3);

/// Writes this instance's row, then reads those of the others: of two that start together, one at
/// least finds the other so, and announces itself to it. The rows of the leases come along: a row
/// that stood already as this instance writes it is that of an earlier start here, whose leases
/// this one may go on with.
pub async fn run(store: Rc<Store>, deployment: Arc<Deployment>) {
    let key = format!("{MEMBERS}{}", deployment.instance);
    let row = json!({"address": deployment.peers, "data_centre": deployment.data_centre});
    let written = row.to_string().into_bytes();
    let (mut version, mut is_written, mut failures) = (0, false, 0);
    let mut is_first = true;
    let mut has_settled = false;
    loop {
        if !is_written {
            let txn = Txn::default().put(key.clone(), version, row.clone());
            is_written = matches!(commit(&store, &txn).await, Ok(Commit::Done(_)));
            if is_written && version == 0 {
                store.tell(News::FirstStart).await;
            }
        }
        let Ok(page) = store.read(rows::SYSTEM_TABLE, MEMBERS).await else {
            failures += 1;
            sleep(backoff(AGAIN, failures, LONGEST_AGAIN, 1.0)).await;
            continue;
        };
        let mine = page.rows.iter().find(|row| row.key == key);
        version = mine.map_or(0, |row| row.version);
        let was_there = !is_written && mine.is_some_and(|mine| mine.value == Some(written.clone()));
        if is_first && was_there {
            store.tell(News::Former(leases(&page))).await;
        }
        is_first = false;
        is_written |= was_there;
        store.tell(News::Members(members(&page))).await;
        sleep(match (is_written, has_settled) {
            (false, _) => AGAIN,
            (true, false) => MEMBERS_SOON,
            (true, true) => MEMBERS_AGAIN,
        })
        .await;
        has_settled = is_written;
    }
}

fn members(page: &Page) -> Vec<Member> {
    let rows = page.rows.iter();
    let members = rows.filter_map(|row| {
        let instance = row.key.strip_prefix(MEMBERS)?.parse().ok()?;
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
    let rows = rows.filter(|row| row.key.starts_with(LEASE));
    rows.filter_map(decode_row).collect()
}
