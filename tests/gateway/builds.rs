//! Messages and rows between this build and the one before it, which knows no eras.

use super::build::ms;
use poplarseam::decide::era::Eras;
use poplarseam::decide::lease::{Action, Lease, Timing};
use poplarseam::wire::generated_gossip::{Batch, Entry, Gossip, Lead};
use poplarseam::world::table::{Row, Txn, Version};
use poplarseam::world::unit::{Era, Incarnation};
use prost::Message;
use rstest::rstest;

/// A datagram as the build before wrote it: a lease at version 12 with token 3, and a change of the server
/// list from version 10 to 12.
const EARLIER_DATAGRAM: &[u8] = include_bytes!("builds/gossip-0cdd2a3.bin");
/// A lease row as the build before wrote it.
const EARLIER_LEASE: &str = include_str!("builds/lease-0cdd2a3.json");

/// What the build before reads of a lease and of a batch.
#[derive(Clone, PartialEq, Message)]
struct EarlierLead {
    #[prost(uint32, tag = "1")]
    shard: u32,
    #[prost(uint64, tag = "2")]
    version: u64,
    #[prost(uint64, tag = "3")]
    fence: u64,
}

#[derive(Clone, PartialEq, Message)]
struct EarlierBatch {
    #[prost(uint64, tag = "1")]
    from: u64,
    #[prost(uint64, tag = "2")]
    to: u64,
    #[prost(bool, tag = "4")]
    trusted: bool,
}

#[derive(Clone, PartialEq, Message)]
struct EarlierGossip {
    #[prost(string, tag = "1")]
    instance: String,
    #[prost(message, repeated, tag = "8")]
    leads: Vec<EarlierLead>,
    #[prost(uint64, tag = "11")]
    servers_version: u64,
    #[prost(message, optional, tag = "12")]
    batch: Option<EarlierBatch>,
    #[prost(uint64, tag = "17")]
    configuration: u64,
    #[prost(bool, tag = "18")]
    reaches_store: bool,
}

fn datagram() -> Gossip {
    Gossip {
        instance: "edge-1".into(),
        leads: vec![Lead {
            shard: 2,
            version: 12,
            fence: 3,
            grants_quotas: true,
            era: Some(0),
        }],
        servers_version: 12,
        era: Some(0),
        batch: Some(Batch {
            from: 10,
            to: 12,
            entries: vec![Entry {
                worker: "a".into(),
                version: 12,
                value: Vec::new(),
            }],
            trusted: true,
            partial: true,
            era: Some(0),
        }),
        configuration: 7,
        reaches_store: true,
        ..Gossip::default()
    }
}

/// Guards against versions of an earlier build that count as era 0, and its holders as grantors.
#[test]
fn datagram_of_the_build_before_has_no_era() {
    let read = Gossip::decode(EARLIER_DATAGRAM).unwrap();
    let mut expected = datagram();
    expected.era = None;
    expected.leads[0].era = None;
    expected.leads[0].grants_quotas = false;
    expected.batch.as_mut().unwrap().era = None;
    assert_eq!(read, expected);
    let mut eras = Eras::default();
    eras.on_seen(Some(Era(4)));
    let known = Version {
        era: Some(Era(4)),
        number: 12,
    };
    let era = read.era.map(Era);
    assert_eq!(eras.version(era, read.servers_version), Some(known));
}

#[test]
fn build_before_reads_a_datagram_with_eras() {
    let read = EarlierGossip::decode(&datagram().encode_to_vec()[..]).unwrap();
    let expected = EarlierGossip::decode(EARLIER_DATAGRAM).unwrap();
    assert_eq!(read, expected);
}

/// Guards against a token that is not above the one of a holder of the build before, and against a row
/// that this build can't read.
#[rstest]
#[case::without_eras(None)]
#[case::with_eras(Some(Era(2)))]
fn lease_of_the_build_before_is_taken_over_with_a_higher_token(#[case] era: Option<Era>) {
    let written = serde_json::from_str(EARLIER_LEASE).unwrap();
    let row = Row {
        key: "lease".into(),
        version: 5,
        value: written,
    };
    let name = "edge-2".parse().unwrap();
    let mut lease = Lease::new("lease".into(), name, Incarnation(1), Timing::default());
    assert!(lease.on_era(era));
    lease.on_read(ms(0), Some(&row));
    assert_eq!(lease.tick(ms(2_900)), Action::Read);
    let Action::Commit(Txn { puts, .. }) = lease.tick(ms(3_000)) else {
        panic!("no takeover");
    };
    let taken = &puts[0].value;
    assert!(taken["fence"].as_u64() > row.value["fence"].as_u64());
    let names = |value: &serde_json::Value| {
        let object = value.as_object().unwrap();
        object.keys().cloned().collect::<Vec<String>>()
    };
    assert_eq!(names(taken), names(&row.value), "the build before reads it");
}
