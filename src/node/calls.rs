//! Calls to plain services: repeated where that is harmless, claimed where it isn't.

use crate::common::*;
use crate::decide::claim::{self, Action, Answer, Attempt, Claim, Delivery, Reply};
use crate::decide::dispatch::DEFAULT_RETRY_AFTER;
use crate::decide::member::{Name, Role};
use crate::decide::retry::backoff;
use crate::decide::route::Location;
use crate::node::callers::{Exchange, Incoming};
use crate::node::chat::deadline;
use crate::node::client::{self, Call};
use crate::node::duty::lock;
use crate::node::entry::Entry;
use crate::node::input::Input;
use crate::node::problem::{Problem, Run};
use crate::wire::key::digest;
use crate::world::contract::Service;
use crate::world::id;
use attohttpc::Method;

/// Longest time that a backend server may take for a call.
const CALL: Duration = Duration::from_secs(30);
/// Attempts at a call that may be repeated.
const MOST_ATTEMPTS: usize = 3;
const FIRST_WAIT: Duration = Duration::from_millis(20);
const LONGEST_WAIT: Duration = Duration::from_millis(500);
/// Longest idempotency key, in characters.
const MAX_KEY: usize = 255;
/// An answer above this many bytes goes to the object store.
const LARGE: usize = 64 << 10;

struct Target<'a> {
    entry: &'a Entry,
    incoming: &'a Incoming,
    name: id::Service,
    service: Service,
    path: String,
    tried: Vec<id::Server>,
}

/// Answers one call.
pub fn answer(exchange: Exchange<'_>, incoming: &Incoming) {
    let target = match target(exchange.entry, incoming) {
        Ok(target) => target,
        Err(problem) => return exchange.fail(&problem),
    };
    if let Some(problem) = over_limit(exchange.entry, incoming) {
        return exchange.fail(&problem);
    }
    let route = target
        .path
        .split('?')
        .next()
        .unwrap_or_default()
        .trim_start_matches('/');
    let result = if target.service.idempotent.contains(route) {
        repeat(target)
    } else {
        once(target)
    };
    match result {
        Ok(answer) => {
            let headers = vec![("Content-Type", "application/json".into())];
            exchange.respond(answer.status, headers, answer.body);
        }
        Err(problem) => exchange.fail(&problem),
    }
}

fn target<'a>(entry: &'a Entry, incoming: &'a Incoming) -> Result<Target<'a>, Problem> {
    let rest = incoming.path.trim_start_matches("/services/");
    let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
    let unknown = || {
        Problem::wrong(
            404,
            "unknown service",
            "ask operators for the services' names",
        )
    };
    let name: id::Service = name.parse().map_err(|_| unknown())?;
    let service = entry
        .node
        .catalog
        .load()
        .services
        .get(&name)
        .cloned()
        .ok_or_else(unknown)?;
    Ok(Target {
        entry,
        incoming,
        name,
        service,
        path: format!("/{path}"),
        tried: Vec::new(),
    })
}

fn over_limit(entry: &Entry, incoming: &Incoming) -> Option<Problem> {
    let (reply, answer) = flume::bounded(1);
    entry.tell(Input::Admit {
        team: incoming.caller.team.clone(),
        reply,
    });
    let refusal = answer.recv().ok()??;
    Some(Problem::refused(refusal, Run::NotRun))
}

