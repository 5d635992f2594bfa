//! Typed settings and the keys that they are read from.

use crate::{
    reader::{ReadContext, SectionReader, SettingSpec},
    verify::verify_settings,
    SettingsError, SettingsFault,
};
use berylmount_model::{DataCentre, InstanceName, InstanceRole};
use jsonc_parser::{
    ast::{Object, Value},
    parse_to_ast, CollectOptions, ParseOptions,
};
use std::{fs, net::SocketAddr, path::Path, time::Duration};
use strum::{Display, IntoStaticStr};

const KIB: u64 = 1 << 10;
const MIB: u64 = 1 << 20;
const GIB: u64 = 1 << 30;

/// Settings of both processes of one instance.
#[derive(Clone, Debug, PartialEq)]
pub struct ProcessSettings {
    /// Deployment, the first part of every cache key and platform key.
    pub deployment: InstanceName,
    /// Instance; a process's name is this and its role.
    pub instance: InstanceName,
    /// Data centre of the instance.
    pub data_centre: DataCentre,
    /// Peer addresses to try before the platform's list is known.
    pub seeds: Vec<SocketAddr>,
    /// Settings of the entry process.
    pub entry: EntrySettings,
    /// Settings of the dispatch process.
    pub dispatch: DispatchSettings,
    /// The platform's object API.
    pub platform: PlatformSettings,
    /// Bounds on what a process spends.
    pub limits: LimitSettings,
    /// How long a process waits.
    pub timeouts: TimeoutSettings,
    /// Logs.
    pub log: LogSettings,
    /// Traces.
    pub trace: TraceSettings,
}

/// Settings of an entry process.
#[derive(Clone, Debug, PartialEq)]
pub struct EntrySettings {
    /// Where it listens for callers.
    pub callers_listen: SocketAddr,
    /// Where callers reach it, if that is not the address it listens on.
    pub callers_advertised: Option<SocketAddr>,
    /// Where it listens for operators.
    pub operators_listen: SocketAddr,
    /// Where it listens for peers.
    pub peer_listen: SocketAddr,
    /// Where peers reach it, if that is not the address it listens on.
    pub peer_advertised: Option<SocketAddr>,
    /// Where it serves metrics.
    pub metrics_listen: SocketAddr,
    /// Longest request body, in bytes.
    pub max_body: usize,
    /// Longest request head, in bytes.
    pub max_header: usize,
    /// Open caller connections.
    pub max_connections: usize,
    /// Requests in flight.
    pub max_in_flight: usize,
    /// How long a caller's connection may be idle.
    pub idle_timeout: Duration,
    /// SHA-256 of the operators' key, in lower-case hexadecimal.
    pub operator_key_sha256: String,
}

/// Settings of a dispatch process.
#[derive(Clone, Debug, PartialEq)]
pub struct DispatchSettings {
    /// Where it listens for peers.
    pub peer_listen: SocketAddr,
    /// Where peers reach it, if that is not the address it listens on.
    pub peer_advertised: Option<SocketAddr>,
    /// Where it serves metrics.
    pub metrics_listen: SocketAddr,
    /// Requests in flight at targets.
    pub max_in_flight: usize,
    /// Requests waiting for a target.
    pub max_queued: usize,
    /// Memory for answers held until they are acknowledged, in bytes.
    pub answer_hold_bytes: usize,
    /// How long a finished answer is held.
    pub answer_hold_time: Duration,
}

/// The platform's object API.
#[derive(Clone, Debug, PartialEq)]
pub struct PlatformSettings {
    /// Where it answers.
    pub address: SocketAddr,
    /// Time limit of one call.
    pub timeout: Duration,
    /// How long the platform may hold a waiting watch.
    pub watch_wait: Duration,
    /// Longest pause between tries during an outage.
    pub retry_wait_max: Duration,
}

/// Bounds on what a process spends.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitSettings {
    /// Bytes a second for control between peers.
    pub peer_rate: u64,
    /// Longest message between peers, in bytes.
    pub max_message: usize,
    /// Retries and hedges as a share of first tries.
    pub retry_share: f64,
}

