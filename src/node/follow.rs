//! The thread that keeps the settings in force as new as the log.
//!
//! Changes come from the table service and from peers, in any order; the decision applies them
//! in theirs. Peers that lag are sent what they lack, by the two members that rank first for
//! them, so that a change spreads without everybody sending it.

use crate::common::*;
use crate::decide::member::Name;
use crate::decide::rollout::{self, Entry, Rollout, Snapshot};
use crate::decide::route::rendezvous_hash;
use crate::node::duty::{self, lock};
use crate::node::members::message;
use crate::node::node::Node;
use crate::wire::generated::message::Body;
use crate::wire::generated::{self, Changes, SnapshotRequest};
use crate::world::catalog::Subtree;
use crate::world::table::{Failure, Row};
use crate::world::unit::Position;

/// Changes kept to pass on to peers that lag.
const KEPT: usize = 256;
/// Members that send a peer what it lacks.
const HELPERS: usize = 2;
const TICK: Duration = Duration::from_millis(100);
const SHORTEST_POLL: Duration = Duration::from_secs(1);
const LONGEST_POLL: Duration = Duration::from_secs(5);
/// Reads of the log each second that all processes together may make.
const POLLS_PER_SECOND: u32 = 500;
/// A new process listens this long for how new its peers' settings are.
const LISTEN: Duration = Duration::from_millis(700);
/// Where the store stays silent, a new process trusts its peers after this long.
const TRUST_PEERS: Duration = Duration::from_secs(3);

/// What the thread takes.
#[derive(Debug)]
pub enum Input {
    /// Entries of the log, as JSON, from a peer or an operator's change.
    Changes(Vec<String>),
    /// All settings, as JSON, from a peer.
    Snapshot(String),
    /// A peer asks for all settings.
    Asked { by: Name, has: Position },
    /// Look at the log now.
    Poll,
}

struct Follower {
    node: Arc<Node>,
    rollout: Rollout,
    recent: VecDeque<Entry>,
    helped: Map<Name, (Position, Duration)>,
    polled: Option<Duration>,
    store_read: bool,
    asked_peers: bool,
    on_change: Box<dyn Fn() + Send>,
}

/// Starts the thread; `on_change` is called whenever other settings are in force.
pub fn start(
    node: &Arc<Node>,
    input: flume::Receiver<Input>,
    on_change: impl Fn() + Send + 'static,
) {
    let mut follower = Follower {
        node: Arc::clone(node),
        rollout: Rollout::default(),
        recent: VecDeque::new(),
        helped: Map::default(),
        polled: None,
        store_read: false,
        asked_peers: false,
        on_change: Box::new(on_change),
    };
    duty::start("follow", move || {
        loop {
            match input.recv_timeout(TICK) {
                Ok(input) => follower.take(input),
                Err(flume::RecvTimeoutError::Timeout) => {}
                Err(flume::RecvTimeoutError::Disconnected) => return,
            }
            follower.tick();
        }
    });
}

impl Follower {
    fn take(&mut self, input: Input) {
        match input {
            Input::Changes(entries) => {
                let entries = entries
                    .iter()
                    .filter_map(|text| serde_json::from_str(text).ok());
                let entries: Vec<Entry> = entries.collect();
                self.apply(entries);
            }
            Input::Snapshot(text) => {
                if let Ok(snapshot) = serde_json::from_str::<Snapshot>(&text)
                    && self.rollout.on_snapshot(snapshot)
                {
                    self.publish();
                }
            }
            Input::Asked { by, has } if has < self.rollout.position() => self.send_snapshot(&by),
            Input::Asked { .. } => {}
            Input::Poll => self.poll(),
        }
    }

    fn apply(&mut self, entries: Vec<Entry>) {
        self.recent.extend(entries.iter().cloned());
        while self.recent.len() > KEPT {
            self.recent.pop_front();
        }
        if self.rollout.on_entries(entries) {
            self.publish();
        }
    }

    fn publish(&self) {
        match self.rollout.catalog() {
            Ok(catalog) => {
                let position = catalog.position;
                self.node.catalog.store(Arc::new(catalog));
                log::info!(position:% = position; "settings in force");
                (self.on_change)();
            }
            Err(error) => log::error!(error:% = error; "settings not usable; the last ones stay"),
        }
    }

    fn tick(&mut self) {
        let now = self.node.now();
        let interval = self.poll_interval(now);
        let behind = self.rollout.has_gap() || self.rollout.position() < self.newest_heard(now);
        let interval = if behind { interval / 4 } else { interval };
        if self.polled.is_none_or(|at| now >= at + interval) {
            self.polled = Some(now);
            self.poll();
        }
        if !self.store_read && !self.asked_peers && now > LISTEN {
            self.asked_peers = true;
            let position = self.rollout.position().0;
            let request = SnapshotRequest { position };
            self.node
                .mesh
                .broadcast(message(Body::SnapshotRequest(request)));
        }
        self.judge_readiness(now);
        self.help_peers(now);
    }

