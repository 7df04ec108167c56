//! A system that serves many models on fewer accelerators.
//!
//! * `world`: the domain model: instances, backend servers, models, teams and their settings.
//! * `decide`: the decision logic, as plain structs whose methods take the time and an event.
//! * `wire`: the protocol between this system's processes.
//! * `platform`: formats and calls of the users' platform.
//! * `gateway`: the process that runs on every instance of the users' platform.
//! * `node`: the entry, placer and settings processes, whose threads pass events to `decide` and carry out
//!   its decisions.
//! * `command`: the operators' command line.
//! * `flags`: settings of the programs.
//! * `program`: start and exit of the programs.

mod common;
mod error;

pub use error::{Error, Result};

/// Domain model: instances, backend servers, models, teams and their settings.
pub mod world {
    pub mod artifact;
    pub mod backend;
    pub mod catalog;
    pub mod contract;
    pub mod deployment;
    pub mod id;
    pub mod key_index;
    pub mod message;
    pub mod order;
    pub mod shard;
    pub mod site;
    pub mod table;
    pub mod time;
    pub mod unit;
    pub mod workspace;
}

/// Decision logic. It is deterministic: it uses no clocks, sockets, threads or randomness of its
/// own.
pub mod decide {
    pub mod access;
    pub mod arrival;
    pub mod attempts;
    pub mod balance;
    pub mod brittle;
    pub mod carrier;
    pub mod claim;
    pub mod config_source;
    pub mod connections;
    pub mod demand;
    pub mod dispatch;
    pub mod era;
    pub mod fleet;
    pub mod follower;
    pub mod forecast;
    pub mod freshness;
    pub mod handover;
    pub mod health;
    pub mod lag;
    pub mod lease;
    pub mod ledger;
    pub mod limit;
    pub mod member;
    pub mod memory;
    pub mod notice;
    pub mod orders;
    pub mod origin;
    pub mod pace;
    pub mod place;
    pub mod planner;
    pub mod pool;
    pub mod progress;
    pub mod quarantine;
    pub mod queue;
    pub mod quota;
    pub mod reach;
    pub mod recheck;
    pub mod retry;
    pub mod rollout;
    pub mod roster;
    pub mod route;
    pub mod share;
    pub mod shed;
    pub mod shutdown;
    pub mod snapshot;
    pub mod speed;
    pub mod stream;
    pub mod suspect;
    pub mod tally;
    pub mod throttle;
    pub mod topology;
    pub mod water_filling;
}

/// Protocol between this system's processes.
pub mod wire {
    pub mod frame;
  #[rustfmt::skip]
  #[allow(clippy::pedantic, missing_docs)]
  pub mod generated;
  #[rustfmt::skip]
  #[allow(clippy::pedantic, missing_docs)]
  pub mod generated_gossip;
    pub mod hop;
    pub mod key;
    pub mod link;
    pub mod list;
    pub mod origin;
    pub mod quarantine;
    pub(crate) mod quota;
    pub mod token;
}

/// Names, formats and calls of the users' platform; no decisions are made here.
pub mod platform {
    pub mod config;
    pub mod request;
    pub mod rows;
    pub mod settings;
    pub mod worker;
}

/// The process that serves callers on every instance of the users' platform.
pub mod gateway {
    mod access;
    mod admin;
    mod announcements;
    mod attempt;
    mod body;
    mod buffer;
    mod callers;
    mod channel;
    pub mod command;
    mod configuration;
    mod detour;
    mod discard;
    mod event;
    mod feed;
    mod follower;
    mod forward;
    mod freshness;
    #[allow(clippy::module_inception)]
    mod gateway;
    mod gossip;
    mod head_limit;
    mod in_flight;
    mod ingress;
    mod journal;
    mod metrics;
    mod notices;
    mod origins;
    mod paths;
    mod peer_state;
    mod placer;
    mod pool;
    mod quarantine;
    mod quota;
    mod registration;
    mod relay;
    mod reply;
    mod request_body;
    mod retry_budget;
    mod store;
    pub mod tasks;
    mod traffic;
    mod write_limit;
}

/// The entry, placer and settings processes, whose threads pass events to `decide` and carry out
/// its decisions.
pub mod node {
    mod callers;
    mod calls;
    mod chat;
    mod claims;
    pub mod client;
    pub(crate) mod clock;
    mod connections;
    mod convictions;
    mod dispatcher;
    mod duty;
    pub mod entry;
    mod follow;
    mod http;
    mod input;
    mod isolation;
    mod journal;
    mod keeper;
    mod limits;
    pub mod logs;
    mod members;
    mod mesh;
    mod metrics;
    #[allow(clippy::module_inception)]
    mod node;
    mod operators;
    pub mod placer;
    mod problem;
    mod relay;
    mod reports;
    pub mod settings;
    mod stop;
    mod store;
}

pub mod command;
pub mod flags;
pub mod program;
