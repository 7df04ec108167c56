//! The thread that keeps placement: holds the lease, books memory, sends orders.
//!
//! Every step may be the last one of this process. A book is committed before its order leaves;
//! whoever takes over finds the order in the book and drives it to its end.

use crate::common::*;
use crate::decide::demand::Demand;
use crate::decide::lease::{self, Lease};
use crate::decide::ledger::{Engine, Kind, Ledger, Order, Record, Report};
use crate::decide::place::{Candidate, Move, Planner, Requirement};
use crate::decide::throttle::Throttle;
use crate::node::client::Call;
use crate::node::duty::lock;
use crate::node::node::Node;
use crate::world::artifact::Artifact;
use crate::world::contract;
use crate::world::id;
use crate::world::table::{Commit, Failure, Row, Txn};
use crate::world::unit::Rate;
use attohttpc::Method;
use std::sync::Mutex;

/// Row of the lease.
const LEASE: &str = "lease/placer";
/// Prefix of the ledgers' rows.
const LEDGERS: &str = "ledger/";
const ROUND: Duration = Duration::from_millis(200);
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);
const ORDER_TIMEOUT: Duration = Duration::from_secs(1);
/// A worker without an order to confirm is asked for its report again after this long.
const ASK_AGAIN: Duration = Duration::from_secs(1);
/// An order that is not confirmed is sent again after this long.
const RESEND: Duration = Duration::from_secs(2);
/// A worker whose report is older gets no new artifacts, and its copies don't count.
const FRESH: Duration = Duration::from_secs(3);
/// Looks at the lease in each term by those who stand by.
const READS_PER_TERM: u32 = 5;
/// Weight of the newest sample in the mean service time.
const SMOOTHING: f64 = 0.05;
/// Service time of a request where none was seen.
const USUAL_SERVICE: f64 = 0.5;

/// Requests per second for each artifact, as each entry last said.
pub type Asked = Arc<Mutex<BTreeMap<id::Instance, BTreeMap<Artifact, f64>>>>;

struct Kept {
    ledger: Ledger,
    version: u64,
    report: Option<(Duration, Report)>,
    sent: Option<Duration>,
    asked: Option<Duration>,
}

/// One process's part in placement.
pub struct Keeper {
    node: Arc<Node>,
    lease: Lease,
    asked: Asked,
    demand: Demand,
    pace: Throttle,
    service: f64,
    contended: Duration,
    kept: BTreeMap<id::Worker, Kept>,
    state: Arc<Mutex<Value>>,
}

impl Keeper {
    /// Stands by for the lease; the state is put into `state` each round.
    #[must_use]
    pub fn new(node: Arc<Node>, asked: Asked, state: Arc<Mutex<Value>>) -> Self {
        let term = node.settings.lease_term;
        let timing = lease::Timing {
            term,
            margin: term / 6,
        };
        let lease = Lease::new(
            LEASE.into(),
            node.name.instance.clone(),
            node.incarnation,
            timing,
        );
        Self {
            lease,
            asked,
            demand: Demand::default(),
            pace: Throttle::default(),
            service: USUAL_SERVICE,
            contended: Duration::ZERO,
            kept: BTreeMap::new(),
            state,
            node,
        }
    }

    /// Keeps placement until the process stops, then gives the lease up.
    pub fn run(&mut self) {
        while !self.node.stop.is_set() {
            self.contend();
            if self.holds() {
                self.round();
            } else {
                self.kept.clear();
            }
            self.show();
            std::thread::sleep(ROUND);
        }
        if let Some(txn) = self.lease.resign() {
            let _ = self.node.store.commit(&txn);
        }
    }

    fn holds(&self) -> bool {
        self.lease.fence(self.node.now()).is_some()
    }

    fn contend(&mut self) {
        let now = self.node.now();
        let pause = self.node.settings.lease_term / READS_PER_TERM;
        let early = !self.holds() && now < self.contended + pause;
        if early || self.node.position().0 == 0 {
            return;
        }
        self.contended = now;
        match self.lease.tick(self.node.now()) {
            lease::Action::Wait => {}
            lease::Action::Read => {
                let row = self.node.store.read_one(LEASE);
                self.node.note_store("lease", &row);
                if let Ok(row) = row {
                    self.lease.on_read(self.node.now(), row.as_ref());
                }
            }
            lease::Action::Commit(txn) => {
                let answer = self.node.store.commit(&txn);
                self.node.note_store("lease", &answer);
                self.lease.on_commit(self.node.now(), answer);
            }
        }
    }

    fn round(&mut self) {
        if self.take_over().is_err() {
            return;
        }
        self.ask_reports();
        self.book_reports();
        self.resend();
        self.measure_demand();
        for planned in self.plan() {
            self.carry_out(&planned);
        }
    }

