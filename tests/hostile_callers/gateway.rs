//! Hostile callers of the gateway, and hostile connections to its port for peers.

use super::crowd::{Crowd, Form, Watch, exchange};
use super::{FEW_FDS, MANY_FDS, MAX_BODY, MEMORY_MB, turn};
use rstest::rstest;
use serde_json::{Value, json};
use standins::platform::Platform;
use standins::process::Process;
use standins::worker::Worker;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time-out for the start of the gateway.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Deadline of requests and time-out of the route, far beyond the time that a test takes.
const DEADLINE_MS: u64 = 60_000;
const CALLERS_PORT: u16 = 8000;
const PEERS_PORT: u16 = 7000;

static HOST: AtomicU8 = AtomicU8::new(1);

/// A gateway with its platform.
struct Gateway {
    process: Process,
    ip: Ipv4Addr,
    folder: PathBuf,
    _platform: Platform,
}

fn config() -> Value {
    json!({
        "Version": 1,
        "Routes": [{"Name": "issue", "Hostname": "h", "PathPrefix": "/issue/", "Type": "unsafe",
            "TimeoutMs": DEADLINE_MS, "TargetLatencyMs": 200, "Service": "app"}],
        "Services": [{"Name": "app", "MaxConnections": 50}],
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": MAX_BODY, "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000},
    })
}

impl Gateway {
    fn start(max_fds: u64) -> Self {
        let platform = Platform::start(vec![Worker::new("p", "app", &[], 0, POLL_INTERVAL)]);
        platform.configure(&config());
        let [low, high, ..] = std::process::id().to_le_bytes();
        let ip = Ipv4Addr::new(127, high, low, HOST.fetch_add(1, Ordering::Relaxed));
        let folder = format!("poplarseam-hostile-{}-{}", std::process::id(), ip);
        let folder = std::env::temp_dir().join(folder);
        std::fs::create_dir_all(&folder).unwrap();
        let mut settings = platform.settings("edge-1", ip);
        settings["Limits"] = json!({"MemoryMb": MEMORY_MB, "MaxFds": max_fds});
        let path = folder.join("settings.json");
        std::fs::write(&path, settings.to_string()).unwrap();
        let path = path.to_string_lossy().into_owned();
        let environment = [("POPLARSEAM_SETTINGS".to_owned(), path)];
        let process = Process::start("poplarseam-gateway", "edge-1", &environment, &folder);
        let gateway = Self {
            process,
            ip,
            folder,
            _platform: platform,
        };
        gateway.wait_until_ready();
        gateway
    }

    fn address(&self, port: u16) -> SocketAddr {
        (self.ip, port).into()
    }

    fn wait_until_ready(&self) {
        let until = Instant::now() + START_TIMEOUT;
        while self.ask("ready", b"hi") != 200 {
            assert!(Instant::now() < until, "not ready: {}", self.process.log());
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    fn ask(&self, id: &str, body: &[u8]) -> u16 {
        let length = body.len();
        let fields = fields(id);
        let head = format!("{fields}Connection: close\r\nContent-Length: {length}\r\n\r\n");
        let request = [head.as_bytes(), body].concat();
        exchange(self.address(CALLERS_PORT), &request)
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.process.kill();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Request line and header fields of a request, also of one that another instance passes on.
fn fields(id: &str) -> String {
    format!(
        "POST /issue/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: {DEADLINE_MS}\r\n\
         X-Poplarseam-Max-Servers: 1\r\nX-Poplarseam-Repeat: 0\r\n"
    )
}

/// Guards against callers, or others who reach the port for peers, that end the process by the memory
/// of their requests or by the number of their connections, or keep ordinary callers out.
#[rstest]
#[case::whole(Form::Whole, MANY_FDS)]
#[case::pieces(Form::Pieces, MANY_FDS)]
#[case::large_chunks(Form::LargeChunks, MANY_FDS)]
#[case::tiny_chunks(Form::TinyChunks, MANY_FDS)]
#[case::announced_huge(Form::AnnouncedHuge, MANY_FDS)]
#[case::sent_huge(Form::SentHuge, MANY_FDS)]
#[case::endless_head(Form::EndlessHead, FEW_FDS)]
#[case::endless_field(Form::EndlessField, FEW_FDS)]
#[case::cut_head(Form::CutHead, FEW_FDS)]
#[case::nothing(Form::Nothing, FEW_FDS)]
#[case::unfinished_bodies_on_many_connections(Form::Pieces, FEW_FDS)]
fn hostile_connections_to_a_gateway(
    #[case] form: Form,
    #[case] max_fds: u64,
    #[values(CALLERS_PORT, PEERS_PORT)] port: u16,
) {
    let _turn = turn();
    let mut gateway = Gateway::start(max_fds);
    let address = gateway.address(port);
    let watch = Watch::start(gateway.process.id(), address);
    let crowd = Crowd::open(address, form, &fields("hostile"));
    let status = gateway.ask("ordinary", b"hi");
    watch.finish(max_fds);
    assert_eq!(status, 200, "{}", gateway.process.log());
    assert!(gateway.process.ended().is_none());
    drop(crowd);
}

/// Guards against limits that refuse a request within the operator's limits when nothing else is going
/// on.
#[rstest]
#[case::whole(false)]
#[case::chunked(true)]
fn the_largest_request_is_served_in_calm(#[case] is_chunked: bool) {
    let _turn = turn();
    let gateway = Gateway::start(MANY_FDS);
    let body = vec![b'x'; MAX_BODY];
    let status = if is_chunked {
        let fields = fields("large");
        let head = format!("{fields}Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n");
        let size = format!("{MAX_BODY:x}\r\n");
        let parts = [head.as_bytes(), size.as_bytes(), &body, b"\r\n0\r\n\r\n"];
        exchange(gateway.address(CALLERS_PORT), &parts.concat())
    } else {
        gateway.ask("large", &body)
    };
    assert_eq!(status, 200, "{}", gateway.process.log());
}
