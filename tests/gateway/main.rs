//! Tests of the gateway's decisions and formats, without processes or a network.

mod attempts;
mod balance;
mod brittle;
mod build;
mod builds;
mod carrier;
mod config_source;
mod era;
mod fleet;
mod follower;
mod forecast;
mod herd;
mod lag;
mod lease;
mod limit;
mod list;
mod memory;

mod names;
mod notice;
mod orders;
mod origin;
mod pace;
mod planner;
mod platform;
mod progress;
mod quarantine;
mod reach;
mod reference;
mod retry;
mod roster;
mod shed;
mod shutdown;
mod speed;
mod topology;
mod water_filling;
