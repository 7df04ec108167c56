//! The thread that owns an entry's decisions about requests.

use crate::common::*;
use crate::decide::dispatch::{self, Action, Dispatcher, End, Reason, Refusal};
use crate::decide::member::{Name, Role};
use crate::decide::route::Location;
use crate::decide::suspect::Fingerprint;
use crate::node::convictions::Record;
use crate::node::duty::{self, lock};
use crate::node::input::{Adjustment, Grant, Input};
use crate::node::journal::{Journal, Note};
use crate::node::members::message;
use crate::node::node::{Gauge, Node, counts};
use crate::wire::generated::message::Body;
use crate::wire::generated::{Count, Verdicts};
use crate::wire::quarantine;
use crate::world::id;
use crate::world::table::Txn;
use prost::Message;

/// Inputs that wait for the thread.
const RING: usize = 16_384;
/// Records of crashes that wait for the table.
pub const RECORD_RING: usize = 1024;
const TICK: Duration = Duration::from_millis(20);
/// Time over which demand is counted.
const WINDOW: Duration = Duration::from_secs(1);

struct Thread {
    node: Arc<Node>,
    dispatcher: Dispatcher,
    grants: Map<id::Request, flume::Sender<Grant>>,
    journal: Journal,
    window: Duration,
    records: flume::Sender<Record>,
}

/// Starts the thread; what is to be kept of crashes goes to `records`.
#[must_use]
pub fn start(node: &Arc<Node>, records: flume::Sender<Record>) -> flume::Sender<Input> {
    let (sender, receiver) = flume::bounded(RING);
    let here = Location {
        data_centre: node.settings.data_centre.clone(),
        region: node.settings.region.clone(),
    };
    let mut thread = Thread {
        node: Arc::clone(node),
        dispatcher: Dispatcher::new(node.name.instance.clone(), here),
        grants: Map::default(),
        journal: Journal::default(),
        window: Duration::ZERO,
        records,
    };
    duty::start("dispatcher", move || thread.run(&receiver));
    sender
}

impl Thread {
    fn run(&mut self, receiver: &flume::Receiver<Input>) {
        let mut ticked = Duration::ZERO;
        loop {
            match receiver.recv_timeout(TICK) {
                Ok(input) => self.take(input),
                Err(flume::RecvTimeoutError::Timeout) => {}
                Err(flume::RecvTimeoutError::Disconnected) => return,
            }
            let now = self.node.now();
            if now >= ticked + TICK {
                ticked = now;
                self.tick(now);
            }
        }
    }

    fn tick(&mut self, now: Duration) {
        let entries = {
            let roster = lock(&self.node.roster);
            roster
                .recent_members(now)
                .filter(|member| member.name.role == Role::Entry)
                .count()
        };
        self.dispatcher.on_instance_count(entries);
        let actions = self.dispatcher.on_tick(now);
        self.carry_out(now, actions);
        for write in self.dispatcher.take_quarantine_writes(now) {
            self.record(Record::Quarantine(write));
        }
        self.publish(now);
    }

    fn publish(&mut self, now: Duration) {
        let own = self.dispatcher.own_in_flight();
        let own = own.iter().map(|(worker, count)| Count {
            name: worker.to_string(),
            count: u64::from(*count),
        });
        let own = own.collect();
        let elapsed = now.saturating_sub(self.window);
        let mut gauge = lock(&self.node.gauge);
        if elapsed >= WINDOW {
            self.window = now;
            let milli =
                |count: u64| count * 1_000_000 / u64::try_from(elapsed.as_millis()).unwrap_or(1);
            let asked = self.dispatcher.take_requests_by_team();
            let asked = asked
                .into_iter()
                .map(|(team, count)| (team, milli(count)))
                .collect();
            let demand = self.dispatcher.take_demand();
            let demand = demand
                .into_iter()
                .map(|(name, count)| (name, milli(count)))
                .collect();
            *gauge = Gauge {
                own,
                asked: counts(&asked),
                demand: counts(&demand),
            };
        } else {
            gauge.own = own;
        }
        self.node
            .metrics
            .requests
            .set(i64::try_from(self.dispatcher.request_count()).unwrap_or(i64::MAX));
    }

