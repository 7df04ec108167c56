//! Hostile callers of an entry.

use super::crowd::{Crowd, Form, Watch, exchange};
use super::{FEW_FDS, MANY_FDS, MAX_BODY, MEMORY_MB, turn};
use rstest::rstest;
use standins::site::{Shape, Site, completion};

/// Memory and descriptors are those of the gateway's tests.
fn start(max_fds: u64) -> Site {
    let environment = [
        ("MAX_BODY", MAX_BODY.to_string()),
        ("MEMORY_MB", MEMORY_MB.to_string()),
        ("MAX_FDS", max_fds.to_string()),
    ];
    let environment = environment.map(|(name, value)| (format!("POPLARSEAM_{name}"), value));
    let site = Site::start(Shape {
        entries: 1,
        environment: environment.to_vec(),
        ..Shape::default()
    });
    site.set_up(&[("red", 1000.0)], &[("notes", 1000)]);
    site.wait_for_model("red", "notes");
    site
}

const FIELDS: &str =
    "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer red-key\r\n";

fn ask(site: &Site, body: &str) -> u16 {
    let length = body.len();
    let request = format!("{FIELDS}Connection: close\r\nContent-Length: {length}\r\n\r\n{body}");
    exchange(site.callers(0), request.as_bytes())
}

/// Guards against callers that end the process by the memory of their requests or by the number of
/// their connections, or keep ordinary callers out.
#[rstest]
#[case::whole(Form::Whole, MANY_FDS)]
#[case::pieces(Form::Pieces, MANY_FDS)]
#[case::large_chunks(Form::LargeChunks, MANY_FDS)]
#[case::tiny_chunks(Form::TinyChunks, MANY_FDS)]
#[case::announced_huge(Form::AnnouncedHuge, MANY_FDS)]
#[case::sent_huge(Form::SentHuge, MANY_FDS)]
#[case::endless_head(Form::EndlessHead, FEW_FDS)]
#[case::endless_field(Form::EndlessField, FEW_FDS)]
#[case::cut_head(Form::CutHead, FEW_FDS)]
#[case::nothing(Form::Nothing, FEW_FDS)]
#[case::unfinished_bodies_on_many_connections(Form::Pieces, FEW_FDS)]
fn hostile_connections_to_an_entry(#[case] form: Form, #[case] max_fds: u64) {
    let _turn = turn();
    let mut site = start(max_fds);
    let watch = Watch::start(site.entries[0].id(), site.callers(0));
    let crowd = Crowd::open(site.callers(0), form, FIELDS);
    let status = ask(&site, &completion("notes", "hello", 1, false));
    watch.finish(max_fds);
    assert_eq!(status, 200, "{}", site.entries[0].log());
    assert!(site.entries[0].ended().is_none());
    drop(crowd);
}

/// Guards against limits that refuse a request within the limit on bodies when nothing else is going on.
#[test]
fn the_largest_request_to_an_entry_is_read_in_calm() {
    let _turn = turn();
    let site = start(MANY_FDS);
    let mut body = completion("notes", "hello", 1, false);
    body.push_str(&" ".repeat(MAX_BODY - body.len()));
    assert_eq!(ask(&site, &body), 200, "{}", site.entries[0].log());
}
