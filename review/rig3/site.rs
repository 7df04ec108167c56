//! A small deployment on loopback addresses: the store, servers, gateways, and callers.

use crate::http::{Channel, Message, response};
use crate::json::{self, Json};
use crate::store::Store;
use std::collections::BTreeMap;
use std::fs;
use std::io::Write;
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const CALLERS_PORT: u16 = 8149;
const READY_PORT: u16 = 8141;
const CONTROL_PORT: u16 = 8144;
const STATE_PORT: u16 = 7381;
/// `HeartbeatMs`.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// What was sent, answered and run, in the order in which it happened.
#[derive(Clone)]
pub struct Record {
    lines: Arc<Mutex<fs::File>>,
    begun: Instant,
}

impl Record {
    pub fn open(folder: &str) -> std::io::Result<Self> {
        let file = fs::File::create(PathBuf::from(folder).join("record.txt"))?;
        Ok(Self {
            lines: Arc::new(Mutex::new(file)),
            begun: Instant::now(),
        })
    }

    pub fn note(&self, text: &str) {
        let at = self.begun.elapsed().as_secs_f64();
        let mut file = self.lines.lock().expect("no thread has panicked");
        let _ = writeln!(file, "{at:9.4} {text}");
    }

    /// Seconds since the record was opened.
    pub fn now(&self) -> f64 {
        self.begun.elapsed().as_secs_f64()
    }
}

/// What a server does with a request: it answers on the channel, and returns whether it keeps it.
pub type Work = Arc<dyn Fn(&Message, &mut Channel) -> bool + Send + Sync>;

pub const SIGNATURE: &str = "3e1b.07.5a2.600.0.c9f2a4d1";

/// A server.
pub struct Server {
    pub id: String,
    pub service: &'static str,
    pub address: SocketAddr,
    pub born: u64,
    channels: Arc<Mutex<Vec<TcpStream>>>,
    is_down: Arc<AtomicBool>,
}

impl Server {
    /// Ends all channels, and takes no new ones.
    pub fn crash(&self) {
        self.is_down.store(true, Ordering::SeqCst);
        let mut channels = self.channels.lock().expect("no thread has panicked");
        for channel in channels.drain(..) {
            let _ = channel.shutdown(Shutdown::Both);
        }
    }

    /// Takes channels again.
    pub fn return_from_crash(&self) {
        self.is_down.store(false, Ordering::SeqCst);
    }
}

/// A running site. Its processes and folder are removed when it is dropped.
pub struct Site {
    pub store: Store,
    pub record: Record,
    pub gateways: Vec<Gateway>,
    folder: PathBuf,
    subnet: [u8; 2],
}

pub struct Gateway {
    pub name: String,
    pub ip: Ipv4Addr,
    pub process: Child,
}

pub fn milliseconds() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(1, |since| u64::try_from(since.as_millis()).unwrap_or(1))
}

impl Site {
    pub fn start(record: Record) -> std::io::Result<Self> {
        let pid = std::process::id();
        let folder = std::env::temp_dir().join(format!("poplarseam-review-{pid}"));
        fs::create_dir_all(&folder)?;
        let part = u8::try_from(pid % 200).unwrap_or(0) + 20;
        let other = u8::try_from(pid / 200 % 200).unwrap_or(0) + 20;
        let subnet = [part, other];
        Ok(Self {
            store: Store::start(Ipv4Addr::new(127, subnet[0], subnet[1], 1))?,
            record,
            gateways: Vec::new(),
            folder,
            subnet,
        })
    }

