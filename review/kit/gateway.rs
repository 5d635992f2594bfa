//! Starts the program under review with the command of the deploy file.

use std::{
    fs, io,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{self, Child, Command, Stdio},
    sync::{Arc, Mutex},
    time::{SystemTime, UNIX_EPOCH},
};

/// Loopback addresses of one case. Each process has an address of its own, so that all can use
/// the ports of a deployment.
#[derive(Clone, Copy)]
pub struct Net {
    second: u8,
    third: u8,
}

impl Net {
    /// Chooses addresses that nobody uses.
    pub fn choose() -> Self {
        let nanos = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |t| t.subsec_nanos());
        let mut seed = nanos ^ process::id().rotate_left(16);
        loop {
            seed = seed.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
            let net = Self { second: 64 + (seed >> 8) as u8 % 128, third: (seed >> 16) as u8 };
            if TcpListener::bind(net.at(1, 8007)).is_ok() && TcpListener::bind(net.at(10, 8005)).is_ok() {
                return net;
            }
        }
    }

    pub fn at(self, host: u8, port: u16) -> SocketAddr {
        (Ipv4Addr::new(127, self.second, self.third, host), port).into()
    }
}

/// The processes of a case, which end with it.
#[derive(Clone)]
pub struct Processes {
    children: Arc<Mutex<Vec<Child>>>,
    folder: PathBuf,
    root: PathBuf,
}

/// One gateway.
#[derive(Clone)]
pub struct Gateway {
    pub name: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub pid: u32,
}

impl Processes {
    pub fn new(root: &Path) -> io::Result<Self> {
        let folder = std::env::temp_dir().join(format!("berylmount-review-{}", process::id()));
        fs::create_dir_all(&folder)?;
        Ok(Self { children: Arc::default(), folder, root: root.to_owned() })
    }

    /// Starts gateway `number` of `count`.
    pub fn start(&self, net: Net, number: u8, count: u8, store: SocketAddr) -> io::Result<Gateway> {
        let host = 9 + number;
        let ip = net.at(host, 0).ip();
        let seeds: Vec<String> = (1..=count.min(3)).map(|n| format!("\"{}\"", net.at(9 + n, 8000))).collect();
        let name = format!("frontend-ridge-north-{number}");
        let text = format!(
            "NodeName = \"{name}\"\nRole = \"gateway\"\nMachineClass = \"frontend\"\n\
             Serves = [\"frontend\",\"control_plane\",\"directory\"]\nIp = \"{ip}\"\n\
             Zone = \"ridge-north\"\nRegion = \"appalachian-south\"\nPortRange = [7700,7715]\n\
             Seeds = [{}]\nBootstrap = true\nLossCounts = false\nDiscovery = \"platform\"\n\
             Entry = \"directory\"\nHeartbeatMs = 1200\n\
             ActiveContracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"kvcache\",\"stream\",\"engine\",\"tenants\",\"platform\"]\n\
             [Zones]\nridge-north = \"appalachian-south\"\n\
             [ListenAddrs]\nFrontendAddr = \"{ip}:8005\"\nReady = \"{ip}:8002\"\n\
             ControlPlane = \"{ip}:8000\"\nDirectory = \"{ip}:8009\"\n\
             [Limits]\nCpuShare = 0.25\nCpuCores = 1\nMemoryMb = 260\nMaxFds = 4100\nLinkMbps = 1000.0\nDiskMb = 0\n\
             [FaultTolerance]\nMachines = 2\nZones = 0\nRegions = 0\n\
             [Bounds]\nSeedLagS = 3\nReuseAfterS = 2\nContactMs = 3000\nAckMs = 4000\nCatchUpS = 4\n\
             DrainMs = 2000\nGracePeriodS = 8\nLossSlackMs = 200\nConfigApplyMs = 2000\n\
             DowngradeSlackMs = 250\nMaxStretchMs = 5000\nStrictRevoke = false\nRevokeMs = 5000\n\
             RetryBudgetRatio = 0.2\nBudgetWindowS = 10\nBudgetExtra = 54\nRecoveryS = 12\n\
             MaxTransitMs = 120\nReuseWindowS = 20\nRequireFence = false\nLeaseTtlMs = 3000\n\
             ThawSlackMs = 300\nVersionApplyMs = 15000\nVersionConvergeMs = 21000\nttl_max_s = 5\n\
             [Platform]\nAddress = \"{store}\"\nform = \"objects\"\nWritesPerS = 400\nReadsPerS = 2000\n\
             RetentionS = 20\nValueBytes = 1048576\nTtlMinMs = 1000\n",
            seeds.join(",")
        );
        let settings = self.folder.join(format!("{name}.toml"));
        fs::write(&settings, &text)?;
        let log = fs::File::create(self.folder.join(format!("{name}.log")))?;
        // The command of deploy/system.toml.
        let mut command = Command::new(self.root.join("target/release/berylmount"));
        command.args(["gateway", "--metrics", "9464"]).current_dir(&self.root).env_clear();
        for name in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(name) {
                command.env(name, value);
            }
        }
        command.env("BERYLMOUNT_BOOT", &settings).stdin(Stdio::null());
        command.stderr(log.try_clone()?).stdout(log);
        let child = command.spawn()?;
        let pid = child.id();
        self.children.lock().unwrap().push(child);
        let (callers, ready) = (net.at(host, 8005), net.at(host, 8002));
        Ok(Gateway { name, callers, ready, pid })
    }

    /// Returns the log of a gateway.
    pub fn log(&self, gateway: &Gateway) -> String {
        fs::read_to_string(self.folder.join(format!("{}.log", gateway.name))).unwrap_or_default()
    }

    /// Returns how a process ended, if it has.
    pub fn ended(&self, pid: u32) -> Option<String> {
        let mut children = self.children.lock().unwrap();
        let child = children.iter_mut().find(|child| child.id() == pid)?;
        child.try_wait().ok().flatten().map(|status| status.to_string())
    }

    /// Ends all processes and removes their files.
    pub fn end(&self) {
        for child in self.children.lock().unwrap().iter_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}