    fn take(&mut self, input: Input) {
        let now = self.node.now();
        let actions = match input {
            Input::Arrive { arrival, grants } => {
                self.journal.note(
                    now,
                    &arrival.request,
                    Note::Arrived {
                        artifact: arrival.artifact.clone(),
                    },
                );
                self.grants.insert(arrival.request.clone(), grants);
                self.dispatcher.on_arrival(now, arrival)
            }
            Input::End { request, end } => self.on_end(now, &request, end),
            Input::Report { worker, report } => self.dispatcher.on_report(now, &worker, report),
            Input::Peer { instance, own } => {
                self.dispatcher.on_peer_in_flight(now, &instance, &own)
            }
            other => {
                self.take_rare(now, other);
                Vec::new()
            }
        };
        self.carry_out(now, actions);
        self.tell_crashes(now);
    }

    fn on_end(&mut self, now: Duration, request: &id::Request, end: End) -> Vec<Action> {
        self.journal.note(now, request, Note::Ended { end });
        if matches!(end, End::Done | End::Abandoned) {
            self.grants.remove(request);
        } else {
            self.node.metrics.decided("retry", format!("{end:?}"));
        }
        self.dispatcher.on_end(now, request, end)
    }

    fn take_rare(&mut self, now: Duration, input: Input) {
        match input {
            Input::Admit { team, reply } => {
                let admitted = self.dispatcher.admit_call(now, &team);
                let _ = reply.send(admitted);
            }
            Input::Gone(instance) => self.dispatcher.on_peer_gone(&instance),
            Input::Begun(request) => self.dispatcher.on_begun(&request),
            Input::Leaving(worker) => self.dispatcher.on_leaving(now, &worker),
            Input::Verdicts(verdicts) => self.dispatcher.on_verdicts(now, &verdicts),
            Input::Crashes(report) => {
                let actions = self.dispatcher.on_crash_report(now, &report);
                self.carry_out(now, actions);
            }
            Input::Quarantine(rows) => {
                let actions = self.dispatcher.on_quarantine_rows(now, &rows);
                self.carry_out(now, actions);
            }
            Input::QuarantineWritten(write) => self.dispatcher.on_quarantine_written(&write),
            Input::Catalog => {
                let catalog = self.node.catalog.load();
                let actions = self.dispatcher.on_contracts(now, &catalog.workers);
                self.carry_out(now, actions);
            }
            Input::Adjust { adjustment, reply } => {
                let _ = reply.send(self.adjust(now, &adjustment));
            }
            Input::Adjusted {
                team,
                txn,
                committed,
            } => {
                let share = self.dispatcher.share(now, &team);
                if committed {
                    share.on_committed(now, &txn);
                } else {
                    share.on_refused();
                }
            }
            Input::Stop => self.dispatcher.on_stop(),
            Input::Dump(reply) => {
                let _ = reply.send(self.dump(now));
            }
            Input::Explain { request, reply } => {
                let _ = reply.send(self.journal.explain(&request));
            }
            Input::Arrive { .. }
            | Input::End { .. }
            | Input::Report { .. }
            | Input::Peer { .. } => {}
        }
    }

    fn adjust(&mut self, now: Duration, adjustment: &Adjustment) -> Option<Txn> {
        let Adjustment {
            team,
            key,
            row,
            limit,
            demand,
            listed,
        } = adjustment;
        let share = self.dispatcher.share(now, team);
        let is_listed = |instance: &id::Instance| listed.contains(instance);
        share.adjust(now, key, row.as_ref(), *limit, demand, is_listed)
    }

