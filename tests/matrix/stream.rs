//! Answer assembly: the delivered text is always a prefix of the right answer, and complete when
//! the end is reported.
//!
//! Random schedules lose, repeat and mix up lines. The baseline, a reader that passes on every line,
//! fails under them.

use super::schedule;
use super::tally::Tally;
use poplarseam::decide::stream::{Assembly, Step};
use proptest::prelude::*;
use serde_json::json;

const SEED: u8 = 2;
const SCHEDULES: usize = 3000;
const TOKENS: u64 = 12;

/// What happens on the connection to the engine.
#[derive(Debug, Clone)]
enum Event {
    /// The next line arrives.
    NextLine,
    /// The next line is lost; later ones arrive.
    LostLine,
    /// An earlier line arrives again.
    RepeatedLine { offset: u64 },
    /// A line of another request arrives.
    ForeignLine { offset: u64 },
    /// A line arrives that is not JSON.
    MalformedLine,
    /// The engine reports the end before the last token.
    PrematureEnd,
    /// The connection is lost; the reader resumes at its next offset.
    Disconnect,
}

fn event() -> impl Strategy<Value = Event> + Clone {
    prop_oneof![
        12 => Just(Event::NextLine),
        1 => Just(Event::LostLine),
        1 => (0..TOKENS).prop_map(|offset| Event::RepeatedLine { offset }),
        1 => (0..TOKENS).prop_map(|offset| Event::ForeignLine { offset }),
        1 => Just(Event::MalformedLine),
        1 => Just(Event::PrematureEnd),
        1 => Just(Event::Disconnect),
    ]
}

fn line(request: &str, offset: u64) -> String {
    let done = offset == TOKENS;
    json!({"request": request, "offset": offset, "text": format!("{request}{offset}"), "done": done})
        .to_string()
}

fn expected_text(count: u64) -> String {
    let tokens: Vec<String> = (0..count).map(|offset| format!("mine{offset}")).collect();
    tokens.concat()
}

/// Returns the line that arrives for an event and moves the engine's write position.
fn receive_line(event: &Event, position: &mut u64, next_offset: u64) -> Option<String> {
    match event {
        Event::NextLine => {
            *position += 1;
            Some(line("mine", *position - 1)).filter(|_| *position - 1 <= TOKENS)
        }
        Event::LostLine => {
            *position += 1;
            None
        }
        Event::RepeatedLine { offset } => Some(line("mine", *offset)).filter(|_| offset < position),
        Event::ForeignLine { offset } => Some(line("other", *offset)),
        Event::MalformedLine => Some("<html>".into()),
        Event::PrematureEnd if *position < TOKENS => {
            Some(json!({"request": "mine", "offset": TOKENS, "done": true}).to_string())
        }
        Event::PrematureEnd => None,
        Event::Disconnect => {
            *position = next_offset;
            None
        }
    }
}

/// Whether an [`Assembly`] delivers a wrong or incomplete answer under a schedule.
fn assembly_breaks(schedule: &[Event]) -> bool {
    let mut assembly = Assembly::new("mine".into(), 0);
    let mut position = 0;
    let mut text = String::new();
    for event in schedule {
        let Some(line) = receive_line(event, &mut position, assembly.next_offset()) else {
            continue;
        };
        match assembly.on_line(&line) {
            Step::Token { text: token, .. } => text.push_str(&token),
            Step::Skip => {}
            Step::Broken => position = assembly.next_offset(),
            Step::Done => return text != expected_text(TOKENS),
        }
        if text != expected_text(assembly.next_offset()) {
            return true;
        }
    }
    false
}

/// Whether a reader that passes on every line until an end delivers a wrong or incomplete answer.
fn naive_reader_breaks(schedule: &[Event]) -> bool {
    let mut position = 0;
    let mut text = String::new();
    for event in schedule {
        let read_position = position;
        let Some(line) = receive_line(event, &mut position, read_position) else {
            continue;
        };
        let Ok(value) = serde_json::from_str::<serde_json::Value>(&line) else {
            continue;
        };
        if value["done"] == true {
            return text != expected_text(TOKENS);
        }
        text.push_str(value["text"].as_str().unwrap_or(""));
    }
    !expected_text(TOKENS).starts_with(&text)
}

#[test]
fn assembled_answer_is_a_prefix_and_complete_when_done() {
    let mut tally = Tally::default();
    for schedule in schedule::draw(SEED, SCHEDULES, 5..60, &event()) {
        schedule::assert_holds(&schedule, assembly_breaks);
        tally.add(naive_reader_breaks(&schedule), false);
    }
    tally.check("stream");
}

/// Guards against an engine that sends repeated tokens or lines of other requests without end.
#[test]
fn an_engine_that_sends_only_lines_to_skip_is_cut_off() {
    for skipped in [line("r1", 0), line("other", 1)] {
        let mut assembly = Assembly::new("r1".into(), 1);
        let steps = (0..100_000).map(|_| assembly.on_line(&skipped));
        let mut steps = steps.skip_while(|step| *step == Step::Skip);
        assert_eq!(steps.next(), Some(Step::Broken));
    }
}