    fn poll_interval(&self, now: Duration) -> Duration {
        let members = lock(&self.node.roster).recent_members(now).count();
        let members = u32::try_from(members).unwrap_or(u32::MAX);
        let fair = Duration::from_secs(1) * members / POLLS_PER_SECOND;
        fair.clamp(SHORTEST_POLL, LONGEST_POLL)
    }

    fn newest_heard(&self, now: Duration) -> Position {
        let roster = lock(&self.node.roster);
        roster
            .recent_members(now)
            .map(|member| member.position)
            .max()
            .unwrap_or_default()
    }

    /// New work is taken once the settings are as new as any that were heard of.
    fn judge_readiness(&self, now: Duration) {
        let informed = self.store_read || (self.rollout.position().0 > 0 && now > TRUST_PEERS);
        if now > LISTEN && informed && self.rollout.position() >= self.newest_heard(now) {
            self.node.set_ready();
        }
    }

    fn poll(&mut self) {
        let read = if self.rollout.position().0 == 0 {
            self.read_all()
        } else {
            self.read_log()
        };
        self.node.note_store("settings", &read);
        if read.is_ok() {
            self.store_read = true;
        }
    }

    fn read_log(&mut self) -> Result<(), Failure> {
        let after = rollout::log_key(self.rollout.position());
        let rows = self.node.store.scan(rollout::LOG_PREFIX, &after)?;
        let entries = rows
            .iter()
            .filter_map(|row| Entry::deserialize(&row.value).ok());
        let entries: Vec<Entry> = entries.collect();
        if !entries.is_empty() {
            self.apply(entries);
        }
        Ok(())
    }

    /// Reads the head before the subtrees, so that nothing after it is passed over.
    fn read_all(&mut self) -> Result<(), Failure> {
        let head = self.node.store.read_one(rollout::HEAD_KEY)?;
        let position = Position(head.and_then(|row| row.value.as_u64()).unwrap_or(0));
        let rows = self.node.store.scan(rollout::SUBTREE_PREFIX, "")?;
        let subtrees = rows.iter().filter_map(subtree).collect();
        if self.rollout.on_snapshot(Snapshot { position, subtrees }) {
            self.publish();
        }
        Ok(())
    }

    /// Sends peers that lag what they lack.
    fn help_peers(&mut self, now: Duration) {
        let mine = self.rollout.position();
        let lagging = self.lagging(now, mine);
        for (name, address, position) in lagging {
            let helped = self.helped.get(&name);
            let lately =
                helped.is_some_and(|(at, when)| *at == mine && now < *when + SHORTEST_POLL);
            if lately {
                continue;
            }
            self.helped.insert(name.clone(), (mine, now));
            let missing = self.recent.iter().filter(|entry| entry.position > position);
            let entries: Vec<String> = missing.map(|entry| json!(entry).to_string()).collect();
            let whole =
                usize::try_from(mine.0 - position.0).is_ok_and(|count| count <= entries.len());
            if whole {
                self.node
                    .mesh
                    .send(address, message(Body::Changes(Changes { entries })));
            } else {
                self.send_snapshot(&name);
            }
        }
    }

    fn lagging(&self, now: Duration, mine: Position) -> Vec<(Name, SocketAddr, Position)> {
        let roster = lock(&self.node.roster);
        let members: Vec<_> = roster.recent_members(now).collect();
        let behind = members.iter().filter(|member| member.position < mine);
        let for_me = behind.filter(|member| {
            let key = rendezvous_hash(member.incarnation.0, member.name.instance.as_str());
            let weight =
                |name: &Name| rendezvous_hash(key, &format!("{}/{}", name.instance, name.role));
            let own = weight(&self.node.name);
            let able = members.iter().filter(|other| other.position >= mine);
            able.filter(|other| weight(&other.name) > own).count() < HELPERS
        });
        for_me
            .map(|member| (member.name.clone(), member.address, member.position))
            .collect()
    }

    fn send_snapshot(&self, to: &Name) {
        let now = self.node.now();
        let address = {
            let roster = lock(&self.node.roster);
            roster
                .recent_members(now)
                .find(|member| member.name == *to)
                .map(|member| member.address)
        };
        let json = json!(self.rollout.snapshot()).to_string();
        if let Some(address) = address {
            let snapshot = generated::Snapshot { json };
            self.node
                .mesh
                .send(address, message(Body::Snapshot(snapshot)));
        }
    }
}

/// A subtree's owner with its content, out of its row.
pub fn subtree(row: &Row) -> Option<(String, Subtree)> {
    let owner = row.key.strip_prefix(rollout::SUBTREE_PREFIX)?.to_owned();
    Some((owner, Subtree::deserialize(&row.value).ok()?))
}
