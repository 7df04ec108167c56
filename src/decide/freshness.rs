//! Proof that the configuration in force at an instance is the newest, on the instance's own clock.
//!
//! A proof is a version and a moment: every configuration that the store acknowledged before the
//! moment has this version or a lower one. An instance has one from its own call to the store, with
//! the moment at which the call began. Others get it by echo: an instance states its clock's time in
//! its datagrams, and a peer with a proof of its own returns the last such time together with how
//! much older than the arrival of that datagram its proof is. The receiver subtracts the age from
//! the returned time. Delays of either datagram, and time for which either instance was frozen, can
//! only make the result older, and no two clocks are compared.
//!
//! Clocks of all instances must run at the same rate; they need not agree on the time.

use crate::common::*;
use crate::world::unit::Incarnation;
use xxhash_rust::xxh3::xxh3_64;

/// Fraction of the bound below which an age allows requests with keys to be served. The rest covers
/// clocks that run at slightly different rates.
pub const SERVED_FRACTION: f64 = 0.9;
/// Fraction of the bound above which an instance asks its peers for a newer proof, and how often.
const ASKING_FRACTION: f64 = 0.5;
const ASKING_INTERVAL: Duration = Duration::from_millis(200);
/// Fraction of the bound above which an instance calls the store itself; the second is added in
/// proportion to the instance's spread. In calm an age reaches 0.55 of a bound of 5 s, at which the
/// store must not be called.
const CALLING_FRACTION: f64 = 0.6;
const CALLING_SPREAD_FRACTION: f64 = 0.1;
/// Shortest interval between these calls.
const CALLING_INTERVAL: Duration = Duration::from_millis(1_200);
/// Largest number of proofs kept; more than one is of use only while newer versions are awaited.
const MAX_PROOFS: usize = 8;

/// All configurations that the store acknowledged before the moment have at most this version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Proof {
    version: u64,
    /// Time on the own clock.
    moment: Duration,
}

impl Proof {
    /// Whether this proof is of at least as much use as another one at every version in force.
    fn covers(self, other: Self) -> bool {
        self.version <= other.version && self.moment >= other.moment
    }
}

/// Process to which a proof is addressed, or that stated its clock's time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Peer {
    /// Hash of the instance's name (`hash_name`).
    pub instance: u64,
    pub incarnation: Incarnation,
}

/// Proof for another instance: the version was the newest at most `age_ms` before the receiver's
/// datagram of `echoed_ms` arrived at the sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Echo {
    pub receiver: Peer,
    /// Time on the receiver's clock.
    pub echoed_ms: u64,
    pub version: u64,
    pub age_ms: u64,
}

/// The newest time that a peer has stated, and when it arrived on the own clock.
#[derive(Debug, Clone, Copy)]
struct Stamp {
    incarnation: Incarnation,
    sent_at_ms: u64,
    arrived_at: Duration,
}

/// Whom the store may answer, as far as an instance knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reach {
    /// This instance.
    This,
    /// A peer, but not this instance's last call.
    PeersOnly,
    Nobody,
}

/// Proofs and peers' times, at one instance.
#[derive(Debug)]
pub struct Freshness {
    this: Peer,
    bound: Duration,
    /// Number from 0 to 1 that differs between instances.
    spread: f64,
    /// Newest proof by a call of this instance; only such proofs are sent to others.
    own: Option<Proof>,
    /// Own and received proofs of which none covers another, by version.
    proofs: Vec<Proof>,
    stamps: BTreeMap<u64, Stamp>,
    asked_at: Option<Duration>,
    called_at: Option<Duration>,
}

impl Freshness {
    /// Creates the state of a process that has no proof yet. `bound` is the time after which a revoked
    /// key must not be served.
    #[must_use]
    pub fn new(this: Peer, bound: Duration, spread: f64) -> Self {
        Self {
            this,
            bound,
            spread,
            own: None,
            proofs: Vec::new(),
            stamps: BTreeMap::new(),
            asked_at: None,
            called_at: None,
        }
    }

    /// Records an answer of the store to a call that began at this time. `version` is the newest
    /// configuration known once the answer was applied.
    pub fn on_store_answer(&mut self, began_at: Duration, version: u64) {
        let proof = Proof {
            version,
            moment: began_at,
        };
        if self.own.is_none_or(|own| own.moment < began_at) {
            self.own = Some(proof);
        }
        self.add(proof, version);
    }

    /// Records the time that a peer's datagram states. It must be called after the datagram's arrival,
    /// with a `now` read after it as well.
    pub fn on_stamp(&mut self, now: Duration, peer: Peer, sent_at_ms: u64) {
        let known = self.stamps.get(&peer.instance);
        let is_old = known.is_some_and(|known| {
            known.incarnation == peer.incarnation && known.sent_at_ms >= sent_at_ms
        });
        if is_old {
            return;
        }
        if known.is_none() {
            let bound = self.bound;
            self.stamps
                .retain(|_, stamp| now < stamp.arrived_at + bound);
        }
        let stamp = Stamp {
            incarnation: peer.incarnation,
            sent_at_ms,
            arrived_at: now,
        };
        self.stamps.insert(peer.instance, stamp);
    }

