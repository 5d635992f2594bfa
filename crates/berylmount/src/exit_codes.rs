//! Exit codes that several commands share; `main` lists what they mean.

/// The command succeeded.
pub(crate) const EXIT_OK: u8 = 0;
/// The settings file has invalid values.
pub(crate) const EXIT_FAULTY: u8 = 1;
/// The settings file could not be read.
pub(crate) const EXIT_UNREADABLE: u8 = 2;
/// The command line is invalid.
pub(crate) const EXIT_USAGE: u8 = 2;
/// The process could not start.
pub(crate) const EXIT_NOT_STARTED: u8 = 3;
