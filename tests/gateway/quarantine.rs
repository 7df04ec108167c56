//! Quarantine of prompt parts that crash servers.

use super::build::{ms, worker};
use poplarseam::decide::quarantine::{Parts, Process, Quarantine, Write};
use poplarseam::world::message::PartId;
use poplarseam::world::unit::Incarnation;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use std::collections::BTreeMap;
use std::time::Duration;

const COMMON: PartId = PartId(1);
const DEADLY: PartId = PartId(0xdead);
const SIBLING: PartId = PartId(2);
const OTHER: PartId = PartId(3);
const AFTER_CRASHES: u64 = 10_000;
const MINUTE: u64 = 60_000;

fn process(name: &str) -> Process {
    (worker(name), Incarnation(1))
}

fn parts(ids: &[PartId]) -> Parts {
    ids.iter().copied().collect()
}

/// A server ends while it works on these prompts, none of which it has begun to answer.
fn crash(quarantine: &mut Quarantine, at: u64, name: &str, prompts: &[&[PartId]]) {
    for prompt in prompts {
        quarantine.on_connection_broken(ms(at), prompt, &process(name), None);
    }
    quarantine.on_server_ended(ms(at + 50), &worker(name));
}

/// Servers end two seconds apart, each while it works on the prompt.
fn after_crashes(count: u64, prompt: &[PartId]) -> Quarantine {
    let mut quarantine = Quarantine::new(0);
    for number in 0..count {
        let at = 2_000 * number;
        crash(&mut quarantine, at, &format!("w{number}"), &[prompt]);
    }
    quarantine
}

fn is_refused(quarantine: &Quarantine, prompt: &[PartId]) -> bool {
    quarantine.is_refused(ms(AFTER_CRASHES), prompt)
}

#[test]
fn a_part_is_quarantined_after_three_crashes() {
    let prompt: &[PartId] = &[COMMON, DEADLY];
    assert!(!is_refused(&after_crashes(2, prompt), prompt));
    assert!(is_refused(&after_crashes(3, prompt), prompt));
}

/// Guards against a server that counts as often as requests on it broke off.
#[test]
fn an_incarnation_of_a_server_crashes_once() {
    let mut quarantine = after_crashes(2, &[DEADLY]);
    crash(&mut quarantine, 6_000, "w1", &[&[DEADLY]]);
    assert!(!is_refused(&quarantine, &[DEADLY]));
}

/// Many requests run on servers that crash one after the other, and are then sent again. A request
/// that succeeds after a crash did not cause the crashes.
#[test]
fn an_answer_refutes_the_crashes_before_it() {
    let mut quarantine = after_crashes(2, &[DEADLY]);
    quarantine.on_answered(ms(3_000), &[DEADLY]);
    crash(&mut quarantine, 4_000, "x", &[&[DEADLY]]);
    assert!(!is_refused(&quarantine, &[DEADLY]));
}

#[test]
fn evidence_expires() {
    let hour = 60 * MINUTE;
    let mut quarantine = after_crashes(2, &[DEADLY]);
    crash(&mut quarantine, hour + 2_001, "x", &[&[DEADLY]]);
    assert!(!quarantine.is_refused(ms(hour + 3_000), &[DEADLY]));
    crash(&mut quarantine, hour + 4_000, "y", &[&[DEADLY]]);
    crash(&mut quarantine, hour + 6_000, "z", &[&[DEADLY]]);
    assert!(quarantine.is_refused(ms(hour + 7_000), &[DEADLY]));
}

/// Guards against a quarantine of popular parts because all servers ended at once.
#[test]
fn simultaneous_crashes_count_once() {
    let mut quarantine = Quarantine::new(0);
    for name in ["a", "b", "c", "d"] {
        crash(&mut quarantine, 0, name, &[&[COMMON]]);
    }
    assert!(!is_refused(&quarantine, &[COMMON]));
}

