//! A whole site on loopback addresses: stand-ins in this process, the system's programs as
//! processes of their own.

use crate::client::{self, Answer, Events};
use crate::engine::{Config, Engine};
use crate::http::Host;
use crate::process::Process;
use crate::service::Runs;
use crate::table::Table;
use crate::weights::Limits;
use crate::{instances, objects, service, table, weights};
use poplarseam::wire::key::digest;
use serde_json::{Value, json};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Key that the processes share.
pub const MESH_KEY: &str = "a-mesh-key-for-tests-only";
/// Key of the site's operators.
pub const OPERATOR_KEY: &str = "an-operator-key-for-tests";

const CALLERS: u16 = 8080;
const MESH: u16 = 7000;
const OPERATORS: u16 = 9000;
const PLATFORM: u16 = 6000;
const BACK_END: u16 = 5000;
/// Longest wait for anything that a test waits for.
const PATIENCE: Duration = Duration::from_secs(30);

/// What a site is made of.
#[derive(Debug, Clone)]
pub struct Shape {
    pub entries: usize,
    pub placers: usize,
    pub settings: usize,
    pub engines: Vec<Config>,
    pub services: usize,
    /// Time that a plain service takes for a call.
    pub work: Duration,
    pub weights: Limits,
    /// Further settings of the processes, as variables.
    pub environment: Vec<(String, String)>,
}

impl Default for Shape {
    fn default() -> Self {
        Self {
            entries: 2,
            placers: 1,
            settings: 1,
            engines: vec![Config::default(); 2],
            services: 1,
            work: Duration::from_millis(5),
            weights: Limits {
                loads_per_second: 20.0,
                slots: 4,
                load: Duration::from_millis(50),
            },
            environment: vec![("POPLARSEAM_ORDER_DELAY".into(), "1s".into())],
        }
    }
}

/// A kind of process, with the offset of its ports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    Entry,
    Placer,
    Settings,
}

impl Role {
    const fn program(self) -> &'static str {
        match self {
            Self::Entry => "poplarseam-entry",
            Self::Placer => "poplarseam-placer",
            Self::Settings => "poplarseam-settings",
        }
    }

    const fn port(self, base: u16) -> u16 {
        match self {
            Self::Entry => base,
            Self::Placer => base + 1,
            Self::Settings => base + 2,
        }
    }
}

/// A running site.
pub struct Site {
    pub shape: Shape,
    /// Second and third byte of all addresses.
    net: (u8, u8),
    pub rows: Arc<Mutex<Table>>,
    pub table: Host,
    pub objects: Host,
    pub weights: Host,
    pub instances: Host,
    pub engines: Vec<(Host, Arc<Engine>)>,
    pub services: Vec<Host>,
    pub runs: Runs,
    pub entries: Vec<Process>,
    pub placers: Vec<Process>,
    pub settings: Vec<Process>,
    folder: PathBuf,
}

impl Site {
    /// Starts stand-ins and processes, and waits until the processes are ready.
    #[must_use]
    pub fn start(shape: Shape) -> Self {
        let net = (rand::random_range(1..=254), rand::random_range(1..=254));
        let platform = |last| SocketAddr::new(ip(net, 250), PLATFORM + last);
        let rows = Arc::new(Mutex::new(Table::default()));
        let weights = weights::start(platform(2), shape.weights);
        let engines = start_engines(net, &shape, weights.address);
        let runs = Runs::default();
        let services = (0..shape.services)
            .map(|at| service::start_with(service_address(net, at), shape.work, Arc::clone(&runs)));
        let services = services.collect();
        let folder = std::env::temp_dir().join(format!(
            "poplarseam-{}-{}-{}",
            std::process::id(),
            net.0,
            net.1
        ));
        std::fs::create_dir_all(&folder).expect("a folder for logs");
        let mut site = Self {
            table: table::start_with(platform(0), Arc::clone(&rows)),
            objects: objects::start(platform(1)),
            weights,
            instances: instances::start(platform(3), Duration::from_secs(1)),
            net,
            rows,
            engines,
            services,
            runs,
            entries: Vec::new(),
            placers: Vec::new(),
            settings: Vec::new(),
            folder,
            shape,
        };
        site.list_instances();
        for at in 0..site.shape.settings {
            let process = site.launch(Role::Settings, at);
            site.settings.push(process);
        }
        for at in 0..site.shape.entries {
            let process = site.launch(Role::Entry, at);
            site.entries.push(process);
        }
        for at in 0..site.shape.placers {
            let process = site.launch(Role::Placer, at);
            site.placers.push(process);
        }
        site
    }

