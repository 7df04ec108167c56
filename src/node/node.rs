//! What every process of this system is made of.

use crate::common::*;
use crate::decide::member::{self, Member, Name, Role, Roster};
use crate::flags::Settings;
use crate::node::clock::{self, Clock};
use crate::node::duty::lock;
use crate::node::follow;
use crate::node::mesh::{Inbound, Mesh};
use crate::node::metrics::Metrics;
use crate::node::stop::Stop;
use crate::node::store::Store;
use crate::wire::generated::{Count, Heartbeat, Hello};
use crate::world::catalog::Catalog;
use crate::world::unit::{Incarnation, Position, float};
use arc_swap::ArcSwap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

/// Messages from peers that wait to be taken.
const INBOUND_RING: usize = 4096;

/// Longest wait for the parts of limits before an entry is ready.
const LIMITS_WAIT: Duration = Duration::from_secs(5);

/// What an entry adds to its heartbeats.
#[derive(Debug, Clone, Default)]
pub struct Gauge {
    pub own: Vec<Count>,
    pub asked: Vec<Count>,
    pub demand: Vec<Count>,
}

/// Shared parts of a process.
#[derive(Debug)]
pub struct Node {
    pub settings: Settings,
    pub name: Name,
    pub incarnation: Incarnation,
    pub clock: Clock,
    pub store: Store,
    pub metrics: Arc<Metrics>,
    pub mesh: Arc<Mesh>,
    pub catalog: ArcSwap<Catalog>,
    pub roster: Mutex<Roster>,
    pub gauge: Mutex<Gauge>,
    pub stop: Stop,
    pub follow: flume::Sender<follow::Input>,
    leaving: AtomicBool,
    ready: AtomicBool,
    divided: AtomicBool,
    store_failures: AtomicU64,
}

/// Rings that a new process's threads read from.
#[derive(Debug)]
pub struct Rings {
    pub inbound: flume::Receiver<Inbound>,
    pub follow: flume::Receiver<follow::Input>,
}

impl Node {
    /// Starts the links of a process; its threads take the rings.
    ///
    /// # Errors
    /// [`Error::Listen`] where an address is taken, [`Error::Signal`] where signals can't be
    /// caught.
    pub fn start(settings: Settings, role: Role) -> Result<(Arc<Self>, Rings)> {
        let stop = Stop::default();
        stop.on_signals()?;
        let name = Name {
            instance: settings.instance.clone(),
            role,
        };
        let incarnation = clock::incarnation();
        let metrics = Arc::new(Metrics::default());
        let (inbound_sender, inbound) = flume::bounded(INBOUND_RING);
        let (follow_sender, follow) = flume::bounded(INBOUND_RING);
        let hello = Hello {
            instance: name.instance.to_string(),
            role: role.to_string(),
            incarnation: incarnation.0,
            nonce: Vec::new(),
        };
        let keys = settings.mesh_keys.clone();
        let mesh = Mesh::start(
            hello,
            settings.mesh,
            keys,
            Arc::clone(&metrics),
            inbound_sender,
        )?;
        settings.peers.iter().for_each(|peer| mesh.add(*peer));
        let store = Store::new(settings.table, settings.store_timeout);
        let node = Self {
            name,
            incarnation,
            clock: Clock::default(),
            store,
            metrics,
            mesh,
            catalog: ArcSwap::default(),
            roster: Mutex::new(Roster::new(member::Timeouts::default())),
            gauge: Mutex::default(),
            stop,
            follow: follow_sender,
            leaving: AtomicBool::new(false),
            ready: AtomicBool::new(false),
            divided: AtomicBool::new(role != Role::Entry),
            store_failures: AtomicU64::new(0),
            settings,
        };
        Ok((Arc::new(node), Rings { inbound, follow }))
    }

    /// Time since the process started.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Says to peers and the balancer that no new work is taken.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::SeqCst);
    }

    /// Whether no new work is taken.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::SeqCst)
    }

    /// Notes that settings as new as those of any peer are in force.
    pub fn set_ready(&self) {
        self.ready.store(true, Ordering::SeqCst);
    }

    /// Notes that this entry has its parts of the teams' limits.
    pub fn set_divided(&self) {
        self.divided.store(true, Ordering::SeqCst);
    }

    /// Whether new work may be sent here. Without the table an entry waits only a while for its
    /// parts of the limits, so that its refusals say when to come back.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let divided = self.divided.load(Ordering::SeqCst) || self.now() > LIMITS_WAIT;
        self.ready.load(Ordering::SeqCst) && divided && !self.is_leaving()
    }

    /// Settings in force.
    #[must_use]
    pub fn position(&self) -> Position {
        self.catalog.load().position
    }

    /// What this process says of itself.
    #[must_use]
    pub fn heartbeat(&self) -> Heartbeat {
        let gauge = lock(&self.gauge).clone();
        Heartbeat {
            instance: self.name.instance.to_string(),
            role: self.name.role.to_string(),
            incarnation: self.incarnation.0,
            address: self.settings.mesh.to_string(),
            data_centre: self.settings.data_centre.to_string(),
            position: self.position().0,
            leaving: self.is_leaving(),
            own: gauge.own,
            asked: gauge.asked,
            demand: gauge.demand,
        }
    }

    /// Mesh addresses of the entries that were heard of lately.
    #[must_use]
    pub fn entries(&self) -> Vec<SocketAddr> {
        let now = self.now();
        let roster = lock(&self.roster);
        let entries = roster
            .recent_members(now)
            .filter(|member| member.name.role == Role::Entry);
        entries.map(|member| member.address).collect()
    }

    /// This process as a member.
    #[must_use]
    pub fn member(&self) -> Member {
        Member {
            name: self.name.clone(),
            incarnation: self.incarnation,
            address: self.settings.mesh,
            data_centre: self.settings.data_centre.clone(),
            position: self.position(),
            leaving: self.is_leaving(),
        }
    }

    /// State that every process dumps.
    #[must_use]
    pub fn dump(&self) -> Value {
        let now = self.now();
        let members = lock(&self.roster).members_with_health(now);
        let members: Vec<Value> = members
            .iter()
            .map(|(member, health)| json!({"member": member, "health": health}))
            .collect();
        json!({
          "instance": self.name.instance,
          "role": self.name.role,
          "incarnation": self.incarnation,
          "data_centre": self.settings.data_centre,
          "region": self.settings.region,
          "up_seconds": now.as_secs(),
          "position": self.position(),
          "ready": self.is_ready(),
          "leaving": self.is_leaving(),
          "store_failures_in_a_row": self.store_failures.load(Ordering::Relaxed),
          "members": members,
        })
    }

    /// Notes how a call to the table service went.
    pub fn note_store<T, E>(&self, kind: &'static str, result: &Result<T, E>) {
        self.metrics.stored(kind, result);
        if result.is_ok() {
            self.store_failures.store(0, Ordering::Relaxed);
        } else {
            self.store_failures.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// A rate as heartbeats hold it, per 1000 seconds, in events per second.
#[must_use]
pub fn rate(count: &Count) -> f64 {
    float(count.count) / 1000.0
}

/// Counts by name, as frames hold them.
#[must_use]
pub fn counts<K: ToString>(map: &BTreeMap<K, u64>) -> Vec<Count> {
    let counts = map.iter().map(|(name, count)| Count {
        name: name.to_string(),
        count: *count,
    });
    counts.collect()
}