/// How long a process waits.
#[derive(Clone, Debug, PartialEq)]
pub struct TimeoutSettings {
    /// Longest graceful shutdown.
    pub drain: Duration,
    /// How long a caller may keep a located address.
    pub locate_ttl: Duration,
    /// Silence after which a stream counts as broken.
    pub silent_gap: Duration,
    /// Time limit to open a connection.
    pub connect: Duration,
    /// How long a table counts as current after its last confirmation.
    pub table_fresh: Duration,
    /// Silence after which a peer is suspected.
    pub peer_suspect: Duration,
    /// How long a suspected peer has to refute.
    pub peer_dead: Duration,
}

/// Logs.
#[derive(Clone, Debug, PartialEq)]
pub struct LogSettings {
    /// Least severe level that is written.
    pub level: log::LevelFilter,
    /// Form of a record.
    pub format: LogFormat,
}

/// Form of a log record.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum LogFormat {
    /// One readable line.
    Text,
    /// One JSON object a line.
    Json,
}

/// Traces.
#[derive(Clone, Debug, PartialEq)]
pub struct TraceSettings {
    /// Share of requests without a caller's decision that are traced.
    pub sample: f64,
}

impl ProcessSettings {
    /// The name of the instance's process of `role` in the platform's list.
    pub fn process_name(&self, role: InstanceRole) -> InstanceName {
        InstanceName::of_process(&self.instance, role)
    }

    /// Reads, parses and checks the settings file at `path`.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError::Unreadable`] when there is no text to check,
    /// else every fault of it.
    ///
    /// ```
    /// use berylmount_settings::{ProcessSettings, SettingsError};
    ///
    /// let result = ProcessSettings::read("/nonexistent".as_ref());
    /// assert!(matches!(result, Err(SettingsError::Unreadable(_))));
    /// ```
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let text = fs::read_to_string(path)?;
        Self::parse(&text).map_err(SettingsError::Faulty)
    }

    /// Parses and checks the text of a settings file.
    ///
    /// # Errors
    ///
    /// Returns every fault found, in the order of the file's lines. Values are
    /// checked against each other only when each of them is right alone.
    ///
    /// ```
    /// use berylmount_settings::ProcessSettings;
    ///
    /// let faults = ProcessSettings::parse("{ \"colour\": 1 }").unwrap_err();
    /// assert!(faults.iter().any(|fault| fault.key == "colour" && fault.line == 1));
    /// ```
    pub fn parse(text: &str) -> Result<Self, Vec<SettingsFault>> {
        let parsed =
            parse_to_ast(text, &CollectOptions::default(), &strict_options()).map_err(|error| {
                vec![syntax_fault(
                    error.line_display(),
                    &error.kind().to_string(),
                )]
            })?;
        let object = parsed.value.as_ref().and_then(Value::as_object);
        if object.is_none() {
            return Err(vec![syntax_fault(1, "no object")]);
        }
        let mut context = ReadContext::new(text);
        let settings = read_settings(&mut context, object);
        let ReadContext {
            mut faults,
            mut lines,
            ..
        } = context;
        lines.sort();
        match settings {
            Some(settings) if faults.is_empty() => {
                faults = verify_settings(&settings, &lines);
                if faults.is_empty() {
                    return Ok(settings);
                }
            }
            _ => {}
        }
        faults.sort();
        Err(faults)
    }
}

/// JSON with comments and trailing commas, and nothing looser.
fn strict_options() -> ParseOptions {
    ParseOptions {
        allow_comments: true,
        allow_trailing_commas: true,
        allow_loose_object_property_names: false,
        allow_missing_commas: false,
        allow_single_quoted_strings: false,
        allow_hexadecimal_numbers: false,
        allow_unary_plus_numbers: false,
        ..ParseOptions::default()
    }
}