/// Guards against network faults that count as crashes.
#[test]
fn a_broken_connection_to_a_surviving_server_does_not_count() {
    let mut quarantine = Quarantine::new(0);
    for (number, name) in ["a", "b", "c"].iter().enumerate() {
        let at = 7_000 * number as u64;
        quarantine.on_connection_broken(ms(at), &[DEADLY], &process(name), None);
        quarantine.on_server_ended(ms(at + 6_000), &worker(name));
    }
    assert!(!quarantine.is_refused(ms(21_000), &[DEADLY]));
}

/// Guards against suspicion of prompts that a server had been answering for long when it ended.
#[rstest]
#[case(Some(1_900), true)]
#[case(Some(500), false)]
#[case(None, true)]
fn only_answers_that_hardly_began_are_suspects(
    #[case] first_event: Option<u64>,
    #[case] expected: bool,
) {
    let mut quarantine = Quarantine::new(0);
    for (number, name) in ["a", "b", "c"].iter().enumerate() {
        let at = 2_000 + 2_000 * number as u64;
        let first_event = first_event.map(|first_event| ms(at - 2_000 + first_event));
        quarantine.on_connection_broken(ms(at), &[DEADLY], &process(name), first_event);
        quarantine.on_server_ended(ms(at), &worker(name));
    }
    assert_eq!(is_refused(&quarantine, &[DEADLY]), expected);
}

/// Guards against the refusal of sound prompts that share all but one part with deadly ones.
#[test]
fn an_answer_clears_the_parts_that_were_beside_the_deadly_one() {
    let mut quarantine = after_crashes(3, &[COMMON, SIBLING, DEADLY]);
    assert!(!is_refused(&quarantine, &[COMMON, SIBLING]));
    quarantine.on_answered(ms(AFTER_CRASHES), &[COMMON]);
    quarantine.on_answered(ms(AFTER_CRASHES), &[SIBLING]);
    let entries: Vec<Parts> = quarantine.entries().map(|(parts, _)| parts).collect();
    assert_eq!(entries, [parts(&[DEADLY])]);
    assert!(is_refused(&quarantine, &[OTHER, DEADLY]));
    assert!(!is_refused(&quarantine, &[COMMON, SIBLING, OTHER]));
}

/// Guards against a deadly part that is refused only beside the parts that it was first seen with.
#[test]
fn crashes_beside_other_parts_separate_the_deadly_one() {
    let mut quarantine = after_crashes(3, &[SIBLING, DEADLY]);
    crash(&mut quarantine, 7_000, "x", &[&[OTHER, DEADLY]]);
    crash(&mut quarantine, 9_000, "y", &[&[OTHER, DEADLY]]);
    assert!(is_refused(&quarantine, &[DEADLY]));
    assert!(!is_refused(&quarantine, &[SIBLING]));
}

/// Guards against innocent parts that happened to be on the same servers as a deadly one.
#[test]
fn a_part_with_more_crashes_explains_those_of_parts_beside_it() {
    let mut quarantine = Quarantine::new(0);
    for (number, name) in ["a", "b", "c", "d", "e", "f"].iter().enumerate() {
        let innocent: &[PartId] = if number < 3 { &[OTHER] } else { &[] };
        let at = 2_000 * number as u64;
        crash(&mut quarantine, at, name, &[&[COMMON, DEADLY], innocent]);
    }
    assert!(is_refused(&quarantine, &[COMMON, DEADLY]));
    assert!(!is_refused(&quarantine, &[OTHER]));
}

/// Guards against an innocent part that stays in quarantine after the cause has become known: the
/// reports on the innocent part arrived first.
#[test]
fn a_part_is_released_when_another_one_explains_its_crashes() {
    let mut quarantine = after_crashes(3, &[OTHER]);
    assert!(is_refused(&quarantine, &[OTHER]));
    let mut peer = Quarantine::new(1);
    for number in 0..6 {
        crash(
            &mut peer,
            2_000 * number,
            &format!("w{number}"),
            &[&[DEADLY]],
        );
    }
    quarantine.merge(ms(AFTER_CRASHES), &peer.take_news());
    assert!(is_refused(&quarantine, &[DEADLY]));
    assert!(!is_refused(&quarantine, &[OTHER]));
}

