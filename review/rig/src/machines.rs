//! The project's own program on several machines, each with a loopback address.

use crate::http;
use serde_json::{Value, json};
use std::fs::{self, File};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread::sleep;
use std::time::Duration;

pub const FRONTEND: u16 = 8149;
pub const READY: u16 = 8141;
const INTERNAL: u16 = 7380;

pub struct Machine {
    pub name: String,
    pub ip: Ipv4Addr,
    zone: String,
    store: SocketAddr,
    child: Option<Child>,
}

pub struct Machines {
    pub all: Vec<Machine>,
    root: PathBuf,
    folder: PathBuf,
}

/// Finds a network in 127.0.0.0/8 in which the ports of the machines are free.
fn free_network(count: u8) -> io::Result<[u8; 3]> {
    let seed = std::process::id();
    for offset in 0..200_u32 {
        let [low, high, ..] = (seed.wrapping_add(offset * 7)).to_le_bytes();
        let network = [127, 20 + low % 200, high % 250];
        let mut ports = (1..=count)
            .flat_map(|host| [FRONTEND, READY, INTERNAL, INTERNAL + 1].map(|port| (host, port)));
        let is_free = ports.all(|(host, port)| {
            let [first, second, third] = network;
            TcpListener::bind((Ipv4Addr::new(first, second, third, host), port)).is_ok()
        });
        if is_free {
            return Ok(network);
        }
    }
    Err(io::Error::other("no free loopback network"))
}

impl Machines {
    /// Prepares machines by name and zone; `stores` has the address at which each reaches the store.
    pub fn new(root: &Path, names: &[(&str, &str)], stores: &[SocketAddr]) -> io::Result<Self> {
        let folder = std::env::temp_dir().join(format!("poplarseam-review-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let [first, second, third] =
            free_network(u8::try_from(names.len()).map_err(io::Error::other)?)?;
        let machines = names
            .iter()
            .zip(stores)
            .zip(1..)
            .map(|(((name, zone), store), host)| Machine {
                name: (*name).into(),
                ip: Ipv4Addr::new(first, second, third, host),
                zone: (*zone).into(),
                store: *store,
                child: None,
            });
        Ok(Self {
            all: machines.collect(),
            root: root.into(),
            folder,
        })
    }

    fn settings(&self, machine: &Machine) -> Value {
        let ip = machine.ip;
        let zones = self.all.iter().map(|it| (it.zone.clone(), json!("north")));
        let zones: serde_json::Map<String, Value> = zones.collect();
        json!({
            "NodeName": machine.name, "Role": "gateway", "MachineClass": "edge", "Serves": ["edge"],
            "Ip": ip, "Zone": machine.zone, "Region": "north", "Zones": zones,
            "Listen": {"Frontend": format!("{ip}:{FRONTEND}"), "Ready": format!("{ip}:{READY}")},
            "InternalPorts": [INTERNAL, INTERNAL + 15], "Seeds": [], "Bootstrap": true,
            "FaultCounted": false, "DataDir": null, "Discovery": "platform", "Entry": "vip",
            "Limits": {"CpuShare": 0.25, "Cores": 1, "MemoryMb": 260, "MaxFds": 4100,
                "LinkMbps": 1000.0, "DiskMb": 0},
            "HeartbeatMs": 1200, "FaultTolerance": {"Machines": 2, "Zones": 0, "Regions": 0},
            "Contracts": ["base", "drain", "config", "cost", "retry", "recover", "fleet", "stream",
                "engine", "platform"],
            "Bounds": {"SeedLagS": 3, "ReuseAfterS": 2, "StableWindowMs": 4000, "AckMs": 5000,
                "CatchUpS": 4, "DrainMs": 2500, "GraceS": 8, "LossSlackMs": 200,
                "ConfigApplyMs": 2500, "RollbackSlackMs": 250, "MaxSkewMs": 6000,
                "RetryBudgetRatio": 0.2, "BudgetWindowS": 10, "BudgetExtra": 56, "RecoveryS": 12,
                "PassMs": 250, "RetryAfterS": 0, "FencingEnforced": false, "LeaseMs": 3000,
                "ThawMs": 300, "CeilingWindowS": 5, "OriginOverage": 1.1},
            "Platform": {"Address": machine.store, "form": "table", "WritesPerS": 400,
                "ReadsPerS": 2000, "TxMs": 5.0, "PartWritesS": 200, "RowBytes": 65536,
                "Across": false, "HistoryS": 20, "BlobBytes": 8_388_608, "BlobMs": 25.0,
                "BlobMbS": 80.0},
        })
    }

    /// Starts a machine's program with the command of the deploy file.
    pub fn start(&mut self, index: usize) -> io::Result<()> {
        let machine = &self.all[index];
        let settings = self.folder.join(format!("{}.json", machine.name));
        fs::write(&settings, self.settings(machine).to_string())?;
        let log = self.folder.join(format!("{}.log", machine.name));
        let log = File::options().create(true).append(true).open(log)?;
        let child = Command::new("target/release/poplarseam-gateway")
            .current_dir(&self.root)
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("POPLARSEAM_SETTINGS", &settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.all[index].child = Some(child);
        Ok(())
    }

    /// Waits until all machines say that they are ready.
    pub fn wait_until_ready(&self) -> io::Result<()> {
        let head = "GET /v1/readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        for _ in 0..100 {
            let mut ready = self.all.iter().map(|machine| {
                let address = (machine.ip, READY).into();
                let answer = http::exchange(address, head, b"", Duration::from_secs(1));
                answer.is_ok_and(|answer| answer.status == 200)
            });
            if ready.all(|is_ready| is_ready) {
                return Ok(());
            }
            sleep(Duration::from_millis(200));
        }
        Err(io::Error::other("the machines aren't ready"))
    }

    /// Kills a machine's program.
    pub fn kill(&mut self, index: usize) {
        if let Some(mut child) = self.all[index].child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Machines {
    fn drop(&mut self) {
        for index in 0..self.all.len() {
            self.kill(index);
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}
