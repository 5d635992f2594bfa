//! Exit codes that several commands share; `main` lists what they mean.

/// The command did what it was asked.
pub(crate) const EXIT_OK: u8 = 0;
/// The settings have faults.
pub(crate) const EXIT_FAULTY: u8 = 1;
/// The settings can't be read.
pub(crate) const EXIT_UNREADABLE: u8 = 2;
/// Wrong use.
pub(crate) const EXIT_USAGE: u8 = 2;
/// The process could not start.
pub(crate) const EXIT_NOT_STARTED: u8 = 3;
