//! Units of workspaces' quotas: taken before requests are first sent, and exchanged with the holders of
//! the shards' leases, which grant them.

use super::forward::{Exchange, Outcome};
use super::gossip;
use super::traffic::Traffic;
use crate::common::*;
use crate::decide::quota::grantor::{Grantor, Sender};
use crate::decide::quota::requester::{Claim, Refusal, Requester, Taken, Ticket};
use crate::decide::quota::{Answer, Ask, Return, Tenure, expiry};
use crate::platform::request;
use crate::wire::generated_gossip::{Gossip, QuotaGrant, QuotaRequest, QuotaReturn};
use crate::wire::quota::{
    decode_answer, decode_ask, decode_return, encode_answer, encode_ask, encode_return,
};
use crate::world::deployment::Bounds;
use crate::world::shard::Shard;
use crate::world::site::Site;
use crate::world::unit::Incarnation;
use crate::world::workspace::{Quota, Unit, Workspaces};
use std::cell::RefCell;
use std::rc::Rc;
use tokio::net::UdpSocket;
use tokio::sync::{Notify, oneshot};
use tokio::time::{sleep, timeout};

/// Interval of steps while units are held, asked for or waited for.
const TICK: Duration = Duration::from_millis(10);
/// Messages are collected for this long, so that one datagram has those of all workspaces.
const BATCHING_DELAY: Duration = Duration::from_millis(2);
/// A request waits for units for this fraction of its route's target, within bounds: a round trip
/// between regions takes 25 ms, and a lost datagram is sent again after 32 ms.
const MAX_WAIT_FRACTION: f64 = 0.3;
const MIN_WAIT_LIMIT: Duration = Duration::from_millis(60);
const MAX_WAIT_LIMIT: Duration = Duration::from_millis(150);
/// Retry-After for a caller while no grantor is heard: about the time of a takeover.
const RETRY_AFTER_NO_GRANTOR: Duration = Duration::from_secs(1);
/// Causes of refusals.
const OVER_QUOTA: &str = "over quota";
const NO_GRANTOR: &str = "no quota grantor";

type Settled = Result<Taken, Refusal>;

/// Quotas at this instance: units that it holds, and the buckets from which it grants.
pub struct Quotas {
    requester: RefCell<Requester>,
    grantor: RefCell<Grantor>,
    waiting: RefCell<Map<Ticket, oneshot::Sender<Settled>>>,
    outbox: RefCell<BTreeMap<SocketAddr, Messages>>,
    /// Wakes the task that sends messages.
    pending: Notify,
}

/// Messages to one instance.
#[derive(Debug, Default)]
struct Messages {
    requests: Vec<QuotaRequest>,
    grants: Vec<QuotaGrant>,
    returns: Vec<QuotaReturn>,
}

/// Who grants the units of a workspace.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Granting {
    Here,
    Peer(SocketAddr),
    /// The holder is of a release that does not grant quotas, so requests are not counted.
    Nobody,
    Unknown,
}

/// Units that a request has taken. They are put back when this is dropped, unless a server may have run
/// the request.
pub struct Hold {
    traffic: Rc<Traffic>,
    taken: Option<Taken>,
    may_have_run: bool,
}

impl Drop for Hold {
    fn drop(&mut self) {
        let now = self.traffic.clock.now();
        if let Some(taken) = self.taken.take().filter(|_| !self.may_have_run) {
            let quotas = &self.traffic.quotas;
            quotas.requester.borrow_mut().put_back(now, taken);
        }
    }
}

impl Quotas {
    pub fn new(bounds: &Bounds) -> Self {
        Self {
            requester: RefCell::new(Requester::new(expiry(bounds.quotas.as_ref()))),
            grantor: RefCell::new(Grantor::new(bounds.quotas)),
            waiting: RefCell::default(),
            outbox: RefCell::default(),
            pending: Notify::new(),
        }
    }

    /// Returns the units held here and the levels of the buckets here, for operators.
    pub fn dump(&self, now: Duration) -> Value {
        let requester = self.requester.borrow();
        let held: BTreeMap<_, _> = requester.held(now).collect();
        json!({"held": held, "grants": self.grantor.borrow().levels(now)})
    }
}

