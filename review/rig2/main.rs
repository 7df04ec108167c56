//! Stand-ins for the cases of the second review: the platform's store, workers and clients, and the
//! processes of the gateway before them. The first argument names the case.

#![allow(dead_code)] // Each case uses a part of the stand-ins.

mod gateway;
mod http;
mod json;
mod limit;
mod link;
mod record;
mod stale;
mod store;
mod worker;

use std::path::PathBuf;

/// How a case ended.
pub enum Verdict {
    Broken(String),
    Held,
    NotRun(String),
}

/// What a case needs to know of its run.
pub struct Run {
    /// A folder of its own for settings and logs.
    pub folder: PathBuf,
    /// Whether the disruption happens.
    pub has_trouble: bool,
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(record)) = (arguments.next(), arguments.next()) else {
        eprintln!("use: rig2 CASE RECORD");
        std::process::exit(2);
    };
    record::open(&record);
    let folder = std::env::temp_dir().join(format!("poplarseam-review-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a temporary folder");
    let run = Run {
        folder: folder.clone(),
        has_trouble: std::env::var("TROUBLE").map_or(true, |text| text != "0"),
    };
    record::line(&format!("case {case}, trouble {}", run.has_trouble));
    let verdict = std::panic::catch_unwind(|| match case.as_str() {
        "limit" => limit::run(&run),
        "stale" => stale::run(&run),
        _ => Verdict::NotRun("no such case".into()),
    })
    .unwrap_or_else(|_| Verdict::NotRun("the stand-in has panicked".into()));
    let (text, code) = match verdict {
        Verdict::Broken(text) => (format!("broken: {text}"), 1),
        Verdict::Held => ("held".into(), 0),
        Verdict::NotRun(text) => (format!("not run: {text}"), 2),
    };
    record::line(&text);
    println!("{text}");
    if std::env::var_os("KEEP").is_none() {
        let _ = std::fs::remove_dir_all(&folder);
    }
    std::process::exit(code);
}
