//! A process of the system under test, with its log, ended when dropped.

use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

/// Directory that holds the built programs: the one of this program, or its parent for tests.
#[must_use]
pub fn programs() -> PathBuf {
    let here = std::env::current_exe().expect("the path of this program");
    let mut folders = here.ancestors().skip(1).take(2);
    let found = folders.find(|folder| folder.join("poplarseam-entry").exists());
    found
        .expect("build the programs first: cargo build")
        .to_owned()
}

/// A running process.
#[derive(Debug)]
pub struct Process {
    child: Child,
    log: PathBuf,
}

impl Process {
    /// Starts a program of the system; its log goes to a file in `folder`.
    #[must_use]
    pub fn start(
        program: &str,
        name: &str,
        environment: &[(String, String)],
        folder: &Path,
    ) -> Self {
        let log = folder.join(format!("{name}.log"));
        let file = File::options()
            .create(true)
            .append(true)
            .open(&log)
            .expect("a log file");
        let child = Command::new(programs().join(program))
            .env_clear()
            .envs(environment.iter().cloned())
            .stdin(Stdio::null())
            .stdout(file.try_clone().expect("a second handle of the log"))
            .stderr(file)
            .spawn()
            .expect("the program must start");
        Self { child, log }
    }

    /// Sends a signal by its name, as `STOP`.
    pub fn signal(&self, signal: &str) {
        let status = Command::new("kill")
            .args([format!("-{signal}"), self.child.id().to_string()])
            .status();
        assert!(
            status.is_ok_and(|status| status.success()),
            "kill -{signal}"
        );
    }

    /// Ends the process at once.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits for the end; none where it still runs after `longest`.
    pub fn wait(&mut self, longest: Duration) -> Option<ExitStatus> {
        const POLL: Duration = Duration::from_millis(10);
        let until = Instant::now() + longest;
        while Instant::now() < until {
            if let Some(status) = self.ended() {
                return Some(status);
            }
            std::thread::sleep(POLL);
        }
        None
    }

    /// How it ended, if it did.
    #[must_use]
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Number of the process.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Everything logged so far.
    #[must_use]
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
