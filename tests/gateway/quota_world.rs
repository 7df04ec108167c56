//! Instances that share the quota of one workspace, a network between them and the lease of its shard.

use super::build::ms;
use poplarseam::decide::quota::grantor::{Grantor, Sender};
use poplarseam::decide::quota::requester::{Claim, Requester, Taken, Ticket};
use poplarseam::decide::quota::{Answer, Ask, Return, Tenure, expiry};
use poplarseam::world::deployment::QuotaSlack;
use poplarseam::world::shard::Shard;
use poplarseam::world::unit::{Fence, Incarnation};
use poplarseam::world::workspace::Quota;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::time::Duration;

pub const STEP: Duration = Duration::from_millis(10);
pub const WORKSPACE: &str = "w";
/// Limits of requirement 7.
pub const SLACK: QuotaSlack = QuotaSlack {
    window: Duration::from_secs(8),
    overage: 0.1,
    extra: 17_000.0,
};
const USABLE_TERM: Duration = Duration::from_millis(1_500);
const TERM: Duration = Duration::from_secs(2);
const RENEWAL_INTERVAL: Duration = Duration::from_millis(400);
const MAX_WAIT: Duration = Duration::from_millis(60);

/// Disturbances; probabilities are for each datagram, or for each step and instance.
#[derive(Debug, Clone, Copy, Default)]
pub struct Faults {
    pub loss: f64,
    pub repeats: f64,
    pub late: f64,
    pub freezes: f64,
    pub cuts: f64,
    pub store_cuts: f64,
    pub kills: f64,
    pub releases: f64,
}

#[derive(Debug, Clone)]
enum Datagram {
    Ask(Sender, Ask),
    Grant(Incarnation, Answer),
    Return(Sender, Return),
}

pub struct Instance {
    sender: Sender,
    requester: Requester,
    grantor: Grantor,
    /// What its clock shows at the start of the world.
    offset: Duration,
    /// Which instance it believes to be the grantor.
    view: usize,
    frozen_until: Duration,
    cut_until: Duration,
    store_cut_until: Duration,
    /// Index in `uses` of the requests that may be put back.
    waiting: BTreeMap<Ticket, u64>,
    taken: Vec<(Duration, Taken, usize)>,
}

struct Lease {
    holder: usize,
    fence: u64,
    from: Duration,
    until: Duration,
    renewed_at: Duration,
}

pub struct World {
    pub now: Duration,
    pub rng: SmallRng,
    pub instances: Vec<Instance>,
    faults: Faults,
    quota: Quota,
    lease: Lease,
    queue: BTreeMap<(Duration, u64), (usize, Datagram)>,
    sequence: u64,
    /// When units were used, and how many; 0 if they were put back.
    pub uses: Vec<(Duration, u64)>,
    pub claims: usize,
    pub refused: usize,
    pub datagrams: usize,
    put_back_share: f64,
}

fn instance(number: usize, incarnation: u64, rng: &mut SmallRng) -> Instance {
    Instance {
        sender: Sender {
            instance: format!("i{number}").parse().unwrap(),
            incarnation: Incarnation(incarnation),
        },
        requester: Requester::new(expiry(Some(&SLACK))),
        grantor: Grantor::new(Some(SLACK)),
        offset: ms(rng.random_range(0..4_000_000)),
        view: 0,
        frozen_until: Duration::ZERO,
        cut_until: Duration::ZERO,
        store_cut_until: Duration::ZERO,
        waiting: BTreeMap::new(),
        taken: Vec::new(),
    }
}

