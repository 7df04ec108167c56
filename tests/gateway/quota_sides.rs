//! The grantor and the requester of units, each alone.

use super::build::ms;
use super::quota_world::{SLACK, WORKSPACE};
use poplarseam::decide::quota::grantor::{Grantor, Sender};
use poplarseam::decide::quota::requester::{Claim, Refusal, Requester, Taken};
use poplarseam::decide::quota::{Answer, Ask, Return, Tenure, Terms, expiry};
use poplarseam::world::deployment::QuotaSlack;
use poplarseam::world::shard::Shard;
use poplarseam::world::unit::{Fence, Incarnation, Rate, Tokens};
use poplarseam::world::workspace::{Quota, Unit};
use std::time::Duration;

const MAX_WAIT: Duration = Duration::from_millis(60);

fn quota(rate: f64) -> Quota {
    Quota {
        rate: Rate(rate),
        burst: rate,
        unit: Unit::Tokens { plain: Tokens(500) },
    }
}

fn tenure(fence: u64, from: u64, until: u64) -> Tenure {
    Tenure {
        shard: Shard::of_name(WORKSPACE),
        fence: Fence(fence),
        from: ms(from),
        until: ms(until),
    }
}

fn grantor(rate: f64, until: u64) -> Grantor {
    let mut grantor = Grantor::new(Some(SLACK));
    grantor.on_quotas(ms(0), [(WORKSPACE.into(), quota(rate))].into());
    grantor.on_tenures(ms(0), vec![tenure(1, 0, until)]);
    grantor
}

fn sender(incarnation: u64) -> Sender {
    Sender {
        instance: "one".parse().unwrap(),
        incarnation: Incarnation(incarnation),
    }
}

fn ask(number: u64, needs: &[u64]) -> Ask {
    Ask {
        workspace: WORKSPACE.into(),
        number,
        needs: needs.to_vec(),
        ahead: 0,
    }
}

fn granted(grantor: &mut Grantor, at: u64, number: u64, needs: &[u64]) -> Option<u64> {
    let answer = grantor.on_ask(ms(at), &sender(1), &ask(number, needs));
    answer.map(|answer| answer.units)
}

/// Guards against a new grantor that grants again what the earlier one granted.
#[test]
fn a_new_grantor_begins_at_the_lowest_level() {
    let mut grantor = grantor(1_000.0, 60_000);
    assert_eq!(granted(&mut grantor, 0, 1, &[1]), Some(0));
    assert_eq!(granted(&mut grantor, 500, 2, &[501]), Some(0));
    assert_eq!(granted(&mut grantor, 500, 3, &[500]), Some(500));
}

/// Guards against grants by a process that may no longer act, or not yet.
#[test]
fn units_are_granted_only_during_a_tenure() {
    let mut grantor = grantor(1_000.0, 2_000);
    assert_eq!(granted(&mut grantor, 1_999, 1, &[1]), Some(1));
    assert_eq!(granted(&mut grantor, 2_000, 2, &[1]), None);
    grantor.on_tenures(ms(2_100), vec![tenure(1, 0, 4_000)]);
    assert_eq!(granted(&mut grantor, 2_100, 2, &[2_000]), Some(2_000));
    grantor.on_tenures(ms(4_000), vec![tenure(2, 5_000, 9_000)]);
    assert_eq!(granted(&mut grantor, 4_999, 3, &[1]), None);
    assert_eq!(granted(&mut grantor, 5_000, 3, &[1]), Some(0));
}

#[test]
fn debt_is_limited_to_half_of_the_extra_units() {
    let mut grantor = grantor(4_200.0, 60_000);
    // The bucket is full: the burst and half of the extra units, above a debt of the other half.
    assert_eq!(granted(&mut grantor, 30_000, 1, &[21_201]), Some(0));
    assert_eq!(granted(&mut grantor, 30_000, 2, &[21_200]), Some(21_200));
    let answer = grantor.on_ask(ms(30_000), &sender(1), &ask(3, &[4_200]));
    let answer = answer.unwrap();
    assert_eq!(answer.unmet, Some((4_200, ms(1_000))));
    assert_eq!(granted(&mut grantor, 30_999, 4, &[4_200]), Some(0));
    assert_eq!(granted(&mut grantor, 31_000, 5, &[4_200]), Some(4_200));
}

/// Guards against a repeated, late or reordered request that is granted twice.
#[test]
fn a_repeated_number_gets_the_same_grant_and_an_older_one_none() {
    let mut grantor = grantor(1_000.0, 60_000);
    assert_eq!(granted(&mut grantor, 2_000, 5, &[1_500]), Some(1_500));
    assert_eq!(granted(&mut grantor, 2_010, 5, &[1_500]), Some(1_500));
    assert_eq!(granted(&mut grantor, 2_020, 4, &[100]), None);
    assert_eq!(granted(&mut grantor, 2_020, 6, &[521]), Some(0));
    assert_eq!(granted(&mut grantor, 2_020, 7, &[520]), Some(520));
    let restarted = grantor.on_ask(ms(2_030), &sender(2), &ask(1, &[10]));
    assert_eq!(restarted.unwrap().units, 10);
    assert_eq!(granted(&mut grantor, 3_000, 8, &[1]), None);
}