    /// Tells the platform's list which instances run.
    pub fn list_instances(&self) {
        let count = self
            .shape
            .entries
            .max(self.shape.placers)
            .max(self.shape.settings);
        let list = (0..count).map(|at| json!({"instance": instance(at), "leaving": false}));
        let list = Value::from(list.collect::<Vec<_>>()).to_string();
        let answer = client::call("PUT", self.instances.address, "/instances", &[], &list);
        answer.expect("the list must answer");
    }

    /// Starts one process.
    #[must_use]
    pub fn launch(&self, role: Role, at: usize) -> Process {
        let name = format!("{}-{at}", role.program());
        Process::start(
            role.program(),
            &name,
            &self.environment(role, at),
            &self.folder,
        )
    }

    fn environment(&self, role: Role, at: usize) -> Vec<(String, String)> {
        let address = |base| self.address(role, at, base).to_string();
        let peers = [
            self.address(Role::Settings, 0, MESH),
            self.address(Role::Entry, 0, MESH),
        ];
        let peers: Vec<String> = peers.iter().map(ToString::to_string).collect();
        let mut variables: Vec<(String, String)> = [
            ("INSTANCE", instance(at)),
            ("DATA_CENTRE", data_centre(at).into()),
            ("REGION", region(at).into()),
            ("CALLERS", address(CALLERS)),
            ("MESH", address(MESH)),
            ("OPERATORS", address(OPERATORS)),
            ("PEERS", peers.join(",")),
            ("MESH_KEYS", MESH_KEY.into()),
            ("OPERATOR_KEY", OPERATOR_KEY.into()),
            ("TABLE", self.table.address.to_string()),
            ("OBJECTS", self.objects.address.to_string()),
            ("INSTANCES", self.instances.address.to_string()),
        ]
        .map(|(name, value)| (format!("POPLARSEAM_{name}"), value))
        .to_vec();
        variables.extend(self.shape.environment.clone());
        variables
    }

    fn address(&self, role: Role, at: usize, base: u16) -> SocketAddr {
        SocketAddr::new(ip(self.net, instance_byte(at)), role.port(base))
    }

    /// Callers' address of an entry.
    #[must_use]
    pub fn callers(&self, entry: usize) -> SocketAddr {
        self.address(Role::Entry, entry, CALLERS)
    }

    /// Mesh address of a process.
    #[must_use]
    pub fn mesh(&self, role: Role, at: usize) -> SocketAddr {
        self.address(role, at, MESH)
    }

    /// Operators' address of a process.
    #[must_use]
    pub fn operators(&self, role: Role, at: usize) -> SocketAddr {
        self.address(role, at, OPERATORS)
    }

    /// Settings of the subtree `site` for this site's back ends and teams, each with the limit.
    #[must_use]
    pub fn contracts(&self, teams: &[(&str, f64)]) -> Value {
        let mut entries = serde_json::Map::new();
        for (at, (host, _)) in self.engines.iter().enumerate() {
            let config = &self.shape.engines[at];
            let worker = json!({
                "address": host.address,
                "data_centre": data_centre(at),
                "region": region(at),
                "memory": config.memory,
                "batch": config.batch,
                "checks_fences": config.checks_fences,
            });
            entries.insert(format!("workers/w{at}"), worker);
        }
        let servers = self.services.iter().enumerate().map(|(at, host)| {
            let place = json!({
                "address": host.address,
                "data_centre": data_centre(at),
                "region": region(at),
            });
            (format!("s{at}"), place)
        });
        let servers: serde_json::Map<String, Value> = servers.collect();
        let service = json!({"servers": servers, "idempotent": ["read"]});
        entries.insert("services/stores".into(), service);
        for (team, limit) in teams {
            let key = digest(operator_key(team).as_bytes());
            let contract = json!({"operator_key": key, "limit": limit});
            entries.insert(format!("teams/{team}"), contract);
        }
        let placement = json!({"loads_per_second": 20.0, "load_slots": 4});
        entries.insert("placement".into(), placement);
        entries.into()
    }

    /// Changes a subtree with a key.
    #[must_use]
    pub fn change(&self, key: &str, subtree: &str, change: &Value) -> Answer {
        let address = self.operators(Role::Settings, 0);
        let bearer = format!("Bearer {key}");
        let headers = [("Authorization", bearer.as_str())];
        let path = format!("/settings/{subtree}");
        let answer = client::call("PATCH", address, &path, &headers, &change.to_string());
        answer.expect("an answer")
    }