    /// Reads the ledgers of workers that are not kept yet.
    fn take_over(&mut self) -> Result<(), Failure> {
        let catalog = self.node.catalog.load_full();
        self.kept
            .retain(|worker, _| catalog.workers.contains_key(worker));
        let missing = catalog
            .workers
            .keys()
            .any(|worker| !self.kept.contains_key(worker));
        if !missing {
            return Ok(());
        }
        let rows = self.node.store.scan(LEDGERS, "");
        self.node.note_store("ledgers", &rows);
        let rows: BTreeMap<String, Row> = rows?
            .into_iter()
            .map(|row| (row.key.clone(), row))
            .collect();
        for (worker, contract) in &catalog.workers {
            if !self.kept.contains_key(worker) {
                let row = rows.get(&ledger_key(worker));
                let kept = self.keep(worker, contract, row);
                self.kept.insert(worker.clone(), kept);
            }
        }
        Ok(())
    }

    fn keep(&self, worker: &id::Worker, contract: &contract::Worker, row: Option<&Row>) -> Kept {
        let book = row.map_or_else(Record::default, |row| {
            Record::deserialize(&row.value).unwrap_or_default()
        });
        let engine = Engine {
            memory: contract.memory,
            checks_fences: contract.checks_fences,
            order_delay: self.node.settings.order_delay,
        };
        let ledger = Ledger::new(worker.as_str(), engine, book, self.node.now());
        Kept {
            ledger,
            version: row.map_or(0, |row| row.version),
            report: None,
            sent: None,
            asked: None,
        }
    }

    /// Asks engines at the same time: those that have an order to confirm, and those whose last
    /// report is old. A report is asked for after every order so far.
    fn ask_reports(&mut self) {
        let catalog = self.node.catalog.load_full();
        let now = self.node.now();
        let due = |worker: &id::Worker| {
            let Some(kept) = self.kept.get(worker) else {
                return false;
            };
            let ordered = kept.ledger.record().outstanding.is_some();
            ordered || kept.asked.is_none_or(|asked| now >= asked + ASK_AGAIN)
        };
        let asked: Vec<(id::Worker, Option<Report>)> = std::thread::scope(|scope| {
            let ask = |(worker, contract): (&id::Worker, &contract::Worker)| {
                let (worker, address) = (worker.clone(), contract.address);
                scope.spawn(move || (worker, report(address)))
            };
            let asking: Vec<_> = catalog
                .workers
                .iter()
                .filter(|(worker, _)| due(worker))
                .map(ask)
                .collect();
            asking
                .into_iter()
                .filter_map(|asking| asking.join().ok())
                .collect()
        });
        let now = self.node.now();
        for (worker, report) in asked {
            let Some(kept) = self.kept.get_mut(&worker) else {
                continue;
            };
            kept.asked = Some(now);
            kept.report = report
                .map(|report| (now, report))
                .or_else(|| kept.report.take());
        }
    }

    fn book_reports(&mut self) {
        let now = self.node.now();
        let changed: Vec<(id::Worker, Record)> = self
            .kept
            .iter()
            .filter_map(|(worker, kept)| {
                let (at, report) = kept.report.as_ref()?;
                let fresh = now < *at + ROUND;
                let book = fresh
                    .then(|| kept.ledger.on_report(*at, report))
                    .flatten()?;
                Some((worker.clone(), book))
            })
            .collect();
        for (worker, book) in changed {
            self.commit(&worker, book);
        }
    }

    /// Commits a book; true when it holds. Where it may or may not, the row is read anew.
    fn commit(&mut self, worker: &id::Worker, book: Record) -> bool {
        let Some(kept) = self.kept.get_mut(worker) else {
            return false;
        };
        let Some(lease) = self.lease.check() else {
            return false;
        };
        let txn = Txn::default().put(ledger_key(worker), kept.version, json!(book));
        let txn = txn.check(lease);
        let answer = self.node.store.commit(&txn);
        self.node.note_store("ledger", &answer);
        match answer {
            Ok(Commit::Done(versions)) => {
                kept.version = versions.first().copied().unwrap_or(0);
                kept.ledger.on_committed(self.node.now(), book);
                true
            }
            Err(Failure::Refused) => false,
            Ok(Commit::Conflict(_)) | Err(Failure::Lost) => {
                self.kept.remove(worker);
                false
            }
        }
    }

    fn resend(&mut self) {
        let now = self.node.now();
        let due = self.kept.iter().filter(|(_, kept)| {
            let waits = kept.ledger.record().outstanding.is_some();
            waits && kept.sent.is_none_or(|sent| now > sent + RESEND)
        });
        let due: Vec<id::Worker> = due.map(|(worker, _)| worker.clone()).collect();
        for worker in &due {
            self.send(worker);
        }
    }