impl Exchange {
    /// Takes units of the workspace's quota for a request that has not run; waits for a short time for
    /// the grantor's answer.
    ///
    /// # Errors
    /// The refusal, if the quota is used up or no grantor answers.
    pub(super) async fn take_units(&self) -> Result<(), Outcome> {
        let workspace = self.workspace.as_ref().filter(|_| self.hop.is_none());
        let Some((workspace, quota)) = workspace.and_then(|it| Some((it, it.quota?))) else {
            return Ok(());
        };
        if self.attempts.borrow().has_run() || (self.has_units() && self.may_use_units()) {
            return Ok(());
        }
        self.units.take();
        let max_wait = self.route.target.mul_f64(MAX_WAIT_FRACTION);
        let max_wait = max_wait.clamp(MIN_WAIT_LIMIT, MAX_WAIT_LIMIT);
        let units = self.units_needed(&quota);
        let traffic = &self.traffic;
        match traffic.take_units(&workspace.name, units, max_wait).await {
            Ok(taken) => {
                *self.units.borrow_mut() = taken.map(|taken| Hold {
                    traffic: Rc::clone(traffic),
                    taken: Some(taken),
                    may_have_run: false,
                });
                Ok(())
            }
            Err(Refusal::OverQuota(retry_after)) => {
                let cause = OVER_QUOTA;
                traffic.metrics.on_quota_refusal(&workspace.name, cause);
                Err(Outcome::OverQuota { cause, retry_after })
            }
            Err(Refusal::NoGrantor) => {
                let cause = NO_GRANTOR;
                traffic.metrics.on_quota_refusal(&workspace.name, cause);
                Err(Outcome::Refused {
                    cause,
                    retry_after: RETRY_AFTER_NO_GRANTOR,
                })
            }
        }
    }

    fn units_needed(&self, quota: &Quota) -> u64 {
        match quota.unit {
            Unit::Requests => 1,
            Unit::Tokens { plain } => {
                let stated = request::decode_usage(&self.head.headers);
                stated.unwrap_or(plain).0.max(1)
            }
        }
    }

    fn has_units(&self) -> bool {
        self.units.borrow().is_some()
    }

    /// Whether a server may get the request now: its units have not expired, or it needs none.
    pub(super) fn may_use_units(&self) -> bool {
        let now = self.now();
        let units = self.units.borrow();
        let taken = units.as_ref().and_then(|hold| hold.taken.as_ref());
        taken.is_none_or(|taken| now < taken.expires_at || self.attempts.borrow().has_run())
    }

    /// Records whether a server may run, or may have run, the request.
    pub(super) fn set_may_have_run(&self, may_have_run: bool) {
        if let Some(hold) = self.units.borrow_mut().as_mut() {
            hold.may_have_run = may_have_run;
        }
    }
}

impl Traffic {
    /// Takes units of a workspace's quota; none if its grantor does not count.
    async fn take_units(
        &self,
        workspace: &CompactString,
        units: u64,
        max_wait: Duration,
    ) -> Result<Option<Taken>, Refusal> {
        let now = self.clock.now();
        let granting = self.granting(now, workspace);
        if granting == Granting::Nobody {
            return Ok(None);
        }
        let quotas = &self.quotas;
        let claim = quotas
            .requester
            .borrow_mut()
            .claim(now, workspace, units, max_wait);
        let ticket = match claim {
            Claim::Taken(taken) => return Ok(Some(taken)),
            Claim::Refused(refusal) => return Err(refusal),
            Claim::Wait(ticket) => ticket,
        };
        let (sender, settled) = oneshot::channel();
        quotas.waiting.borrow_mut().insert(ticket, sender);
        if granting == Granting::Here {
            self.step_quotas();
        }
        quotas.pending.notify_one();
        settled.await.unwrap_or(Err(Refusal::NoGrantor)).map(Some)
    }

    fn granting(&self, now: Duration, workspace: &str) -> Granting {
        if self.quotas.grantor.borrow().is_acting(now, workspace) {
            return Granting::Here;
        }
        let holders = self.holders.borrow();
        let holder = holders.get(&Shard::of_name(workspace));
        match holder.filter(|holder| holder.is_live(now)) {
            Some(holder) => match holder.address {
                Some(_) if !holder.grants_quotas => Granting::Nobody,
                Some(address) => Granting::Peer(address),
                None => Granting::Unknown,
            },
            None => Granting::Unknown,
        }
    }

    /// Collects the messages that are due, and answers those to this instance itself.
    fn step_quotas(&self) {
        let now = self.clock.now();
        let (asks, returns) = self.quotas.requester.borrow_mut().outgoing(now);
        let own = Sender {
            instance: self.deployment.instance.clone(),
            incarnation: self.incarnation,
        };
        for returned in &returns {
            match self.granting(now, &returned.workspace) {
                Granting::Here => self.take_back(now, &own, returned),
                Granting::Peer(peer) => {
                    let mut outbox = self.quotas.outbox.borrow_mut();
                    let messages = outbox.entry(peer).or_default();
                    messages.returns.push(encode_return(returned));
                }
                Granting::Nobody | Granting::Unknown => {}
            }
        }
        for ask in &asks {
            match self.granting(now, &ask.workspace) {
                Granting::Here => {
                    if let Some(answer) = self.grant(now, &own, ask) {
                        self.quotas.requester.borrow_mut().on_answer(now, &answer);
                    }
                }
                Granting::Peer(peer) => {
                    let mut outbox = self.quotas.outbox.borrow_mut();
                    let messages = outbox.entry(peer).or_default();
                    messages.requests.push(encode_ask(ask));
                }
                Granting::Nobody | Granting::Unknown => {}
            }
        }
        self.settle_quotas(now);
    }