impl Target<'_> {
    fn next_server(&mut self) -> Option<(id::Server, SocketAddr)> {
        let settings = &self.entry.node.settings;
        let here = Location {
            data_centre: settings.data_centre.clone(),
            region: settings.region.clone(),
        };
        let now = self.entry.node.now();
        let mut pool = lock(&self.entry.pool);
        let (server, address) = pool.choose(now, &self.name, &self.service, &here, &self.tried)?;
        pool.on_start(&self.name, &server);
        self.tried.push(server.clone());
        Some((server, address))
    }

    fn has_other_server(&self) -> bool {
        self.service
            .servers
            .keys()
            .any(|server| !self.tried.contains(server))
    }

    fn send(&mut self) -> Delivery {
        let Some((server, address)) = self.next_server() else {
            return Delivery::Refused;
        };
        let method = Method::from_bytes(self.incoming.method.as_bytes()).unwrap_or(Method::POST);
        let key = self.incoming.header("Idempotency-Key").unwrap_or_default();
        let headers = [
            ("Idempotency-Key", key),
            ("X-Team", self.incoming.caller.team.as_str()),
            ("Content-Type", "application/json"),
        ];
        let headers = if key.is_empty() {
            &headers[1..]
        } else {
            &headers[..]
        };
        let call = Call {
            headers,
            ..Call::new(method, address, &self.path, &self.incoming.body, CALL)
        };
        let result = call.send();
        let reached = result != Err(client::Failure::Refused);
        let now = self.entry.node.now();
        let mut pool = lock(&self.entry.pool);
        pool.on_end(now, &self.name, &server, reached);
        match result {
            Ok(answer) if answer.status == 503 && answer.json()["leaving"] == json!(true) => {
                pool.on_leaving(now, &self.name, &server);
                Delivery::Refused
            }
            Ok(answer) => Delivery::Answered(Answer {
                status: answer.status,
                body: answer.body,
                object: None,
            }),
            Err(client::Failure::Refused) => Delivery::Refused,
            Err(client::Failure::Lost(_)) => Delivery::Interrupted,
        }
    }
}

/// A call that may run more than once: other servers are tried.
fn repeat(mut target: Target<'_>) -> Result<Answer, Problem> {
    let mut ran = false;
    for _ in 0..MOST_ATTEMPTS {
        match target.send() {
            Delivery::Answered(answer) if answer.status < 500 => return Ok(answer),
            Delivery::Answered(answer) if !target.has_other_server() => return Ok(answer),
            Delivery::Answered(_) | Delivery::Interrupted => ran = true,
            Delivery::Refused => {}
        }
        target.entry.node.metrics.decided("retry", "call");
        if !target.has_other_server() {
            break;
        }
    }
    let run = if ran { Run::Unknown } else { Run::NotRun };
    Err(unavailable(run))
}

fn unavailable(run: Run) -> Problem {
    Problem {
        status: 503,
        title: "no backend server answered",
        detail: "come back later".into(),
        run,
        retry_after: Some(DEFAULT_RETRY_AFTER),
    }
}

/// A call that runs at most once: claimed before its only send.
fn once(mut target: Target<'_>) -> Result<Answer, Problem> {
    let (entry, incoming) = (target.entry, target.incoming);
    let mut claim = claim(&target)?;
    lock(&entry.running).insert(incoming.id.clone());
    let reply = drive(&mut target, &mut claim);
    lock(&entry.running).remove(&incoming.id);
    entry.node.metrics.decided("claim", kind(&reply));
    conclude(entry, reply)
}

fn claim(target: &Target<'_>) -> Result<Claim, Problem> {
    let (entry, incoming) = (target.entry, target.incoming);
    let wrong = |detail: &str| Problem::wrong(400, "no usable Idempotency-Key", detail);
    let key = incoming.header("Idempotency-Key").unwrap_or_default();
    if key.is_empty() {
        return Err(wrong(
            "this call may run only once: send a key of its own with each call",
        ));
    }
    if key.len() > MAX_KEY {
        return Err(wrong("a key has at most 255 characters"));
    }
    let team = &incoming.caller.team;
    let row = format!("claim/{team}/{}", digest(key.as_bytes()));
    let body = format!("{}\n{}\n{}", incoming.method, incoming.path, incoming.body);
    let attempt = Attempt {
        request: incoming.id.clone(),
        instance: entry.node.name.instance.clone(),
        incarnation: entry.node.incarnation,
    };
    let until = entry.node.now() + deadline(incoming, entry.node.settings.start_within)?;
    Ok(Claim::new(row, attempt, digest(body.as_bytes()), until))
}

