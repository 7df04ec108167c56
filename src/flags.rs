//! Settings of the processes. A flag overrides the environment variable, which overrides the
//! default.
//!
//! All settings are validated at the start, and all invalid ones are reported together. The flag
//! `--store-timeout`, for example, has the environment variable `POPLARSEAM_STORE_TIMEOUT`.

use crate::common::*;
use crate::wire::key;
use crate::world::{id, time};
use gumdrop::Options;

/// Flags as given on the command line, not yet validated.
#[derive(Debug, Default, Options)]
pub struct Flags {
    #[options(no_short, help = "print this help")]
    pub help: bool,
    #[options(no_short, help = "print the version")]
    pub version: bool,
    #[options(
        no_short,
        help = "check the settings and exit with 0 (valid) or 2 (invalid)"
    )]
    pub check: bool,
    #[options(no_short, meta = "NAME", help = "name of this instance (required)")]
    pub instance: Option<String>,
    #[options(
        no_short,
        meta = "NAME",
        help = "data centre of this instance (required)"
    )]
    pub data_centre: Option<String>,
    #[options(no_short, meta = "NAME", help = "region of this instance (required)")]
    pub region: Option<String>,
    #[options(
        no_short,
        meta = "IP:PORT",
        help = "where callers connect (entry; default 127.0.0.1:8080)"
    )]
    pub callers: Option<String>,
    #[options(no_short, meta = "IP:PORT", help = "where peers connect (required)")]
    pub mesh: Option<String>,
    #[options(
        no_short,
        meta = "IP:PORT",
        help = "where operators connect (required)"
    )]
    pub operators: Option<String>,
    #[options(
        no_short,
        meta = "IP:PORT,…",
        help = "mesh addresses of some peers (default none)"
    )]
    pub peers: Option<String>,
    #[options(
        no_short,
        meta = "KEY[,OLD]",
        help = "keys that all processes share; better set in the environment (required)"
    )]
    pub mesh_keys: Option<String>,
    #[options(
        no_short,
        meta = "KEY",
        help = "key of the site's operators; better set in the environment (required)"
    )]
    pub operator_key: Option<String>,
    #[options(no_short, meta = "IP:PORT", help = "the table service (required)")]
    pub table: Option<String>,
    #[options(
        no_short,
        meta = "IP:PORT",
        help = "the object store (default none: large outcomes are not kept)"
    )]
    pub objects: Option<String>,
    #[options(
        no_short,
        meta = "IP:PORT",
        help = "the platform's list of instances (default none)"
    )]
    pub instances: Option<String>,
    #[options(
        no_short,
        meta = "TIME",
        help = "time-out for calls to the table service (default 1s)"
    )]
    pub store_timeout: Option<String>,
    #[options(no_short, meta = "TIME", help = "duration of a lease (default 3s)")]
    pub lease_term: Option<String>,
    #[options(
        no_short,
        meta = "TIME",
        help = "maximum delay of an order to an engine (default 10s)"
    )]
    pub order_delay: Option<String>,
    #[options(
        no_short,
        meta = "TIME",
        help = "time within which a request must start if it names no deadline (default 10s)"
    )]
    pub start_within: Option<String>,
    #[options(
        no_short,
        meta = "N",
        help = "maximum number of requests in flight (entry; default 1024)"
    )]
    pub max_requests: Option<String>,
    #[options(
        no_short,
        meta = "BYTES",
        help = "maximum size of a request body (entry; default 1048576)"
    )]
    pub max_body: Option<String>,
    #[options(
        no_short,
        meta = "MB",
        help = "memory of the machine, of which requests may take a quarter (entry; default 512)"
    )]
    pub memory_mb: Option<String>,
    #[options(
        no_short,
        meta = "N",
        help = "maximum number of open descriptors (entry; default 8192)"
    )]
    pub max_fds: Option<String>,
    #[options(
        no_short,
        meta = "TIME",
        help = "maximum time of a graceful shutdown (default 600s)"
    )]
    pub drain_timeout: Option<String>,
    #[options(
        no_short,
        meta = "LEVEL",
        help = "error, warn, info or debug (default info)"
    )]
    pub log_level: Option<String>,
}

