//! Proof that the configuration in force is current: exchange with peers, and calls to the store by
//! instances that get none in time. None of it happens unless the settings bound the time after which
//! a revoked key may be served.

use super::traffic::Traffic;
use crate::common::*;
use crate::decide::freshness::{Echo, Freshness, Peer, Reach, hash_name};
use crate::decide::topology::Sender;
use crate::wire::generated_gossip::{Gossip, Proof};
use crate::world::deployment::Deployment;
use crate::world::id;
use crate::world::unit::Incarnation;
use std::cell::{Cell, RefCell};

/// Value of the gauge while there is no proof, or none is wanted.
pub(super) const NO_AGE: i64 = -1;

/// Proofs of this instance and what is to be sent to peers.
#[derive(Debug)]
pub struct Proofs {
    /// `None` without a bound.
    freshness: Option<RefCell<Freshness>>,
    /// Whether a proof by an own call has not been sent to peers yet.
    is_new: Cell<bool>,
    /// Whether peers must be asked for a proof now.
    is_asking: Cell<bool>,
    /// Peers that asked for a proof.
    askers: RefCell<BTreeMap<SocketAddr, u64>>,
    /// Whether the age is above the limit, as last logged.
    is_late: Cell<bool>,
}

/// A call to the store that a proof, or the lack of one, makes due.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DueCall {
    /// Poll for changes, which gives a proof.
    Check,
    /// A call that reads nothing.
    Probe,
}

/// Shortest time for which peers that the store answers are asked for a proof after an outage, before an
/// instance calls the store itself.
const MIN_ASKING_TIME: Duration = Duration::from_millis(500);

impl Proofs {
    /// Creates the state of a process that has no proof yet.
    #[must_use]
    pub fn new(deployment: &Deployment, incarnation: Incarnation) -> Self {
        let this = Peer {
            instance: hash_name(deployment.instance.as_str()),
            incarnation,
        };
        let freshness = deployment
            .bounds
            .revocation
            .map(|bound| RefCell::new(Freshness::new(this, bound, deployment.spread())));
        Self {
            freshness,
            is_new: Cell::new(false),
            is_asking: Cell::new(false),
            askers: RefCell::default(),
            is_late: Cell::new(false),
        }
    }

    /// Whether proofs are wanted at all.
    pub(super) fn are_wanted(&self) -> bool {
        self.freshness.is_some()
    }
}

impl Traffic {
    /// Returns how long ago the configuration in force was certainly the newest one; `None` if nothing
    /// proves it, or if the settings bound no revocation.
    #[must_use]
    pub fn configuration_age(&self, now: Duration) -> Option<Duration> {
        let freshness = self.proofs.freshness.as_ref()?;
        freshness.borrow().age(now, self.configuration_version())
    }

    /// Applies an answer of the store to a call that began at this time. The update that put the
    /// version in force came before it.
    pub(super) fn on_store_proof(&self, began_at: Duration, version: u64) {
        let Some(freshness) = &self.proofs.freshness else {
            return;
        };
        freshness.borrow_mut().on_store_answer(began_at, version);
        self.proofs.is_new.set(true);
    }

    /// Applies the proofs in a peer's datagram, and records the time that it states.
    pub(super) fn on_peer_proofs(&self, now: Duration, sender: &Sender, gossip: &Gossip) {
        let Some(freshness) = &self.proofs.freshness else {
            return;
        };
        let mut freshness = freshness.borrow_mut();
        for proof in &gossip.proofs {
            freshness.on_echo(now, decode(proof), self.configuration_version());
        }
        if gossip.sent_at_ms == 0 || sender.data_centre != self.deployment.data_centre {
            return;
        }
        let peer = Peer {
            instance: hash_name(sender.instance.as_str()),
            incarnation: Incarnation(sender.incarnation),
        };
        freshness.on_stamp(now, peer, gossip.sent_at_ms);
        if gossip.asks_proof {
            let mut askers = self.proofs.askers.borrow_mut();
            askers.insert(sender.address, peer.instance);
            self.gossip_pending.notify_one();
        }
    }

    /// Returns the time to state in a datagram; 0 if proofs are not wanted.
    pub(super) fn stated_time_ms(&self) -> u64 {
        if !self.proofs.are_wanted() {
            return 0;
        }
        super::event::milliseconds(self.clock.now())
    }

    /// Returns the proof for a peer, if there is one.
    pub(super) fn proof_for(&self, now: Duration, peer: &id::Instance) -> Option<Proof> {
        self.proof_for_hash(now, hash_name(peer.as_str()))
    }

    fn proof_for_hash(&self, now: Duration, instance: u64) -> Option<Proof> {
        let freshness = self.proofs.freshness.as_ref()?;
        freshness.borrow().echo(now, instance).map(encode)
    }

    /// Returns the proofs for all peers of this data centre.
    pub(super) fn proofs_for_peers(&self, now: Duration) -> Vec<Proof> {
        if !self.proofs.are_wanted() {
            return Vec::new();
        }
        let topology = self.topology.borrow();
        let peers = topology.local_peers();
        peers
            .filter_map(|(peer, _)| self.proof_for(now, peer))
            .collect()
    }

