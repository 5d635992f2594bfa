//! The command `check-settings`.

use berylmount_settings::{ProcessSettings, SettingsError};
use std::{io, path::Path};

/// Exit code for a file without faults.
const EXIT_OK: u8 = 0;

/// Exit code for a file with faults.
const EXIT_FAULTY: u8 = 1;

/// Exit code for a file that can't be read.
const EXIT_UNREADABLE: u8 = 2;

/// Writes `ok` or every fault of the settings file at `path`, one a line.
///
/// Returns the exit code for the process.
///
/// # Errors
///
/// Returns the error of writing to `output`.
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
