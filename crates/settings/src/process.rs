//! Typed settings and the keys that they are read from.

use crate::{
    reader::ReadContext, sections::read_settings, verify::verify_settings, SettingsError,
    SettingsFault,
};
use berylmount_model::{DataCentre, InstanceName, InstanceRole};
use jsonc_parser::{ast::Value, parse_to_ast, CollectOptions, ParseOptions};
use std::{fs, net::SocketAddr, path::Path, time::Duration};
use strum::{Display, IntoStaticStr};

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