    /// Returns the proof to send to an instance; none if this one has none within the bound, or has
    /// not heard the instance's time within it.
    #[must_use]
    pub fn echo(&self, now: Duration, instance: u64) -> Option<Echo> {
        let own = self.own.filter(|own| now < own.moment + self.bound)?;
        // A receiver can't get a proof from a time that is older than the bound.
        let stamps = self.stamps.get(&instance);
        let stamp = stamps.filter(|stamp| now < stamp.arrived_at + self.bound)?;
        Some(Echo {
            receiver: Peer {
                instance,
                incarnation: stamp.incarnation,
            },
            echoed_ms: stamp.sent_at_ms,
            version: own.version,
            age_ms: whole_milliseconds(stamp.arrived_at.saturating_sub(own.moment)),
        })
    }

    /// Applies a proof that a peer sent. It counts for this process only, and only once a
    /// configuration of its version or a newer one is in force. Its delay doesn't matter.
    pub fn on_echo(&mut self, now: Duration, echo: Echo, in_force: u64) {
        let echoed = Duration::from_millis(echo.echoed_ms);
        if echo.receiver != self.this || echoed > now {
            return;
        }
        if let Some(moment) = echoed.checked_sub(Duration::from_millis(echo.age_ms)) {
            let proof = Proof {
                version: echo.version,
                moment,
            };
            self.add(proof, in_force);
        }
    }

    fn add(&mut self, proof: Proof, in_force: u64) {
        if self.proofs.iter().any(|known| known.covers(proof)) {
            return;
        }
        self.proofs.retain(|known| !proof.covers(*known));
        let index = self
            .proofs
            .partition_point(|known| known.version < proof.version);
        self.proofs.insert(index, proof);
        // Versions and moments both rise, so the last that counts is the newest that does.
        let counting = self
            .proofs
            .partition_point(|known| known.version <= in_force);
        self.proofs.drain(..counting.saturating_sub(1));
        if self.proofs.len() > MAX_PROOFS {
            self.proofs.remove(1);
        }
    }

    /// Returns how long ago the version in force was certainly the newest; `None` without a proof.
    #[must_use]
    pub fn age(&self, now: Duration, in_force: u64) -> Option<Duration> {
        let proofs = self.proofs.iter();
        let counting = proofs.filter(|proof| proof.version <= in_force);
        let moment = counting.map(|proof| proof.moment).max()?;
        Some(now.saturating_sub(moment))
    }

    /// Whether requests with keys may be served.
    #[must_use]
    pub fn allows_keys(&self, now: Duration, in_force: u64) -> bool {
        !self.is_older(now, in_force, SERVED_FRACTION)
    }

    /// Whether the version in force was the newest lately, so that few newer ones can have been missed.
    #[must_use]
    pub fn is_recent(&self, now: Duration, in_force: u64) -> bool {
        !self.is_older(now, in_force, ASKING_FRACTION)
    }

    /// Whether to ask peers for a proof now, since the newest one is old. At most once in
    /// `ASKING_INTERVAL`.
    pub fn should_ask(&mut self, now: Duration, in_force: u64) -> bool {
        let is_due = !self.is_recent(now, in_force) && is_due(now, self.asked_at, ASKING_INTERVAL);
        if is_due {
            self.asked_at = Some(now);
        }
        is_due
    }

    /// Whether to make a call to the store now, at most once in `CALLING_INTERVAL`: no proof has come
    /// in another way, or the last call failed and nothing else would show that the store answers
    /// again.
    pub fn should_call(&mut self, now: Duration, in_force: u64, reach: Reach) -> bool {
        let interval = if self.needs_proof(now, in_force) {
            CALLING_INTERVAL
        } else if reach == Reach::PeersOnly {
            self.bound.max(CALLING_INTERVAL)
        } else {
            return false;
        };
        let is_due = reach != Reach::Nobody && is_due(now, self.called_at, interval);
        if is_due {
            self.called_at = Some(now);
        }
        is_due
    }

    /// Whether the newest proof is so old that a call must give another one.
    #[must_use]
    pub fn needs_proof(&self, now: Duration, in_force: u64) -> bool {
        let fraction = CALLING_FRACTION + CALLING_SPREAD_FRACTION * self.spread;
        self.is_older(now, in_force, fraction)
    }

    fn is_older(&self, now: Duration, in_force: u64, fraction: f64) -> bool {
        let age = self.age(now, in_force);
        age.is_none_or(|age| age >= self.bound.mul_f64(fraction))
    }
}

/// Returns the hash by which proofs name an instance.
#[must_use]
pub fn hash_name(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// Rounds up, so that a proof never counts as newer than it is.
fn whole_milliseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_nanos().div_ceil(1_000_000)).unwrap_or(u64::MAX)
}

fn is_due(now: Duration, last: Option<Duration>, interval: Duration) -> bool {
    last.is_none_or(|last| now >= last + interval)
}
