//! One request at the engines: attempts until the whole answer was handed on.

use crate::common::*;
use crate::decide::dispatch::{Arrival, End, Refusal};
use crate::decide::ledger::Report;
use crate::decide::stream::{Assembly, Step};
use crate::decide::suspect::Fingerprint;
use crate::node::client::{Call, Failure};
use crate::node::dispatcher::full;
use crate::node::entry::Entry;
use crate::node::input::{Grant, Input};
use crate::node::isolation;
use crate::node::problem::Run;
use crate::wire::token::Token;
use crate::world::contract::Class;
use crate::world::id;
use crate::world::unit::Incarnation;
use attohttpc::{Method, ResponseReader};
use std::io::{BufRead, BufReader, Read};

/// Longest silence of an engine inside an answer.
const SILENCE: Duration = Duration::from_secs(5);
/// Longest wait for a short call to an engine.
const SHORT: Duration = Duration::from_secs(1);
/// Looks for a stream that was cut, before it counts as lost.
const PROBES: u32 = 10;
const PROBE_PAUSE: Duration = Duration::from_millis(100);
/// Longest time spent on such looks.
const PROBE_TIME: Duration = Duration::from_millis(1500);
/// Times that one attempt reads on after a cut without a new token.
const MOST_RESUMES: u32 = 5;
/// Longest line of an engine's answer, in bytes.
const MAX_LINE: u64 = 1 << 20;

/// What an engine has to know.
#[derive(Debug, Clone)]
pub struct Job {
    pub arrival: Arrival,
    pub prompt: String,
    /// Separates the prefix caches of teams.
    pub salt: String,
    /// Position to go on from at the worker that holds the answer.
    pub resume: Option<Token>,
}

/// How a request ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The whole answer was handed on.
    Whole,
    /// The caller went away.
    Abandoned,
    /// Given up.
    Refused { refusal: Refusal, run: Run },
    /// The rest of a resumed answer is nowhere to be found.
    Forgotten,
}

/// A token on its way to the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Piece {
    pub text: String,
    pub token: Token,
}

/// Hands a token on; an error says that the caller is gone.
pub type Sink<'a> = dyn FnMut(&Piece) -> std::io::Result<()> + 'a;

struct Relay<'a> {
    entry: &'a Entry,
    job: &'a Job,
    sink: &'a mut Sink<'a>,
    delivered: String,
    next: u64,
    /// Whether an engine ran it.
    ran: Run,
    last_token: Option<Duration>,
    arrived: Duration,
}

/// Carries a request out.
pub fn run<'a>(entry: &'a Entry, job: &'a Job, sink: &'a mut Sink<'a>) -> Outcome {
    let next = job.resume.as_ref().map_or(0, |token| token.offset + 1);
    let relay = Relay {
        entry,
        job,
        sink,
        delivered: String::new(),
        next,
        ran: if job.resume.is_some() {
            Run::Ran
        } else {
            Run::NotRun
        },
        last_token: None,
        arrived: entry.node.now(),
    };
    relay.run()
}

struct Place {
    worker: id::Worker,
    address: SocketAddr,
    incarnation: Incarnation,
    run: CompactString,
}

