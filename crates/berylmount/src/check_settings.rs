//! The `check-settings` command, which validates a settings file.

use crate::exit_codes::{EXIT_FAULTY, EXIT_OK, EXIT_UNREADABLE};
use berylmount_settings::{ProcessSettings, SettingsError};
use std::{io, path::Path};

/// Writes `ok`, or every error in the settings file at `path`, one per line.
///
/// Returns the exit code for the process.
///
/// # Errors
///
/// Returns an error if writing to `output` fails.
pub(crate) fn check_settings(path: &Path, output: &mut impl io::Write) -> io::Result<u8> {
    let error = match ProcessSettings::read(path) {
        Ok(_) => {
            writeln!(output, "ok")?;
            return Ok(EXIT_OK);
        }
        Err(error) => error,
    };
    writeln!(output, "{error}")?;
    match error {
        SettingsError::Faulty(_) => Ok(EXIT_FAULTY),
        SettingsError::Unreadable(_) => Ok(EXIT_UNREADABLE),
    }
}
