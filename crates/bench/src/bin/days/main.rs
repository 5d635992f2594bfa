//! Writes the table of played days from journal entries, and says what changed.

use berylmount_bench::days::{changes, days_of, DayLine};
use std::{error::Error, fs};

/// Head of the table.
const HEAD: &str = "| site | day | worth | score | broken rules | largest price |\n\
                    | --- | --- | --- | --- | --- | --- |\n";

mod flags {
    // The macro documents none of what it makes.
    #![allow(missing_docs)]

    use std::path::PathBuf;

    xflags::xflags! {
        /// Writes the table of played days, and prints what changed against the last one.
        cmd days {
            /// The table; lines of sites that were not played are kept.
            required table: PathBuf
            /// Journal entries of the runs.
            repeated entry: PathBuf
        }
    }
}

fn main() -> Result<(), Box<dyn Error>> {
    let flags = flags::Days::from_env_or_exit();
    let old = match fs::read_to_string(&flags.table) {
        Ok(text) => text,
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => String::new(),
        Err(error) => return Err(error.into()),
    };
    // Text before the table, and lines that are no days, are not lines of days.
    let before: Vec<DayLine> = old.lines().filter_map(|line| line.parse().ok()).collect();
    let mut now: Vec<DayLine> = Vec::new();
    for path in &flags.entry {
        let entry = serde_json::from_str(&fs::read_to_string(path)?)?;
        let days = days_of(&entry).map_err(|fault| format!("{}: {fault}", path.display()))?;
        now.extend(days);
    }
    let changed = changes(&before, &now);
    let is_kept = |line: &&DayLine| !now.iter().any(|new| new.site == line.site);
    let mut lines: Vec<DayLine> = before.iter().filter(is_kept).cloned().collect();
    lines.extend(now);
    lines.sort_by(|a, b| (&a.site, &a.day).cmp(&(&b.site, &b.day)));
    let intro = old.split(HEAD).next().unwrap_or_default();
    let rows: String = lines.iter().map(|line| format!("{line}\n")).collect();
    fs::write(&flags.table, format!("{intro}{HEAD}{rows}"))?;
    match changed.is_empty() {
        true => println!("nothing changed beyond the bench's noise"),
        false => changed.iter().for_each(|line| println!("{line}")),
    }
    Ok(())
}
