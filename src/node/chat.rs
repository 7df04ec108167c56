//! Chat and text completions: a request checked, run, and answered whole or as a stream.

use crate::common::*;
use crate::decide::dispatch::Arrival;
use crate::decide::suspect::Fingerprint;
use crate::node::callers::{Events, Exchange, Incoming};
use crate::node::problem::{Problem, Run};
use crate::node::relay::{self, Job, Outcome, Piece};
use crate::wire::key::{Ring, digest};
use crate::wire::token::Token;
use crate::world::id;
use crate::world::message::{MAX_SHARED_PARTS, PartId};
use crate::world::time;
use crate::world::unit::Tokens;
use std::io;
use xxhash_rust::xxh3::xxh3_64;

/// Tokens of an answer where the caller names no limit.
const DEFAULT_TOKENS: u64 = 256;
/// Most tokens of an answer.
const MOST_TOKENS: u64 = 32_768;
/// Characters of a prompt that count for prefix affinity.
const PREFIX_CHARS: usize = 256;
/// Longest deadline that a caller may set.
const LONGEST_DEADLINE: Duration = Duration::from_mins(10);

/// Which of the two interfaces was called.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Form {
    Chat,
    Text,
}

#[derive(Debug, Deserialize)]
struct Message {
    role: String,
    content: String,
}

#[derive(Debug, Deserialize)]
struct Body {
    model: String,
    #[serde(default)]
    messages: Vec<Message>,
    #[serde(default)]
    prompt: String,
    max_tokens: Option<u64>,
    #[serde(default)]
    stream: bool,
}

impl Body {
    fn text(&self, form: Form) -> Result<String, Problem> {
        let wrong = |detail: &str| Problem::wrong(400, "wrong body", detail);
        match form {
            Form::Chat if self.messages.is_empty() => Err(wrong("give at least one message")),
            Form::Chat => {
                let lines = self.messages.iter();
                let lines = lines.map(|message| format!("{}: {}", message.role, message.content));
                Ok(lines.collect::<Vec<_>>().join("\n"))
            }
            Form::Text if self.prompt.is_empty() => Err(wrong("give a prompt")),
            Form::Text => Ok(self.prompt.clone()),
        }
    }
}

impl Body {
    /// Returns the hashes of the messages that other chats of the team may share; the last message
    /// is the chat's own.
    fn shared_parts(&self, form: Form, team: &id::Team) -> Vec<PartId> {
        let count = match form {
            Form::Chat => self.messages.len().saturating_sub(1),
            Form::Text => 0,
        };
        let shared = self.messages.iter().take(count.min(MAX_SHARED_PARTS));
        let hash = |message: &Message| {
            xxh3_64(format!("{team}\n{}\n{}", message.role, message.content).as_bytes())
        };
        shared.map(|message| PartId(hash(message))).collect()
    }
}

/// Answers one request.
pub fn answer(exchange: Exchange<'_>, incoming: &Incoming, form: Form) {
    match prepare(&exchange, incoming, form) {
        Ok((body, job)) if body.stream => stream(exchange, incoming, form, &body, &job),
        Ok((body, job)) => whole(exchange, form, &body, &job),
        Err(problem) => exchange.fail(&problem),
    }
}

fn prepare(
    exchange: &Exchange<'_>,
    incoming: &Incoming,
    form: Form,
) -> Result<(Body, Job), Problem> {
    let node = &exchange.entry.node;
    let body: Body = serde_json::from_str(&incoming.body)
        .map_err(|error| Problem::wrong(400, "wrong body", error.to_string()))?;
    let text = body.text(form)?;
    let team = &incoming.caller.team;
    let catalog = node.catalog.load();
    let target = catalog.target(team.as_str(), &body.model).ok_or_else(|| {
        let detail = "GET /v1/models lists what your team may ask for";
        Problem::wrong(404, "unknown model", detail)
    })?;
    let output = body.max_tokens.unwrap_or(DEFAULT_TOKENS);
    if output == 0 || output > MOST_TOKENS {
        let detail = format!("max_tokens is 1 to {MOST_TOKENS}");
        return Err(Problem::wrong(400, "wrong body", detail));
    }
    let digest = digest(incoming.body.as_bytes());
    let resume = resume(incoming, &node.settings.mesh_keys, team, &digest)?;
    let weight = catalog.teams.get(team).map_or(1, |team| team.weight);
    let start: String = text.chars().take(PREFIX_CHARS).collect();
    let arrival = Arrival {
        request: incoming.id.clone(),
        team: team.clone(),
        weight,
        class: incoming.caller.class,
        artifact: target.artifact.clone(),
        fingerprint: Fingerprint(xxh3_64(format!("{team}\n{digest}").as_bytes())),
        parts: body.shared_parts(form, team),
        prefix: xxh3_64(format!("{team}\n{}\n{start}", target.artifact).as_bytes()),
        prompt: Tokens(text.split_whitespace().count() as u64),
        output: Tokens(output),
        deadline: node.now() + deadline(incoming, node.settings.start_within)?,
        resume_worker: resume.as_ref().map(|token| token.worker.clone()),
    };
    let salt = crate::wire::key::digest(team.as_str().as_bytes());
    Ok((
        body,
        Job {
            arrival,
            prompt: text,
            salt,
            resume,
        },
    ))
}