    /// Whether peers that get loads from this instance have not been sent its newest proof yet. With
    /// hubs, sums carry it.
    pub(super) fn take_new_proof(&self) -> bool {
        self.proofs.is_new.take() && !self.has_hubs()
    }

    /// Returns the datagrams by which peers are asked for a proof, and those for peers that asked.
    pub(super) fn take_proof_messages(&self) -> Vec<(SocketAddr, Gossip)> {
        let now = self.clock.now();
        let mut messages = Vec::new();
        if self.proofs.is_asking.take() {
            for reader in self.topology.borrow().readers(now) {
                let request = Gossip {
                    asks_proof: true,
                    ..self.envelope()
                };
                messages.push((reader, request));
            }
        }
        for (address, instance) in std::mem::take(&mut *self.proofs.askers.borrow_mut()) {
            if let Some(proof) = self.proof_for_hash(now, instance) {
                let answer = Gossip {
                    proofs: vec![proof],
                    ..self.envelope()
                };
                messages.push((address, answer));
            }
        }
        messages
    }

    /// Updates the gauge, logs when the age passes the limit and when it recovers, and asks peers if
    /// the proof is old.
    pub(super) fn check_proofs(&self, now: Duration) {
        let in_force = self.configuration_version();
        let freshness = self.proofs.freshness.as_ref();
        let Some(freshness) = freshness.filter(|_| in_force > 0) else {
            return;
        };
        let mut freshness = freshness.borrow_mut();
        let age_ms = freshness.age(now, in_force).map(super::event::milliseconds);
        let gauge = age_ms.and_then(|age| i64::try_from(age).ok());
        self.metrics
            .configuration_age_ms
            .set(gauge.unwrap_or(NO_AGE));
        let is_late = !freshness.allows_keys(now, in_force);
        if self.proofs.is_late.replace(is_late) != is_late {
            let event = if is_late {
                "configuration_unproven"
            } else {
                "configuration_proven"
            };
            let values = json!({"version": in_force, "age_ms": age_ms});
            self.journal.note(event, &values);
        }
        if freshness.should_ask(now, in_force) {
            self.proofs.is_asking.set(true);
            self.gossip_pending.notify_one();
        }
    }

    /// Returns the call that the store thread is to make now, for a proof or to see whether the store
    /// answers.
    pub(super) fn due_call(&self, now: Duration) -> Option<DueCall> {
        let in_force = self.configuration_version();
        // Without a configuration the store is read anyway.
        let freshness = self.proofs.freshness.as_ref().filter(|_| in_force > 0)?;
        let reach = self.store_reach(now);
        let mut freshness = freshness.borrow_mut();
        let is_due = freshness.should_call(now, in_force, reach);
        is_due.then(|| {
            if freshness.needs_proof(now, in_force) {
                DueCall::Check
            } else {
                DueCall::Probe
            }
        })
    }

    /// Whether it is proven that few configurations can have been missed.
    pub(super) fn is_site_recent(&self, now: Duration) -> bool {
        let in_force = self.configuration_version();
        let freshness = self.proofs.freshness.as_ref();
        freshness.is_some_and(|freshness| freshness.borrow().is_recent(now, in_force))
    }

    /// Whether this instance's polls for the configuration are brief, if it reads it: to prove that it
    /// is current, or to notice soon that the store does not answer.
    pub(super) fn polls_site_briefly(&self, now: Duration) -> bool {
        let topology = self.topology.borrow();
        let is_relied_on = topology.is_first_data_centre(now) || topology.has_refused(now);
        self.proofs.are_wanted() || (!self.is_holder() && is_relied_on)
    }

    /// Returns for how long a peer must have had answers of the store before this instance calls it.
    fn asking_time(&self) -> Duration {
        MIN_ASKING_TIME.mul_f64(1.0 + self.spread)
    }

    /// Returns whom the store may answer; a reader's own polls show whether it answers this instance.
    fn store_reach(&self, now: Duration) -> Reach {
        let topology = self.topology.borrow();
        let has_refused = topology.has_refused(now);
        if has_refused && !topology.has_reaching_peer(now, self.asking_time()) {
            // At the store's return, peers are asked before all call it at the same moment.
            Reach::Nobody
        } else if topology.is_reader(now)
            || self.reaches_store.get() && !topology.readers(now).is_empty()
        {
            Reach::This
        } else if topology.readers(now).is_empty() {
            Reach::Nobody
        } else {
            Reach::PeersOnly
        }
    }
}

fn encode(echo: Echo) -> Proof {
    Proof {
        instance: echo.receiver.instance,
        incarnation: echo.receiver.incarnation.0,
        echoed_ms: echo.echoed_ms,
        version: echo.version,
        age_ms: echo.age_ms,
    }
}

fn decode(proof: &Proof) -> Echo {
    Echo {
        receiver: Peer {
            instance: proof.instance,
            incarnation: Incarnation(proof.incarnation),
        },
        echoed_ms: proof.echoed_ms,
        version: proof.version,
        age_ms: proof.age_ms,
    }
}