impl World {
    pub fn new(seed: u64, count: usize, quota: Quota, faults: Faults) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let instances = (0..count).map(|number| instance(number, 1, &mut rng));
        let mut world = Self {
            now: Duration::ZERO,
            instances: instances.collect(),
            rng,
            put_back_share: if faults.kills > 0.0 { 0.05 } else { 0.0 },
            faults,
            quota,
            lease: Lease {
                holder: 0,
                fence: 1,
                from: Duration::ZERO,
                until: USABLE_TERM,
                renewed_at: Duration::ZERO,
            },
            queue: BTreeMap::new(),
            sequence: 0,
            uses: Vec::new(),
            claims: 0,
            refused: 0,
            datagrams: 0,
        };
        (0..count).for_each(|index| world.configure(index, quota));
        world.tell_tenure();
        world
    }

    /// Gives an instance a configuration with this quota.
    pub fn configure(&mut self, index: usize, quota: Quota) {
        self.quota = quota;
        let now = self.local(index);
        let quotas = [(WORKSPACE.into(), quota)].into();
        self.instances[index].grantor.on_quotas(now, quotas);
    }

    fn local(&self, index: usize) -> Duration {
        self.now + self.instances[index].offset
    }

    pub fn is_up(&self, index: usize) -> bool {
        self.now >= self.instances[index].frozen_until
    }

    pub fn is_cut(&self, index: usize) -> bool {
        self.now < self.instances[index].cut_until
    }

    fn tell_tenure(&mut self) {
        let holder = self.lease.holder;
        let (now, offset) = (self.local(holder), self.instances[holder].offset);
        let tenure = Tenure {
            shard: Shard::of_name(WORKSPACE),
            fence: Fence(self.lease.fence),
            from: self.lease.from + offset,
            until: self.lease.until + offset,
        };
        self.instances[holder].grantor.on_tenures(now, vec![tenure]);
    }

    fn hand_lease_to(&mut self, holder: usize) {
        self.lease = Lease {
            holder,
            fence: self.lease.fence + 1,
            from: self.now,
            until: self.now + USABLE_TERM,
            renewed_at: self.now,
        };
        self.tell_tenure();
    }

    fn step_lease(&mut self) {
        let holder = self.lease.holder;
        let reaches_store = self.now >= self.instances[holder].store_cut_until;
        if self.is_up(holder)
            && reaches_store
            && self.now >= self.lease.renewed_at + RENEWAL_INTERVAL
            && self.now < self.lease.renewed_at + TERM
        {
            self.lease.renewed_at = self.now;
            self.lease.until = self.now + USABLE_TERM;
            self.tell_tenure();
        } else if self.now >= self.lease.renewed_at + TERM {
            let next = self.rng.random_range(0..self.instances.len());
            if self.is_up(next) && self.now >= self.instances[next].store_cut_until {
                self.hand_lease_to(next);
            }
        }
    }

    fn step_faults(&mut self) {
        let now = self.now;
        for index in 0..self.instances.len() {
            let faults = self.faults;
            let pause = ms(self.rng.random_range(100..4_000));
            let draw: f64 = self.rng.random();
            if draw < faults.freezes {
                self.instances[index].frozen_until = now + pause;
            } else if draw < faults.freezes + faults.cuts {
                self.instances[index].cut_until = now + pause;
            }
            let draw: f64 = self.rng.random();
            if draw < faults.store_cuts {
                self.instances[index].store_cut_until = now + pause;
            } else if draw < faults.store_cuts + faults.kills {
                self.restart(index, pause / 4);
            }
            // Views of the grantor are up to some tenths of a second old.
            if self.rng.random_bool(0.05) {
                self.instances[index].view = self.lease.holder;
            }
        }
        if self.rng.random_bool(self.faults.releases) && self.is_up(self.lease.holder) {
            let holder = self.lease.holder;
            let local = self.local(holder);
            self.instances[holder].grantor.on_tenures(local, Vec::new());
            let next = self.rng.random_range(0..self.instances.len());
            self.hand_lease_to(next);
        }
    }

    /// Kills an instance and starts it again; a holder reclaims its lease at once.
    fn restart(&mut self, index: usize, pause: Duration) {
        let incarnation = self.instances[index].sender.incarnation.0 + 1;
        let view = self.lease.holder;
        self.instances[index] = Instance {
            view,
            frozen_until: self.now + pause,
            ..instance(index, incarnation, &mut self.rng)
        };
        self.configure(index, self.quota);
        if self.lease.holder == index {
            self.hand_lease_to(index);
        }
    }

    fn send(&mut self, from: usize, to: usize, datagram: &Datagram) {
        self.datagrams += usize::from(from != to);
        if from != to && (self.is_cut(from) || self.rng.random_bool(self.faults.loss)) {
            return;
        }
        let copies = 1 + usize::from(self.rng.random_bool(self.faults.repeats));
        for _ in 0..copies {
            let mut delay = self.rng.random_range(1..13);
            if self.rng.random_bool(self.faults.late) {
                delay = self.rng.random_range(13..3_000);
            }
            if from == to {
                delay = 0;
            }
            self.sequence += 1;
            let key = (self.now + ms(delay), self.sequence);
            self.queue.insert(key, (to, datagram.clone()));
        }
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.queue.first_entry()
            && entry.key().0 <= self.now
        {
            let ((_, sequence), (to, datagram)) = entry.remove_entry();
            if !self.is_up(to) {
                let key = (self.instances[to].frozen_until, sequence);
                self.queue.insert(key, (to, datagram));
                continue;
            }
            let now = self.local(to);
            match datagram {
                Datagram::Ask(sender, ask) => {
                    let answer = self.instances[to].grantor.on_ask(now, &sender, &ask);
                    let number = sender.instance.as_str()[1..].parse().unwrap();
                    if let Some(answer) = answer {
                        self.send(to, number, &Datagram::Grant(sender.incarnation, answer));
                    }
                }
                Datagram::Grant(incarnation, answer) => {
                    if incarnation == self.instances[to].sender.incarnation {
                        self.instances[to].requester.on_answer(now, &answer);
                    }
                }
                Datagram::Return(sender, returned) => {
                    let grantor = &mut self.instances[to].grantor;
                    grantor.on_return(now, &sender, &returned);
                }
            }
        }
    }

    /// Has a caller's request claim units at an instance.
    pub fn claim(&mut self, index: usize, units: u64) {
        if !self.is_up(index) {
            return;
        }
        self.claims += 1;
        let now = self.local(index);
        let requester = &mut self.instances[index].requester;
        match requester.claim(now, &WORKSPACE.into(), units, MAX_WAIT) {
            Claim::Taken(taken) => self.on_taken(index, taken, units),
            Claim::Wait(ticket) => {
                self.instances[index].waiting.insert(ticket, units);
            }
            Claim::Refused(_) => self.refused += 1,
        }
    }

    fn on_taken(&mut self, index: usize, taken: Taken, units: u64) {
        assert!(self.local(index) < taken.expires_at);
        if self.rng.random_bool(self.put_back_share) {
            let at = self.now + ms(self.rng.random_range(0..500));
            let taken = (at, taken, self.uses.len());
            self.instances[index].taken.push(taken);
        }
        self.uses.push((self.now, units));
    }

    fn step_instance(&mut self, index: usize) {
        let (now, global) = (self.local(index), self.now);
        let this = &mut self.instances[index];
        let taken = std::mem::take(&mut this.taken);
        for (at, taken, place) in taken {
            if global < at {
                this.taken.push((at, taken, place));
            } else if this.requester.put_back(now, taken) {
                self.uses[place].1 = 0;
            }
        }
        let (asks, returns) = this.requester.outgoing(now);
        let (sender, view) = (this.sender.clone(), this.view);
        for ask in asks {
            self.send(index, view, &Datagram::Ask(sender.clone(), ask));
        }
        for returned in returns {
            self.send(index, view, &Datagram::Return(sender.clone(), returned));
        }
        self.deliver();
        for (ticket, result) in self.instances[index].requester.settle(now) {
            let units = self.instances[index].waiting.remove(&ticket).unwrap();
            match result {
                Ok(taken) => self.on_taken(index, taken, units),
                Err(_) => self.refused += 1,
            }
        }
    }

    pub fn step(&mut self) {
        self.now += STEP;
        self.step_faults();
        self.step_lease();
        self.deliver();
        for index in 0..self.instances.len() {
            if self.is_up(index) {
                self.step_instance(index);
            }
        }
    }

    /// Returns the most units used in any window that begins at or after `from`.
    pub fn most_used(&self, from: Duration) -> u64 {
        most_used(&self.uses, from)
    }
}

pub fn most_used(uses: &[(Duration, u64)], from: Duration) -> u64 {
    let mut uses: Vec<_> = uses.iter().filter(|(at, _)| *at >= from).collect();
    uses.sort();
    let (mut first, mut sum, mut most) = (0, 0, 0);
    for (at, units) in &uses {
        sum += units;
        while uses[first].0 + SLACK.window < *at {
            sum -= uses[first].1;
            first += 1;
        }
        most = most.max(sum);
    }
    most
}
