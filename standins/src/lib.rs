//! Stand-ins for the platform and the back ends, and the experiments that measure decisions.
//!
//! Each stand-in is a struct that can be started inside a test, or by the program `standin`.
//! All of them take faults through `PUT /fault`.

// Stand-ins and experiments end with a panic where a test can't go on.
#![allow(clippy::missing_panics_doc)]

pub mod client;
pub mod engine;
pub mod experiment;
pub mod fault;
pub mod http;
pub mod instances;
pub mod link;
pub mod objects;
pub mod platform;
pub mod process;
pub mod service;
pub mod site;
pub mod table;
pub mod weights;
pub mod worker;
