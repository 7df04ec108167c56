//! The settings process: operators read, check and change subtrees.

use crate::common::*;
use crate::decide::member::{Health, Member, Role};
use crate::decide::rollout::{self, Action, Change, Entry, Proposal, Snapshot, Verdict};
use crate::error::Result;
use crate::flags::Settings;
use crate::node::duty::lock;
use crate::node::follow::{self, Input};
use crate::node::members::{self, message};
use crate::node::node::Node;
use crate::node::operators::{self, problem};
use crate::wire::generated::Changes;
use crate::wire::generated::message::Body;
use crate::wire::key::digest;
use crate::world::catalog::Subtree;
use crate::world::contract::SITE;
use crate::world::id;
use crate::world::table::Failure;
use crate::world::unit::{Position, Revision};
use rouille::{Request, Response};
use std::io::Read;

/// Largest change, in bytes.
const MAX_CHANGE: u64 = 4 << 20;
/// Changes that a history shows at most.
const HISTORY: u64 = 1000;

/// Runs the process until it was told to stop.
///
/// # Errors
/// Where an address is taken or signals can't be caught.
pub fn run(settings: Settings) -> Result<()> {
    let (node, rings) = Node::start(settings, Role::Settings)?;
    members::start(&node, rings.inbound, |_| {});
    follow::start(&node, rings.follow, || {});
    let serving = Arc::clone(&node);
    operators::start(
        &node,
        || json!({}),
        move |request| Some(answer(&serving, request)),
    )?;
    log::info!(instance:% = node.name.instance; "settings started");
    node.stop.wait();
    node.leave();
    log::info!(instance:% = node.name.instance; "stopped");
    Ok(())
}

fn answer(node: &Node, request: &Request) -> Response {
    let url = request.url();
    let parts: Vec<&str> = url.trim_matches('/').splitn(3, '/').collect();
    match (request.method(), parts.as_slice()) {
        ("GET", ["status"]) if operators::is_operator(node, request) => status(node),
        ("GET", ["rollout", position]) if is_known(node, request) => show_rollout(node, position),
        (_, ["settings", owner, ..]) if !may_open(node, request, owner) => {
            operators::unauthorized()
        }
        ("GET", ["settings", owner]) => show(node, owner),
        ("GET", ["settings", owner, "history"]) => history(node, owner),
        ("GET", ["settings", owner, path]) => show_path(node, owner, path),
        ("PATCH", ["settings", owner]) => change(node, request, owner),
        ("GET", ["status"] | ["rollout", _]) => operators::unauthorized(),
        _ => problem(
            404,
            "no such call",
            "use /settings/SUBTREE, /rollout/POSITION or /status",
        ),
    }
}

/// The team that a key belongs to, if any.
fn operator_of(node: &Node, request: &Request) -> Option<id::Team> {
    let key = operators::bearer(request)?;
    node.catalog
        .load()
        .operator(&digest(key.as_bytes()))
        .cloned()
}

fn is_known(node: &Node, request: &Request) -> bool {
    operators::is_operator(node, request) || operator_of(node, request).is_some()
}

fn may_open(node: &Node, request: &Request, owner: &str) -> bool {
    let site = operators::is_operator(node, request);
    site || operator_of(node, request).is_some_and(|team| team.as_str() == owner && owner != SITE)
}

fn show(node: &Node, owner: &str) -> Response {
    let catalog = node.catalog.load();
    let empty = Subtree::default();
    let subtree = catalog.subtrees.get(owner).unwrap_or(&empty);
    Response::json(&json!({
      "position": catalog.position,
      "revision": subtree.revision,
      "entries": subtree.entries,
    }))
}

fn show_path(node: &Node, owner: &str, path: &str) -> Response {
    let catalog = node.catalog.load();
    let value = catalog
        .subtrees
        .get(owner)
        .and_then(|subtree| subtree.entries.get(path));
    value.map_or_else(
        || {
            problem(
                404,
                "no such path",
                "read the whole subtree to see its paths",
            )
        },
        Response::json,
    )
}

fn history(node: &Node, owner: &str) -> Response {
    let newest = node.position().0;
    let after = rollout::log_key(Position(newest.saturating_sub(HISTORY)));
    let Ok(rows) = node.store.scan(rollout::LOG_PREFIX, &after) else {
        return unavailable("the table service does not answer");
    };
    let entries = rows
        .iter()
        .filter_map(|row| Entry::deserialize(&row.value).ok());
    let own: Vec<Entry> = entries.filter(|entry| entry.owner == owner).collect();
    Response::json(&own)
}

fn unavailable(title: &str) -> Response {
    problem(503, title, "nothing was changed: try again").with_additional_header("Retry-After", "1")
}

fn status(node: &Node) -> Response {
    Response::json(&node.dump())
}

/// Where a change is in force.
fn show_rollout(node: &Node, position: &str) -> Response {
    let Ok(position) = position.parse::<Position>() else {
        return problem(
            400,
            "no position",
            "give the number that a change was answered with",
        );
    };
    let now = node.now();
    let members = lock(&node.roster).members_with_health(now);
    let live = members
        .iter()
        .filter(|(_, health)| *health != Health::Silent);
    let (done, waiting): (Vec<&Member>, Vec<&Member>) = live
        .map(|(member, _)| member)
        .partition(|member| member.position >= position);
    let silent = members
        .iter()
        .filter(|(_, health)| *health == Health::Silent);
    let silent: Vec<&Member> = silent.map(|(member, _)| member).collect();
    Response::json(&json!({
      "position": position,
      "in_force": names(&done),
      "waiting": names(&waiting),
      "silent": names(&silent),
    }))
}

