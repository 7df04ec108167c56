//! Every fault at every step of each decision, in virtual time, compared with a naive
//! implementation.
//!
//! Each module prints its test cells, those not run, and the violations by the naive and the real
//! implementation. A cell in which the naive one does not violate the property either proves
//! nothing, so the naive one has to violate it somewhere.

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
