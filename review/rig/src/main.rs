//! Cases of the review that are played by scripts. `rig CASE FOLDER` writes `record.txt` into the
//! folder and exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.

#![recursion_limit = "256"]

mod config;
mod http;
mod limit;
mod machines;
mod store;

use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::process::exit;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// What was sent, answered and run, with the seconds since the start.
pub struct Record {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    fn new(folder: &Path) -> io::Result<Self> {
        let file = Mutex::new(File::create(folder.join("record.txt"))?);
        Ok(Self {
            file,
            started: Instant::now(),
        })
    }

    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Adds a line.
    ///
    /// # Panics
    ///
    /// If the file can't be written.
    pub fn note(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.now().as_secs_f64());
        let mut file = self.file.lock().expect("the record");
        file.write_all(line.as_bytes())
            .expect("the record must be written");
    }
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: rig CASE FOLDER");
        exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let folder = Path::new(folder);
    let held = Record::new(folder).and_then(|record| match case.as_str() {
        "config" => config::play(record, config::Trouble::Unanswered, has_trouble),
        "old-copy" => config::play(record, config::Trouble::OldCopy, has_trouble),
        "limit" => limit::play(record, limit::Trouble::Outages, has_trouble),
        "fence" => limit::play(record, limit::Trouble::OldCopy, has_trouble),
        _ => Err(io::Error::other("no such case")),
    });
    match held {
        Ok(true) => println!("the rule held"),
        Ok(false) => {
            println!("the rule was broken; see record.txt");
            exit(1);
        }
        Err(error) => {
            eprintln!("the case could not run: {error}");
            exit(2);
        }
    }
}