/// Guards against the quarantine of popular parts when all servers of a service end one after the
/// other, so that no prompt is answered in between.
#[test]
fn a_service_that_fails_as_a_whole_accuses_nobody() {
    let mut quarantine = Quarantine::new(0);
    for number in 0..8 {
        let prompts: &[&[PartId]] = match number {
            0..5 => &[&[COMMON], &[OTHER, SIBLING]],
            _ => &[&[COMMON]],
        };
        crash(
            &mut quarantine,
            500 * number,
            &format!("w{number}"),
            prompts,
        );
    }
    assert_eq!(quarantine.entries().count(), 0);
}

/// Guards against one deadly part that hides another.
#[test]
fn two_deadly_parts_are_both_quarantined() {
    let first: &[PartId] = &[COMMON, DEADLY];
    let second: &[PartId] = &[COMMON, OTHER];
    let mut quarantine = Quarantine::new(0);
    for (number, name) in ["a", "b", "c", "d", "e", "f"].iter().enumerate() {
        let prompt = if number % 2 == 0 { first } else { second };
        crash(&mut quarantine, 1_000 * number as u64, name, &[prompt]);
        quarantine.on_answered(ms(1_000 * number as u64 + 500), &[COMMON]);
    }
    assert!(is_refused(&quarantine, first));
    assert!(is_refused(&quarantine, second));
    assert!(!is_refused(&quarantine, &[COMMON]));
}

/// Guards against sound parts that stay in quarantine although servers answer them.
#[test]
fn an_answer_ends_a_quarantine_and_removes_its_row() {
    let mut quarantine = after_crashes(3, &[DEADLY]);
    quarantine.on_written(&Write::Insert(parts(&[DEADLY]), 3));
    quarantine.on_answered(ms(AFTER_CRASHES), &[DEADLY]);
    assert!(!is_refused(&quarantine, &[DEADLY]));
    let writes = quarantine.take_writes(ms(AFTER_CRASHES + 2_000));
    assert_eq!(writes, [Write::Remove(parts(&[DEADLY]))]);
}

/// Guards against a quarantine that never ends, and against one whose end crashes many servers.
#[test]
fn a_lapsed_quarantine_lets_single_prompts_through() {
    let prompt: &[PartId] = &[DEADLY];
    let mut quarantine = after_crashes(3, prompt);
    let lapsed = 2 * MINUTE + 4_001;
    assert!(quarantine.is_refused(ms(MINUTE), prompt));
    assert!(!quarantine.is_refused(ms(lapsed), prompt));
    quarantine.on_sent(ms(lapsed), prompt);
    assert!(quarantine.is_refused(ms(lapsed + 1), prompt));
    crash(&mut quarantine, lapsed + 100, "x", &[prompt]);
    assert!(quarantine.is_refused(ms(lapsed + 4 * MINUTE), prompt));
    assert!(!quarantine.is_refused(ms(lapsed + 8 * MINUTE + 101), prompt));
}

/// Guards against instances that all try a lapsed part at the same moment.
#[test]
fn instances_try_a_lapsed_part_at_different_times() {
    let lapsed_at = |seed: u64| {
        let mut quarantine = Quarantine::new(seed);
        quarantine.merge(ms(5_000), &after_crashes(3, &[DEADLY]).summary());
        let mut times = (0..130_000).step_by(100);
        times.find(|at| !quarantine.is_refused(ms(*at), &[DEADLY]))
    };
    let mut times: Vec<u64> = (0..8).filter_map(lapsed_at).collect();
    times.sort_unstable();
    assert_eq!(times.len(), 8);
    assert!(times[1] - times[0] > 1_000, "{times:?}");
}

