//! A small fleet: stand-ins in this process, entry and dispatch as processes.

use crate::{
    wait_until, EngineConfig, EngineServer, FaultProxy, PlatformServer, ServiceConfig,
    ServiceServer, StoreConfig, StoreServer, TestProcess,
};
use berylmount_model::{
    DataCentre, InstanceName, InstanceRecord, InstanceRole, InstanceState, PoolName,
};
use berylmount_table::{diff_rows, read_sheet, TableEdit, TableEditor};
use serde_json::{json, Value};
use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    process::Command,
    sync::atomic::{AtomicU32, Ordering},
    time::Duration,
};

/// The key of every customer in a fleet.
pub const CUSTOMER_KEY: &str = "painted-blaze";

/// The operators' key in a fleet.
pub const OPERATOR_KEY: &str = "example";

/// SHA-256 of [`CUSTOMER_KEY`].
pub const CUSTOMER_KEY_HASH: &str =
    "8b2bcf572515698b69e6fea312c0266861de5abc35d4623a6ed5d5e9e632eff9";

/// SHA-256 of [`OPERATOR_KEY`].
const OPERATOR_KEY_HASH: &str = "50d858e0985ecc7f60418aaf0cc5ab587f42c2570a884095a9e8ccacd0f6545c";

/// Counts fleets of this test process, to tell their folders apart.
static FLEETS: AtomicU32 = AtomicU32::new(0);

/// The size and the speeds of a fleet.
#[derive(Clone, Debug)]
pub struct FleetConfig {
    /// Entry instances, one entry and one dispatch process each.
    pub instances: usize,
    /// Data centres, which instances and runners take in turn.
    pub data_centres: Vec<&'static str>,
    /// Runners of the pool `blaze-models`.
    pub runners: usize,
    /// Kept-cache stores of the pool `prompt-keep`.
    pub stores: usize,
    /// Instances of the plain service `field-ledger`.
    pub services: usize,
    /// How runners behave.
    pub engine: EngineConfig,
    /// How the plain service behaves.
    pub service: ServiceConfig,
    /// How long callers may keep a located address, as a settings value.
    pub locate_ttl: &'static str,
    /// Whether runners and dispatch processes stand behind fault proxies.
    pub proxied: bool,
}

impl Default for FleetConfig {
    fn default() -> Self {
        Self {
            instances: 1,
            data_centres: vec!["ridge-north"],
            runners: 1,
            stores: 0,
            services: 1,
            engine: EngineConfig {
                model: "blaze".to_owned(),
                version: "v1".to_owned(),
                ..EngineConfig::default()
            },
            service: ServiceConfig::default(),
            locate_ttl: "1s",
            proxied: false,
        }
    }
}

/// A running fleet; everything ends when it is dropped.
pub struct TestFleet {
    /// The platform.
    pub platform: PlatformServer,
    /// Runners.
    pub engines: Vec<EngineServer>,
    /// Kept-cache stores.
    pub stores: Vec<StoreServer>,
    /// Plain services.
    pub services: Vec<ServiceServer>,
    /// Entry processes.
    pub entries: Vec<TestProcess>,
    /// Dispatch processes.
    pub dispatches: Vec<TestProcess>,
    /// Proxies before the runners, in a fleet with proxies.
    pub engine_proxies: Vec<FaultProxy>,
    /// Proxies through which each instance reaches the platform, in a fleet with
    /// proxies.
    pub platform_proxies: Vec<FaultProxy>,
    /// Proxies before the dispatch processes, in a fleet with proxies.
    pub dispatch_proxies: Vec<FaultProxy>,
    /// The platform's list as it is published.
    pub records: Vec<InstanceRecord>,
    config: FleetConfig,
    binary: PathBuf,
    folder: PathBuf,
}

impl TestFleet {
    /// Starts a fleet of `binary` and fills its table from `rows`, a CSV sheet.
    ///
    /// # Errors
    ///
    /// Fails when a process does not start or the table is refused.
    pub fn start(binary: &Path, config: FleetConfig, rows: &str) -> io::Result<Self> {
        let fleet = Self::launch(binary, config)?;
        fleet.import(rows)?;
        fleet.wait_ready();
        Ok(fleet)
    }