    /// Changes a subtree and waits until it is in force on every live process.
    pub fn set(&self, subtree: &str, change: &Value) {
        self.wait_until("settings answer", || self.is_ready(Role::Settings, 0));
        let answer = self.change(OPERATOR_KEY, subtree, change);
        assert_eq!(answer.status, 200, "{}", answer.body);
        let position = answer.json()["position"].as_u64().unwrap_or(0);
        self.wait_until("change in force", || self.is_in_force(position));
    }

    /// Whether every process that runs has a change in force.
    #[must_use]
    pub fn is_in_force(&self, position: u64) -> bool {
        let all = self.all().into_iter();
        all.filter(|(role, at)| self.runs(*role, *at))
            .all(|(role, at)| {
                self.dump(role, at)["position"]
                    .as_u64()
                    .is_some_and(|seen| seen >= position)
            })
    }

    fn all(&self) -> Vec<(Role, usize)> {
        let roles = [
            (Role::Entry, self.entries.len()),
            (Role::Placer, self.placers.len()),
            (Role::Settings, self.settings.len()),
        ];
        roles
            .iter()
            .flat_map(|(role, count)| (0..*count).map(move |at| (*role, at)))
            .collect()
    }

    fn runs(&self, role: Role, at: usize) -> bool {
        client::call("GET", self.operators(role, at), "/health", &[], "").is_ok()
    }

    /// Whether a process takes new work.
    #[must_use]
    pub fn is_ready(&self, role: Role, at: usize) -> bool {
        let answer = client::call("GET", self.operators(role, at), "/ready", &[], "");
        answer.is_ok_and(|answer| answer.status == 200)
    }

    /// State of a process, null where it does not answer.
    #[must_use]
    pub fn dump(&self, role: Role, at: usize) -> Value {
        let bearer = format!("Bearer {OPERATOR_KEY}");
        let headers = [("Authorization", bearer.as_str())];
        let answer = client::call("GET", self.operators(role, at), "/dump", &headers, "");
        answer.map_or(Value::Null, |answer| answer.json())
    }

    /// Creates a team with a key for callers, `TEAM-key`, and a model for everybody.
    pub fn set_up(&self, teams: &[(&str, f64)], models: &[(&str, u64)]) {
        self.set("site", &self.contracts(teams));
        let models = models.iter().map(|(name, size)| {
            (
                format!("models/{name}"),
                json!({"version": "v1", "size": size}),
            )
        });
        self.set(
            "site",
            &Value::from(models.collect::<serde_json::Map<_, _>>()),
        );
        for (team, _) in teams {
            let key = format!("keys/{}", digest(caller_key(team).as_bytes()));
            self.set(team, &json!({ key: {} }));
        }
        self.wait_until("every entry ready", || {
            (0..self.entries.len()).all(|at| self.is_ready(Role::Entry, at))
        });
    }

    /// Asks an entry for a completion, whole.
    ///
    /// # Errors
    /// When no whole answer came.
    pub fn ask(
        &self,
        entry: usize,
        team: &str,
        model: &str,
        prompt: &str,
        tokens: u64,
    ) -> attohttpc::Result<Answer> {
        let bearer = format!("Bearer {}", caller_key(team));
        let headers = [("Authorization", bearer.as_str())];
        let body = completion(model, prompt, tokens, false);
        client::call(
            "POST",
            self.callers(entry),
            "/v1/completions",
            &headers,
            &body,
        )
    }

    /// Asks an entry for a chat completion with these messages, the first one from the system.
    ///
    /// # Errors
    /// If there is no answer.
    pub fn chat(
        &self,
        entry: usize,
        team: &str,
        model: &str,
        messages: &[&str],
    ) -> attohttpc::Result<Answer> {
        let bearer = format!("Bearer {}", caller_key(team));
        let headers = [("Authorization", bearer.as_str())];
        let role = |at: usize| if at == 0 { "system" } else { "user" };
        let messages = messages.iter().enumerate();
        let messages: Vec<_> = messages
            .map(|(at, text)| json!({"role": role(at), "content": text}))
            .collect();
        let body = json!({"model": model, "messages": messages, "max_tokens": 5}).to_string();
        let address = self.callers(entry);
        client::call("POST", address, "/v1/chat/completions", &headers, &body)
    }