    /// Starts a server, which is not listed yet.
    pub fn serve(&self, id: &str, service: &'static str, work: Work) -> std::io::Result<Server> {
        let ip = Ipv4Addr::new(127, self.subnet[0], self.subnet[1], 2);
        let listener = TcpListener::bind((ip, 0))?;
        let server = Server {
            id: id.into(),
            service,
            address: listener.local_addr()?,
            born: milliseconds(),
            channels: Arc::default(),
            is_down: Arc::default(),
        };
        let own_id = id.to_owned();
        let (channels, is_down) = (Arc::clone(&server.channels), Arc::clone(&server.is_down));
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if is_down.load(Ordering::SeqCst) {
                    continue;
                }
                if let Ok(channel) = stream.try_clone() {
                    let mut channels = channels.lock().expect("no thread has panicked");
                    channels.push(channel);
                }
                let (work, own_id) = (Arc::clone(&work), own_id.clone());
                std::thread::spawn(move || {
                    let mut channel = Channel::new(stream);
                    while let Ok(call) = channel.message() {
                        if !call.is_whole || !answer(&own_id, &call, &mut channel, &work) {
                            return;
                        }
                    }
                });
            }
        });
        Ok(server)
    }

    /// Writes a server's entry, now and at each heartbeat.
    pub fn list(&self, server: &Server) {
        let (store, id) = (self.store.clone(), server.id.clone());
        let (service, address, born) = (server.service, server.address, server.born);
        std::thread::spawn(move || {
            for heartbeats in 1.. {
                let entry = format!(
                    r#"{{"Service":"{service}","Address":"{address}","Zone":"zone-a","Version":"v1","Slots":6,"State":"ready","ColdRemainingMs":0,"Sequence":{heartbeats},"born":{born}}}"#
                );
                store.put("servers", &id, &entry);
                std::thread::sleep(HEARTBEAT);
            }
        });
    }

    fn settings(&self, name: &str, ip: Ipv4Addr, more_bounds: &str) -> String {
        let store = self.store.address;
        format!(
            r#"{{"NodeName":"{name}","Role":"gateway","MachineClass":"edge","Serves":["edge"],"Ip":"{ip}","Zone":"zone-a","Region":"region","Zones":{{"zone-a":"region"}},"Listen":{{"Frontend":"{ip}:{CALLERS_PORT}","Ready":"{ip}:{READY_PORT}","ControlPlane":"{ip}:{CONTROL_PORT}"}},"InternalPorts":[7380,7395],"Seeds":[],"Bootstrap":true,"Limits":{{"CpuShare":0.25,"Cores":1,"MemoryMb":260,"MaxFds":4100,"LinkMbps":1000.0,"DiskMb":0}},"DataDir":null,"Discovery":"platform","Entry":"vip","HeartbeatMs":1200,"Bounds":{{"SeedLagS":3,"ReuseAfterS":2,"StableWindowMs":4000,"AckMs":5000,"CatchUpS":4,"DrainMs":2500,"GraceS":8,"LossSlackMs":200,"ConfigApplyMs":2500,"RollbackSlackMs":250,"MaxSkewMs":6000,{more_bounds}"RetryBudgetRatio":0.2,"BudgetWindowS":10,"BudgetExtra":56,"RecoveryS":12,"PassMs":250,"RetryAfterS":0,"FencingEnforced":false,"LeaseMs":3000,"ThawMs":300,"CeilingWindowS":5,"OriginOverage":1.1}},"Platform":{{"Address":"{store}","form":"table","WritesPerS":400,"ReadsPerS":2000,"TxMs":5.0,"PartWritesS":200,"RowBytes":65536,"Across":false,"HistoryS":20}}}}"#
        )
    }

    fn launch(&self, name: &str) -> std::io::Result<Child> {
        let settings = self.folder.join(format!("{name}.json"));
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{name}.log")))?;
        Command::new(program()?)
            .env("POPLARSEAM_SETTINGS", &settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
    }

    /// Starts a gateway with the command of the deploy file.
    pub fn add_gateway(&mut self, more_bounds: &str) -> std::io::Result<()> {
        let number = u8::try_from(self.gateways.len()).unwrap_or(0) + 1;
        let name = format!("edge-zone-a-{number}");
        let ip = Ipv4Addr::new(127, self.subnet[0], self.subnet[1], 10 + number);
        let settings = self.settings(&name, ip, more_bounds);
        fs::write(self.folder.join(format!("{name}.json")), settings)?;
        let process = self.launch(&name)?;
        self.gateways.push(Gateway { name, ip, process });
        Ok(())
    }

    /// Asks a gateway to stop, as for a planned restart.
    pub fn terminate(&self, index: usize) -> std::io::Result<()> {
        let process = self.gateways[index].process.id().to_string();
        Command::new("kill").args(["-TERM", &process]).status()?;
        Ok(())
    }

    /// Starts a gateway that has ended again.
    pub fn relaunch(&mut self, index: usize) -> std::io::Result<()> {
        let name = self.gateways[index].name.clone();
        self.gateways[index].process = self.launch(&name)?;
        Ok(())
    }

    pub fn callers(&self, index: usize) -> SocketAddr {
        (self.gateways[index].ip, CALLERS_PORT).into()
    }

    pub fn is_ready(&self, index: usize) -> bool {
        fetch((self.gateways[index].ip, READY_PORT).into(), "/v1/readyz")
            .is_some_and(|it| it.status() == 200)
    }

    /// Returns what a gateway says of itself.
    pub fn state(&self, index: usize) -> String {
        let state = fetch((self.gateways[index].ip, STATE_PORT).into(), "/state");
        state.map_or_else(String::new, |it| {
            String::from_utf8_lossy(&it.body).into_owned()
        })
    }

    /// Waits until all gateways are ready and know this many servers.
    pub fn wait_until_ready(&self, servers: usize) -> bool {
        let until = Instant::now() + Duration::from_secs(20);
        while Instant::now() < until {
            let mut all = 0..self.gateways.len();
            if all.all(|index| {
                self.is_ready(index) && self.state(index).matches("\"boot\":").count() >= servers
            }) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Returns the index of the gateway that holds each shard, as the gateways last logged it.
    pub fn holders(&self) -> BTreeMap<u64, usize> {
        let mut holders = BTreeMap::new();
        for index in 0..self.gateways.len() {
            for line in self.log(index).lines() {
                let Some(line) = json::parse(line).filter(|it| it.text("event") == "lease") else {
                    continue;
                };
                if let Some(lease) = line
                    .get("with")
                    .filter(|it| it.get("holder") == Some(&Json::Bool(true)))
                {
                    holders.insert(lease.number("shard"), index);
                }
            }
        }
        holders
    }

    /// Whether a gateway has given orders to a worker, as it logged them.
    pub fn orders(&self, index: usize, worker: &str) -> bool {
        let quoted = format!("\"worker\":\"{worker}\"");
        let log = self.log(index);
        let mut orders = log
            .lines()
            .filter(|line| line.contains("\"event\":\"order\""));
        orders.any(|line| line.contains(&quoted))
    }

    /// Returns the log of a gateway.
    pub fn log(&self, index: usize) -> String {
        let path = self
            .folder
            .join(format!("{}.log", self.gateways[index].name));
        fs::read_to_string(path).unwrap_or_default()
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        for gateway in &mut self.gateways {
            let _ = gateway.process.kill();
            let _ = gateway.process.wait();
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Returns the program that the deploy file starts.
fn program() -> std::io::Result<String> {
    let deploy = fs::read_to_string("deploy/system.toml")?;
    let run = deploy
        .lines()
        .find_map(|line| line.strip_prefix("run = \""));
    let run = run.and_then(|run| run.strip_suffix('"'));
    run.map(str::to_owned)
        .ok_or_else(|| std::io::ErrorKind::InvalidData.into())
}

fn fetch(address: SocketAddr, path: &str) -> Option<Message> {
    let mut channel = Channel::open(address).ok()?;
    channel
        .stream
        .set_read_timeout(Some(Duration::from_secs(2)))
        .ok()?;
    let request = format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    channel.send(request.as_bytes()).ok()?;
    channel.message().ok()
}

/// Answers a call to a server: its own paths, or a request for it.
fn answer(id: &str, call: &Message, channel: &mut Channel, work: &Work) -> bool {
    if call.path() == "/healthz" {
        return channel
            .send(&response("200 OK", &[("X-Instance-Id", id)], b""))
            .is_ok();
    }
    if call
        .header("x-expected-instance")
        .is_some_and(|expected| expected != id)
    {
        let headers = [("X-Instance-Id", id)];
        return channel
            .send(&response("421 Misdirected Request", &headers, b""))
            .is_ok();
    }
    work(call, channel)
}

/// The usual headers of an answer that a server made.
pub fn signed<'a>(call: &'a Message, signature: &'a str) -> Vec<(&'a str, &'a str)> {
    vec![
        ("X-Request-Id", call.header("x-request-id").unwrap_or("")),
        ("X-Response-Signature", signature),
    ]
}

/// A configuration with a plain service, and model workers for streams that may be resumed.
pub fn config(version: u64, more: &str) -> String {
    format!(
        r#"{{"Version":{version},"Routes":[{{"Name":"r-check","Hostname":"h.example","PathPrefix":"/check/","Type":"safe","TimeoutMs":1200,"TargetLatencyMs":200,"Priority":1,"Service":"app","MaxAttempts":2}},{{"Name":"r-issue","Hostname":"h.example","PathPrefix":"/issue/","Type":"unsafe","TimeoutMs":1200,"TargetLatencyMs":200,"Priority":1,"Service":"app","MaxAttempts":2}},{{"Name":"r-map","Hostname":"h.example","PathPrefix":"/map/","Type":"streaming","TimeoutMs":5000,"TargetLatencyMs":800,"Priority":1,"Service":"llm","MaxAttempts":1,"Sticky":true,"Resumable":false,"GapTargetMs":300}},{{"Name":"r-map-bg","Hostname":"h.example","PathPrefix":"/map-bg/","Type":"streaming","TimeoutMs":6000,"TargetLatencyMs":1500,"Priority":2,"Service":"llm","MaxAttempts":2,"Sticky":true,"Resumable":true,"GapTargetMs":300}}],"Services":[{{"Name":"app","HealthPath":"/healthz","MaxConnections":110,"Protocol":"h1","Tls":false}},{{"Name":"llm","HealthPath":"/healthz","MaxConnections":370,"Protocol":"h1","Tls":false,"Engine":{{"Slots":64,"KvCapacity":162655,"WeightsMb":200000.0,"AdapterCapacity":8,"LoadsPerS":1.6,"Models":[{{"Name":"m0","WeightsMb":34300.0,"LoadTimeS":1.2,"Adapters":31,"AdapterSizeMb":40.0}},{{"Name":"m1","WeightsMb":72700.0,"LoadTimeS":1.2,"Adapters":0,"AdapterSizeMb":66.0}}]}}}}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":5000,"IdleTimeoutMs":15000}}{more}}}"#
    )
}

static LAST_ID: AtomicU64 = AtomicU64::new(1);

pub fn new_id() -> String {
    let number = LAST_ID.fetch_add(1, Ordering::Relaxed);
    format!("{:08x}{number:08x}", std::process::id())
}

/// Builds a request of a caller.
pub fn request(path: &str, id: &str, deadline_ms: u64, more: &str) -> Vec<u8> {
    let body = "x".repeat(40);
    let text = format!(
        "POST {path} HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: {deadline_ms}\r\n{more}Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    text.into_bytes()
}
