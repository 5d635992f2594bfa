//! Settings of a berylmount process.
//!
//! A settings file is JSON with comments. [`ProcessSettings::parse`] validates it in
//! two passes: the reader checks each value on its own (type, unit, range), and the
//! verifier checks combinations of values. Each pass reports all its faults with their
//! lines, so that one run of `check-settings` shows all of them. The verifier runs only
//! if the reader found none. Settings are immutable once parsed.

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
