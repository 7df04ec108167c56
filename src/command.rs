//! The operators' command line `poplarseam`.

use crate::common::*;
use crate::node::client::{Answer, Call};
use crate::program::finish;
use attohttpc::Method;
use gumdrop::Options;
use std::io::Write;
use std::process::ExitCode;
use std::time::Instant;

const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum wait until a change is in force on all processes.
const ROLLOUT_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of times that a change is sent again if its answer is lost.
const MAX_RESENDS: u32 = 5;
const EXIT_USAGE: u8 = 2;

#[derive(Debug, Options)]
struct Flags {
    #[options(no_short, help = "print this help")]
    help: bool,
    #[options(no_short, help = "print the version")]
    version: bool,
    #[options(
        no_short,
        meta = "IP:PORT",
        help = "operators' address of a settings process, or POPLARSEAM_ADDRESS"
    )]
    address: Option<SocketAddr>,
    #[options(
        no_short,
        meta = "KEY",
        help = "operators' key; better set in POPLARSEAM_OPERATOR_KEY"
    )]
    key: Option<String>,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    #[options(help = "read or change settings: get, set, diff, apply, history")]
    Settings(Settings),
    #[options(help = "show all processes and the settings in force on each")]
    Status(NoArguments),
    #[options(help = "show the whole state of one process")]
    Dump(Process),
    #[options(help = "show why a request was sent to its worker")]
    Explain(Explain),
}

#[derive(Debug, Options)]
struct NoArguments {}

#[derive(Debug, Options)]
struct Process {
    #[options(free, required, help = "operators' address of the process")]
    address: Option<SocketAddr>,
}

#[derive(Debug, Options)]
struct Explain {
    #[options(free, required, help = "operators' address of the entry that took it")]
    address: Option<SocketAddr>,
    #[options(free, required, help = "X-Request-Id of its answer")]
    request: Option<String>,
}

#[derive(Debug, Options)]
struct Settings {
    #[options(command, required)]
    command: Option<SettingsCommand>,
}

#[derive(Debug, Options)]
enum SettingsCommand {
    #[options(help = "get SUBTREE [PATH]")]
    Get(Get),
    #[options(help = "set SUBTREE PATH JSON, or null to remove the path")]
    Set(Set),
    #[options(help = "diff SUBTREE FILE: show what apply would change")]
    Diff(File),
    #[options(help = "apply SUBTREE FILE: make the subtree equal to the file")]
    Apply(File),
    #[options(help = "history SUBTREE")]
    History(Get),
}

#[derive(Debug, Options)]
struct Get {
    #[options(free, required)]
    subtree: String,
    #[options(free)]
    path: Option<String>,
}

#[derive(Debug, Options)]
struct Set {
    #[options(free, required)]
    subtree: String,
    #[options(free, required)]
    path: String,
    #[options(free, required)]
    value: String,
    #[options(no_short, help = "revision that the subtree must be at")]
    revision: Option<u64>,
    #[options(no_short, help = "wait until it is in force on every live instance")]
    wait: bool,
}

#[derive(Debug, Options)]
struct File {
    #[options(free, required)]
    subtree: String,
    #[options(free, required, help = "JSON object of paths and values")]
    path: String,
    #[options(no_short, help = "wait until it is in force on every live instance")]
    wait: bool,
}

