//! Eras of the store, and versions that peers report.

use poplarseam::decide::era::Eras;
use poplarseam::world::table::Version;
use poplarseam::world::unit::{Era, Fence};

#[test]
fn first_era_is_no_change() {
    let mut eras = Eras::default();
    assert!(!eras.on_seen(None));
    assert!(!eras.on_seen(Some(Era(4))));
    assert!(eras.on_seen(Some(Era(5))));
    assert!(!eras.on_seen(Some(Era(4))));
    assert_eq!(eras.newest(), Some(Era(5)));
}

/// Guards against versions of a build without eras that count for the latest one after a change.
#[test]
fn version_without_an_era_is_of_the_only_one_seen() {
    let mut eras = Eras::default();
    let version = |era: Option<u64>, number| Version {
        era: era.map(Era),
        number,
    };
    assert_eq!(eras.version(None, 7), Some(version(None, 7)));
    eras.on_seen(Some(Era(4)));
    assert_eq!(eras.version(None, 7), Some(version(Some(4), 7)));
    eras.on_seen(Some(Era(5)));
    assert_eq!(eras.version(None, 7), None);
    assert_eq!(eras.version(Some(Era(4)), 7), Some(version(Some(4), 7)));
}

#[test]
fn first_token_of_an_era_is_above_all_earlier_ones() {
    let first = Fence(0).next(None);
    assert_eq!(first, Fence(1));
    let in_era = first.next(Some(Era(1)));
    assert_eq!(in_era.era(), Era(1));
    assert_eq!(in_era.next(Some(Era(1))).0, in_era.0 + 1);
    assert!(Fence(u64::from(u32::MAX) - 1) < in_era);
    assert!(in_era.next(Some(Era(2))) > in_era);
}
