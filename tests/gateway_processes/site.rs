//! A stand-in platform with gateway instances, and helpers that send requests.

use serde_json::{Value, json};
use standins::platform::Platform;
use standins::process::Process;
use standins::worker::{Fault, Worker};
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU8, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// Time-out for conditions that tests wait for.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
/// Grace time of a stop in seconds.
pub const GRACE_S: u64 = 8;
/// Retry budget in the stand-in's settings: retries for each request, and extra ones in a
/// window.
pub const RETRY_RATIO: f64 = 0.2;
pub const EXTRA_RETRIES: f64 = 56.0;
pub const RETRY_WINDOW: Duration = Duration::from_secs(10);
pub const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Limit on the instances of a site.
const MAX_INSTANCES: u8 = 64;

static SUBNET: AtomicU8 = AtomicU8::new(1);

/// Path of the gateway of another build, which every second start uses where it is set.
const OTHER_BUILD: &str = "OTHER_BUILD";

/// Whether instances of another build run beside those of this one.
pub fn has_other_build() -> bool {
    std::env::var_os(OTHER_BUILD).is_some()
}

/// A platform with gateway instances.
pub struct Site {
    pub platform: Platform,
    pub instances: Vec<(Ipv4Addr, Process)>,
    /// Data centres of the instances that are not in the usual one.
    data_centres: BTreeMap<usize, &'static str>,
    folder: PathBuf,
    keeps_logs: bool,
    subnet: u8,
    /// Number of instances started so far.
    launches: AtomicUsize,
    /// Time after which a revoked key must not be served, if the settings state one.
    revocation_ms: Option<u64>,
}

pub fn config(timeout_ms: u64) -> Value {
    let route = |name: &str, kind: &str, service: &str, resumable: bool| {
        json!({"Name": name, "Hostname": "h", "PathPrefix": format!("/{name}/"), "Type": kind,
            "TimeoutMs": timeout_ms, "TargetLatencyMs": 200, "Priority": 1, "Service": service,
            "MaxAttempts": 2, "Resumable": resumable})
    };
    let models = ["m1", "m2"].map(|name| {
        json!({"Name": name, "WeightsMb": 40, "LoadTimeS": 0.1, "Adapters": 3,
            "AdapterSizeMb": 1})
    });
    json!({
        "Version": timeout_ms,
        "Routes": [route("draft", "streaming", "llm", false), route("long", "streaming", "llm", true),
            route("issue", "unsafe", "app", false), route("check", "safe", "app", false)],
        "Services": [{"Name": "llm", "MaxConnections": 50, "Engine": {"Slots": 8,
                "KvCapacity": 100_000, "WeightsMb": 100, "AdapterCapacity": 2, "LoadsPerS": 2,
                "Models": models}},
            {"Name": "app", "MaxConnections": 50}],
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 1000, "IdleTimeoutMs": 15000},
    })
}

impl Site {
    /// Starts workers `a` and `b` with models, and servers `p` and `q` of the plain service.
    pub fn start(instances: u8) -> Self {
        Self::start_with_store(instances, false, GRACE_S)
    }

    /// Starts one instance and waits until it is ready.
    pub fn ready() -> Self {
        let site = Self::start(1);
        site.wait_until_ready();
        site
    }

    /// Starts one ready instance with workers that break a stream off after four events.
    pub fn with_cut_streams() -> Self {
        let site = Self::ready();
        site.set_fault(&["a", "b"], Fault::CutAfter(4));
        site
    }

    /// Starts one ready instance with additional workers.
    pub fn ready_with(more: Vec<Worker>) -> Self {
        let site = Self::start_all(more, 1, GRACE_S, Platform::start);
        site.wait_until_ready();
        site
    }

    pub fn start_with_store(instances: u8, store_down: bool, grace_s: u64) -> Self {
        let start = |workers| {
            let platform = Platform::start(workers);
            platform.set_down(store_down);
            platform
        };
        Self::start_all(Vec::new(), instances, grace_s, start)
    }

