//! Typed settings, and how a settings file is parsed into them.

use crate::{
    reader::ReadContext, sections::read_settings, verify::verify_settings, SettingsError,
    SettingsFault,
};
use berylmount_model::{DataCentre, InstanceName, InstanceRole};
use jsonc_parser::{ast::Value, parse_to_ast, CollectOptions, ParseOptions};
use std::{fs, net::SocketAddr, path::Path, time::Duration};
use strum::{Display, IntoStaticStr};

/// Settings of one instance, shared by its entry and dispatch processes.
#[derive(Clone, Debug, PartialEq)]
pub struct ProcessSettings {
    /// Name of the deployment; the first part of every cache key and platform key.
    pub deployment: InstanceName,
    /// Name of the instance; a process is named after its instance and role.
    pub instance: InstanceName,
    /// Data centre of the instance.
    pub data_centre: DataCentre,
    /// Peer addresses to contact before the platform's instance list is available.
    pub seeds: Vec<SocketAddr>,
    /// Settings of the entry process.
    pub entry: EntrySettings,
    /// Settings of the dispatch process.
    pub dispatch: DispatchSettings,
    /// Settings of the platform's object API.
    pub platform: PlatformSettings,
    /// Timeouts.
    pub timeouts: TimeoutSettings,
    /// Log settings.
    pub log: LogSettings,
    /// Trace settings.
    pub trace: TraceSettings,
}

/// Settings of an entry process.
#[derive(Clone, Debug, PartialEq)]
pub struct EntrySettings {
    /// Address to listen on for callers.
    pub callers_listen: SocketAddr,
    /// Address advertised to callers, if it differs from `callers_listen`.
    pub callers_advertised: Option<SocketAddr>,
    /// Address to listen on for operators.
    pub operators_listen: SocketAddr,
    /// Address to listen on for peers.
    pub peer_listen: SocketAddr,
    /// Address advertised to peers, if it differs from `peer_listen`.
    pub peer_advertised: Option<SocketAddr>,
    /// Address to serve metrics on.
    pub metrics_listen: SocketAddr,
    /// Maximum size of a request body, in bytes.
    pub max_body: usize,
    /// Maximum size of a request head, in bytes.
    pub max_header: usize,
    /// Maximum number of open caller connections.
    pub max_connections: usize,
    /// Maximum number of requests in flight.
    pub max_in_flight: usize,
    /// Idle timeout of a caller's connection.
    pub idle_timeout: Duration,
    /// SHA-256 of the operators' key, in lower-case hexadecimal.
    pub operator_key_sha256: String,
}

/// Settings of a dispatch process.
#[derive(Clone, Debug, PartialEq)]
pub struct DispatchSettings {
    /// Address to listen on for peers.
    pub peer_listen: SocketAddr,
    /// Address advertised to peers, if it differs from `peer_listen`.
    pub peer_advertised: Option<SocketAddr>,
    /// Address to serve metrics on.
    pub metrics_listen: SocketAddr,
    /// Maximum number of requests in flight at targets.
    pub max_in_flight: usize,
    /// Memory for responses that are retained until acknowledged, in bytes.
    pub answer_hold_bytes: usize,
    /// How long a completed response is retained.
    pub answer_hold_time: Duration,
}

/// Settings of the platform's object API.
#[derive(Clone, Debug, PartialEq)]
pub struct PlatformSettings {
    /// Address of the API.
    pub address: SocketAddr,
}

/// Timeouts of a process.
#[derive(Clone, Debug, PartialEq)]
pub struct TimeoutSettings {
    /// Maximum duration of a graceful shutdown.
    pub drain: Duration,
    /// How long a caller may cache an address from a lookup.
    pub locate_ttl: Duration,
    /// Time without data after which a stream is considered broken.
    pub silent_gap: Duration,
    /// Time limit for opening a connection.
    pub connect: Duration,
    /// How long a suspected peer may take to refute the suspicion.
    pub peer_dead: Duration,
}

/// Log settings.
#[derive(Clone, Debug, PartialEq)]
pub struct LogSettings {
    /// Least severe level that is logged.
    pub level: log::LevelFilter,
    /// Format of a record.
    pub format: LogFormat,
}

/// Format of a log record.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum LogFormat {
    /// One line of text per record.
    Text,
    /// One JSON object per line.
    Json,
}

/// Trace settings.
#[derive(Clone, Debug, PartialEq)]
pub struct TraceSettings {
    /// Fraction of requests to trace if the caller has made no sampling decision.
    pub sample: f64,
}

impl ProcessSettings {
    /// Returns the name of the process with `role` in the platform's instance list.
    pub fn process_name(&self, role: InstanceRole) -> InstanceName {
        InstanceName::of_process(&self.instance, role)
    }

    /// Reads and validates the settings file at `path`.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError::Unreadable`] when the file cannot be read, or
    /// [`SettingsError::Faulty`] with all faults found in it.
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

    /// Parses and validates the text of a settings file.
    ///
    /// # Errors
    ///
    /// Returns all faults found, in the order of the lines. Combinations of values are
    /// checked only if each value is valid on its own.
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
            return Err(vec![syntax_fault(1, "no JSON object")]);
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

/// Parser options: JSON with comments and trailing commas, and no other extensions.
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

/// Creates a fault for a syntax error.
fn syntax_fault(line: usize, found: &str) -> SettingsFault {
    SettingsFault {
        line,
        key: "(file)".to_owned(),
        found: found.to_owned(),
        allowed: "one JSON object with comments".to_owned(),
    }
}
