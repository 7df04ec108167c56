//! Every fault at every step of each decision, in virtual time, against a naive twin.
//!
//! Each module prints its cells, those not run, the breaches by the twin and by ours. A cell in
//! which the twin holds too proves nothing, so the twin has to break the promise somewhere.

mod claim;
mod lease;
mod ledger;
mod limit;
mod notice;
mod retry;
mod rollout;
mod schedule;
mod share;
mod store;
mod stream;
mod suspect;
mod tally;
