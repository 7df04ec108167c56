//! Servers that never close an idle channel, and say so in `Keep-Alive`.

use crate::Verdict;
use crate::http::{Channel, response};
use crate::site::{self, Record, Site, Work};
use std::io::ErrorKind;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

const REQUESTS: usize = 40;

pub fn run(record: Record, has_trouble: bool) -> Verdict {
    let mut site = Site::start(record.clone())?;
    site.store.put("op", "config", &site::config(1, ""));
    let ran = Arc::new(AtomicUsize::new(0));
    let idle = if has_trouble { u64::MAX } else { 60 };
    for id in ["i-app-1", "i-app-2", "i-app-3"] {
        let (ran, record) = (Arc::clone(&ran), record.clone());
        let work: Work = Arc::new(move |call, channel| {
            ran.fetch_add(1, Ordering::Relaxed);
            let request = call.header("x-request-id").unwrap_or("");
            record.note(&format!("server {id} runs {request}"));
            let keep_alive = format!("timeout={idle}");
            let mut headers = site::signed(call, "3e1b.07.5a2.600.0.c9f2a4d1");
            headers.push(("Keep-Alive", &keep_alive));
            channel
                .send(&response("200 OK", &headers, b"confirmed"))
                .is_ok()
        });
        let server = site.serve(id, "app", work)?;
        site.list(&server, "", "ready");
    }
    site.add_gateway("")?;
    if !site.wait_until_ready(3) {
        return Err(ErrorKind::TimedOut.into());
    }
    std::thread::sleep(Duration::from_millis(500));
    let mut lost = 0;
    let mut channel = None;
    for number in 0..REQUESTS {
        let kept = channel.take();
        let is_kept = kept.is_some();
        let mut open = match kept {
            Some(open) => open,
            None => Channel::open(site.callers(0))?,
        };
        open.stream.set_read_timeout(Some(Duration::from_secs(3)))?;
        let id = site::new_id();
        let path = if number % 2 == 0 {
            "/issue/a"
        } else {
            "/check/a"
        };
        let before = ran.load(Ordering::Relaxed);
        record.note(&format!(
            "caller sends {id} {path}, kept channel: {is_kept}"
        ));
        open.send(&site::request(path, &id, 1_200, ""))?;
        match open.message() {
            Ok(answer) => {
                record.note(&format!("caller gets {} for {id}", answer.status()));
                channel = Some(open);
            }
            Err(error) => {
                let has_run = ran.load(Ordering::Relaxed) > before;
                record.note(&format!(
                    "channel ends without an answer to {id} ({error}), has run: {has_run}"
                ));
                lost += usize::from(has_run);
            }
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    record.note(&format!(
        "{lost} of {REQUESTS} requests were passed on, and their channel ended without an answer"
    ));
    println!(
        "{lost} of {REQUESTS} requests were passed on and never answered; more than 3 break LOST"
    );
    Ok(lost <= 3)
}