    /// Starts a fleet of `binary` with an empty table.
    ///
    /// # Errors
    ///
    /// Fails when a process does not start.
    pub fn launch(binary: &Path, config: FleetConfig) -> io::Result<Self> {
        let number = FLEETS.fetch_add(1, Ordering::Relaxed);
        let name = format!("berylmount-{}-{number}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder)?;
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let engines = (0..config.runners).map(|_| EngineServer::start(config.engine.clone()));
        let stores = (0..config.stores).map(|_| StoreServer::start(&StoreConfig::default()));
        let services = (0..config.services).map(|_| ServiceServer::start(&config.service));
        let mut fleet = Self {
            platform: PlatformServer::start(any)?,
            engines: engines.collect::<io::Result<_>>()?,
            stores: stores.collect::<io::Result<_>>()?,
            services: services.collect::<io::Result<_>>()?,
            entries: Vec::new(),
            dispatches: Vec::new(),
            engine_proxies: Vec::new(),
            dispatch_proxies: Vec::new(),
            platform_proxies: Vec::new(),
            records: Vec::new(),
            config,
            binary: binary.to_owned(),
            folder,
        };
        fleet.list_targets()?;
        fleet.publish();
        if fleet.config.proxied {
            let address = fleet.platform.address();
            let proxies = (0..fleet.config.instances).map(|_| FaultProxy::start(address));
            fleet.platform_proxies = proxies.collect::<io::Result<_>>()?;
        }
        for place in 0..fleet.config.instances {
            fleet.start_instance(place)?;
        }
        fleet.publish();
        Ok(fleet)
    }

    /// The data centre that takes the place `place` in turn.
    fn data_centre(&self, place: usize) -> DataCentre {
        let names = &self.config.data_centres;
        DataCentre::new(names[place % names.len()]).unwrap()
    }

    /// Lists every target.
    fn list_targets(&mut self) -> io::Result<()> {
        if self.config.proxied {
            let proxies = self.engines.iter().map(|e| FaultProxy::start(e.address()));
            self.engine_proxies = proxies.collect::<io::Result<_>>()?;
        }
        let runners: Vec<_> = match self.config.proxied {
            true => self
                .engine_proxies
                .iter()
                .map(FaultProxy::address)
                .collect(),
            false => self.engines.iter().map(EngineServer::address).collect(),
        };
        let stores = self.stores.iter().map(StoreServer::address);
        let services = self.services.iter().map(ServiceServer::address);
        let kinds = [
            ("blaze-models", InstanceRole::Runner, runners),
            ("prompt-keep", InstanceRole::Store, stores.collect()),
            ("field-ledger", InstanceRole::Service, services.collect()),
        ];
        for (pool, role, addresses) in kinds {
            for (place, address) in addresses.into_iter().enumerate() {
                let record = self.record(&format!("{pool}-{place}"), role, pool, place, address);
                self.records.push(record);
            }
        }
        Ok(())
    }

    /// A live record of the platform's list.
    fn record(
        &self,
        name: &str,
        role: InstanceRole,
        pool: &str,
        place: usize,
        address: SocketAddr,
    ) -> InstanceRecord {
        InstanceRecord {
            name: InstanceName::new(name).unwrap(),
            role,
            pool: PoolName::new(pool).unwrap(),
            data_centre: self.data_centre(place),
            address,
            caller_address: None,
            state: InstanceState::Live,
        }
    }

    /// Starts both processes of the instance `place`.
    fn start_instance(&mut self, place: usize) -> io::Result<()> {
        let dispatch = self.start_process("dispatch", place)?;
        self.dispatches.push(dispatch);
        let entry = self.start_process("entry", place)?;
        self.entries.push(entry);
        Ok(())
    }

    /// Starts a process and lists it.
    fn start_process(&mut self, role: &str, place: usize) -> io::Result<TestProcess> {
        // The proxy's address is advertised, so it is there before the process.
        let proxy = match self.config.proxied && role == "dispatch" {
            true => Some(FaultProxy::start(self.platform.address())?),
            false => None,
        };
        let settings = self.write_settings(place, proxy.as_ref().map(FaultProxy::address))?;
        let log = self.folder.join(format!("{role}-{place}.log"));
        let process = TestProcess::start(&self.binary, role, &settings, &log)?;
        let kind = match role {
            "entry" => InstanceRole::Entry,
            _ => InstanceRole::Dispatch,
        };
        let name = format!("instance-{place}-{role}");
        let mut record = self.record(&name, kind, role, place, process.addresses.peers);
        record.caller_address = process.addresses.callers;
        if let Some(proxy) = proxy {
            proxy.retarget(process.addresses.peers);
            record.address = proxy.address();
            self.dispatch_proxies.truncate(place);
            self.dispatch_proxies.push(proxy);
        }
        self.records.retain(|known| known.name != record.name);
        self.records.push(record);
        Ok(process)
    }

    /// Starts the entry of instance `place` again, as a new process.
    ///
    /// # Errors
    ///
    /// Fails when it does not start.
    pub fn restart_entry(&mut self, place: usize) -> io::Result<()> {
        self.entries[place] = self.start_process("entry", place)?;
        self.publish();
        Ok(())
    }

    /// Starts the dispatch of instance `place` again, as a new process.
    ///
    /// # Errors
    ///
    /// Fails when it does not start.
    pub fn restart_dispatch(&mut self, place: usize) -> io::Result<()> {
        self.dispatches[place] = self.start_process("dispatch", place)?;
        self.publish();
        Ok(())
    }

    /// Writes the settings of instance `place`.
    fn write_settings(&self, place: usize, advertised: Option<SocketAddr>) -> io::Result<PathBuf> {
        let any = "127.0.0.1:0";
        let platform = self.platform_proxies.get(place);
        let platform = platform.map_or(self.platform.address(), FaultProxy::address);
        let mut settings = json!({
            "deployment": "test",
            "instance": format!("instance-{place}"),
            "data_centre": self.data_centre(place),
            "seeds": self.dispatches.iter().map(|d| d.addresses.peers).collect::<Vec<_>>(),
            "entry": {
                "callers_listen": any,
                "operators_listen": any,
                "peer_listen": any,
                "metrics_listen": any,
                "operator_key_sha256": OPERATOR_KEY_HASH,
            },
            "dispatch": { "peer_listen": any, "metrics_listen": any },
            "platform": { "address": platform },
            "timeouts": { "locate_ttl": self.config.locate_ttl },
            "trace": { "sample": 0.0 },
        });
        if let Some(address) = advertised {
            settings["dispatch"]["peer_advertised"] = json!(address);
        }
        let path = self.settings(place);
        std::fs::write(&path, settings.to_string())?;
        Ok(path)
    }

    /// The settings file of instance `place`.
    pub fn settings(&self, place: usize) -> PathBuf {
        self.folder.join(format!("instance-{place}.json"))
    }

    /// What the process of `role` on instance `place` has logged.
    pub fn log(&self, role: &str, place: usize) -> String {
        let path = self.folder.join(format!("{role}-{place}.log"));
        std::fs::read_to_string(path).unwrap_or_default()
    }

    /// Publishes the platform's list.
    pub fn publish(&self) {
        self.platform.store().set_instances(&self.records);
    }

    /// Changes the state of the instance `name` in the platform's list.
    pub fn set_state(&mut self, name: &str, state: InstanceState) {
        for record in &mut self.records {
            if record.name.as_str() == name {
                record.state = state;
            }
        }
        self.publish();
    }

    /// Runs the operators' command with `arguments` against the first entry.
    ///
    /// Returns whether it succeeded and what it printed.
    pub fn operate(&self, arguments: &[&str]) -> (bool, String) {
        let operators = self.entries[0].addresses.operators;
        let output = Command::new(&self.binary)
            .args(arguments)
            .env(
                "BERYLMOUNT_ENTRY",
                operators.map_or_else(String::new, |a| a.to_string()),
            )
            .env("BERYLMOUNT_OPERATOR_KEY", OPERATOR_KEY)
            .output();
        match output {
            Ok(output) => {
                let printed = [output.stdout, output.stderr].concat();
                let printed = String::from_utf8_lossy(&printed).into_owned();
                (output.status.success(), printed)
            }
            Err(e) => (false, e.to_string()),
        }
    }

    /// Stores a CSV sheet as the whole table.
    ///
    /// # Errors
    ///
    /// Fails when a row is refused or was changed meanwhile.
    pub fn import(&self, rows: &str) -> io::Result<()> {
        let rows = read_sheet(rows.as_bytes()).map_err(|e| io::Error::other(format!("{e:?}")))?;
        let editor = TableEditor::new(self.platform.store());
        let stored = editor.read_all().map_err(io::Error::other)?;
        let stored = stored.iter().flat_map(|shard| shard.rows());
        let (_, changes) = diff_rows(stored, &rows, true);
        let edit = TableEdit {
            id: format!("import-{}", berylmount_model::unix_ms()),
            who: "fleet".to_owned(),
            at_ms: berylmount_model::unix_ms(),
            digest: 0,
            changes,
        };
        editor.apply(&edit).map(drop).map_err(io::Error::other)
    }

    /// Waits until every entry serves the customer `north-crew`.
    pub fn wait_ready(&self) {
        for entry in &self.entries {
            let Some(address) = entry.addresses.callers else {
                continue;
            };
            wait_until("an entry that locates", || {
                let located = get_json(address, "/v1/locate?customer=north-crew");
                located.is_some_and(|answer| {
                    let count = answer["addresses"].as_array().map_or(0, Vec::len);
                    count >= self.entries.len().min(3)
                })
            });
            wait_until("an entry that has the table", || has_table(address));
            let processes = self.entries.len() + self.dispatches.len();
            wait_until("an entry that knows every process", || {
                live_members(entry) == processes
            });
        }
    }

    /// The caller address of entry `place`.
    ///
    /// # Panics
    ///
    /// Panics if the process has none.
    pub fn callers(&self, place: usize) -> SocketAddr {
        self.entries[place].addresses.callers.unwrap()
    }

    /// The first entry that `customer` is told of.
    ///
    /// # Panics
    ///
    /// Panics if no entry answers.
    pub fn locate(&self, customer: &str) -> SocketAddr {
        let path = format!("/v1/locate?customer={customer}");
        let answers = self
            .entries
            .iter()
            .filter_map(|e| e.addresses.callers)
            .filter_map(|address| get_json(address, &path));
        let mut addresses = answers.filter_map(|a| a["addresses"][0].as_str()?.parse().ok());
        addresses.next().unwrap()
    }
}

impl Drop for TestFleet {
    fn drop(&mut self) {
        if std::env::var_os("BERYLMOUNT_KEEP_LOGS").is_none() {
            std::fs::remove_dir_all(&self.folder).ok();
        }
    }
}

/// An HTTP client with a short patience.
fn http_agent() -> ureq::Agent {
    let config = ureq::Agent::config_builder().timeout_global(Some(Duration::from_secs(5)));
    config.http_status_as_error(false).build().into()
}

/// Whether the entry at `address` knows the customers.
fn has_table(address: SocketAddr) -> bool {
    let url = format!("http://{address}/v1/prompts/{:032}", 0);
    let key = format!("Bearer north-crew:{CUSTOMER_KEY}");
    let answer = http_agent().get(url).header("authorization", key).call();
    answer.is_ok_and(|answer| answer.status() == 404)
}

/// Live processes that `process` knows.
fn live_members(process: &TestProcess) -> usize {
    let page = process.metrics_page();
    let mut lines = page.lines();
    let count = lines.find_map(|line| line.strip_prefix("berylmount_members{state=\"live\"} "));
    count.and_then(|count| count.parse().ok()).unwrap_or(0)
}

/// Reads JSON from `address`, if it answers.
fn get_json(address: SocketAddr, path: &str) -> Option<Value> {
    let url = format!("http://{address}{path}");
    let mut answer = http_agent().get(url).call().ok()?;
    answer.body_mut().read_json().ok()
}
