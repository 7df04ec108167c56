//! The thread that keeps this entry's parts of the teams' limits near to what is fair.

use crate::common::*;
use crate::decide::member::Role;
use crate::decide::share::{self, Demand};
use crate::node::duty::{self, lock};
use crate::node::entry::Entry;
use crate::node::input::{Adjustment, Input};
use crate::node::node::rate;
use crate::world::id;
use crate::world::table::{Commit, Failure, Row};
use crate::world::unit::Rate;

/// Prefix of the rows that divide limits.
const PREFIX: &str = "share/";
const INTERVAL: Duration = Duration::from_millis(500);

/// Starts the thread.
pub fn start(entry: &Arc<Entry>) {
    let entry = Arc::clone(entry);
    duty::start("limits", move || {
        loop {
            if entry.node.position().0 > 0 {
                let read = adjust_all(&entry);
                entry.node.note_store("shares", &read);
                if read.is_ok() {
                    entry.node.set_divided();
                }
            }
            std::thread::sleep(INTERVAL);
        }
    });
}

fn adjust_all(entry: &Entry) -> Result<(), Failure> {
    let rows = entry.node.store.scan(PREFIX, "")?;
    let rows: BTreeMap<String, Row> = rows.into_iter().map(|row| (row.key.clone(), row)).collect();
    let catalog = entry.node.catalog.load_full();
    for (team, contract) in &catalog.teams {
        let key = format!("{PREFIX}{team}");
        let row = rows.get(&key).cloned();
        adjust(entry, team, key, row, contract.limit);
    }
    Ok(())
}

fn adjust(entry: &Entry, team: &id::Team, key: String, row: Option<Row>, limit: Rate) {
    let demand = demand(entry, team);
    let listed = listed(entry, row.as_ref());
    let (reply, answer) = flume::bounded(1);
    let adjustment = Adjustment {
        team: team.clone(),
        key,
        row,
        limit,
        demand,
        listed,
    };
    entry.tell(Input::Adjust { adjustment, reply });
    let Ok(Some(txn)) = answer.recv() else { return };
    let committed = entry.node.store.commit(&txn);
    entry.node.note_store("share_write", &committed);
    let committed = match committed {
        Ok(Commit::Done(_)) => true,
        Ok(Commit::Conflict(_)) | Err(Failure::Refused) => false,
        Err(Failure::Lost) => return,
    };
    entry.tell(Input::Adjusted {
        team: team.clone(),
        txn,
        committed,
    });
}

/// Demand at every live entry, this one included.
fn demand(entry: &Entry, team: &id::Team) -> Demand {
    let now = entry.node.now();
    let live: Vec<id::Instance> = {
        let roster = lock(&entry.node.roster);
        let entries = roster
            .recent_members(now)
            .filter(|member| member.name.role == Role::Entry);
        entries.map(|member| member.name.instance.clone()).collect()
    };
    let asked = lock(&entry.asked);
    let of = |instance: &id::Instance| asked.get(instance)?.get(team).copied();
    let me = &entry.node.name.instance;
    let others = live.into_iter().filter(|instance| instance != me);
    let mut demand: Demand = others
        .map(|instance| (instance.clone(), of(&instance).unwrap_or(0.0)))
        .collect();
    let own = share::estimate_own_demand(now, measured(entry, team), &demand);
    demand.insert(me.clone(), own);
    demand
}

fn measured(entry: &Entry, team: &id::Team) -> f64 {
    let gauge = lock(&entry.node.gauge);
    let count = gauge.asked.iter().find(|count| count.name == team.as_str());
    count.map_or(0.0, rate)
}

/// Instances of a division that the platform may still run.
fn listed(entry: &Entry, row: Option<&Row>) -> Vec<id::Instance> {
    let now = entry.node.now();
    let parts = row.and_then(|row| row.value["parts"].as_object());
    let named = parts.into_iter().flat_map(|parts| parts.keys());
    let instances = named.filter_map(|name| name.parse::<id::Instance>().ok());
    let roster = lock(&entry.node.roster);
    instances
        .filter(|instance| roster.is_listed(now, instance))
        .collect()
}
