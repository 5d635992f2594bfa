//! Sheets as text cases: a sheet, a line of `----`, and what becomes of it.
//!
//! `BERYLMOUNT_BLESS=1` writes the results into the cases.

use berylmount_table::{read_sheet, verify_rows, write_sheet, RowError};
use std::{fs, path::Path};

const MARK: &str = "----\n";

fn outcome(sheet: &str) -> Result<String, csv::Error> {
    let lines = |errors: &[RowError]| errors.iter().map(|error| format!("{error}\n")).collect();
    let rows = match read_sheet(sheet.as_bytes()) {
        Ok(rows) => rows,
        Err(errors) => return Ok(lines(&errors)),
    };
    let written = write_sheet(&rows)?;
    assert_eq!(
        read_sheet(&written).as_ref().map(|again| again.len()),
        Ok(rows.len())
    );
    let rules: String = lines(&verify_rows(&rows));
    Ok(format!("{}{rules}", String::from_utf8_lossy(&written)))
}

fn check_case(path: &Path) -> datatest_stable::Result<()> {
    let text = fs::read_to_string(path)?;
    let (sheet, expected) = text.split_once(MARK).unwrap_or((&text, ""));
    let found = outcome(sheet)?;
    if std::env::var_os("BERYLMOUNT_BLESS").is_some() {
        fs::write(path, format!("{sheet}{MARK}{found}"))?;
    } else if found != expected {
        return Err(format!("found:\n{found}\nexpected:\n{expected}").into());
    }
    Ok(())
}

datatest_stable::harness! {
    { test = check_case, root = "tests/cells", pattern = r".*\.txt$" },
}