/// A fault of the file's syntax.
fn syntax_fault(line: usize, found: &str) -> SettingsFault {
    SettingsFault {
        line,
        key: "(file)".to_owned(),
        found: found.to_owned(),
        allowed: "one JSON object with comments".to_owned(),
    }
}

/// Documentation of every key, in the order of the file.
pub(crate) fn setting_specs() -> Vec<SettingSpec> {
    let mut context = ReadContext::new("");
    read_settings(&mut context, None);
    context.specs
}

fn read_settings<'a>(
    context: &mut ReadContext<'a>,
    object: Option<&Object<'a>>,
) -> Option<ProcessSettings> {
    let mut root = SectionReader::new(context, object);
    let deployment = root.name(
        "deployment",
        InstanceName::new,
        "Deployment; keeps two deployments on one platform apart.",
    );
    let instance = root.name(
        "instance",
        InstanceName::new,
        "Instance; unique within the deployment.",
    );
    let data_centre = root.name(
        "data_centre",
        DataCentre::new,
        "Data centre that the instance stands in.",
    );
    let seeds = root.addresses(
        "seeds",
        "Peer addresses to try before the platform's list is known.",
    );
    let entry = root.section("entry", read_entry);
    let dispatch = root.section("dispatch", read_dispatch);
    let platform = root.section("platform", read_platform);
    let limits = root.section("limits", read_limits);
    let timeouts = root.section("timeouts", read_timeouts);
    let log = root.section("log", read_log);
    let trace = root.section("trace", read_trace);
    root.finish();
    Some(ProcessSettings {
        deployment: deployment?,
        instance: instance?,
        data_centre: data_centre?,
        seeds,
        entry,
        dispatch,
        platform,
        limits,
        timeouts,
        log,
        trace,
    })
}

fn read_entry(section: &mut SectionReader<'_, '_>) -> EntrySettings {
    EntrySettings {
        callers_listen: section.address(
            "callers_listen",
            "Where the entry listens for callers; port 0 takes a free port.",
        ),
        callers_advertised: section.optional_address(
            "callers_advertised",
            "callers_listen",
            "Where callers reach the entry.",
        ),
        operators_listen: section
            .address("operators_listen", "Where the entry listens for operators."),
        peer_listen: section.address("peer_listen", "Where the entry listens for peers."),
        peer_advertised: section.optional_address(
            "peer_advertised",
            "peer_listen",
            "Where peers reach the entry.",
        ),
        metrics_listen: section.address(
            "metrics_listen",
            "Where the entry serves `/metrics` and `/healthz`.",
        ),
        max_body: section.size("max_body", MIB, KIB..=64 * MIB, "Longest request body."),
        max_header: section.size(
            "max_header",
            16 * KIB,
            KIB..=256 * KIB,
            "Longest request head.",
        ),
        max_connections: section.count(
            "max_connections",
            1024,
            1..=65_536,
            "Open caller connections; more are refused.",
        ),
        max_in_flight: section.count(
            "max_in_flight",
            512,
            1..=65_536,
            "Requests in flight; more are refused as not run.",
        ),
        idle_timeout: section.duration(
            "idle_timeout",
            secs(60),
            secs(1)..=secs(3600),
            "How long a caller's connection may be idle.",
        ),
        operator_key_sha256: section.hash(
            "operator_key_sha256",
            "SHA-256 of the operators' key; the key itself stands in no file.",
        ),
    }
}

fn read_dispatch(section: &mut SectionReader<'_, '_>) -> DispatchSettings {
    DispatchSettings {
        peer_listen: section.address("peer_listen", "Where the dispatch listens for peers."),
        peer_advertised: section.optional_address(
            "peer_advertised",
            "peer_listen",
            "Where peers reach the dispatch.",
        ),
        metrics_listen: section.address(
            "metrics_listen",
            "Where the dispatch serves `/metrics` and `/healthz`.",
        ),
        max_in_flight: section.count(
            "max_in_flight",
            512,
            1..=65_536,
            "Requests in flight at targets.",
        ),
        max_queued: section.count(
            "max_queued",
            1024,
            1..=65_536,
            "Requests that wait for a target; more are refused as not run.",
        ),
        answer_hold_bytes: section.size(
            "answer_hold_bytes",
            8 * MIB,
            64 * KIB..=GIB,
            "Memory for answers held until they are acknowledged.",
        ),
        answer_hold_time: section.duration(
            "answer_hold_time",
            secs(60),
            secs(1)..=secs(3600),
            "How long a finished answer is held for a caller that comes back.",
        ),
    }
}