/// Validated settings.
#[derive(Debug, Clone)]
pub struct Settings {
    pub instance: id::Instance,
    pub data_centre: id::DataCentre,
    pub region: id::Region,
    pub callers: SocketAddr,
    pub mesh: SocketAddr,
    pub operators: SocketAddr,
    pub peers: Vec<SocketAddr>,
    pub mesh_keys: key::Ring,
    pub operator_key: key::Key,
    pub table: SocketAddr,
    pub objects: Option<SocketAddr>,
    pub instances: Option<SocketAddr>,
    pub store_timeout: Duration,
    pub lease_term: Duration,
    pub order_delay: Duration,
    pub start_within: Duration,
    pub max_requests: usize,
    pub max_body: usize,
    pub memory_mb: usize,
    pub max_fds: usize,
    pub drain_timeout: Duration,
    pub log_level: String,
}

/// Returns the name of a flag's environment variable.
#[must_use]
pub fn variable(flag: &str) -> String {
    format!("POPLARSEAM_{}", flag.replace('-', "_").to_uppercase())
}

/// Reads settings from flags, environment and defaults, and collects the problems.
struct Reader<'a> {
    environment: &'a dyn Fn(&str) -> Option<String>,
    problems: Vec<String>,
}

impl Reader<'_> {
    fn text(&self, flag: &str, given: Option<&String>) -> Option<String> {
        given
            .cloned()
            .or_else(|| (self.environment)(&variable(flag)))
    }

    fn read<T>(
        &mut self,
        flag: &str,
        given: Option<&String>,
        default: Option<&str>,
        parse: impl Fn(&str) -> Result<T>,
    ) -> Option<T> {
        let text = self
            .text(flag, given)
            .or_else(|| default.map(str::to_owned));
        let Some(text) = text else {
            let variable = variable(flag);
            self.problems.push(format!(
                "--{flag} or {variable} is missing: give one of them"
            ));
            return None;
        };
        match parse(&text) {
            Ok(value) => Some(value),
            Err(error) => {
                let hidden = flag.contains("key");
                let shown = if hidden { "(hidden)" } else { text.as_str() };
                let variable = variable(flag);
                self.problems
                    .push(format!("--{flag} or {variable} is `{shown}`: {error}"));
                None
            }
        }
    }

    fn read_optional_address(&mut self, flag: &str, given: Option<&String>) -> Option<SocketAddr> {
        self.text(flag, given)?;
        self.read(flag, given, None, parse_address)
    }
}

fn parse_address(text: &str) -> Result<SocketAddr> {
    let invalid = || Error::Usage {
        text: "write an IP number and a port, as 127.0.0.1:8080".into(),
    };
    text.parse().map_err(|_| invalid())
}

fn parse_addresses(text: &str) -> Result<Vec<SocketAddr>> {
    text.split(',')
        .filter(|part| !part.is_empty())
        .map(parse_address)
        .collect()
}

fn parse_positive(text: &str) -> Result<usize> {
    let invalid = || Error::Usage {
        text: "write a whole number above 0".into(),
    };
    text.parse()
        .ok()
        .filter(|number| *number > 0)
        .ok_or_else(invalid)
}

fn parse_wait(text: &str) -> Result<Duration> {
    let invalid = || Error::Usage {
        text: "write a time above 0, as 500ms or 10s".into(),
    };
    time::parse(text)
        .ok()
        .filter(|time| !time.is_zero())
        .ok_or_else(invalid)
}

fn parse_level(text: &str) -> Result<String> {
    let invalid = || Error::Usage {
        text: "write error, warn, info or debug".into(),
    };
    let known = ["error", "warn", "info", "debug"];
    known
        .contains(&text)
        .then(|| text.to_owned())
        .ok_or_else(invalid)
}