impl Relay<'_> {
    fn run(mut self) -> Outcome {
        let (sender, grants) = flume::bounded(4);
        let arrival = self.job.arrival.clone();
        let request = arrival.request.clone();
        if self
            .entry
            .dispatcher
            .try_send(Input::Arrive {
                arrival,
                grants: sender,
            })
            .is_err()
        {
            return Outcome::Refused {
                refusal: full(),
                run: Run::NotRun,
            };
        }
        loop {
            let Ok(grant) = grants.recv() else {
                return Outcome::Refused {
                    refusal: full(),
                    run: self.ran,
                };
            };
            let (place, attempt, isolated) = match grant {
                Grant::Refuse(refusal) => {
                    return Outcome::Refused {
                        refusal,
                        run: self.ran,
                    };
                }
                Grant::Start {
                    worker,
                    address,
                    incarnation,
                    attempt,
                    isolated,
                } => {
                    let run = CompactString::from(format!("{request}.a{attempt}"));
                    (
                        Place {
                            worker,
                            address,
                            incarnation,
                            run,
                        },
                        attempt,
                        isolated,
                    )
                }
            };
            let resumed = attempt == 1 && self.job.resume.is_some();
            let end = self.attempt_apart(&place, isolated, resumed);
            let forgotten = self.is_forgotten(end);
            let told = if forgotten { End::Abandoned } else { end };
            self.entry.tell(Input::End {
                request: request.clone(),
                end: told,
            });
            match end {
                _ if forgotten => return Outcome::Forgotten,
                End::Done => return Outcome::Whole,
                End::Abandoned => return Outcome::Abandoned,
                _ => {}
            }
        }
    }

    /// Whether the text before the resumed position is unknown here, so that no other worker can
    /// go on with it.
    fn is_forgotten(&self, end: End) -> bool {
        let unknown = self.job.resume.is_some() && self.delivered.is_empty();
        unknown && !matches!(end, End::Done | End::Abandoned)
    }

    fn attempt_apart(&mut self, place: &Place, isolated: bool, resumed: bool) -> End {
        if !isolated {
            return self.attempt(place, resumed);
        }
        let request = &self.job.arrival.request;
        let print: Fingerprint = self.job.arrival.fingerprint;
        let Some(leave) = isolation::take(self.entry, request, &place.worker, print) else {
            return End::Occupied;
        };
        let end = self.attempt(place, resumed);
        isolation::give_back(self.entry, leave);
        end
    }

    fn attempt(&mut self, place: &Place, resumed: bool) -> End {
        let resume = self.job.resume.as_ref().filter(|_| resumed);
        if let Some(token) = resume {
            let run = token.run.clone();
            let place = Place {
                worker: place.worker.clone(),
                run,
                ..*place
            };
            return match self.reopen(&place) {
                Ok(reader) => self.read_on(&place, reader),
                Err(end) => end,
            };
        }
        match self.open(place) {
            Ok(reader) => self.read_on(place, reader),
            Err(end) => end,
        }
    }

    fn open(&mut self, place: &Place) -> Result<ResponseReader, End> {
        let arrival = &self.job.arrival;
        let body = json!({
          "request": place.run,
          "artifact": arrival.artifact,
          "prompt": self.job.prompt,
          "salt": self.job.salt,
          "max_tokens": arrival.output,
          "priority": u8::from(arrival.class != Class::Premium),
          "offset": self.next,
          "continue": self.delivered,
        });
        let body = body.to_string();
        let call = Call {
            whole: None,
            silence: SILENCE,
            ..Call::new(Method::POST, place.address, "/generate", &body, SILENCE)
        };
        match call.open() {
            Ok((200, reader)) => {
                self.ran = Run::Ran;
                Ok(reader)
            }
            Ok((503, _)) => {
                self.entry.tell(Input::Leaving(place.worker.clone()));
                Err(End::NotRun)
            }
            Ok(_) => Err(End::NotRun),
            Err(Failure::Refused) => Err(End::Unreachable),
            Err(Failure::Lost(_)) => {
                if self.ran == Run::NotRun {
                    self.ran = Run::Unknown;
                }
                self.reopen(place)
            }
        }
    }

    /// Looks for the rest of a stream at its worker, or finds out why it isn't there.
    fn reopen(&mut self, place: &Place) -> Result<ResponseReader, End> {
        let path = format!("/streams/{}?offset={}", place.run, self.next);
        let until = self.entry.node.now() + PROBE_TIME;
        for _ in 0..PROBES {
            let call = Call {
                whole: None,
                ..Call::new(Method::GET, place.address, &path, "", SHORT)
            };
            match call.open() {
                Ok((200, reader)) => return Ok(reader),
                Ok(_) => return Err(judge_missing(place)),
                Err(Failure::Refused) => return Err(End::Crashed),
                Err(Failure::Lost(_)) if self.entry.node.now() > until => break,
                Err(Failure::Lost(_)) => std::thread::sleep(PROBE_PAUSE),
            }
        }
        Err(End::Lost)
    }

    /// Hands tokens on until the end; reads on after cuts.
    fn read_on(&mut self, place: &Place, first: ResponseReader) -> End {
        let mut assembly = Assembly::new(place.run.clone(), self.next);
        let mut reader = first;
        let mut resumes = 0;
        loop {
            let before = assembly.next_offset();
            if let Some(end) = self.read_lines(place, &mut assembly, reader) {
                return end;
            }
            resumes = if assembly.next_offset() > before {
                0
            } else {
                resumes + 1
            };
            if resumes > MOST_RESUMES {
                cancel(place);
                return End::Lost;
            }
            self.entry.node.metrics.decided("stream", "resume");
            reader = match self.reopen(place) {
                Ok(reader) => reader,
                Err(end) => return end,
            };
        }
    }

    /// Reads lines until the end, or none at a cut.
    fn read_lines(
        &mut self,
        place: &Place,
        assembly: &mut Assembly,
        reader: ResponseReader,
    ) -> Option<End> {
        let mut reader = BufReader::new(reader);
        let mut line = String::new();
        loop {
            line.clear();
            let read = reader.by_ref().take(MAX_LINE).read_line(&mut line);
            if read.is_err() || !line.ends_with('\n') {
                return None;
            }
            match assembly.on_line(&line) {
                Step::Skip => {}
                Step::Broken => return None,
                Step::Done => return Some(End::Done),
                Step::Token { offset, text } => {
                    if self.deliver(place, offset, text).is_err() {
                        cancel(place);
                        return Some(End::Abandoned);
                    }
                }
            }
        }
    }

    fn deliver(&mut self, place: &Place, offset: u64, text: String) -> std::io::Result<()> {
        let now = self.entry.node.now();
        match self.last_token {
            None => self
                .entry
                .node
                .metrics
                .first_token
                .observe(now.saturating_sub(self.arrived).as_secs_f64()),
            Some(last) => self
                .entry
                .node
                .metrics
                .between_tokens
                .observe(now.saturating_sub(last).as_secs_f64()),
        }
        self.last_token = Some(now);
        if self.delivered.is_empty() {
            let request = self.job.arrival.request.clone();
            self.entry.tell(Input::Begun(request));
        }
        self.delivered.push_str(&text);
        self.next = offset + 1;
        let token = Token {
            run: place.run.clone(),
            worker: place.worker.clone(),
            offset,
        };
        (self.sink)(&Piece { text, token })
    }
}

/// An engine that forgot a stream crashed if it started anew since.
fn judge_missing(place: &Place) -> End {
    let call = Call::new(Method::GET, place.address, "/report", "", SHORT);
    let report = call
        .send()
        .ok()
        .and_then(|answer| serde_json::from_str::<Report>(&answer.body).ok());
    let restarted = report.is_some_and(|report| report.incarnation > place.incarnation);
    if restarted { End::Crashed } else { End::Lost }
}

fn cancel(place: &Place) {
    let path = format!("/streams/{}", place.run);
    let _ = Call::new(Method::DELETE, place.address, &path, "", SHORT).send();
}
