//! The decisions and formats of the gateway, without processes or a network.

mod appetite;
mod arrange;
mod attempts;
mod balance;
mod build;
mod crash;
mod fleet;
mod flow;
mod lag;
mod lease;
mod names;
mod notice;
mod orders;
mod platform;
mod reference;
mod retry;
mod roster;
mod shed;
mod speed;
mod topology;