    /// Sends the outstanding order, if the lease is still held at this moment.
    fn send(&mut self, worker: &id::Worker) {
        let catalog = self.node.catalog.load_full();
        let Some(address) = catalog.workers.get(worker).map(|contract| contract.address) else {
            return;
        };
        if !self.holds() {
            return;
        }
        let now = self.node.now();
        let Some(kept) = self.kept.get_mut(worker) else {
            return;
        };
        let Some(order) = kept.ledger.on_send(now) else {
            return;
        };
        kept.sent = Some(now);
        let body = order_body(worker, &order).to_string();
        let answer = Call::new(Method::POST, address, "/orders", &body, ORDER_TIMEOUT).send();
        let taken = answer.is_ok_and(|answer| answer.status == 202);
        log::info!(worker:% = worker, artifact:% = order.artifact, order:? = order.kind, taken; "order");
        self.node
            .metrics
            .decided("order", format!("{:?}", order.kind));
    }

    fn measure_demand(&mut self) {
        let mut rates: BTreeMap<Artifact, f64> = BTreeMap::new();
        for asked in lock(&self.asked).values() {
            for (artifact, rate) in asked {
                *rates.entry(artifact.clone()).or_default() += rate;
            }
        }
        let running = self.kept.values().filter_map(|kept| kept.report.as_ref());
        let running: u32 = running.map(|(_, report)| report.active).sum();
        let total: f64 = rates.values().sum();
        if total > 1.0 && running > 0 {
            let sample = f64::from(running) / total;
            self.service += SMOOTHING * (sample.clamp(0.01, 60.0) - self.service);
        }
        let weighing = self.node.catalog.load().placement.weighing;
        self.demand.on_rates(self.node.now(), weighing, &rates);
    }

    fn plan(&mut self) -> Vec<Move> {
        let catalog = self.node.catalog.load_full();
        let wanted: Vec<Requirement> = catalog
            .targets()
            .map(|target| Requirement {
                artifact: target.artifact.clone(),
                size: target.size,
            })
            .collect();
        let now = self.node.now();
        let loading = self.kept.values().filter(|kept| {
            let order = kept.ledger.record().outstanding.as_ref();
            order.is_some_and(|order| order.kind == Kind::Load)
        });
        let loads_allowed = self
            .pace
            .available(now, &catalog.placement, loading.count());
        let sites: Vec<Candidate<'_>> = self
            .kept
            .iter()
            .filter_map(|(worker, kept)| {
                let contract = catalog.workers.get(worker)?;
                let throughput = Rate(f64::from(contract.batch) / self.service);
                let accepts_loads = is_open(now, kept);
                Some(Candidate {
                    worker: worker.clone(),
                    ledger: &kept.ledger,
                    throughput,
                    accepts_loads,
                })
            })
            .collect();
        let policy = &catalog.placement;
        Planner::new(now, policy, &wanted, &self.demand, &sites).plan(loads_allowed)
    }

    fn carry_out(&mut self, planned: &Move) {
        let Some(kept) = self.kept.get(&planned.worker) else {
            return;
        };
        let book = match planned.kind {
            Kind::Load => kept
                .ledger
                .record_with_load(&planned.artifact, planned.size),
            Kind::Unload => kept
                .ledger
                .record_with_unload(self.node.now(), &planned.artifact),
        };
        let Some(book) = book else { return };
        if !self.holds() || !self.commit(&planned.worker, book) {
            return;
        }
        if planned.kind == Kind::Load {
            self.pace.on_load();
        }
        self.send(&planned.worker);
    }

    fn show(&self) {
        let workers: BTreeMap<String, Value> = self
            .kept
            .iter()
            .map(|(worker, kept)| {
                let book = json!(kept.ledger.record());
                (
                    worker.to_string(),
                    json!({"book": book, "free": kept.ledger.free_memory()}),
                )
            })
            .collect();
        let state = json!({
          "holds_lease": self.holds(),
          "service_seconds": self.service,
          "workers": workers,
        });
        *lock(&self.state) = state;
    }
}

fn is_open(now: Duration, kept: &Kept) -> bool {
    let report = kept.report.as_ref();
    report.is_some_and(|(at, report)| now < *at + FRESH && !report.leaving)
}

fn ledger_key(worker: &id::Worker) -> String {
    format!("{LEDGERS}{worker}")
}

fn report(address: SocketAddr) -> Option<Report> {
    let answer = Call::new(Method::GET, address, "/report", "", REPORT_TIMEOUT)
        .send()
        .ok()?;
    serde_json::from_str(&answer.body).ok()
}

fn order_body(worker: &id::Worker, order: &Order) -> Value {
    json!({
      "order": order.id(worker.as_str()),
      "fence": order.fence,
      "load": order.kind == Kind::Load,
      "artifact": order.artifact,
      "size": order.size,
    })
}