fn read_platform(section: &mut SectionReader<'_, '_>) -> PlatformSettings {
    PlatformSettings {
        address: section.address("address", "Where the platform's object API answers."),
        timeout: section.duration(
            "timeout",
            secs(2),
            millis(50)..=secs(60),
            "Time limit of one call.",
        ),
        watch_wait: section.duration(
            "watch_wait",
            secs(20),
            millis(100)..=secs(600),
            "How long the platform may hold a waiting watch.",
        ),
        retry_wait_max: section.duration(
            "retry_wait_max",
            secs(5),
            millis(100)..=secs(60),
            "Longest pause between tries during an outage.",
        ),
    }
}

fn read_limits(section: &mut SectionReader<'_, '_>) -> LimitSettings {
    LimitSettings {
        peer_rate: section.rate(
            "peer_rate",
            5 * KIB,
            KIB..=MIB,
            "Bound on control traffic of one process with its peers.",
        ),
        max_message: section.size(
            "max_message",
            2 * MIB,
            64 * KIB..=16 * MIB,
            "Longest message between peers; a longer one closes the connection.",
        ),
        retry_share: section.fraction(
            "retry_share",
            0.1,
            "Retries and hedges as a share of first tries.",
        ),
    }
}

fn read_timeouts(section: &mut SectionReader<'_, '_>) -> TimeoutSettings {
    TimeoutSettings {
        drain: section.duration(
            "drain",
            secs(60),
            secs(1)..=secs(3600),
            "Longest graceful shutdown; what still runs then is refused with its verdict.",
        ),
        locate_ttl: section.duration(
            "locate_ttl",
            secs(10),
            millis(100)..=secs(600),
            "How long a caller may keep a located address.",
        ),
        silent_gap: section.duration(
            "silent_gap",
            secs(3),
            millis(100)..=secs(60),
            "Silence after which a stream counts as broken.",
        ),
        connect: section.duration(
            "connect",
            millis(500),
            millis(10)..=secs(30),
            "Time limit to open a connection.",
        ),
        table_fresh: section.duration(
            "table_fresh",
            millis(3500),
            millis(100)..=secs(4),
            "How long a table counts as current after its last confirmation.",
        ),
        peer_suspect: section.duration(
            "peer_suspect",
            secs(3),
            millis(100)..=secs(60),
            "Silence after which a peer is suspected.",
        ),
        peer_dead: section.duration(
            "peer_dead",
            secs(5),
            millis(100)..=secs(600),
            "How long a suspected peer has to refute before it counts as dead.",
        ),
    }
}

fn read_log(section: &mut SectionReader<'_, '_>) -> LogSettings {
    use log::LevelFilter as Level;
    let levels = [
        ("error", Level::Error),
        ("warn", Level::Warn),
        ("info", Level::Info),
        ("debug", Level::Debug),
        ("trace", Level::Trace),
    ];
    let formats = [("text", LogFormat::Text), ("json", LogFormat::Json)];
    LogSettings {
        level: section.choice(
            "level",
            Level::Info,
            &levels,
            "Least severe level that is written.",
        ),
        format: section.choice(
            "format",
            LogFormat::Text,
            &formats,
            "Form of a record on standard error.",
        ),
    }
}

fn read_trace(section: &mut SectionReader<'_, '_>) -> TraceSettings {
    TraceSettings {
        sample: section.fraction(
            "sample",
            0.01,
            "Share of requests traced when the caller's `traceparent` does not decide.",
        ),
    }
}

const fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

const fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}