/// Guards against news that arrive in another order, twice, or after the success that refutes them.
#[test]
fn reports_may_arrive_in_any_order_and_twice() {
    let mut sources: Vec<Quarantine> = (0..4).map(Quarantine::new).collect();
    let mut reports = Vec::new();
    for number in 0..12 {
        let source = &mut sources[number % 4];
        let at = 500 * number as u64;
        crash(
            source,
            at,
            &format!("w{number}"),
            &[&[COMMON, DEADLY], &[OTHER]],
        );
        source.on_answered(ms(at + 200), &[COMMON]);
        source.on_answered(ms(at + 200), &[OTHER]);
        reports.push(source.take_news());
    }
    let digests = (0..reports.len()).map(|turn| {
        let mut quarantine = Quarantine::new(9);
        reports.rotate_left(turn);
        for report in reports.iter().chain(reports.iter().rev()) {
            quarantine.merge(ms(AFTER_CRASHES), report);
        }
        let entries: Vec<Parts> = quarantine.entries().map(|(parts, _)| parts).collect();
        assert_eq!(entries, [parts(&[DEADLY])]);
        quarantine.digest()
    });
    let digests: Vec<u64> = digests.collect();
    assert!(digests.iter().all(|digest| *digest == digests[0]));
}

/// Guards against an instance that was cut off while a part was cleared, and brings it back.
#[test]
fn a_cleared_part_is_not_brought_back_by_a_peer_that_missed_the_answer() {
    let mut quarantine = after_crashes(3, &[DEADLY]);
    let mut peer = Quarantine::new(1);
    peer.merge(ms(5_000), &quarantine.summary());
    quarantine.on_answered(ms(6_000), &[DEADLY]);
    quarantine.merge(ms(7_000), &peer.summary());
    assert!(!is_refused(&quarantine, &[DEADLY]));
    peer.merge(ms(7_000), &quarantine.summary());
    assert!(!is_refused(&peer, &[DEADLY]));
}

/// Guards against a peer's report of a crash that arrives before this instance notices it.
#[test]
fn a_crash_that_a_peer_reports_confirms_own_suspicions() {
    let mut peer = Quarantine::new(1);
    let mut quarantine = Quarantine::new(2);
    for (number, name) in ["a", "b", "c"].iter().enumerate() {
        let at = 1_000 * number as u64;
        quarantine.on_connection_broken(ms(at), &[DEADLY], &process(name), None);
        crash(&mut peer, at, name, &[&[OTHER]]);
        peer.on_answered(ms(at + 100), &[OTHER]);
        quarantine.merge(ms(at + 200), &peer.take_news());
    }
    assert!(is_refused(&quarantine, &[DEADLY]));
    assert!(!is_refused(&quarantine, &[OTHER]));
}

#[test]
fn rows_of_the_store_are_in_force_after_a_restart() {
    let mut quarantine = Quarantine::new(0);
    let rows = BTreeMap::from([(parts(&[DEADLY]), 3)]);
    quarantine.on_rows(ms(100), &rows);
    assert!(quarantine.is_refused(ms(200), &[COMMON, DEADLY]));
    assert_eq!(quarantine.take_writes(ms(MINUTE)), []);
}

/// Guards against a store that returns without rows which it had acknowledged.
#[test]
fn rows_that_the_store_has_lost_are_written_again() {
    let mut quarantine = after_crashes(3, &[DEADLY]);
    quarantine.on_written(&Write::Insert(parts(&[DEADLY]), 3));
    assert_eq!(quarantine.take_writes(ms(AFTER_CRASHES)), []);
    quarantine.on_rows(ms(AFTER_CRASHES), &BTreeMap::new());
    let writes = quarantine.take_writes(ms(AFTER_CRASHES + 2_000));
    assert_eq!(writes, [Write::Insert(parts(&[DEADLY]), 3)]);
}

/// Guards against a herd of writes when all instances learn of a part at the same moment.
#[test]
fn few_of_many_instances_write_the_same_row() {
    let cause = after_crashes(3, &[DEADLY]).summary();
    let mut instances: Vec<Quarantine> = (0..295).map(Quarantine::new).collect();
    for instance in &mut instances {
        instance.merge(ms(5_000), &cause);
    }
    let mut write_count = 0;
    for at in (5_000..8_000).step_by(10) {
        let mut reports = Vec::new();
        for instance in &mut instances {
            for write in instance.take_writes(ms(at)) {
                write_count += 1;
                instance.on_written(&write);
                reports.push(instance.take_news());
            }
        }
        for instance in &mut instances {
            for report in &reports {
                instance.merge(ms(at), report);
            }
        }
    }
    assert!((1..=5).contains(&write_count), "{write_count} writes");
}

