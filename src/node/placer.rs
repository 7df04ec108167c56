//! A placer: keeps placement while it holds the lease, or stands by.

use crate::common::*;
use crate::decide::member::{Name, Role};
use crate::error::Result;
use crate::flags::Settings;
use crate::node::duty::lock;
use crate::node::keeper::{Asked, Keeper};
use crate::node::members::{self, News};
use crate::node::node::{Node, rate};
use crate::node::{follow, operators};
use crate::wire::generated::Heartbeat;
use std::sync::Mutex;

/// Runs a placer until it was told to stop.
///
/// # Errors
/// Where an address is taken or signals can't be caught.
pub fn run(settings: Settings) -> Result<()> {
    let (node, rings) = Node::start(settings, Role::Placer)?;
    let asked = Asked::default();
    let taking = Arc::clone(&asked);
    members::start(&node, rings.inbound, move |news| take(&taking, news));
    follow::start(&node, rings.follow, || {});
    let state: Arc<Mutex<Value>> = Arc::default();
    let shown = Arc::clone(&state);
    operators::start(&node, move || lock(&shown).clone(), |_| None)?;
    log::info!(instance:% = node.name.instance; "placer started");
    Keeper::new(Arc::clone(&node), asked, state).run();
    node.leave();
    log::info!(instance:% = node.name.instance; "stopped");
    Ok(())
}

fn take(asked: &Asked, news: News) {
    match news {
        News::Heartbeat(
            Name {
                instance,
                role: Role::Entry,
            },
            heartbeat,
        ) => {
            lock(asked).insert(instance, demand(&heartbeat));
        }
        News::Gone(Name {
            instance,
            role: Role::Entry,
        }) => {
            lock(asked).remove(&instance);
        }
        _ => {}
    }
}

fn demand(heartbeat: &Heartbeat) -> BTreeMap<crate::world::artifact::Artifact, f64> {
    let counts = heartbeat.demand.iter();
    let rates = counts.filter_map(|count| Some((count.name.parse().ok()?, rate(count))));
    rates.collect()
}