fn resume(
    incoming: &Incoming,
    keys: &Ring,
    team: &id::Team,
    digest: &str,
) -> Result<Option<Token>, Problem> {
    let Some(text) = incoming.header("Last-Event-ID") else {
        return Ok(None);
    };
    let token = Token::open(text, keys, team, digest);
    token.map(Some).ok_or_else(|| {
        let detail = "send the id of the last event that you got, with the same body and key";
        Problem::wrong(400, "wrong event id", detail)
    })
}

/// Time in which a request must start.
///
/// # Errors
/// Where the header is no number of milliseconds within bounds.
pub fn deadline(incoming: &Incoming, default: Duration) -> Result<Duration, Problem> {
    let Some(text) = incoming.header("X-Deadline-Ms") else {
        return Ok(default);
    };
    let given = text.parse().ok().map(time::from_millis);
    let given = given.filter(|given| !given.is_zero() && *given <= LONGEST_DEADLINE);
    given.ok_or_else(|| {
        let detail = format!("X-Deadline-Ms is 1 to {}", LONGEST_DEADLINE.as_millis());
        Problem::wrong(400, "wrong deadline", detail)
    })
}

fn problem(outcome: &Outcome) -> Option<Problem> {
    match outcome {
        Outcome::Whole | Outcome::Abandoned => None,
        Outcome::Refused { refusal, run } => Some(Problem::refused(*refusal, *run)),
        Outcome::Forgotten => Some(Problem {
            status: 409,
            title: "the rest of this stream is gone",
            detail: "its backend server no longer has it: ask again without Last-Event-ID".into(),
            run: Run::Ran,
            retry_after: None,
        }),
    }
}

fn whole(exchange: Exchange<'_>, form: Form, body: &Body, job: &Job) {
    let mut text = String::new();
    let mut tokens = 0_u64;
    let mut sink = |piece: &Piece| {
        text.push_str(&piece.text);
        tokens += 1;
        Ok(())
    };
    let outcome = relay::run(exchange.entry, job, &mut sink);
    if let Some(problem) = problem(&outcome) {
        return exchange.fail(&problem);
    }
    let choice = match form {
        Form::Chat => json!({
          "index": 0,
          "message": {"role": "assistant", "content": text},
          "finish_reason": "stop",
        }),
        Form::Text => json!({"index": 0, "text": text, "finish_reason": "stop"}),
    };
    let body = json!({
      "id": exchange.id,
      "object": object(form, false),
      "model": body.model,
      "choices": [choice],
      "usage": {
        "prompt_tokens": job.arrival.prompt,
        "completion_tokens": tokens,
        "total_tokens": job.arrival.prompt.0 + tokens,
      },
    });
    exchange.respond(
        200,
        vec![("Content-Type", "application/json".into())],
        body.to_string(),
    );
}

const fn object(form: Form, streamed: bool) -> &'static str {
    match (form, streamed) {
        (Form::Chat, true) => "chat.completion.chunk",
        (Form::Chat, false) => "chat.completion",
        (Form::Text, _) => "text_completion",
    }
}

/// The head is written with the first token, so that a refusal before it has its own status.
enum Reply<'a> {
    Open(Box<Exchange<'a>>),
    Streaming(Events),
    Gone,
}

impl Reply<'_> {
    fn write(&mut self, text: &str) -> io::Result<()> {
        if let Self::Open(_) = self {
            let Self::Open(exchange) = std::mem::replace(self, Self::Gone) else {
                return gone();
            };
            *self = Self::Streaming(exchange.stream()?);
        }
        match self {
            Self::Streaming(events) => events.write(text),
            Self::Open(_) | Self::Gone => gone(),
        }
    }
}

fn gone() -> io::Result<()> {
    Err(io::ErrorKind::BrokenPipe.into())
}

fn stream(exchange: Exchange<'_>, incoming: &Incoming, form: Form, body: &Body, job: &Job) {
    let entry = exchange.entry;
    let id = exchange.id.clone();
    let digest = digest(incoming.body.as_bytes());
    let team = &incoming.caller.team;
    let mut reply = Reply::Open(Box::new(exchange));
    let mut sink = |piece: &Piece| {
        let event = piece
            .token
            .seal(&entry.node.settings.mesh_keys, team, &digest);
        let chunk = chunk(form, &id, &body.model, &piece.text);
        reply.write(&format!("id: {event}\ndata: {chunk}\n\n"))
    };
    let outcome = relay::run(entry, job, &mut sink);
    end_stream(reply, &id, problem(&outcome));
}

fn end_stream(mut reply: Reply<'_>, id: &id::Request, problem: Option<Problem>) {
    match (problem, reply) {
        (Some(problem), Reply::Open(exchange)) => return exchange.fail(&problem),
        (Some(problem), Reply::Streaming(mut events)) => {
            let text = format!("event: error\ndata: {}\n\n", problem.body(id));
            let _ = events.write(&text);
            events.finish();
            return;
        }
        (None, rest) => reply = rest,
        (Some(_), Reply::Gone) => return,
    }
    if reply.write("data: [DONE]\n\n").is_ok()
        && let Reply::Streaming(events) = reply
    {
        events.finish();
    }
}

fn chunk(form: Form, id: &id::Request, model: &str, text: &str) -> Value {
    let choice = match form {
        Form::Chat => json!({"index": 0, "delta": {"content": text}, "finish_reason": null}),
        Form::Text => json!({"index": 0, "text": text, "finish_reason": null}),
    };
    json!({"id": id, "object": object(form, true), "model": model, "choices": [choice]})
}