impl Settings {
    /// Validates the flags and the environment, where flags take precedence.
    ///
    /// # Errors
    /// [`Error::Settings`] with one line for each invalid setting.
    pub fn check(flags: &Flags, environment: &dyn Fn(&str) -> Option<String>) -> Result<Self> {
        let mut reader = Reader {
            environment,
            problems: Vec::new(),
        };
        let settings = read(&mut reader, flags);
        match settings {
            Some(settings) if reader.problems.is_empty() => Ok(settings),
            _ => Err(Error::Settings {
                problems: reader.problems,
            }),
        }
    }
}

/// Reads every setting, also after an invalid one, so that all problems are reported.
fn read(reader: &mut Reader<'_>, flags: &Flags) -> Option<Settings> {
    let instance = reader.read("instance", flags.instance.as_ref(), None, str::parse);
    let data_centre = reader.read("data-centre", flags.data_centre.as_ref(), None, str::parse);
    let region = reader.read("region", flags.region.as_ref(), None, str::parse);
    let callers = reader.read(
        "callers",
        flags.callers.as_ref(),
        Some("127.0.0.1:8080"),
        parse_address,
    );
    let mesh = reader.read("mesh", flags.mesh.as_ref(), None, parse_address);
    let operators = reader.read("operators", flags.operators.as_ref(), None, parse_address);
    let peers = reader.read("peers", flags.peers.as_ref(), Some(""), parse_addresses);
    let mesh_keys = reader.read("mesh-keys", flags.mesh_keys.as_ref(), None, str::parse);
    let operator_key = reader.read(
        "operator-key",
        flags.operator_key.as_ref(),
        None,
        str::parse,
    );
    let table = reader.read("table", flags.table.as_ref(), None, parse_address);
    let objects = reader.read_optional_address("objects", flags.objects.as_ref());
    let instances = reader.read_optional_address("instances", flags.instances.as_ref());
    let store_timeout = reader.read(
        "store-timeout",
        flags.store_timeout.as_ref(),
        Some("1s"),
        parse_wait,
    );
    let lease_term = reader.read(
        "lease-term",
        flags.lease_term.as_ref(),
        Some("3s"),
        parse_wait,
    );
    let order_delay = reader.read(
        "order-delay",
        flags.order_delay.as_ref(),
        Some("10s"),
        parse_wait,
    );
    let start_within = reader.read(
        "start-within",
        flags.start_within.as_ref(),
        Some("10s"),
        parse_wait,
    );
    let mut read_positive = |flag, given: &Option<String>, default| {
        reader.read(flag, given.as_ref(), Some(default), parse_positive)
    };
    let max_requests = read_positive("max-requests", &flags.max_requests, "1024");
    let max_body = read_positive("max-body", &flags.max_body, "1048576");
    let memory_mb = read_positive("memory-mb", &flags.memory_mb, "512");
    let max_fds = read_positive("max-fds", &flags.max_fds, "8192");
    let drain_timeout = reader.read(
        "drain-timeout",
        flags.drain_timeout.as_ref(),
        Some("600s"),
        parse_wait,
    );
    let log_level = reader.read(
        "log-level",
        flags.log_level.as_ref(),
        Some("info"),
        parse_level,
    );
    Some(Settings {
        instance: instance?,
        data_centre: data_centre?,
        region: region?,
        callers: callers?,
        mesh: mesh?,
        operators: operators?,
        peers: peers?,
        mesh_keys: mesh_keys?,
        operator_key: operator_key?,
        table: table?,
        objects,
        instances,
        store_timeout: store_timeout?,
        lease_term: lease_term?,
        order_delay: order_delay?,
        start_within: start_within?,
        max_requests: max_requests?,
        max_body: max_body?,
        memory_mb: memory_mb?,
        max_fds: max_fds?,
        drain_timeout: drain_timeout?,
        log_level: log_level?,
    })
}