    /// Wakes the requests that have their units or are refused.
    fn settle_quotas(&self, now: Duration) {
        let settled = self.quotas.requester.borrow_mut().settle(now);
        for (ticket, result) in settled {
            let sender = self.quotas.waiting.borrow_mut().remove(&ticket);
            let unsent = match sender {
                Some(sender) => sender.send(result).err(),
                None => Some(result),
            };
            // The caller has left.
            if let Some(Ok(taken)) = unsent {
                self.quotas.requester.borrow_mut().put_back(now, taken);
            }
        }
        let totals = self.quotas.requester.borrow_mut().take_totals();
        self.metrics.on_quota_totals(totals);
    }

    /// Grants units, unless this instance may not: a stopping process is about to release its leases.
    fn grant(&self, now: Duration, sender: &Sender, ask: &Ask) -> Option<Answer> {
        if self.is_stopping() {
            return None;
        }
        let answer = self.quotas.grantor.borrow_mut().on_ask(now, sender, ask)?;
        self.metrics.on_quota_units("granted", answer.units);
        Some(answer)
    }

    fn take_back(&self, now: Duration, sender: &Sender, returned: &Return) {
        let mut grantor = self.quotas.grantor.borrow_mut();
        grantor.on_return(now, sender, returned);
    }

    /// Applies messages of a peer about quotas. Returns whether the datagram has such messages; it then
    /// has nothing else.
    pub(super) fn on_quota_gossip(&self, gossip: &Gossip, address: SocketAddr) -> bool {
        let count =
            gossip.quota_requests.len() + gossip.quota_grants.len() + gossip.quota_returns.len();
        let Ok(instance) = gossip.instance.parse() else {
            return count > 0;
        };
        if count == 0 {
            return false;
        }
        let now = self.clock.now();
        let sender = Sender {
            instance,
            incarnation: Incarnation(gossip.incarnation),
        };
        for returned in &gossip.quota_returns {
            self.take_back(now, &sender, &decode_return(returned));
        }
        let asks = gossip.quota_requests.iter().map(decode_ask);
        let answers = asks.filter_map(|ask| self.grant(now, &sender, &ask));
        let grants: Vec<QuotaGrant> = answers
            .map(|answer| encode_answer(&answer, sender.incarnation))
            .collect();
        if !grants.is_empty() {
            let mut outbox = self.quotas.outbox.borrow_mut();
            outbox.entry(address).or_default().grants.extend(grants);
            self.quotas.pending.notify_one();
        }
        let own_grants = gossip.quota_grants.iter();
        let mut own_grants = own_grants
            .filter(|grant| grant.incarnation == self.incarnation.0)
            .peekable();
        if own_grants.peek().is_some() {
            for grant in own_grants {
                let mut requester = self.quotas.requester.borrow_mut();
                requester.on_answer(now, &decode_answer(grant));
            }
            self.settle_quotas(now);
        }
        true
    }

    /// Applies the quotas of a new configuration.
    pub(super) fn on_quota_site(&self, site: &Site) {
        let workspaces = site.workspaces.iter().flat_map(Workspaces::iter);
        let quotas = workspaces.filter_map(|it| Some((it.name.clone(), it.quota?)));
        let now = self.clock.now();
        let mut grantor = self.quotas.grantor.borrow_mut();
        grantor.on_quotas(now, quotas.collect());
    }

    /// Applies the times in which this instance's own placer may act as holder of its shards.
    pub(super) fn on_tenures(&self, tenures: &[Tenure]) {
        let now = self.clock.now();
        let opened = {
            let mut grantor = self.quotas.grantor.borrow_mut();
            grantor.on_tenures(now, tenures.to_vec());
            grantor.take_opened()
        };
        if !opened.is_empty() {
            let values = json!({"workspaces": opened});
            self.journal.note("quota_grantor", &values);
        }
    }

    /// Returns a datagram with messages about quotas and nothing else.
    fn quota_datagram(&self, messages: Messages) -> Gossip {
        Gossip {
            instance: self.deployment.instance.to_string(),
            incarnation: self.incarnation.0,
            data_centre: self.deployment.data_centre.to_string(),
            address: self.deployment.peers.to_string(),
            quota_requests: messages.requests,
            quota_grants: messages.grants,
            quota_returns: messages.returns,
            ..Gossip::default()
        }
    }
}

/// Sends messages about quotas; sends nothing while no workspace with a quota is used.
pub async fn run(traffic: Rc<Traffic>, socket: Rc<UdpSocket>) {
    loop {
        let wake = traffic.quotas.pending.notified();
        if traffic.quotas.requester.borrow().is_idle() {
            wake.await;
        } else {
            let _ = timeout(TICK, wake).await;
        }
        sleep(BATCHING_DELAY).await;
        traffic.step_quotas();
        let outbox = std::mem::take(&mut *traffic.quotas.outbox.borrow_mut());
        for (peer, messages) in outbox {
            let datagram = traffic.quota_datagram(messages);
            gossip::send(&traffic, &socket, "quota", &datagram, &[peer]).await;
        }
    }
}