/// Guards against memory that grows with the parts that callers invent, and against a deadly part
/// that they hide.
#[test]
fn invented_parts_neither_fill_memory_nor_hide_a_deadly_part() {
    let mut quarantine = Quarantine::new(0);
    let mut invented = 1_000_u64;
    for number in 0..300_u64 {
        let at = number * 1_000;
        let name = format!("w{number}");
        for _ in 0..100 {
            let prompt: Vec<PartId> = (0..16).map(|part| PartId(invented + part)).collect();
            invented += 16;
            quarantine.on_connection_broken(ms(at), &prompt, &process(&name), None);
        }
        let deadly: &[PartId] = if number % 20 == 0 { &[DEADLY] } else { &[] };
        crash(&mut quarantine, at, &name, &[deadly]);
    }
    let summary = quarantine.summary();
    assert!(quarantine.is_refused(ms(300_000), &[DEADLY]));
    assert_eq!(summary.entries.len(), 1);
    assert!(summary.cleared.is_empty());
}

/// What a simulated day gave.
#[derive(Debug, Default)]
struct Outcome {
    deadly_crashes: u32,
    /// Sends of deadly prompts later than the stable window after the fifth crash.
    late_deadly_sends: u32,
    sound: u32,
    sound_refused: u32,
}

/// Requests in the load of a simulated day.
#[derive(Clone, Copy)]
struct Load {
    instances: u64,
    servers: u64,
    sound_per_s: f64,
    deadly_per_s: f64,
    /// Server crashes with another cause.
    unrelated_per_s: f64,
    /// Whether prompts are refused by the quarantine.
    is_guarded: bool,
}

/// Crashes after which, and sends with which, the platform counts a breach; and the time between.
const FREE_CRASHES: u32 = 5;
const FREE_SENDS: u32 = 3;
const STABLE_WINDOW: u64 = 4_000;
/// Largest share of sound requests that may be refused.
const MAX_REFUSED_SHARE: f64 = 0.002;

const STEP: u64 = 10;
/// Time for which a server is down, an answer takes, and until a crash is noticed or news arrive.
const DOWN: u64 = 4_000;
const ANSWER: u64 = 300;
const DETECTION: u64 = 100;
const DAY: u64 = 60_000;