fn drive(target: &mut Target<'_>, claim: &mut Claim) -> Reply {
    let entry = target.entry;
    let mut actions = VecDeque::from([claim.begin()]);
    let mut waits = 0;
    while let Some(action) = actions.pop_front() {
        match action {
            Action::Insert(txn) => {
                let answer = entry.claims.commit(txn);
                actions.extend(claim.on_insert(entry.node.now(), answer));
            }
            Action::Read => {
                let row = entry.node.store.read_one(claim.key());
                entry.node.note_store("claim_read", &row);
                let gone = |attempt: &Attempt| is_gone(entry, attempt);
                actions.extend(claim.on_read(entry.node.now(), row, gone));
            }
            Action::Wait => {
                std::thread::sleep(backoff(FIRST_WAIT, waits, LONGEST_WAIT, rand::random()));
                waits += 1;
                actions.push_back(Action::Read);
            }
            Action::Send => {
                let sent = store_large(entry, target.incoming, target.send());
                let others = target.has_other_server();
                actions.extend(claim.on_sent(entry.node.now(), sent, others));
            }
            Action::RecordOutcome => entry.claims.settle(claim.clone()),
            Action::RecordUnknown(txn) => {
                let _ = entry.claims.commit(txn);
            }
            Action::Reply(reply) => return reply,
        }
    }
    Reply::Unknown
}

/// Whether the attempt that holds a row certainly ended.
fn is_gone(entry: &Entry, attempt: &Attempt) -> bool {
    let mine = attempt.instance == entry.node.name.instance
        && attempt.incarnation == entry.node.incarnation;
    if mine {
        return !lock(&entry.running).contains(&attempt.request);
    }
    let name = Name {
        instance: attempt.instance.clone(),
        role: Role::Entry,
    };
    let now = entry.node.now();
    lock(&entry.node.roster).is_gone(now, &name, attempt.incarnation)
}

fn store_large(entry: &Entry, incoming: &Incoming, sent: Delivery) -> Delivery {
    let Delivery::Answered(answer) = sent else {
        return sent;
    };
    let Some(objects) = entry
        .node
        .settings
        .objects
        .filter(|_| answer.body.len() > LARGE)
    else {
        return Delivery::Answered(answer);
    };
    let path = format!("/objects/outcome-{}", incoming.id);
    let timeout = entry.node.settings.store_timeout;
    let stored = Call::new(Method::PUT, objects, &path, &answer.body, timeout).send();
    let kept = stored.is_ok_and(|stored| stored.status == 200);
    Delivery::Answered(if kept {
        Answer {
            object: Some(path),
            ..answer
        }
    } else {
        answer
    })
}

fn kind(reply: &Reply) -> &'static str {
    match reply {
        Reply::Answered(_) => "answered",
        Reply::NotRun => "not_run",
        Reply::Unknown => "unknown",
        Reply::Running => "running",
        Reply::Mismatch => "mismatch",
    }
}

fn conclude(entry: &Entry, reply: Reply) -> Result<Answer, Problem> {
    match reply {
        Reply::Answered(answer) => fetch_large(entry, answer),
        Reply::NotRun => Err(unavailable(Run::NotRun)),
        Reply::Unknown => Err(Problem {
            status: 502,
            title: "not known whether it ran",
            detail: "it is not run again: look at its effect before you use a new key".into(),
            run: Run::Unknown,
            retry_after: None,
        }),
        Reply::Running => Err(Problem {
            status: 409,
            title: "the same call is still running",
            detail: "come back for its outcome with the same key and body".into(),
            run: Run::Unknown,
            retry_after: Some(DEFAULT_RETRY_AFTER),
        }),
        Reply::Mismatch => Err(Problem::wrong(
            422,
            "key used for another call",
            "send a key of its own with each call",
        )),
    }
}

fn fetch_large(entry: &Entry, answer: claim::Answer) -> Result<Answer, Problem> {
    let (Some(path), Some(objects)) = (&answer.object, entry.node.settings.objects) else {
        return Ok(answer);
    };
    if !answer.body.is_empty() {
        return Ok(answer);
    }
    let call = Call::new(
        Method::GET,
        objects,
        path,
        "",
        entry.node.settings.store_timeout,
    );
    let body = call
        .send()
        .ok()
        .and_then(|found| found.json()["body"].as_str().map(str::to_owned));
    let body = body.ok_or_else(|| Problem {
        run: Run::Ran,
        ..unavailable(Run::Ran)
    })?;
    Ok(Answer { body, ..answer })
}
