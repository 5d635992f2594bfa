//! Runs one process of the product, for tests only.

use serde::Deserialize;
use std::{
    io::{self, BufRead, BufReader},
    net::SocketAddr,
    path::Path,
    process::{Child, ChildStdout, Command, ExitStatus, Stdio},
    time::{Duration, Instant},
};

/// Longest wait for anything that a passing test waits for.
const LONG: Duration = Duration::from_secs(30);

/// Time between two looks at a condition.
const LOOK_INTERVAL: Duration = Duration::from_millis(10);

/// What a process prints once it listens.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct ProcessAddresses {
    /// Where callers reach it; only an entry has one.
    pub callers: Option<SocketAddr>,
    /// Where operators reach it; only an entry has one.
    pub operators: Option<SocketAddr>,
    /// Where peers reach it.
    pub peers: SocketAddr,
    /// Where metrics are served.
    pub metrics: SocketAddr,
}

/// A process of the product.
#[derive(Debug)]
pub struct TestProcess {
    child: Child,
    /// Where it listens.
    pub addresses: ProcessAddresses,
    // Kept open: a closed pipe would end the process at its next line.
    _output: BufReader<ChildStdout>,
}

impl TestProcess {
    /// Starts `binary` in `role` with the settings file at `settings`.
    ///
    /// Its log goes to `log`.
    ///
    /// # Errors
    ///
    /// Fails when it does not start or ends before it listens.
    pub fn start(binary: &Path, role: &str, settings: &Path, log: &Path) -> io::Result<Self> {
        let mut child = Command::new(binary)
            .args([role, "--settings"])
            .arg(settings)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(
                std::fs::File::options()
                    .create(true)
                    .append(true)
                    .open(log)?,
            )
            .spawn()?;
        let output = child.stdout.take().ok_or(io::ErrorKind::BrokenPipe)?;
        let mut output = BufReader::new(output);
        let mut line = String::new();
        output.read_line(&mut line)?;
        let addresses = serde_json::from_str(&line).map_err(|e| {
            let text = std::fs::read_to_string(log).unwrap_or_default();
            io::Error::other(format!("{role} printed {line:?}: {e}\n{text}"))
        })?;
        Ok(Self {
            child,
            addresses,
            _output: output,
        })
    }

    /// The system's number of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// The page of metrics, empty if the process does not answer.
    pub fn metrics_page(&self) -> String {
        let url = format!("http://{}/metrics", self.addresses.metrics);
        let config = ureq::Agent::config_builder().timeout_global(Some(LONG));
        let page = ureq::Agent::from(config.build()).get(url).call();
        let page = page.and_then(|mut page| page.body_mut().read_to_string());
        page.unwrap_or_default()
    }

    /// Sends a signal by its name, such as `STOP`.
    ///
    /// # Errors
    ///
    /// Fails when the process is gone.
    pub fn signal(&self, name: &str) -> io::Result<()> {
        let pid = self.child.id().to_string();
        let status = Command::new("kill").args(["-s", name, &pid]).status()?;
        if status.success() {
            return Ok(());
        }
        Err(io::Error::other("the process is gone"))
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }

    /// Waits for the end of the process.
    ///
    /// # Errors
    ///
    /// Fails when it goes on for too long.
    pub fn wait(&mut self) -> io::Result<ExitStatus> {
        let end = Instant::now() + LONG;
        while Instant::now() < end {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status);
            }
            std::thread::sleep(LOOK_INTERVAL);
        }
        Err(io::ErrorKind::TimedOut.into())
    }

    /// Whether the process has ended.
    pub fn is_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}

impl Drop for TestProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Waits until `condition` holds.
///
/// # Panics
///
/// Panics when it does not within a long time, naming `what`.
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let end = Instant::now() + LONG;
    while !condition() {
        assert!(Instant::now() < end, "waited in vain for: {what}");
        std::thread::sleep(LOOK_INTERVAL);
    }
}
