//! Checked settings of a berylmount process.
//!
//! A settings file is JSON with comments. [`ProcessSettings::parse`] reads it
//! in two passes: the reader checks each value alone (type, unit, range), the
//! verifier checks values against each other. Both report every fault, each
//! with its line, so that one run of `check-settings` shows all of them.
//! Settings never change after they are parsed.

mod document;
mod fault;
mod process;
mod reader;
mod sections;
mod units;
mod verify;

pub use crate::{
    document::settings_table,
    fault::{SettingsError, SettingsFault},
    process::{
        DispatchSettings, EntrySettings, LogFormat, LogSettings, PlatformSettings, ProcessSettings,
        TimeoutSettings, TraceSettings,
    },
};
