//! Tests of the faults that `parse` reports, one text file per case.
//!
//! A case contains a settings file, a line `----`, and the expected report. `BLESS=1`
//! rewrites the expected reports.

use berylmount_settings::ProcessSettings;
use std::{error::Error, fs, path::Path};

const SEPARATOR: &str = "----\n";

fn report(input: &str) -> String {
    match ProcessSettings::parse(input) {
        Ok(_) => "ok\n".to_owned(),
        Err(faults) => faults.iter().map(|fault| format!("{fault}\n")).collect(),
    }
}

fn check_case(path: &Path) -> Result<(), Box<dyn Error>> {
    let case = fs::read_to_string(path)?;
    let (input, expected) = case.split_once(SEPARATOR).unwrap_or((&case, ""));
    let found = report(input);
    if std::env::var_os("BLESS").is_some() {
        fs::write(path, format!("{input}{SEPARATOR}{found}"))?;
    } else if found != expected {
        return Err(format!("expected:\n{expected}\nfound:\n{found}").into());
    }
    Ok(())
}

datatest_stable::harness! {
    { test = check_case, root = "tests/faults", pattern = r"\.txt$" },
}