    fn carry_out(&mut self, now: Duration, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Start {
                    request,
                    worker,
                    attempt,
                    isolated,
                } => {
                    self.start(now, &request, worker, attempt, isolated);
                }
                Action::Refuse { request, refusal } => self.refuse(now, &request, refusal),
                Action::Struck(struck) => {
                    log::warn!(requests = struck.len(); "a worker crashed; what ran there runs apart now");
                    self.tell(dispatch::Verdicts {
                        struck,
                        ..dispatch::Verdicts::default()
                    });
                }
                Action::Convicted(convicted) => {
                    log::warn!(fingerprint = convicted.0; "a request crashed two workers and is refused");
                    let convicted = vec![convicted];
                    self.tell(dispatch::Verdicts {
                        convicted,
                        ..dispatch::Verdicts::default()
                    });
                }
                Action::Cleared(cleared) => {
                    let cleared = vec![cleared];
                    self.tell(dispatch::Verdicts {
                        cleared,
                        ..dispatch::Verdicts::default()
                    });
                }
            }
        }
    }

    fn start(
        &mut self,
        now: Duration,
        request: &id::Request,
        worker: id::Worker,
        attempt: u32,
        isolated: bool,
    ) {
        let Some(view) = self.dispatcher.fleet().view(&worker) else {
            return;
        };
        let in_flight = view.in_flight(now);
        let address = view.contract.address;
        let incarnation = view.incarnation();
        self.node.metrics.decided("route", &worker);
        let note = Note::Started {
            worker: worker.clone(),
            attempt,
            in_flight,
            isolated,
        };
        self.journal.note(now, request, note);
        let grant = Grant::Start {
            worker,
            address,
            incarnation,
            attempt,
            isolated,
        };
        let sent = self.grants.get(request).map(|grants| grants.send(grant));
        if !matches!(sent, Some(Ok(()))) {
            let actions = self.dispatcher.on_end(now, request, End::Abandoned);
            self.carry_out(now, actions);
        }
    }

    fn refuse(&mut self, now: Duration, request: &id::Request, refusal: Refusal) {
        self.node
            .metrics
            .decided("refuse", format!("{:?}", refusal.reason));
        self.journal.note(
            now,
            request,
            Note::Refused {
                reason: refusal.reason,
            },
        );
        if let Some(grants) = self.grants.remove(request) {
            let _ = grants.send(Grant::Refuse(refusal));
        }
    }

    fn tell(&self, verdicts: dispatch::Verdicts) {
        let numbers = |prints: Vec<Fingerprint>| prints.into_iter().map(|print| print.0).collect();
        let verdicts = Verdicts {
            struck: numbers(verdicts.struck),
            convicted: numbers(verdicts.convicted),
            cleared: numbers(verdicts.cleared),
        };
        self.node
            .mesh
            .broadcast(message(Body::Verdicts(verdicts.clone())));
        self.record(Record::Verdicts(verdicts));
    }

    fn record(&self, record: Record) {
        if self.records.try_send(record).is_err() {
            log::error!("a record of a crash is not kept: its ring of {RECORD_RING} is full");
        }
    }

    /// Tells peers and the table what changed about requests that crash workers.
    fn tell_crashes(&mut self, now: Duration) {
        let report = self.dispatcher.take_crash_report();
        if !report.is_empty() {
            for parts in report.entries.keys() {
                log::warn!(parts:% = json!(parts); "prompts with these parts crash workers and are refused");
            }
            let report = quarantine::encode(now, &report).encode_to_vec();
            self.node.mesh.broadcast(message(Body::Quarantine(report)));
        }
    }

    fn dump(&mut self, now: Duration) -> Value {
        let views = self.dispatcher.fleet().views().map(|(worker, view)| {
            json!({
              "worker": worker,
              "own": view.own_in_flight(),
              "in_flight": view.in_flight(now),
              "reported": view.reported_in_flight(),
              "incarnation": view.incarnation(),
              "leaving": view.is_leaving(now),
            })
        });
        let views: Vec<Value> = views.collect();
        let teams: Vec<id::Team> = self.node.catalog.load().teams.keys().cloned().collect();
        let shares = teams.iter().map(|team| {
            (
                team.to_string(),
                json!(self.dispatcher.share(now, team).granted()),
            )
        });
        let shares: BTreeMap<String, Value> = shares.collect();
        json!({
          "requests": self.dispatcher.request_count(),
          "quarantine": self.dispatcher.quarantined().collect::<Vec<_>>(),
          "waiting": self.dispatcher.queued_count(),
          "workers": views,
          "shares": shares,
        })
    }
}

/// Whether a name is another entry.
#[must_use]
pub fn is_entry(name: &Name) -> bool {
    name.role == Role::Entry
}

/// Refusal of a request that never reached the thread.
#[must_use]
pub const fn full() -> Refusal {
    Refusal {
        reason: Reason::Full,
        retry_after: Some(dispatch::DEFAULT_RETRY_AFTER),
    }
}
