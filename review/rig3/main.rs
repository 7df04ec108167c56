//! Cases of the third review that are shown by scripts: starts the project's gateway before stand-ins of
//! the store, the servers and the callers, and checks one rule.
//!
//! `rig CASE FOLDER` exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.

mod engine;
mod handover;
mod http;
mod json;
mod keep_alive;
mod restart;
mod site;
mod store;

use site::Record;

/// Result of a case: whether the rule held.
type Verdict = std::io::Result<bool>;

fn main() {
    let mut words = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (words.next(), words.next()) else {
        eprintln!("use: rig CASE FOLDER");
        std::process::exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::open(&folder);
    let verdict = record.and_then(|record| match case.as_str() {
        "handover" => handover::run(record, has_trouble),
        "keep-alive" => keep_alive::run(record, has_trouble),
        "restart" => restart::run(record, has_trouble),
        _ => Err(std::io::ErrorKind::InvalidInput.into()),
    });
    std::process::exit(match verdict {
        Ok(true) => 0,
        Ok(false) => 1,
        Err(error) => {
            eprintln!("the case couldn't run: {error}");
            2
        }
    });
}
