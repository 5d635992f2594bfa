//! Generates the documentation of the keys from the code that reads them.

use crate::sections::setting_specs;
use std::fmt::Write;

/// Returns a Markdown table of all keys with their allowed values, default and meaning.
///
/// ```
/// assert!(berylmount_settings::settings_table().contains("`entry.max_body`"));
/// ```
pub fn settings_table() -> String {
    let mut table =
        String::from("| key | allowed | default | meaning |\n| --- | --- | --- | --- |\n");
    for spec in setting_specs() {
        let (key, allowed) = (spec.key, spec.allowed);
        let (default, meaning) = (spec.default, spec.meaning);
        // Writing to a String cannot fail.
        let _ = writeln!(table, "| `{key}` | {allowed} | {default} | {meaning} |");
    }
    table
}