/// Plays a day of requests to servers that crash as they begin an answer on a deadly part.
fn play(load: &Load, seed: u64) -> Outcome {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut instances: Vec<Quarantine> = (0..load.instances).map(Quarantine::new).collect();
    let mut down_until = vec![0; usize::try_from(load.servers).unwrap()];
    let mut running: Vec<(u64, usize, usize, Vec<PartId>)> = Vec::new();
    let mut outcome = Outcome::default();
    let mut ends = Vec::new();
    let mut fifth_crash = None;
    let per_step = |rate: f64, random: &mut SmallRng| {
        let mut expected = rate * Duration::from_millis(STEP).as_secs_f64();
        let mut count = 0_u32;
        while expected > 0.0 {
            count += u32::from(random.random::<f64>() < expected);
            expected -= 1.0;
        }
        count
    };
    for now in (0..DAY).step_by(usize::try_from(STEP).unwrap()) {
        let sound = per_step(load.sound_per_s, &mut random);
        let deadly = per_step(load.deadly_per_s, &mut random);
        for number in 0..sound + deadly {
            let is_deadly = number >= sound;
            let sibling = PartId(10 + random.random_range(0..20));
            let mut prompt = vec![COMMON, sibling];
            if is_deadly {
                prompt.push(DEADLY);
            }
            let instance = random.random_range(0..instances.len());
            let is_refused = load.is_guarded && instances[instance].is_refused(ms(now), &prompt);
            outcome.sound += u32::from(!is_deadly);
            outcome.sound_refused += u32::from(!is_deadly && is_refused);
            let up: Vec<usize> = (0..down_until.len())
                .filter(|it| down_until[*it] <= now)
                .collect();
            let Some(server) =
                (!is_refused && !up.is_empty()).then(|| up[random.random_range(0..up.len())])
            else {
                continue;
            };
            let is_late = fifth_crash.is_some_and(|at| now > at + STABLE_WINDOW);
            outcome.late_deadly_sends += u32::from(is_deadly && is_late);
            let ends_at = now + if is_deadly { ANSWER / 3 } else { ANSWER };
            running.push((ends_at, server, instance, prompt));
        }
        let mut crashed: Vec<usize> = running
            .iter()
            .filter(|run| run.0 <= now && run.3.contains(&DEADLY))
            .map(|run| run.1)
            .collect();
        for _ in 0..per_step(load.unrelated_per_s, &mut random) {
            crashed.push(random.random_range(0..down_until.len()));
        }
        for server in crashed {
            if down_until[server] > now {
                continue;
            }
            down_until[server] = now + DOWN;
            let is_deadly = |run: &(u64, usize, usize, Vec<PartId>)| {
                run.0 <= now && run.1 == server && run.3.contains(&DEADLY)
            };
            outcome.deadly_crashes += u32::from(running.iter().any(is_deadly));
            if outcome.deadly_crashes == FREE_CRASHES {
                fifth_crash.get_or_insert(now);
            }
            let process = (worker(&format!("w{server}")), Incarnation(now));
            let (broken, rest) = running.drain(..).partition(|run| run.1 == server);
            running = rest;
            let broken: Vec<_> = broken;
            for (_, _, instance, prompt) in broken {
                instances[instance].on_connection_broken(ms(now), &prompt, &process, None);
            }
            ends.push((now + DETECTION, process.0));
        }
        for (at, worker) in &ends {
            if *at == now {
                for instance in &mut instances {
                    instance.on_server_ended(ms(now), worker);
                }
            }
        }
        let (ended, rest) = running.drain(..).partition(|run| run.0 <= now);
        running = rest;
        let ended: Vec<_> = ended;
        for (_, _, instance, prompt) in ended {
            instances[instance].on_answered(ms(now), &prompt);
        }
        let news: Vec<_> = instances.iter_mut().map(Quarantine::take_news).collect();
        for report in news.iter().filter(|report| !report.is_empty()) {
            for instance in &mut instances {
                instance.merge(ms(now), report);
            }
        }
    }
    outcome
}

/// Load pattern: a steady load on a service, a twentieth of it (or a rare few) with a deadly part,
/// beside servers that crash for other reasons.
#[rstest]
#[case::usual(8, 12, 50.0, 2.5, 0.0)]
#[case::many_deadly(8, 12, 50.0, 15.0, 0.0)]
#[case::rare(8, 12, 50.0, 0.2, 0.0)]
#[case::other_crashes(8, 12, 50.0, 1.0, 0.3)]
#[case::other_crashes_only(8, 12, 50.0, 0.0, 0.5)]
#[case::large(40, 60, 300.0, 10.0, 0.2)]
fn deadly_requests_end_and_sound_ones_are_served(
    #[case] instances: u64,
    #[case] servers: u64,
    #[case] sound_per_s: f64,
    #[case] deadly_per_s: f64,
    #[case] unrelated_per_s: f64,
) {
    let load = Load {
        instances,
        servers,
        sound_per_s,
        deadly_per_s,
        unrelated_per_s,
        is_guarded: true,
    };
    for seed in 0..5 {
        let outcome = play(&load, seed);
        assert!(
            outcome.late_deadly_sends <= FREE_SENDS,
            "seed {seed}: {outcome:?}"
        );
        let refused_share = f64::from(outcome.sound_refused) / f64::from(outcome.sound);
        assert!(
            refused_share <= MAX_REFUSED_SHARE,
            "seed {seed}: {outcome:?}"
        );
    }
}

/// Shows that the load of the test above breaks the bound without the quarantine.
#[test]
fn deadly_requests_go_on_without_quarantine() {
    let load = Load {
        instances: 8,
        servers: 12,
        sound_per_s: 50.0,
        deadly_per_s: 2.5,
        unrelated_per_s: 0.0,
        is_guarded: false,
    };
    let outcome = play(&load, 0);
    assert!(outcome.late_deadly_sends > FREE_SENDS, "{outcome:?}");
}
