//! Faults of a settings file.

use std::io;

/// One fault of a settings file.
///
/// Faults order by line, so a sorted list reads from the top of the file.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, thiserror::Error)]
#[error("line {line}: {key}: found {found}; allowed: {allowed}")]
pub struct SettingsFault {
    /// Line of the file, counted from one.
    pub line: usize,
    /// Full key, such as `entry.max_body`.
    pub key: String,
    /// What the file holds.
    pub found: String,
    /// What the key accepts.
    pub allowed: String,
}

/// Why a settings file can't be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("the settings file can't be read: {0}")]
    Unreadable(#[from] io::Error),
    /// The file has faults; one line each.
    #[error("{}", join_faults(.0))]
    Faulty(Vec<SettingsFault>),
}

/// One line a fault.
fn join_faults(faults: &[SettingsFault]) -> String {
    let lines: Vec<_> = faults.iter().map(ToString::to_string).collect();
    lines.join("\n")
}
