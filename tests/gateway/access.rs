//! Decisions about requests by their callers' keys.

use super::build::{ms, site};
use poplarseam::decide::access::{Access, Context, Currency, Doubt};
use poplarseam::wire::key::digest;
use poplarseam::world::site::Site;
use poplarseam::world::workspace::{Workspace, Workspaces};
use rstest::rstest;
use std::time::Duration;

/// Bound on revocation; proofs count for less than 900 ms.
const BOUND: Duration = Duration::from_secs(1);
const CURRENT: Currency = Currency {
    age: Some(Duration::ZERO),
    is_behind: false,
};

fn workspace(name: &str) -> Workspace {
    Workspace {
        name: name.into(),
        priority: None,
        quota: None,
    }
}

/// A configuration with workspaces, given by their names and keys.
fn site_with(workspaces: &[(&str, &[&str])]) -> Site {
    let mut known = Workspaces::default();
    for (name, keys) in workspaces {
        let keys: Vec<String> = keys.iter().map(|key| (*key).into()).collect();
        known.add(workspace(name), &keys);
    }
    Site {
        workspaces: Some(known),
        ..site()
    }
}

fn decide(site: &Site, currency: Currency, bound: Option<Duration>, key: Option<&str>) -> Access {
    let context = Context {
        site,
        currency,
        bound,
    };
    let key = key.map(|key| digest(key.as_bytes()));
    context.decide(false, key.as_deref())
}

/// Name of the workspace that is granted access.
fn granted(access: &Access) -> Option<&str> {
    match access {
        Access::Granted(workspace) => Some(&workspace.name),
        _ => None,
    }
}

fn aged(age: Option<u64>) -> Currency {
    Currency {
        age: age.map(ms),
        is_behind: false,
    }
}

/// Guards against configurations without workspaces, and public routes, that ask for keys or proofs.
#[rstest]
#[case::no_key(None)]
#[case::some_key(Some("k"))]
fn requests_need_no_key_without_workspaces_or_on_public_routes(#[case] key: Option<&str>) {
    let worst = Currency {
        age: None,
        is_behind: true,
    };
    assert_eq!(decide(&site(), worst, Some(BOUND), key), Access::Open);
    let site = site_with(&[("alpha", &["k"])]);
    let context = Context {
        site: &site,
        currency: worst,
        bound: Some(BOUND),
    };
    assert_eq!(context.decide(true, key), Access::Open);
}

#[test]
fn keys_are_granted_to_their_workspaces_and_others_unknown() {
    let site = site_with(&[("alpha", &["k1", "k2"]), ("beta", &["k3"])]);
    let of = |key| decide(&site, CURRENT, None, key);
    assert_eq!(granted(&of(Some("k2"))), Some("alpha"));
    assert_eq!(granted(&of(Some("k3"))), Some("beta"));
    assert_eq!(of(Some("k4")), Access::Unknown);
    assert_eq!(of(Some("K1")), Access::Unknown);
    assert_eq!(of(None), Access::Unknown);
}

/// Guards against a request that goes on after its key was taken away while it waited: the newest
/// configuration decides each time.
#[test]
fn revoked_keys_are_unknown_at_the_next_decision() {
    let before = site_with(&[("alpha", &["k1"])]);
    assert!(granted(&decide(&before, CURRENT, None, Some("k1"))).is_some());
    let after = site_with(&[("alpha", &["k2"])]);
    assert_eq!(decide(&after, CURRENT, None, Some("k1")), Access::Unknown);
}

/// Guards against a workspace without keys, or a list without workspaces, that lets every caller in.
#[rstest]
#[case::no_keys(&[("alpha", &[] as &[&str])])]
#[case::no_workspaces(&[])]
fn no_key_is_known_when_all_keys_are_taken(#[case] workspaces: &[(&str, &[&str])]) {
    let site = site_with(workspaces);
    for key in [Some("k1"), Some(""), None] {
        assert_eq!(decide(&site, CURRENT, None, key), Access::Unknown);
    }
}

/// Guards against a key whose owner depends on the order in which a hash map lists workspaces.
#[test]
fn key_of_two_workspaces_belongs_to_the_first_until_it_is_taken_from_it() {
    let both = site_with(&[("beta", &["k"]), ("alpha", &["k"])]);
    let access = decide(&both, CURRENT, None, Some("k"));
    assert_eq!(granted(&access), Some("beta"));
    let second = site_with(&[("beta", &[]), ("alpha", &["k"])]);
    let access = decide(&second, CURRENT, None, Some("k"));
    assert_eq!(granted(&access), Some("alpha"));
}

/// Guards against keys served on an old configuration, also by an instance that just started and has
/// its configuration from a peer, without a proof.
#[rstest]
#[case::fresh(Some(0), true)]
#[case::just_in_time(Some(899), true)]
#[case::too_old(Some(900), false)]
#[case::far_too_old(Some(60_000), false)]
#[case::never_proven(None, false)]
fn keys_are_served_only_with_a_recent_proof(#[case] age: Option<u64>, #[case] is_served: bool) {
    let site = site_with(&[("alpha", &["k"])]);
    let access = decide(&site, aged(age), Some(BOUND), Some("k"));
    if is_served {
        assert_eq!(granted(&access), Some("alpha"));
    } else {
        assert_eq!(access, Access::Undecided(Doubt::Unproven));
    }
}

/// Guards against a 401, which callers don't retry, for a key that may have just been added.
#[rstest]
#[case::proven(Some(899), false, Access::Unknown)]
#[case::too_old(Some(900), false, Access::Undecided(Doubt::Unproven))]
#[case::never_proven(None, false, Access::Undecided(Doubt::Unproven))]
#[case::behind(Some(0), true, Access::Undecided(Doubt::Behind))]
fn unknown_keys_are_denied_only_by_a_current_configuration(
    #[case] age: Option<u64>,
    #[case] is_behind: bool,
    #[case] expected: Access,
) {
    let site = site_with(&[("alpha", &["k"])]);
    let currency = Currency {
        is_behind,
        ..aged(age)
    };
    for key in [Some("new"), None] {
        assert_eq!(decide(&site, currency, Some(BOUND), key), expected);
    }
}

/// Guards against refusing known keys, or all keys, by deployments that state no bound.
#[test]
fn without_a_bound_the_age_is_ignored() {
    let site = site_with(&[("alpha", &["k"])]);
    for age in [Some(0), Some(60_000), None] {
        let access = decide(&site, aged(age), None, Some("k"));
        assert_eq!(granted(&access), Some("alpha"));
        let access = decide(&site, aged(age), None, Some("new"));
        assert_eq!(access, Access::Unknown);
    }
}

/// Guards against an instance that refuses all keys while a newer configuration is on its way to it.
#[test]
fn known_keys_are_served_while_peers_have_a_newer_configuration() {
    let site = site_with(&[("alpha", &["k"])]);
    let behind = Currency {
        is_behind: true,
        ..CURRENT
    };
    for bound in [None, Some(BOUND)] {
        let access = decide(&site, behind, bound, Some("k"));
        assert_eq!(granted(&access), Some("alpha"));
    }
}