    /// Starts the usual and these additional workers, on a platform that `start` creates.
    pub fn start_all(
        more: Vec<Worker>,
        instances: u8,
        grace_s: u64,
        start: impl FnOnce(Vec<Worker>) -> Platform,
    ) -> Self {
        let mut workers = vec![
            Worker::new("a", "llm", &["m1"], 10, POLL_INTERVAL),
            Worker::new("b", "llm", &["m1", "m2"], 10, POLL_INTERVAL),
            Worker::new("p", "app", &[], 0, POLL_INTERVAL),
            Worker::new("q", "app", &[], 0, POLL_INTERVAL),
        ];
        workers.extend(more);
        let platform = start(workers);
        platform.configure(&config(5_000));
        let subnet = SUBNET.fetch_add(1, Ordering::Relaxed);
        let folder = format!("poplarseam-gateway-{}-{subnet}", std::process::id());
        let folder = std::env::temp_dir().join(folder);
        std::fs::create_dir_all(&folder).unwrap();
        let mut site = Self {
            platform,
            instances: Vec::new(),
            data_centres: BTreeMap::new(),
            folder,
            keeps_logs: false,
            subnet,
            launches: AtomicUsize::new(0),
            revocation_ms: None,
        };
        for _ in 0..instances {
            site.add_instance(grace_s);
        }
        site
    }

    /// Starts a site whose settings state the time after which a revoked key must not be served.
    pub fn start_with_revocation(instances: u8, revocation_ms: u64) -> Self {
        let mut site = Self::start(0);
        site.revocation_ms = Some(revocation_ms);
        for _ in 0..instances {
            site.add_instance(GRACE_S);
        }
        site
    }

    /// Adds an instance in another data centre.
    pub fn add_instance_in(&mut self, data_centre: &'static str, grace_s: u64) {
        self.data_centres.insert(self.instances.len(), data_centre);
        self.add_instance(grace_s);
    }

    pub fn add_instance(&mut self, grace_s: u64) {
        let number = u8::try_from(self.instances.len() + 1).unwrap();
        assert!(number < MAX_INSTANCES);
        // Test processes that run side by side have addresses of their own.
        let pid = std::process::id().to_le_bytes();
        let host = pid[1] % 4 * MAX_INSTANCES + number;
        let ip = Ipv4Addr::new(127, pid[0], self.subnet, host);
        let process = self.launch(ip, grace_s);
        self.instances.push((ip, process));
    }

    /// Keeps the logs of the instances after the test.
    pub fn keep_logs(&mut self) {
        self.keeps_logs = true;
    }

    /// Kills an instance and restarts it at once.
    pub fn restart(&mut self, instance: usize) {
        self.instances[instance].1.kill();
        self.relaunch(instance);
    }

    /// Restarts an instance that has ended.
    pub fn relaunch(&mut self, instance: usize) {
        let ip = self.instances[instance].0;
        self.instances[instance].1 = self.launch(ip, GRACE_S);
    }

    fn launch(&self, ip: Ipv4Addr, grace_s: u64) -> Process {
        let number = ip.octets()[3] % MAX_INSTANCES;
        let name = format!("edge-{number}");
        let settings = self.folder.join(format!("{name}.json"));
        let mut values = self.platform.settings(&name, ip);
        values["Bounds"]["GraceS"] = json!(grace_s);
        if let Some(revocation_ms) = self.revocation_ms {
            values["Bounds"]["RevokeStrict"] = json!(true);
            values["Bounds"]["RevokeMs"] = json!(revocation_ms);
        }
        let index = usize::from(number) - 1;
        if let Some(data_centre) = self.data_centres.get(&index) {
            values["Zone"] = json!(data_centre);
        }
        std::fs::write(&settings, values.to_string()).unwrap();
        let path = settings.to_string_lossy().into_owned();
        let environment = [("POPLARSEAM_SETTINGS".to_owned(), path)];
        let launches = self.launches.fetch_add(1, Ordering::Relaxed);
        let other = std::env::var(OTHER_BUILD).ok();
        let other = other.filter(|_| launches % 2 == 1);
        let program = other.as_deref().unwrap_or("poplarseam-gateway");
        Process::start(program, &name, &environment, &self.folder)
    }

    pub fn callers(&self, instance: usize) -> SocketAddr {
        (self.instances[instance].0, 8000).into()
    }

    pub fn status(&self, instance: usize, port: u16, path: &str) -> u16 {
        let address = (self.instances[instance].0, port).into();
        let answer = exchange(address, &format!("GET {path} HTTP/1.1\r\nHost: x\r\n\r\n"));
        answer.map_or(0, |answer| status(&answer))
    }

