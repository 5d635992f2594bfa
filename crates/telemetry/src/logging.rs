//! Logs on standard error, one line per record.
//!
//! Control characters in messages and values are escaped, so that text from a caller
//! cannot start a new line and forge a record.

use berylmount_settings::{LogFormat, LogSettings};
use flexi_logger::{DeferredNow, FlexiLoggerError, Logger, LoggerHandle};
use log::{
    kv::{Error, Key, Value, VisitSource},
    Record,
};
use serde_json::{Map, Value as Json};
use std::{
    fmt::Write as _,
    io::{self, Write},
};

/// Reason why logging could not start.
#[derive(Debug, thiserror::Error)]
pub enum LogFault {
    /// The logger rejected its settings, or one is already running.
    #[error("cannot start logging: {0}")]
    Logger(#[from] FlexiLoggerError),
    /// The thread that writes records could not be started.
    #[error("cannot start the logging thread: {0}")]
    Thread(#[from] io::Error),
}

/// Guard of the logger; dropping it flushes the logs.
pub struct LogGuard(LoggerHandle);

impl Drop for LogGuard {
    fn drop(&mut self) {
        self.0.flush();
    }
}

/// Starts logging for the whole process.
///
/// # Errors
///
/// Returns a [`LogFault`] when a logger is already running.
///
/// ```
/// use berylmount_settings::{LogFormat, LogSettings};
/// use berylmount_telemetry::start_logging;
///
/// let settings = LogSettings { level: log::LevelFilter::Info, format: LogFormat::Text };
/// let _guard = start_logging(&settings).unwrap();
/// log::info!(target: "entry", connections = 3; "listening for callers");
/// assert!(start_logging(&settings).is_err());
/// ```
pub fn start_logging(settings: &LogSettings) -> Result<LogGuard, LogFault> {
    let write = match settings.format {
        LogFormat::Text => write_text,
        LogFormat::Json => write_json,
    };
    let logger = Logger::with(settings.level);
    let handle = logger.use_utc().log_to_stderr().format(write).start()?;
    Ok(LogGuard(handle))
}

/// Writes a record as `time LEVEL prefix: message key=value ...`.
fn write_text(
    output: &mut dyn Write,
    now: &mut DeferredNow,
    record: &Record<'_>,
) -> io::Result<()> {
    let (time, level, prefix) = (now.format_rfc3339(), record.level(), record.target());
    let mut line = format!("{time} {level:5} {prefix}: ");
    push_escaped(&mut line, &record.args().to_string());
    // This visitor never fails.
    let _ = record.key_values().visit(&mut TextFields(&mut line));
    output.write_all(line.as_bytes())
}

/// Writes a record as one JSON object.
pub(crate) fn write_json(
    output: &mut dyn Write,
    now: &mut DeferredNow,
    record: &Record<'_>,
) -> io::Result<()> {
    let mut fields = Map::new();
    // This visitor never fails.
    let _ = record.key_values().visit(&mut JsonFields(&mut fields));
    let fixed = [
        ("time", now.format_rfc3339()),
        ("level", record.level().to_string()),
        ("prefix", record.target().to_owned()),
        ("message", record.args().to_string()),
    ];
    for (key, text) in fixed {
        fields.insert(key.to_owned(), Json::String(text));
    }
    serde_json::to_writer(output, &fields).map_err(io::Error::from)
}

/// Appends `text` to a line, with control characters escaped.
fn push_escaped(line: &mut String, text: &str) {
    for c in text.chars() {
        if c.is_control() {
            line.extend(c.escape_default());
        } else {
            line.push(c);
        }
    }
}

/// Appends key-value pairs to a text line.
struct TextFields<'a>(&'a mut String);

impl<'kvs> VisitSource<'kvs> for TextFields<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let text = value.to_string();
        let plain = |c: char| c.is_ascii_graphic() && c != '"' && c != '=';
        // Writing to a String cannot fail.
        let _ = if !text.is_empty() && text.chars().all(plain) {
            write!(self.0, " {key}={text}")
        } else {
            write!(self.0, " {key}={text:?}")
        };
        Ok(())
    }
}

/// Inserts key-value pairs into a JSON object.
struct JsonFields<'a>(&'a mut Map<String, Json>);

impl<'kvs> VisitSource<'kvs> for JsonFields<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let number = value.to_u64().map(Json::from);
        let number = number.or_else(|| value.to_i64().map(Json::from));
        let number = number.or_else(|| value.to_f64().map(Json::from));
        let plain = number.or_else(|| value.to_bool().map(Json::from));
        let json = plain.unwrap_or_else(|| Json::String(value.to_string()));
        self.0.insert(key.to_string(), json);
        Ok(())
    }
}