/// Runs the command line.
#[must_use]
pub fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let flags = match Flags::parse_args_default(&arguments) {
        Ok(flags) => flags,
        Err(error) => {
            eprintln!("poplarseam: {error}; poplarseam --help lists the commands");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    if flags.version {
        println!("poplarseam {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let Some(command) = flags.command.as_ref().filter(|_| !flags.help) else {
        println!("poplarseam: operates a site\n\n{}\n", Flags::usage());
        println!("Commands:\n{}", Flags::command_list().unwrap_or_default());
        return ExitCode::SUCCESS;
    };
    finish("poplarseam", run(&flags, command))
}

struct Site {
    address: SocketAddr,
    key: String,
}

fn run(flags: &Flags, command: &Command) -> Result<()> {
    let key = flags
        .key
        .clone()
        .or_else(|| std::env::var("POPLARSEAM_OPERATOR_KEY").ok());
    let key = key.ok_or_else(|| usage("no key: give --key or POPLARSEAM_OPERATOR_KEY"))?;
    match command {
        Command::Dump(process) => show(
            &Site {
                address: require_address(process.address)?,
                key,
            },
            "/dump",
        ),
        Command::Explain(explain) => {
            let request = explain.request.clone().unwrap_or_default();
            show(
                &Site {
                    address: require_address(explain.address)?,
                    key,
                },
                &format!("/explain/{request}"),
            )
        }
        Command::Status(_) => show(&site(flags, key)?, "/status"),
        Command::Settings(settings) => {
            let command = settings
                .command
                .as_ref()
                .ok_or_else(|| usage("settings get|set|diff|apply|history"))?;
            settings_command(&site(flags, key)?, command)
        }
    }
}

fn require_address(address: Option<SocketAddr>) -> Result<SocketAddr> {
    address.ok_or_else(|| usage("give the operators' address of the process"))
}

fn usage(text: &str) -> Error {
    Error::Usage { text: text.into() }
}

fn site(flags: &Flags, key: String) -> Result<Site> {
    let from_environment = || std::env::var("POPLARSEAM_ADDRESS").ok()?.parse().ok();
    let address = flags.address.or_else(from_environment);
    let address = address.ok_or_else(|| {
        usage("no settings process: give --address or POPLARSEAM_ADDRESS as IP:PORT")
    })?;
    Ok(Site { address, key })
}

fn settings_command(site: &Site, command: &SettingsCommand) -> Result<()> {
    match command {
        SettingsCommand::Get(get) => {
            let path = get
                .path
                .as_ref()
                .map(|path| format!("/{path}"))
                .unwrap_or_default();
            show(site, &format!("/settings/{}{path}", get.subtree))
        }
        SettingsCommand::History(get) => show(site, &format!("/settings/{}/history", get.subtree)),
        SettingsCommand::Set(set) => {
            let value: Value = serde_json::from_str(&set.value)
                .map_err(|error| usage(&format!("`{}` is not valid JSON: {error}", set.value)))?;
            let change = BTreeMap::from([(set.path.clone(), value)]);
            send_change(site, &set.subtree, &change, set.revision, set.wait)
        }
        SettingsCommand::Diff(file) => {
            let (change, _) = difference(site, file)?;
            print(&json!(change));
            Ok(())
        }
        SettingsCommand::Apply(file) => {
            let (change, revision) = difference(site, file)?;
            send_change(site, &file.subtree, &change, Some(revision), file.wait)
        }
    }
}

/// Returns the change that makes a subtree equal to the contents of a file, and the subtree's
/// revision.
fn difference(site: &Site, file: &File) -> Result<(BTreeMap<String, Value>, u64)> {
    let text = std::fs::read_to_string(&file.path)
        .map_err(|error| usage(&format!("cannot read `{}`: {error}", file.path)))?;
    let wanted: BTreeMap<String, Value> = serde_json::from_str(&text)
        .map_err(|error| usage(&format!("`{}` is not a JSON object: {error}", file.path)))?;
    let current = call(
        site,
        Method::GET,
        &format!("/settings/{}", file.subtree),
        "",
        &[],
    )?
    .json();
    let entries = current["entries"].as_object().cloned().unwrap_or_default();
    let removed = entries.keys().filter(|path| !wanted.contains_key(*path));
    let removed = removed.map(|path| (path.clone(), Value::Null));
    let set = wanted
        .iter()
        .filter(|(path, value)| entries.get(*path) != Some(value));
    let set = set.map(|(path, value)| (path.clone(), value.clone()));
    let change = removed.chain(set).collect();
    Ok((change, current["revision"].as_u64().unwrap_or(0)))
}

/// Sends a change until it is answered, with up to [`MAX_RESENDS`] retries.
///
/// All retries carry the same change id, so that a retry returns the result of the first attempt if
/// that one was applied.
fn send_change(
    site: &Site,
    subtree: &str,
    change: &BTreeMap<String, Value>,
    revision: Option<u64>,
    wait: bool,
) -> Result<()> {
    let id = format!("{:016x}", rand::random::<u64>());
    let revision = revision.map(|revision| revision.to_string());
    let mut headers = vec![("Change-Id", id.as_str())];
    headers.extend(revision.as_deref().map(|revision| ("If-Match", revision)));
    let body = json!(change).to_string();
    let path = format!("/settings/{subtree}");
    let mut sends = 0;
    let answer = loop {
        sends += 1;
        match call(site, Method::PATCH, &path, &body, &headers) {
            Err(
                Error::Call { .. }
                | Error::Answer {
                    status: 503 | 504, ..
                },
            ) if sends <= MAX_RESENDS => {
                std::thread::sleep(POLL_INTERVAL * sends);
            }
            result => break result?,
        }
    };
    print(&answer.json());
    let position = answer.json()["position"].as_u64().unwrap_or(0);
    if wait {
        wait_for_rollout(site, position)
    } else {
        Ok(())
    }
}

fn wait_for_rollout(site: &Site, position: u64) -> Result<()> {
    let started = Instant::now();
    loop {
        let state = call(site, Method::GET, &format!("/rollout/{position}"), "", &[])?.json();
        let waiting = state["waiting"].as_array().map_or(0, Vec::len);
        let in_force = state["in_force"].as_array().map_or(0, Vec::len);
        if waiting == 0 && in_force > 0 {
            println!(
                "in force on {in_force} processes after {} ms",
                started.elapsed().as_millis()
            );
            return Ok(());
        }
        if started.elapsed() > ROLLOUT_TIMEOUT {
            let text = format!(
                "not in force everywhere yet; waiting for {}",
                state["waiting"]
            );
            return Err(Error::Usage { text });
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}

fn show(site: &Site, path: &str) -> Result<()> {
    let answer = call(site, Method::GET, path, "", &[])?;
    print(&answer.json());
    Ok(())
}

/// Prints JSON; a closed pipe is not an error.
fn print(value: &Value) {
    let _ = writeln!(std::io::stdout(), "{value:#}");
}

fn call(
    site: &Site,
    method: Method,
    path: &str,
    body: &str,
    headers: &[(&str, &str)],
) -> Result<Answer> {
    let key = format!("Bearer {}", site.key);
    let mut all_headers = vec![("Authorization", key.as_str())];
    all_headers.extend_from_slice(headers);
    let call = Call {
        headers: &all_headers,
        ..Call::new(method, site.address, path, body, CALL_TIMEOUT)
    };
    let url = format!("http://{}{path}", site.address);
    let answer = call.send().map_err(|failure| Error::Call {
        url: url.clone(),
        reason: failure.to_string(),
    })?;
    if answer.status == 200 {
        return Ok(answer);
    }
    Err(Error::Answer {
        url,
        status: answer.status,
        text: answer.body,
    })
}
