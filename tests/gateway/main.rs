//! The decisions and formats of the gateway, without processes or a network.

mod appetite;
mod attempts;
mod balance;
mod build;
mod crash;
mod fleet;
mod flow;
mod herd;
mod lag;
mod lease;
mod level;
mod limit;
mod names;
mod notice;
mod orders;
mod planner;
mod platform;
mod reference;
mod retry;
mod roster;
mod shed;
mod speed;
mod topology;