fn names(members: &[&Member]) -> Vec<String> {
    members
        .iter()
        .map(|member| format!("{}/{}", member.name.instance, member.name.role))
        .collect()
}

fn change(node: &Node, request: &Request, owner: &str) -> Response {
    let proposal = match proposal(request, owner) {
        Ok(proposal) => proposal,
        Err(response) => return response,
    };
    if owner != SITE
        && !node
            .catalog
            .load()
            .teams
            .keys()
            .any(|team| team.as_str() == owner)
    {
        return problem(
            404,
            "no such team",
            "create it first, at `teams/NAME` of the subtree `site`",
        );
    }
    let dry_run = request.get_param("check").is_some();
    let Some(verdict) = drive(node, proposal, dry_run) else {
        return Response::json(&json!({"valid": true}));
    };
    node.metrics.decided("change", kind(&verdict));
    reply(node, verdict)
}

fn proposal(request: &Request, owner: &str) -> Result<Proposal, Response> {
    let mut body = String::new();
    let data = request
        .data()
        .map(|data| data.take(MAX_CHANGE).read_to_string(&mut body));
    if !matches!(data, Some(Ok(_))) {
        return Err(problem(
            400,
            "no usable body",
            "send a JSON object of paths and values",
        ));
    }
    let set = serde_json::from_str::<BTreeMap<String, Value>>(&body);
    let set = set.map_err(|error| problem(400, "no usable body", &error.to_string()))?;
    let expected = match request
        .header("If-Match")
        .map(|text| text.trim_matches('"').parse())
    {
        None => None,
        Some(Ok(revision)) => Some(revision),
        Some(Err(_)) => {
            return Err(problem(
                400,
                "wrong If-Match",
                "send the subtree's revision",
            ));
        }
    };
    let change = request
        .header("Change-Id")
        .map_or_else(random_id, str::to_owned);
    if change.parse::<id::Request>().is_err() {
        return Err(problem(
            400,
            "wrong Change-Id",
            "use 1 to 64 characters out of a-z A-Z 0-9 . _ -",
        ));
    }
    Ok(Proposal {
        owner: owner.into(),
        change,
        expected,
        set,
    })
}

fn random_id() -> String {
    format!("{:016x}", rand::random::<u64>())
}

/// Carries a proposal out against the table service.
///
/// A dry run ends before its commit, with none.
fn drive(node: &Node, proposal: Proposal, dry_run: bool) -> Option<Verdict> {
    let mut change = Change::new(proposal);
    let mut action = change.begin();
    loop {
        action = match action {
            Action::Read(keys) => match read(node, &keys) {
                Ok((rows, snapshot)) => change.on_read(Ok(rows), &snapshot),
                Err(failure) => change.on_read(Err(failure), &Snapshot::default()),
            },
            Action::Commit(_) if dry_run => return None,
            Action::Commit(txn) => {
                let answer = node.store.commit(&txn);
                node.note_store("change", &answer);
                change.on_commit(&answer)
            }
            Action::Reply(verdict) => return Some(verdict),
        };
    }
}

type Rows = Vec<Option<crate::world::table::Row>>;

/// Rows of a change, then all subtrees. What changes in between changes the head's version.
fn read(node: &Node, keys: &[String]) -> Result<(Rows, Snapshot), Failure> {
    let rows = node.store.read(keys)?;
    let subtrees = node.store.scan(rollout::SUBTREE_PREFIX, "")?;
    let subtrees = subtrees.iter().filter_map(follow::subtree).collect();
    Ok((
        rows,
        Snapshot {
            position: Position(0),
            subtrees,
        },
    ))
}

const fn kind(verdict: &Verdict) -> &'static str {
    match verdict {
        Verdict::Accepted(_) => "accepted",
        Verdict::Stale(_) => "stale",
        Verdict::Invalid(_) => "wrong",
        Verdict::Unknown => "doubtful",
        Verdict::Unavailable => "unavailable",
    }
}

fn reply(node: &Node, verdict: Verdict) -> Response {
    match verdict {
        Verdict::Accepted(entry) => {
            let text = json!(entry).to_string();
            let _ = node.follow.send(Input::Changes(vec![text.clone()]));
            node.mesh.broadcast(message(Body::Changes(Changes {
                entries: vec![text],
            })));
            Response::json(&json!({
              "position": entry.position,
              "revision": entry.revision,
              "change": entry.change,
            }))
        }
        Verdict::Stale(Revision(current)) => {
            let detail = format!("the subtree is at revision {current}: read it and decide anew");
            problem(412, "somebody changed the subtree", &detail)
                .with_additional_header("ETag", format!("\"{current}\""))
        }
        Verdict::Invalid(reason) => problem(422, "the settings would be wrong", &reason),
        Verdict::Unknown => problem(
            504,
            "not known whether the change took effect",
            "send it again with the same Change-Id",
        ),
        Verdict::Unavailable => unavailable("the table service does not answer"),
    }
}
