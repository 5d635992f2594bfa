//! Gateway processes, started with the command of the deploy file.

use crate::{http::call, record::Record};
use std::{
    fs::{self, File},
    io,
    net::{IpAddr, SocketAddr},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

/// A process and its settings. It is killed when it is dropped.
pub struct Process {
    child: Child,
    name: &'static str,
    ip: IpAddr,
    settings: PathBuf,
    record: Record,
}

impl Process {
    /// Writes the settings and starts the process. `folder` is a temporary one.
    pub fn start(
        name: &'static str,
        ip: IpAddr,
        store: SocketAddr,
        folder: &Path,
        record: &Record,
    ) -> io::Result<Self> {
        let settings = folder.join(format!("{name}.toml"));
        write_settings(&settings, name, ip, store)?;
        let log = File::create(folder.join(format!("{name}.log")))?;
        let mut command = Command::new("target/release/berylmount");
        command
            .args(["gateway", "--metrics", "9464"])
            .env("BERYLMOUNT_BOOT", &settings);
        let child = command
            .stdout(log.try_clone()?)
            .stderr(log)
            .stdin(Stdio::null())
            .spawn()?;
        record.note(&format!("{name} starts with the store at {store}"));
        Ok(Self {
            child,
            name,
            ip,
            settings,
            record: record.clone(),
        })
    }

    /// Changes the store in the settings file, and sends SIGHUP.
    pub fn change_store(&self, store: SocketAddr) -> io::Result<()> {
        write_settings(&self.settings, self.name, self.ip, store)?;
        self.record.note(&format!(
            "the settings of {} name the store at {store}",
            self.name
        ));
        let id = self.child.id().to_string();
        let status = Command::new("kill").args(["-HUP", &id]).status()?;
        self.record
            .note(&format!("SIGHUP to {}: {status}", self.name));
        Ok(())
    }

    pub fn callers(&self) -> SocketAddr {
        SocketAddr::new(self.ip, 8005)
    }

    /// Waits until the process says that it is ready. Returns whether it does.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let address = SocketAddr::new(self.ip, 8002);
        let request = "GET /berylmount/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        let end = Instant::now() + limit;
        while Instant::now() < end {
            let answer = call(address, request, Duration::from_secs(1));
            if answer.is_some_and(|answer| answer.status() == 200) {
                self.record.note(&format!("{} is ready", self.name));
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Whether the process still runs.
    pub fn is_alive(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn write_settings(path: &Path, name: &str, ip: IpAddr, store: SocketAddr) -> io::Result<()> {
    let text = format!(
        "NodeName = \"{name}\"\nRole = \"gateway\"\nMachineClass = \"frontend\"\n\
         Serves = [\"frontend\", \"control_plane\", \"directory\"]\nIp = \"{ip}\"\n\
         Zone = \"bdg-a\"\nRegion = \"jawa-barat\"\nPortRange = [7580, 7595]\n\
         Seeds = [\"{ip}:8000\"]\nBootstrap = true\nHeartbeatMs = 1200\n\
         [Zones]\nbdg-a = \"jawa-barat\"\n\
         [ListenAddrs]\nFrontendAddr = \"{ip}:8005\"\nReady = \"{ip}:8002\"\n\
         ControlPlane = \"{ip}:8000\"\nDirectory = \"{ip}:8009\"\n\
         [Limits]\nCpuShare = 0.25\nCpuCores = 1\nMemoryMb = 260\nMaxFds = 4100\n\
         LinkMbps = 1000.0\nDiskMb = 0\n\
         [Bounds]\nContactMs = 3000\nDrainMs = 2000\nGracePeriodS = 8\nLossSlackMs = 200\n\
         ConfigApplyMs = 2000\nDowngradeSlackMs = 250\nRetryBudgetRatio = 0.2\n\
         BudgetWindowS = 10\nBudgetExtra = 56\nRecoveryS = 12\nLeaseTtlMs = 3000\n\
         ThawSlackMs = 300\nVersionApplyMs = 8000\nVersionConvergeMs = 11000\nttl_max_s = 5\n\
         [Platform]\nAddress = \"{store}\"\nform = \"objects\"\nWritesPerS = 400\n\
         ReadsPerS = 2000\nRetentionS = 20\nValueBytes = 1048576\nTtlMinMs = 1000\n"
    );
    // The platform replaces the file as a whole.
    let staged = path.with_extension("new");
    fs::write(&staged, text)?;
    fs::rename(staged, path)
}
