//! Errors in a settings file.

use std::io;

/// An invalid value or key in a settings file.
///
/// Faults are ordered by line, so a sorted list follows the order of the file.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, thiserror::Error)]
#[error("line {line}: {key}: found {found}; allowed: {allowed}")]
pub struct SettingsFault {
    /// Line in the file, starting at 1.
    pub line: usize,
    /// Full name of the key, such as `entry.max_body`.
    pub key: String,
    /// Description of the value found in the file.
    pub found: String,
    /// Description of the allowed values.
    pub allowed: String,
}

/// Reason why a settings file cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("cannot read the settings file: {0}")]
    Unreadable(#[from] io::Error),
    /// The file has faults; each is displayed on a line of its own.
    #[error("{}", join_faults(.0))]
    Faulty(Vec<SettingsFault>),
}

/// Formats faults, one per line.
fn join_faults(faults: &[SettingsFault]) -> String {
    let lines: Vec<_> = faults.iter().map(ToString::to_string).collect();
    lines.join("\n")
}