    /// Asks an entry for a completion as a stream, from an event on where one is given.
    ///
    /// # Errors
    /// When no answer came.
    pub fn stream(
        &self,
        entry: usize,
        team: &str,
        model: &str,
        prompt: &str,
        tokens: u64,
        last_event: Option<&str>,
    ) -> attohttpc::Result<Events> {
        let bearer = format!("Bearer {}", caller_key(team));
        let mut headers = vec![("Authorization", bearer.as_str())];
        headers.extend(last_event.map(|event| ("Last-Event-ID", event)));
        let body = completion(model, prompt, tokens, true);
        client::stream(self.callers(entry), "/v1/completions", &headers, &body)
    }

    /// Calls the plain service through an entry.
    ///
    /// # Errors
    /// When no whole answer came.
    pub fn call_service(
        &self,
        entry: usize,
        team: &str,
        path: &str,
        key: &str,
        body: &str,
    ) -> attohttpc::Result<Answer> {
        let bearer = format!("Bearer {}", caller_key(team));
        let mut headers = vec![("Authorization", bearer.as_str())];
        if !key.is_empty() {
            headers.push(("Idempotency-Key", key));
        }
        let path = format!("/services/stores/{path}");
        client::call("POST", self.callers(entry), &path, &headers, body)
    }

    /// Waits until something holds.
    pub fn wait_until(&self, what: &str, holds: impl Fn() -> bool) {
        const POLL: Duration = Duration::from_millis(20);
        let until = Instant::now() + PATIENCE;
        while !holds() {
            assert!(
                Instant::now() < until,
                "not in time: {what}\n{}",
                self.logs()
            );
            std::thread::sleep(POLL);
        }
    }

    /// Waits until a model answers at every entry.
    pub fn wait_for_model(&self, team: &str, model: &str) {
        for entry in 0..self.entries.len() {
            self.wait_until(&format!("{model} at entry {entry}"), || {
                self.ask(entry, team, model, "ready?", 1)
                    .is_ok_and(|answer| answer.status == 200)
            });
        }
    }

    /// Times that an engine held more than it has.
    #[must_use]
    pub fn breaches(&self) -> u64 {
        let engines = self.engines.iter();
        engines
            .map(|(_, engine)| engine.memory().lock().unwrap().breaches)
            .sum()
    }

    fn logs(&self) -> String {
        let processes = self
            .entries
            .iter()
            .chain(&self.placers)
            .chain(&self.settings);
        let tails = processes.map(|process| {
            let log = process.log();
            let lines: Vec<&str> = log.lines().collect();
            lines[lines.len().saturating_sub(8)..].join("\n")
        });
        tails.collect::<Vec<_>>().join("\n--\n")
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.entries.clear();
        self.placers.clear();
        self.settings.clear();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn start_engines(net: (u8, u8), shape: &Shape, weights: SocketAddr) -> Vec<(Host, Arc<Engine>)> {
    let configs = shape.engines.iter().enumerate();
    let engines = configs.map(|(at, config)| {
        let byte = 100 + u8::try_from(at).expect("at most 99 engines");
        let address = SocketAddr::new(ip(net, byte), BACK_END);
        Engine::start(
            address,
            Config {
                weights: Some(weights),
                ..config.clone()
            },
        )
    });
    engines.collect()
}

fn service_address(net: (u8, u8), at: usize) -> SocketAddr {
    let byte = 200 + u8::try_from(at).expect("few services");
    SocketAddr::new(ip(net, byte), BACK_END)
}

fn ip(net: (u8, u8), last: u8) -> IpAddr {
    Ipv4Addr::new(127, net.0, net.1, last).into()
}

fn instance_byte(at: usize) -> u8 {
    1 + u8::try_from(at).expect("at most 99 instances")
}

/// Name of an instance.
#[must_use]
pub fn instance(at: usize) -> String {
    format!("i{at}")
}

fn data_centre(at: usize) -> &'static str {
    ["north-a", "north-b", "south-a"][at % 3]
}

fn region(at: usize) -> &'static str {
    ["north", "north", "south"][at % 3]
}

/// Key of a team's callers.
#[must_use]
pub fn caller_key(team: &str) -> String {
    format!("{team}-key")
}

/// Key of a team's operators.
#[must_use]
pub fn operator_key(team: &str) -> String {
    format!("{team}-operators-key")
}

/// Body of a request for a completion.
#[must_use]
pub fn completion(model: &str, prompt: &str, tokens: u64, stream: bool) -> String {
    let body = json!({"model": model, "prompt": prompt, "max_tokens": tokens, "stream": stream});
    body.to_string()
}

/// The whole answer that the engines give to a prompt.
#[must_use]
pub fn expected(prompt: &str, tokens: u64) -> String {
    (0..tokens)
        .map(|position| crate::engine::word(prompt, position))
        .collect()
}
