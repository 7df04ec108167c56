//! Focused experiments: the decisions on arrivals from a seed, beside a handful of fake workers,
//! in virtual time.

pub mod arrivals;
pub mod bench;
pub mod front;
pub mod live;
pub mod placing;
pub mod plot;
pub mod shape;
pub mod summary;
pub mod worker;
