//! The thread that says heartbeats and takes what peers say.

use crate::common::*;
use crate::decide::member::{Listing, Member, Name, Role};
use crate::node::client::Call;
use crate::node::duty::{self, lock};
use crate::node::follow;
use crate::node::mesh::Inbound;
use crate::node::node::Node;
use crate::wire::generated::message::Body;
use crate::wire::generated::{Heartbeat, Message, Peers, Report, Verdicts};
use crate::world::id;
use crate::world::unit::{Incarnation, Position};
use attohttpc::Method;

/// Time between heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(250);
/// Beats between two heartbeats to those who need no more.
const SLOW_BEATS: u32 = 4;
/// Heartbeats between two messages with the addresses of peers.
const PEERS_EVERY: u32 = 40;
/// Time between looks at the platform's list.
const LIST_EVERY: Duration = Duration::from_secs(1);
/// Longest wait for the platform's list.
const LIST_TIMEOUT: Duration = Duration::from_secs(1);

/// What an entry or a placer takes from peers; the rest is handled here.
#[derive(Debug, Clone, PartialEq)]
pub enum News {
    Heartbeat(Name, Heartbeat),
    Report(Report),
    Verdicts(Verdicts),
    /// An encoded report on requests that crash workers.
    Quarantine(Vec<u8>),
    Gone(Name),
    /// The platform's list names this one as leaving.
    Leaving(id::Instance),
}

/// Starts the threads; news go to `on_news`.
pub fn start(
    node: &Arc<Node>,
    inbound: flume::Receiver<Inbound>,
    on_news: impl Fn(News) + Send + Sync + 'static,
) {
    let on_news = Arc::new(on_news);
    let (taking, news) = (Arc::clone(node), Arc::clone(&on_news));
    duty::start("members", move || {
        inbound
            .iter()
            .for_each(|inbound| take(&taking, inbound, &*news));
    });
    let (saying, news) = (Arc::clone(node), Arc::clone(&on_news));
    duty::start("members", move || say(&saying, &*news));
    if node.settings.instances.is_some() {
        let listing = Arc::clone(node);
        duty::start("members", move || list(&listing, &*on_news));
    }
}

fn say(node: &Arc<Node>, on_news: &dyn Fn(News)) {
    let mut beats = 0_u32;
    loop {
        let now = node.now();
        let gone = {
            let mut roster = lock(&node.roster);
            roster.on_heartbeat(now, node.member());
            let known = roster.members_with_health(now);
            let gone = roster.on_tick(now);
            let addresses = known
                .iter()
                .filter(|(member, _)| gone.contains(&member.name));
            addresses.for_each(|(member, _)| node.mesh.remove(member.address));
            gone
        };
        for name in gone {
            on_news(News::Gone(name));
        }
        say_heartbeat(node, beats);
        if beats.is_multiple_of(PEERS_EVERY) {
            let addresses = node.mesh.peers().iter().map(ToString::to_string).collect();
            node.mesh
                .broadcast(message(Body::Peers(Peers { addresses })));
        }
        beats = beats.wrapping_add(1);
        std::thread::sleep(HEARTBEAT);
    }
}

/// Entries tell each other at every beat what they run; everybody else hears every fourth one.
fn say_heartbeat(node: &Node, beats: u32) {
    let heartbeat = message(Body::Heartbeat(node.heartbeat()));
    if beats.is_multiple_of(SLOW_BEATS) || node.is_leaving() {
        node.mesh.broadcast(heartbeat);
    } else if node.name.role == Role::Entry {
        node.mesh.send_all(&node.entries(), heartbeat);
    }
}

/// A message with this body.
#[must_use]
pub const fn message(body: Body) -> Message {
    Message { body: Some(body) }
}

fn take(node: &Arc<Node>, inbound: Inbound, on_news: &dyn Fn(News)) {
    match inbound.message.body {
        Some(Body::Heartbeat(heartbeat)) => {
            let Some(member) = member(&heartbeat) else {
                return;
            };
            let address = member.address;
            let name = member.name.clone();
            lock(&node.roster).on_heartbeat(node.now(), member);
            node.mesh.add(address);
            on_news(News::Heartbeat(name, heartbeat));
        }
        Some(Body::Peers(peers)) => {
            let addresses = peers
                .addresses
                .iter()
                .filter_map(|address| address.parse().ok());
            addresses.for_each(|address| node.mesh.add(address));
        }
        Some(Body::Report(report)) => on_news(News::Report(report)),
        Some(Body::Verdicts(verdicts)) => on_news(News::Verdicts(verdicts)),
        Some(Body::Quarantine(report)) => on_news(News::Quarantine(report)),
        Some(Body::Changes(changes)) => {
            let _ = node
                .follow
                .try_send(follow::Input::Changes(changes.entries));
        }
        Some(Body::Snapshot(snapshot)) => {
            let _ = node.follow.try_send(follow::Input::Snapshot(snapshot.json));
        }
        Some(Body::SnapshotRequest(request)) => {
            let input = follow::Input::Asked {
                by: inbound.from,
                has: Position(request.position),
            };
            let _ = node.follow.try_send(input);
        }
        None => {}
    }
}

fn member(heartbeat: &Heartbeat) -> Option<Member> {
    let role = serde_json::from_value(json!(heartbeat.role)).ok()?;
    let name = Name {
        instance: heartbeat.instance.parse().ok()?,
        role,
    };
    Some(Member {
        name,
        incarnation: Incarnation(heartbeat.incarnation),
        address: heartbeat.address.parse().ok()?,
        data_centre: heartbeat.data_centre.parse().ok()?,
        position: Position(heartbeat.position),
        leaving: heartbeat.leaving,
    })
}

fn list(node: &Arc<Node>, on_news: &dyn Fn(News)) {
    let Some(address) = node.settings.instances else {
        return;
    };
    loop {
        let call = Call::new(Method::GET, address, "/instances", "", LIST_TIMEOUT);
        let listed = call.send().ok().filter(|answer| answer.status == 200);
        let listed =
            listed.and_then(|answer| serde_json::from_str::<Vec<Listing>>(&answer.body).ok());
        if let Some(listed) = listed {
            lock(&node.roster).on_list(node.now(), &listed);
            let leaving = listed.into_iter().filter(|entry| entry.leaving);
            leaving.for_each(|entry| on_news(News::Leaving(entry.instance)));
        }
        std::thread::sleep(LIST_EVERY);
    }
}