fn returned(number: u64, total: u64) -> Return {
    Return {
        workspace: WORKSPACE.into(),
        number,
        total,
    }
}

fn close(left: f64, right: f64) -> bool {
    (left - right).abs() < 0.01
}

/// Guards against returned units that count twice, and against those of other grants.
#[test]
fn a_return_counts_once() {
    let mut grantor = grantor(1_000.0, 60_000);
    granted(&mut grantor, 2_000, 1, &[1_000]);
    let from = sender(1);
    assert!(close(
        grantor.on_return(ms(2_100), &from, &returned(1, 300)),
        300.0
    ));
    assert!(close(
        grantor.on_return(ms(2_100), &from, &returned(1, 300)),
        0.0
    ));
    assert!(close(
        grantor.on_return(ms(2_100), &from, &returned(1, 400)),
        100.0
    ));
    assert!(close(
        grantor.on_return(ms(2_100), &from, &returned(1, 5_000)),
        600.0
    ));
    assert!(close(
        grantor.on_return(ms(2_100), &from, &returned(2, 100)),
        0.0
    ));
    assert!(close(
        grantor.on_return(ms(2_100), &sender(2), &returned(1, 9_000)),
        0.0
    ));
}

/// Guards against a workspace that has its whole burst granted, waits for the refill and returns it,
/// and so has twice its burst.
#[test]
fn units_returned_after_a_refill_do_not_raise_the_level_above_the_capacity() {
    let mut grantor = grantor(50_000.0, 60_000);
    let all = 50_000 + 17_000;
    assert_eq!(granted(&mut grantor, 20_000, 1, &[all]), Some(all));
    assert_eq!(granted(&mut grantor, 20_700, 2, &[35_000]), Some(35_000));
    grantor.on_return(ms(20_700), &sender(1), &returned(1, all));
    // Without the first grant the bucket would be full less the second grant.
    let left = all - 35_000;
    assert_eq!(granted(&mut grantor, 20_700, 3, &[left + 10]), Some(0));
    assert_eq!(
        granted(&mut grantor, 20_700, 4, &[left - 10]),
        Some(left - 10)
    );
}

#[test]
fn a_lowered_quota_cuts_the_level_at_once() {
    let mut grantor = grantor(50_000.0, 60_000);
    assert_eq!(granted(&mut grantor, 20_000, 1, &[1]), Some(1));
    grantor.on_quotas(ms(20_000), [(WORKSPACE.into(), quota(1_000.0))].into());
    assert_eq!(granted(&mut grantor, 20_000, 2, &[18_001]), Some(0));
    assert_eq!(granted(&mut grantor, 20_000, 3, &[18_000]), Some(18_000));
}

/// Guards against a workspace that is refused at first because it was added late, and against one that
/// has its burst again because it was removed and added again.
#[test]
fn a_workspace_is_filled_since_the_tenure_began_and_once() {
    let mut grantor = grantor(4_200.0, 60_000);
    let quotas = [(WORKSPACE.into(), quota(4_200.0))];
    grantor.on_quotas(ms(100), [].into());
    grantor.on_tenures(ms(200), vec![tenure(2, 200, 60_000)]);
    assert_eq!(granted(&mut grantor, 30_000, 1, &[1]), None);
    grantor.on_quotas(ms(30_000), quotas.clone().into());
    assert_eq!(granted(&mut grantor, 30_000, 1, &[21_200]), Some(21_200));
    grantor.on_quotas(ms(30_010), [].into());
    assert_eq!(granted(&mut grantor, 30_010, 2, &[1]), None);
    grantor.on_quotas(ms(30_020), quotas.into());
    assert_eq!(granted(&mut grantor, 30_020, 2, &[85]), Some(0));
}

/// Guards against grants that expire before they arrive where the settings allow for no overage.
#[test]
fn the_shortest_expiry_is_paid_with_extra_units() {
    let slack = QuotaSlack {
        overage: 0.0,
        ..SLACK
    };
    let terms = Terms::new(&quota(10_000.0), Some(&slack));
    assert_eq!(terms.expiry, ms(200));
    assert!(close(terms.capacity + terms.debt, 10_000.0 + 15_000.0));
}

/// Without stated bounds, one request of any size may be in debt.
#[test]
fn without_stated_bounds_a_level_above_zero_covers_one_request() {
    let mut grantor = Grantor::new(None);
    grantor.on_quotas(ms(0), [(WORKSPACE.into(), quota(1_000.0))].into());
    grantor.on_tenures(ms(0), vec![tenure(1, 0, 60_000)]);
    assert_eq!(granted(&mut grantor, 500, 1, &[8_000]), Some(8_000));
    assert_eq!(granted(&mut grantor, 7_999, 2, &[1]), Some(0));
    assert_eq!(granted(&mut grantor, 8_001, 3, &[1]), Some(1));
    assert_eq!(expiry(None), ms(500));
}

