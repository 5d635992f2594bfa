//! Processes of the system with settings like those of a small deployment, and their clients.

use crate::{
    http::{Message, Wire},
    store::Store,
};
use std::{
    fmt::Write as _,
    fs,
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

/// What the settings of a site's machines show.
#[derive(Clone, Copy, Debug)]
pub struct Site {
    pub region: &'static str,
    pub zones: [&'static str; 3],
    pub budget_extra: u32,
    pub version_apply_ms: u32,
    pub version_converge_ms: u32,
}

/// `sites/crtma-blaze.toml`.
#[allow(dead_code)]
pub const CRTMA_BLAZE: Site = Site {
    region: "appalachian-south",
    zones: ["ridge-north", "ridge-central", "ridge-south"],
    budget_extra: 54,
    version_apply_ms: 15_000,
    version_converge_ms: 21_000,
};

/// `further/kerta-beacon.toml`.
#[allow(dead_code)]
pub const KERTA_BEACON: Site = Site {
    region: "jawa-barat",
    zones: ["bdg-a", "bdg-b", "bdg-c"],
    budget_extra: 56,
    version_apply_ms: 8_000,
    version_converge_ms: 11_000,
};

/// Bounds that both sites have.
const BOUNDS: &str = "SeedLagS = 3\nReuseAfterS = 2\nContactMs = 3000\nAckMs = 4000\nCatchUpS = 4\n\
DrainMs = 2000\nGracePeriodS = 8\nLossSlackMs = 200\nConfigApplyMs = 2000\nDowngradeSlackMs = 250\n\
MaxStretchMs = 5000\nStrictRevoke = false\nRevokeMs = 5000\nRetryBudgetRatio = 0.2\nBudgetWindowS = 10\n\
RecoveryS = 12\nMaxTransitMs = 120\nReuseWindowS = 20\nRequireFence = false\n\
LeaseTtlMs = 3000\nThawSlackMs = 300\nttl_max_s = 5\n";

/// What was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Record {
    pub fn new() -> Self {
        let lines = Arc::default();
        let start = Instant::now();
        Self { start, lines }
    }

    pub fn note(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        self.lines.lock().unwrap().push(format!("{at:8.3} s  {text}"));
    }

    pub fn save(&self, path: &Path) {
        let lines = self.lines.lock().unwrap().join("\n");
        let _ = fs::write(path, lines + "\n");
    }
}

/// A loopback address of this run: `127.A.B.last`.
pub fn loopback(last: u8) -> Ipv4Addr {
    let pid = std::process::id();
    Ipv4Addr::new(127, 64 + (pid % 97) as u8, (pid / 97 % 251) as u8, last)
}

fn free_ports<const N: usize>(ip: Ipv4Addr) -> [u16; N] {
    let listeners = [(); N].map(|()| TcpListener::bind((ip, 0)).expect("a free port"));
    listeners.map(|listener| listener.local_addr().expect("an address").port())
}

/// A process of the deploy file's role.
pub struct Gateway {
    pub name: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    metrics: u16,
    child: Option<Child>,
}

impl Gateway {
    /// Starts the process of a machine.
    pub fn start(folder: &Path, store: &Store, last: u8, site: Site) -> Self {
        let zone = site.zones[usize::from(last - 1) % site.zones.len()];
        let Site { region, zones: [first, second, third], .. } = site;
        let Site { budget_extra, version_apply_ms, version_converge_ms, .. } = site;
        let ip = loopback(last);
        let name = format!("frontend-{zone}-{last}");
        let [callers, ready, directory, control, peers, metrics] = free_ports(ip);
        let mut text = String::new();
        let seeds: Vec<String> = (1..=3).map(|n| format!("\"{}:{control}\"", loopback(n))).collect();
        let seeds = seeds.join(",");
        let (end, address) = (peers.saturating_add(15), store.address);
        let _ = write!(
            text,
            "NodeName = \"{name}\"\nRole = \"gateway\"\nMachineClass = \"frontend\"\n\
             Serves = [\"frontend\",\"control_plane\",\"directory\"]\nIp = \"{ip}\"\nZone = \"{zone}\"\n\
             Region = \"{region}\"\nPortRange = [{peers},{end}]\nSeeds = [{seeds}]\n\
             Bootstrap = true\nLossCounts = false\nDiscovery = \"platform\"\nEntry = \"directory\"\n\
             HeartbeatMs = 1200\nActiveContracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\
             \"recover\",\"kvcache\",\"stream\",\"engine\",\"tenants\",\"platform\"]\n\
             [Zones]\n{first} = \"{region}\"\n{second} = \"{region}\"\n{third} = \"{region}\"\n\
             [ListenAddrs]\nFrontendAddr = \"{ip}:{callers}\"\n\
             Ready = \"{ip}:{ready}\"\nControlPlane = \"{ip}:{control}\"\nDirectory = \"{ip}:{directory}\"\n\
             [Limits]\nCpuShare = 0.25\nCpuCores = 1\nMemoryMb = 260\nMaxFds = 4100\nLinkMbps = 1000.0\n\
             DiskMb = 0\n[FaultTolerance]\nMachines = 2\nZones = 0\nRegions = 0\n[Bounds]\n{BOUNDS}\
             BudgetExtra = {budget_extra}\nVersionApplyMs = {version_apply_ms}\n\
             VersionConvergeMs = {version_converge_ms}\n[Platform]\nAddress = \"{address}\"\nform = \"objects\"\nWritesPerS = 400\nReadsPerS = 2000\n\
             RetentionS = 20\nValueBytes = 1048576\nTtlMinMs = 1000\n"
        );
        let settings = folder.join(format!("{name}.toml"));
        fs::write(&settings, text).expect("the settings can be written");
        let mut gateway = Self {
            log: folder.join(format!("{name}.log")),
            name,
            callers: (ip, callers).into(),
            ready: (ip, ready).into(),
            settings,
            metrics,
            child: None,
        };
        gateway.spawn();
        gateway
    }

    /// Starts the process, again if it has ended.
    pub fn spawn(&mut self) {
        let log = fs::OpenOptions::new().create(true).append(true).open(&self.log);
        let log = log.expect("the log can be written");
        let errors = log.try_clone().expect("a second handle");
        let child = Command::new("target/release/berylmount")
            .args(["gateway", "--metrics", &self.metrics.to_string()])
            .env("BERYLMOUNT_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn();
        self.child = Some(child.expect("the program is built"));
    }

    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill").args([&format!("-{name}"), &self.pid().to_string()]).status();
    }

    /// Waits until the platform's check finds the process ready.
    pub fn wait_ready(&self) -> bool {
        let end = Instant::now() + Duration::from_secs(15);
        while Instant::now() < end {
            let answer = call(self.ready, "GET /berylmount/ready HTTP/1.1\r\nHost: a\r\n\r\n", 1000);
            if answer.is_some_and(|answer| answer.status() == 200) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    pub fn is_alive(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Sends a request on a connection of its own and reads the answer; `None` without one.
pub fn call(address: SocketAddr, request: &str, limit_ms: u64) -> Option<Message> {
    let limit = Duration::from_millis(limit_ms);
    let socket = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    socket.set_read_timeout(Some(limit)).ok()?;
    let mut wire = Wire::new(socket);
    wire.send(request).ok()?;
    wire.message().ok()?
}
