//! A link to a worker: a proxy that holds bytes back while the link is cut, and lets them pass when a
//! sender's next retransmission would.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Times after which TCP sends unacknowledged bytes again: from 200 ms on, doubled each time.
const RETRANSMISSIONS: [Duration; 4] = [
    Duration::from_millis(200),
    Duration::from_millis(600),
    Duration::from_millis(1_400),
    Duration::from_millis(3_000),
];

#[derive(Debug, Default)]
struct State {
    /// Beginning and end of the cut.
    cut: Option<(Instant, Instant)>,
    /// When an order was first held back.
    order_held_at: Option<Instant>,
}

pub struct Link {
    pub address: SocketAddr,
    state: Mutex<State>,
}

impl Link {
    /// Opens a link from an address to a worker.
    pub fn open(ip: Ipv4Addr, worker: SocketAddr) -> Arc<Self> {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let link = Arc::new(Self {
            address: listener.local_addr().expect("an address"),
            state: Mutex::default(),
        });
        let serving = Arc::clone(&link);
        thread::spawn(move || {
            for stream in listener.incoming() {
                let Ok(stream) = stream else { continue };
                let link = Arc::clone(&serving);
                thread::spawn(move || link.join(stream, worker));
            }
        });
        link
    }

    /// Cuts the link from now on, for some time.
    pub fn cut(&self, time: Duration) {
        let now = Instant::now();
        self.state.lock().unwrap().cut = Some((now, now + time));
    }

    pub fn order_held_at(&self) -> Option<Instant> {
        self.state.lock().unwrap().order_held_at
    }

    fn join(self: Arc<Self>, caller: TcpStream, worker: SocketAddr) {
        let Ok(server) = TcpStream::connect(worker) else {
            return;
        };
        let (Ok(caller_copy), Ok(server_copy)) = (caller.try_clone(), server.try_clone()) else {
            return;
        };
        let link = Arc::clone(&self);
        let back = thread::spawn(move || link.pass(server_copy, caller_copy));
        self.pass(caller, server);
        let _ = back.join();
    }

    /// Passes bytes on in one direction until their sender closes.
    fn pass(&self, mut from: TcpStream, mut to: TcpStream) {
        let _ = to.set_nodelay(true);
        let mut bytes = [0; 16 << 10];
        while let Ok(count) = from.read(&mut bytes) {
            if count == 0 {
                break;
            }
            let is_order = bytes[..count].starts_with(b"POST /v1/order");
            thread::sleep(self.delay(is_order));
            if to.write_all(&bytes[..count]).is_err() {
                break;
            }
        }
        thread::sleep(self.delay(false));
        let _ = to.shutdown(std::net::Shutdown::Write);
    }

    /// How long bytes that are sent now are on their way.
    fn delay(&self, is_order: bool) -> Duration {
        let now = Instant::now();
        let mut state = self.state.lock().unwrap();
        let Some((begin, end)) = state.cut else {
            return Duration::ZERO;
        };
        if now < begin || now >= end {
            return Duration::ZERO;
        }
        if is_order {
            state.order_held_at.get_or_insert(now);
        }
        let passing = RETRANSMISSIONS.iter().find(|after| now + **after >= end);
        passing.copied().unwrap_or(RETRANSMISSIONS[3])
    }
}
