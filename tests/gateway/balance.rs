//! Checks which server the load balancer chooses for a request.

use super::build::{
    SERVICE, backend, deployment, generation, holdings, model, ms, site, target, worker,
};
use poplarseam::decide::balance::{Balancer, Choice, Need, Workload};
use poplarseam::world::backend::Backend;
use std::collections::BTreeMap;

fn need(text: &str) -> Need {
    Need {
        service: SERVICE.parse().unwrap(),
        generation: Some(generation(text, 2_000)),
        draw: 7,
    }
}

fn balance(backends: Vec<Backend>) -> Balancer {
    let mut balance = Balancer::new(&deployment("north-1"));
    balance.on_site(&site());
    for backend in backends {
        balance.on_listed(backend);
    }
    balance
}

fn chosen(balance: &Balancer, text: &str) -> String {
    match balance.choose(ms(100), &need(text), |_| true) {
        Choice::Send(worker, _) => worker.to_string(),
        other => format!("{other:?}"),
    }
}

#[test]
fn own_requests_count_immediately() {
    let mut balance = balance(vec![
        backend("a", "north-1", "m1"),
        backend("b", "north-1", "m1"),
    ]);
    let first = chosen(&balance, "m1");
    balance.on_sent(ms(0), &worker(&first), &need("m1"));
    assert_ne!(chosen(&balance, "m1"), first);
}

#[test]
fn peer_workload_counts_until_its_report_expires() {
    let mut balance = balance(vec![
        backend("a", "north-1", "m1"),
        backend("b", "north-2", "m1"),
    ]);
    let running = Workload {
        requests: 4,
        reading_us: 400_000,
        kept: 8_000,
        recent: 0,
    };
    let loads = BTreeMap::from([(worker("a"), running)]);
    balance.on_peer(ms(0), &"two".parse().unwrap(), &loads);
    assert_eq!(chosen(&balance, "m1"), "b");
    let later = balance.choose(ms(5_000), &need("m1"), |_| true);
    assert!(matches!(later, Choice::Send(id, _) if id == worker("a")));
}

#[test]
fn the_paid_link_is_used_only_when_it_saves_enough_time() {
    let mut balance = balance(vec![
        backend("near", "north-2", "m1"),
        backend("far", "south-1", "m1"),
    ]);
    assert_eq!(chosen(&balance, "m1"), "near");
    for _ in 0..4 {
        balance.on_sent(ms(0), &worker("near"), &need("m1"));
    }
    assert_eq!(chosen(&balance, "m1"), "far");
}

#[test]
fn a_missing_model_and_a_missing_adapter_give_different_choices() {
    let balance = balance(vec![backend("a", "north-1", "m1/a1")]);
    assert_eq!(chosen(&balance, "m1/a1"), "a");
    assert_eq!(chosen(&balance, "m1/a2"), "NoAdapter");
    assert_eq!(chosen(&balance, "m2"), "NoModel");
}

#[test]
fn a_leaving_server_gets_no_requests() {
    let mut balance = balance(vec![backend("a", "north-1", "m1")]);
    let mut leaving = backend("a", "north-1", "m1");
    leaving.leaving = true;
    balance.on_listed(leaving);
    balance.on_listed(backend("a", "north-1", "m1"));
    assert_eq!(chosen(&balance, "m1"), "NoServer");
}

#[test]
fn a_model_about_to_be_unloaded_gets_no_requests() {
    let mut balance = balance(vec![backend("a", "north-1", "m1")]);
    let closing = [super::build::model("m1")].into();
    balance.on_holdings(&worker("a"), holdings("m1"), closing);
    assert_eq!(chosen(&balance, "m1"), "NoModel");
}

#[test]
fn an_unreachable_server_is_avoided_during_its_backoff() {
    let mut balance = balance(vec![
        backend("a", "north-1", "m1"),
        backend("b", "south-1", "m1"),
    ]);
    balance.on_unreachable(ms(100), &worker("a"));
    assert_eq!(chosen(&balance, "m1"), "b");
    let later = balance.choose(ms(2_000), &need("m1"), |_| true);
    assert!(matches!(later, Choice::Send(id, _) if id == worker("a")));
}

#[test]
fn the_only_server_is_used_even_during_its_backoff() {
    let mut balance = balance(vec![backend("a", "north-1", "m1")]);
    balance.on_unreachable(ms(100), &worker("a"));
    assert_eq!(chosen(&balance, "m1"), "a");
}

#[test]
fn a_slow_server_is_avoided() {
    let mut balance = balance(vec![
        backend("a", "north-1", "m1"),
        backend("b", "north-2", "m1"),
    ]);
    for _ in 0..50 {
        balance.on_served(&worker("a"), Some(&model("m1")), 0.1, ms(400));
        balance.on_served(&worker("b"), Some(&model("m1")), 0.1, ms(100));
    }
    assert_eq!(chosen(&balance, "m1"), "b");
}

#[test]
fn a_restarted_server_starts_without_workload_or_models() {
    let mut balance = balance(vec![backend("a", "north-1", "m1")]);
    balance.on_sent(ms(0), &worker("a"), &need("m1"));
    let mut restarted = backend("a", "north-1", "");
    restarted.boot.0 += 1;
    balance.on_listed(restarted);
    assert_eq!(balance.own_workload(ms(0)), BTreeMap::new());
    assert_eq!(chosen(&balance, "m1"), "NoModel");
}

#[test]
fn a_missing_adapter_is_loaded_on_a_worker_with_a_free_adapter_place() {
    let balance = balance(vec![
        backend("a", "north-1", "m1/a1 m1/a2"),
        backend("b", "north-2", "m1"),
    ]);
    let chosen_worker = balance.choose_adapter_worker(ms(0), &need("m1/a3"), |_| true);
    assert_eq!(chosen_worker, Some(worker("b")));
    let chosen_worker =
        balance.choose_adapter_worker(ms(0), &need("m1/a3"), |id| *id == worker("a"));
    assert_eq!(chosen_worker, Some(worker("a")));
    let _ = target("m1/a3");
}

/// Guards against counting the requests of an instance twice, once by itself and once in the
/// aggregate of its data centre.
#[test]
fn a_peer_workload_can_be_subtracted_from_an_aggregate() {
    let mut balance = balance(vec![backend("a", "north-1", "m1")]);
    let running = |requests| Workload {
        requests,
        reading_us: u64::from(requests) * 1_000,
        kept: u64::from(requests) * 100,
        recent: 0,
    };
    for (peer, requests) in [("two", 3), ("three", 4)] {
        let loads = BTreeMap::from([(worker("a"), running(requests))]);
        balance.on_peer(ms(0), &peer.parse().unwrap(), &loads);
    }
    let sum = balance.data_centre_workload(ms(0))[&worker("a")];
    let part = balance.peer_workload(&"two".parse().unwrap())[&worker("a")];
    assert_eq!(sum, running(7));
    assert_eq!(sum.minus(part), running(4));
    assert_eq!(part.minus(sum), running(0));
}
