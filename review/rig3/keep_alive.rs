//! A server that never closes an idle channel, and says so in `Keep-Alive`, beside two that close theirs.

use crate::Verdict;
use crate::http::{Channel, response};
use crate::site::{self, Record, Site, Work};
use std::collections::HashSet;
use std::io::{ErrorKind, Result};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

const CALLERS: usize = 16;
const REQUESTS: usize = 20;

/// Sends requests one after another, on a channel that is kept while it can be. Returns how many came on
/// a kept channel, were run, and had no answer.
fn call(
    caller: usize,
    address: SocketAddr,
    ran: &Mutex<HashSet<String>>,
    record: &Record,
) -> Result<usize> {
    let (mut lost, mut channel) = (0, None);
    for number in 0..REQUESTS {
        let kept = channel.take();
        let is_kept = kept.is_some();
        let mut open = kept.map_or_else(|| Channel::open(address), Ok)?;
        open.stream.set_read_timeout(Some(Duration::from_secs(3)))?;
        let id = site::new_id();
        let path = ["/issue/a", "/check/a"][number % 2];
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
                let has_run = ran.lock().expect("no thread has panicked").contains(&id);
                record.note(&format!(
                    "channel ends without an answer to {id} ({error}), has run: {has_run}"
                ));
                lost += usize::from(has_run && is_kept);
            }
        }
        // The callers are to get out of step, so that each meets each server.
        let pause = 5 + (number * 17 + caller * 23) % 61;
        std::thread::sleep(Duration::from_millis(pause as u64));
    }
    Ok(lost)
}

pub fn run(record: Record, has_trouble: bool) -> Verdict {
    let mut site = Site::start(record.clone())?;
    site.store.put("op", "config", &site::config(1, ""));
    let ran = Arc::new(Mutex::new(HashSet::new()));
    for id in ["i-app-1", "i-app-2", "i-app-3"] {
        let (ran, record) = (Arc::clone(&ran), record.clone());
        let is_unlimited = has_trouble && id == "i-app-1";
        let idle = if is_unlimited { u64::MAX } else { 60 };
        let work: Work = Arc::new(move |call, channel| {
            let request = call.header("x-request-id").unwrap_or("");
            let mut all = ran.lock().expect("no thread has panicked");
            all.insert(request.to_owned());
            drop(all);
            record.note(&format!("server {id} runs {request}"));
            std::thread::sleep(Duration::from_millis(100));
            let keep_alive = format!("timeout={idle}");
            let mut headers = site::signed(call, "3e1b.07.5a2.600.0.c9f2a4d1");
            headers.push(("Keep-Alive", &keep_alive));
            channel
                .send(&response("200 OK", &headers, b"confirmed"))
                .is_ok()
        });
        let server = site.serve(id, "app", work)?;
        site.list(&server);
    }
    site.add_gateway("")?;
    if !site.wait_until_ready(3) {
        return Err(ErrorKind::TimedOut.into());
    }
    // Later than `StableWindowMs` after its start the gateway is in touch.
    std::thread::sleep(Duration::from_secs(5));
    let address = site.callers(0);
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let (ran, record) = (Arc::clone(&ran), record.clone());
            std::thread::spawn(move || call(caller, address, &ran, &record))
        })
        .collect();
    let mut lost = 0;
    for caller in callers {
        lost += caller.join().expect("no caller panics")?;
    }
    let all = CALLERS * REQUESTS;
    let result = format!(
        "{lost} of {all} requests came on a kept channel, were passed on and never answered; more than 3 break LOST"
    );
    record.note(&result);
    println!("{result}");
    Ok(lost <= 3)
}
