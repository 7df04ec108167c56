//! Processes of the project's gateway, started with the command of the deploy file.

use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Command of the deploy file, relative to the repository.
const PROGRAM: &str = "target/release/poplarseam-gateway";

/// One instance of the gateway.
pub struct Gateway {
    pub name: String,
    pub callers: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// Returns a port that is free on an address for both transports, with the next one.
fn free_ports(ip: Ipv4Addr) -> u16 {
    for _ in 0..200 {
        let Ok(first) = TcpListener::bind((ip, 0)) else {
            continue;
        };
        let port = first.local_addr().expect("an address").port();
        let is_free = port < 65_000
            && UdpSocket::bind((ip, port)).is_ok()
            && TcpListener::bind((ip, port + 1)).is_ok();
        if is_free {
            return port;
        }
    }
    panic!("no free ports on {ip}");
}

fn free_port(ip: Ipv4Addr) -> u16 {
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    listener.local_addr().expect("an address").port()
}

/// An address of this run: runs side by side have others.
pub fn address(number: u8) -> Ipv4Addr {
    let [low, high, ..] = std::process::id().to_le_bytes();
    Ipv4Addr::new(127, 64 + low % 128, high, number)
}

impl Gateway {
    /// Writes the settings of an instance and starts it.
    pub fn start(number: u8, store: SocketAddr, folder: &Path, ports: &mut Option<u16>) -> Self {
        let ip = address(number);
        // Ports are the same on all machines of a day.
        let internal = *ports.get_or_insert_with(|| free_ports(ip));
        let name = format!("edge-north-1-{number}");
        let callers = SocketAddr::from((ip, free_port(ip)));
        let ready = SocketAddr::from((ip, free_port(ip)));
        let settings = folder.join(format!("{name}.json"));
        let text = format!(
            r#"{{"NodeName": "{name}", "Role": "gateway", "MachineClass": "edge", "Serves": ["edge"],
 "Ip": "{ip}", "Zone": "north-1", "Region": "north", "Zones": {{"north-1": "north"}},
 "Listen": {{"Frontend": "{callers}", "Ready": "{ready}"}},
 "InternalPorts": [{internal}, {last}], "Seeds": [], "Bootstrap": true, "FaultCounted": false,
 "Limits": {{"CpuShare": 0.25, "Cores": 1, "MemoryMb": 260, "MaxFds": 4100, "LinkMbps": 1000.0, "DiskMb": 0}},
 "DataDir": null, "Discovery": "platform", "Entry": "vip", "HeartbeatMs": 1200,
 "Contracts": ["base", "drain", "config", "cost", "retry", "recover", "fleet", "stream", "engine", "platform"],
 "FaultTolerance": {{"Machines": 2, "Zones": 0, "Regions": 0}},
 "Bounds": {{"SeedLagS": 3, "ReuseAfterS": 2, "StableWindowMs": 4000, "AckMs": 5000, "CatchUpS": 4,
  "DrainMs": 2500, "GraceS": 8, "LossSlackMs": 200, "ConfigApplyMs": 2500, "RollbackSlackMs": 250,
  "MaxSkewMs": 6000, "RetryBudgetRatio": 0.2, "BudgetWindowS": 10, "BudgetExtra": 58, "RecoveryS": 12,
  "PassMs": 250, "RetryAfterS": 0, "FencingEnforced": false, "LeaseMs": 3000, "ThawMs": 300,
  "CeilingWindowS": 5, "OriginOverage": 1.1}},
 "Platform": {{"Address": "{store}", "form": "table", "WritesPerS": 400, "ReadsPerS": 2000, "TxMs": 5.0,
  "PartWritesS": 200, "RowBytes": 65536, "Across": false, "HistoryS": 20, "BlobBytes": 8388608,
  "BlobMs": 25.0, "BlobMbS": 80.0}}}}
"#,
            last = internal + 15
        );
        std::fs::write(&settings, text).expect("settings");
        let mut gateway = Self {
            log: folder.join(format!("{name}.log")),
            name,
            callers,
            ready,
            settings,
            child: None,
        };
        gateway.launch();
        gateway
    }

    /// Starts the process.
    pub fn launch(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.expect("a log file");
        let child = Command::new(PROGRAM)
            .env_clear()
            .env("POPLARSEAM_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a second handle"))
            .stderr(log)
            .spawn();
        self.child = Some(child.expect("build the gateway first"));
    }

    /// Sends a signal by its name, as `TERM`.
    pub fn signal(&self, signal: &str) {
        if let Some(child) = &self.child {
            let arguments = [format!("-{signal}"), child.id().to_string()];
            let _ = Command::new("kill").args(arguments).status();
        }
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Waits until the instance says that it is ready.
    pub fn wait_until_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            let host = self.ready.to_string();
            let limit = Duration::from_secs(1);
            let headers = [("Host", host.as_str())];
            let answer = crate::http::call(self.ready, "GET", "/v1/readyz", &headers, "", limit);
            if answer.is_some_and(|answer| answer.status() == 200) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        false
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}
