//! The record of a run: what was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::sync::{Mutex, OnceLock};
use std::time::Instant;

static RECORD: OnceLock<(Instant, Mutex<File>)> = OnceLock::new();

pub fn open(path: &str) {
    let file = File::create(path).expect("a record");
    let _ = RECORD.set((Instant::now(), Mutex::new(file)));
}

pub fn line(text: &str) {
    if let Some((start, file)) = RECORD.get() {
        let seconds = start.elapsed().as_secs_f64();
        let mut file = file.lock().unwrap();
        let _ = writeln!(file, "{seconds:8.3} {text}");
    }
}
