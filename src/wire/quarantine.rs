//! Codec of the reports on requests that crash servers. Times are sent as ages, since instances have
//! no common clock.

use super::generated_gossip as wire;
use crate::common::*;
use crate::decide::quarantine::{Crash, Entry, Parts, Report};
use crate::world::message::PartId;
use crate::world::unit::Incarnation;

fn age_ms(now: Duration, at: Duration) -> u64 {
    u64::try_from(now.saturating_sub(at).as_millis()).unwrap_or(u64::MAX)
}

fn time_of(now: Duration, age_ms: u64) -> Duration {
    now.saturating_sub(Duration::from_millis(age_ms))
}

fn encode_parts(parts: &Parts) -> wire::Parts {
    wire::Parts {
        ids: parts.iter().map(|part| part.0).collect(),
    }
}

fn decode_parts(parts: &wire::Parts) -> Parts {
    parts.ids.iter().copied().map(PartId).collect()
}

/// Encodes a report.
#[must_use]
pub fn encode(now: Duration, report: &Report) -> wire::Quarantine {
    let crashes = report.crashes.iter();
    let crashes = crashes.map(|((worker, boot), crash)| wire::CrashedServer {
        worker: worker.to_string(),
        boot: boot.0,
        age_ms: age_ms(now, crash.at),
        prompts: crash.prompts.iter().map(encode_parts).collect(),
    });
    let cleared = report.cleared.iter();
    let cleared = cleared.map(|(part, until)| wire::ClearedPart {
        id: part.0,
        age_ms: age_ms(now, *until),
    });
    let entries = report.entries.iter();
    let entries = entries.map(|(parts, entry)| wire::QuarantinedParts {
        parts: Some(encode_parts(parts)),
        age_ms: age_ms(now, entry.last_crash),
        crashes: entry.crashes,
        failed_trials: entry.failed_trials,
        is_stored: entry.is_stored,
    });
    wire::Quarantine {
        crashes: crashes.collect(),
        cleared: cleared.collect(),
        entries: entries.collect(),
    }
}

/// Decodes a report; crashes of servers whose names are invalid are left out.
#[must_use]
pub fn decode(now: Duration, report: &wire::Quarantine) -> Report {
    let crashes = report.crashes.iter().filter_map(|crashed| {
        let worker = crashed.worker.parse().ok()?;
        let crash = Crash {
            at: time_of(now, crashed.age_ms),
            prompts: crashed.prompts.iter().map(decode_parts).collect(),
        };
        Some(((worker, Incarnation(crashed.boot)), crash))
    });
    let cleared = report.cleared.iter();
    let cleared = cleared.map(|it| (PartId(it.id), time_of(now, it.age_ms)));
    let entries = report.entries.iter().filter_map(|it| {
        let entry = Entry {
            last_crash: time_of(now, it.age_ms),
            crashes: it.crashes,
            failed_trials: it.failed_trials,
            is_stored: it.is_stored,
        };
        Some((decode_parts(it.parts.as_ref()?), entry))
    });
    Report {
        crashes: crashes.collect(),
        cleared: cleared.collect(),
        entries: entries.collect(),
    }
}
