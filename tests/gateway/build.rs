//! Builders of servers, settings and requests for tests.

use poplarseam::world::backend::{Backend, Holdings};
use poplarseam::world::deployment::{Allowance, Bounds, Deployment, Machine};
use poplarseam::world::id;
use poplarseam::world::message::{Generation, Target};
use poplarseam::world::site::{Engine, Limits, Model, Service, Site, Version};
use poplarseam::world::unit::{Bytes, Incarnation, Rate, Tokens};
use std::collections::BTreeMap;
use std::time::Duration;

pub const SERVICE: &str = "llm";

pub fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

pub fn worker(name: &str) -> id::Worker {
    name.parse().unwrap()
}

pub fn model(name: &str) -> id::Model {
    name.parse().unwrap()
}

pub fn target(text: &str) -> Target {
    text.parse().unwrap()
}

/// Parses models with their adapters, written `m1 m2/a1 m2/a2`.
pub fn holdings(text: &str) -> Holdings {
    let mut holdings = Holdings::new();
    for target in text.split_whitespace().map(target) {
        let adapters = holdings.entry(target.model).or_default();
        adapters.extend(target.adapter);
    }
    holdings
}

pub fn backend(name: &str, data_centre: &str, held: &str) -> Backend {
    Backend {
        id: worker(name),
        service: SERVICE.parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        data_centre: data_centre.parse().unwrap(),
        boot: Incarnation(1),
        software: "v1".parse().ok(),
        leaving: false,
        places: 8,
        holdings: holdings(held),
        copies: [].into(),
    }
}

/// Returns an engine with 100 bytes of memory, two places for adapters of 5 bytes, and models of 40
/// bytes named m1 to m9.
pub fn engine() -> Engine {
    let models = (1..10).map(|number| {
        let size = Model {
            size: Bytes(40),
            load: ms(1_000),
            adapters: 4,
            adapter_size: Bytes(5),
        };
        (model(&format!("m{number}")), size)
    });
    Engine {
        batch: 8,
        cache: Tokens(100_000),
        memory: Bytes(100),
        adapter_places: 2,
        loads: Rate(2.0),
        models: models.collect(),
    }
}

pub fn site() -> Site {
    let service = Service {
        most_connections: 100,
        engine: Some(engine()),
    };
    Site {
        version: Version(1),
        routes: Vec::new(),
        services: BTreeMap::from([(SERVICE.parse().unwrap(), service)]),
        limits: Limits::default(),
        workspaces: None,
    }
}

pub fn deployment(data_centre: &str) -> Deployment {
    let address = "127.0.0.1:1".parse().unwrap();
    let regions = [
        ("north-1", "north"),
        ("north-2", "north"),
        ("south-1", "south"),
    ];
    let regions =
        regions.map(|(centre, region)| (centre.parse().unwrap(), region.parse().unwrap()));
    Deployment {
        instance: "one".parse().unwrap(),
        data_centre: data_centre.parse().unwrap(),
        regions: regions.into(),
        callers: address,
        ready: address,
        peers: address,
        metrics: address,
        store: address,
        bounds: Bounds {
            grace: ms(8_000),
            lease: ms(3_000),
            fencing_enforced: false,
            retries: Allowance {
                ratio: 0.2,
                extra: 56.0,
                window: ms(10_000),
            },
            load_window: ms(5_000),
            configuration: None,
            revocation: None,
            quotas: None,
        },
        machine: Machine::default(),
    }
}

pub fn generation(text: &str, prompt: u64) -> Generation {
    Generation {
        target: target(text),
        prompt: Tokens(prompt),
        output: Tokens(50),
        parts: Vec::new(),
    }
}