    pub fn state(&self, instance: usize) -> Value {
        let address = (self.instances[instance].0, 7001).into();
        let answer = exchange(address, "GET /state HTTP/1.1\r\nHost: x\r\n\r\n");
        let answer = answer.unwrap_or_default();
        let body = answer.split_once("\r\n\r\n").map_or("", |(_, body)| body);
        serde_json::from_str(body).unwrap_or_default()
    }

    pub fn wait_until_ready(&self) {
        wait_for("ready", || {
            (0..self.instances.len())
                .all(|instance| self.status(instance, 8001, "/v1/readyz") == 200)
        });
        wait_for("the list of instances is read", || {
            let mut states = (0..self.instances.len()).map(|instance| self.state(instance));
            states.all(|state| state["sharers"].is_u64())
        });
        wait_for("all servers listed", || {
            let states = (0..self.instances.len()).map(|instance| self.state(instance));
            let mut counts = states.map(|state| state["servers"].as_array().map_or(0, Vec::len));
            counts.all(|count| count == self.platform.workers().count())
        });
    }

    pub fn ask(&self, path: &str, id: &str, model: &str) -> String {
        self.ask_at(0, path, id, model)
    }

    pub fn ask_at(&self, instance: usize, path: &str, id: &str, model: &str) -> String {
        let answer = exchange(self.callers(instance), &request(path, id, model));
        answer.unwrap_or_default()
    }

    pub fn set_fault(&self, workers: &[&str], fault: Fault) {
        for worker in workers {
            self.platform.worker(worker).set(fault);
        }
    }

    pub fn run_count(&self, id: &str) -> usize {
        let ran = self.platform.workers().flat_map(Worker::ran);
        ran.filter(|ran| ran == id).count()
    }

    /// Returns the number of workers that ran a request.
    pub fn worker_count(&self, id: &str) -> usize {
        let workers = self.platform.workers();
        let ran = workers.filter(|worker| worker.ran().iter().any(|ran| ran == id));
        ran.count()
    }

    /// Returns a counter of an instance; 0 if it does not exist.
    pub fn counter(&self, instance: usize, name: &str) -> u64 {
        let address = (self.instances[instance].0, 7001).into();
        let text = exchange(address, "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n");
        let text = text.unwrap_or_default();
        let value = text.lines().find_map(|line| line.strip_prefix(name));
        value.map_or(0, |value| value.trim().parse().unwrap())
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        if self.keeps_logs || std::thread::panicking() {
            println!("logs: {}", self.folder.display());
        } else {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

pub fn request(path: &str, id: &str, model: &str) -> String {
    request_with_parts(path, id, model, "1:100")
}

/// A request whose prompt has these parts, as pairs of an id and its tokens.
pub fn request_with_parts(path: &str, id: &str, model: &str, parts: &str) -> String {
    let model = if model.is_empty() {
        String::new()
    } else {
        format!("X-Model-Name: {model}\r\nX-Token-Usage: 100,20\r\nX-Prompt-Prefix: {parts}\r\n")
    };
    format!(
        "POST {path} HTTP/1.1\r\nHost: h\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 4000\r\n{model}\
         Content-Length: 2\r\n\r\nhi"
    )
}

/// Sends a request on a new connection and reads to the end of the connection.
pub fn exchange(address: SocketAddr, request: &str) -> std::io::Result<String> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    let request = request.replacen("\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1);
    exchange_on(stream, &request, Duration::from_secs(6))
}

/// Like [`exchange`], on an open connection; fails if nothing arrives for `silence`.
pub fn exchange_on(
    mut stream: TcpStream,
    request: &str,
    silence: Duration,
) -> std::io::Result<String> {
    stream.set_read_timeout(Some(silence))?;
    stream.write_all(request.as_bytes())?;
    let mut answer = Vec::new();
    let read = stream.read_to_end(&mut answer);
    if answer.is_empty() {
        read?;
    }
    Ok(String::from_utf8_lossy(&answer).into_owned())
}

pub fn status(answer: &str) -> u16 {
    let code = answer.split(' ').nth(1);
    code.and_then(|code| code.parse().ok()).unwrap_or(0)
}

pub fn wait_for(what: &str, mut holds: impl FnMut() -> bool) {
    let until = Instant::now() + WAIT_TIMEOUT;
    while !holds() {
        assert!(Instant::now() < until, "not in time: {what}");
        std::thread::sleep(POLL_INTERVAL);
    }
}