/// The extra units, meant for tokens, would cover hours of a small limit on requests.
#[test]
fn a_limit_on_requests_uses_few_of_the_extra_units() {
    let quota = Quota {
        rate: Rate(2.0),
        burst: 5.0,
        unit: Unit::Requests,
    };
    let terms = Terms::new(&quota, Some(&SLACK));
    assert!(close(terms.capacity, 9.0) && close(terms.debt, 4.0));
}

fn requester() -> Requester {
    Requester::new(expiry(Some(&SLACK)))
}

fn claim(requester: &mut Requester, at: u64, units: u64) -> Claim {
    requester.claim(ms(at), &WORKSPACE.into(), units, MAX_WAIT)
}

fn taken(requester: &mut Requester, at: u64, units: u64) -> Taken {
    match claim(requester, at, units) {
        Claim::Taken(taken) => taken,
        other => panic!("{other:?}"),
    }
}

fn answer(number: u64, units: u64, unmet: Option<(u64, Duration)>) -> Answer {
    Answer {
        workspace: WORKSPACE.into(),
        number,
        units,
        unmet,
    }
}

/// Has a claim of 100 units asked for at 0 ms and granted with `units` at 20 ms.
fn granted_requester(units: u64) -> Requester {
    let mut requester = requester();
    assert!(matches!(claim(&mut requester, 0, 100), Claim::Wait(_)));
    let (asks, _) = requester.outgoing(ms(0));
    assert_eq!(asks, [ask(1, &[100])]);
    requester.on_answer(ms(20), &answer(1, units, None));
    let settled = requester.settle(ms(20));
    assert!(matches!(settled[..], [(_, Ok(_))]));
    requester
}

/// Guards against units that are used after their expiry, which counts from the request for them.
#[test]
fn units_are_returned_before_they_expire_and_then_not_used() {
    let mut requester = granted_requester(400);
    taken(&mut requester, 599, 100);
    assert!(matches!(claim(&mut requester, 600, 100), Claim::Wait(_)));
    let (_, returns) = requester.outgoing(ms(600));
    assert_eq!(returns, [returned(1, 200)]);
    assert_eq!(requester.outgoing(ms(601)).1, []);
}

#[test]
fn a_late_or_repeated_grant_is_not_used() {
    let mut requester = granted_requester(100);
    requester.on_answer(ms(30), &answer(1, 100, None));
    assert!(matches!(claim(&mut requester, 30, 100), Claim::Wait(_)));
    requester.outgoing(ms(30));
    requester.on_answer(ms(830), &answer(2, 100, None));
    assert!(!matches!(claim(&mut requester, 831, 100), Claim::Taken(_)));
}

#[test]
fn units_put_back_keep_their_expiry() {
    let mut requester = granted_requester(200);
    let units = taken(&mut requester, 100, 100);
    assert_eq!(units.expires_at, ms(800));
    assert!(requester.put_back(ms(200), units));
    let units = taken(&mut requester, 300, 100);
    assert_eq!(units.expires_at, ms(800));
    assert!(!requester.put_back(ms(800), units));
}

/// Guards against a request for units that is not repeated with its own number when it is lost.
#[test]
fn an_unanswered_request_is_repeated_and_its_claims_refused_in_time() {
    let mut requester = requester();
    claim(&mut requester, 0, 100);
    let asked = requester.outgoing(ms(0)).0;
    assert_eq!(requester.outgoing(ms(31)).0, []);
    assert_eq!(requester.outgoing(ms(32)).0, asked);
    let settled = requester.settle(ms(60));
    assert!(matches!(settled[..], [(_, Err(Refusal::NoGrantor))]));
    let next = claim(&mut requester, 61, 100);
    assert_eq!(next, Claim::Refused(Refusal::NoGrantor));
}

/// Guards against instances that ask again and again for units that are known to be missing.
#[test]
fn no_units_are_asked_for_while_the_bucket_is_known_to_be_empty() {
    let mut requester = requester();
    claim(&mut requester, 0, 100);
    requester.outgoing(ms(0));
    requester.on_answer(ms(20), &answer(1, 0, Some((100, ms(300)))));
    let settled = requester.settle(ms(20));
    assert_eq!(settled[0].1, Err(Refusal::OverQuota(ms(300))));
    let next = claim(&mut requester, 120, 100);
    assert_eq!(next, Claim::Refused(Refusal::OverQuota(ms(200))));
    assert_eq!(requester.outgoing(ms(120)).0, []);
    assert!(matches!(claim(&mut requester, 130, 99), Claim::Wait(_)));
    assert!(matches!(claim(&mut requester, 320, 100), Claim::Wait(_)));
}

/// Busy workspaces ask for half a second ahead; others for each request.
#[test]
fn busy_workspaces_ask_ahead() {
    let mut requester = granted_requester(10_000);
    let quiet = requester.outgoing(ms(100)).0;
    assert_eq!(quiet, []);
    for number in 0..9 {
        taken(&mut requester, 100 + number, 1_000);
    }
    let asks = requester.outgoing(ms(110)).0;
    assert!(
        asks[0].needs.is_empty() && asks[0].ahead > 3_000,
        "{asks:?}"
    );
}
