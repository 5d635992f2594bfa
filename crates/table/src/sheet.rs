//! The whole table as one CSV sheet.
//!
//! The first line names the columns: `kind`, `name` and those of
//! [`ColumnName`]. Columns that a row's kind does not have stay empty.

use crate::{
    parse_row, row_cells, shard::changed_cells, CellChange, ColumnName, RowCells, RowChange,
    RowError, StoredRow,
};
use berylmount_model::{RowKey, RowKind, TableRow};
use csv::{ErrorKind, ReaderBuilder, StringRecord, Trim, Writer};
use serde::{Deserialize, Serialize};
use strum::{Display, IntoEnumIterator, IntoStaticStr};

/// What a sheet would do to a row.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize, Display, IntoStaticStr)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum DiffKind {
    /// It adds the row.
    Add,
    /// It changes cells of the row.
    Change,
    /// It deletes the row.
    Delete,
}

/// One row in which a sheet differs from the table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RowDiff {
    /// The row.
    pub key: RowKey,
    /// What the sheet would do.
    pub kind: DiffKind,
    /// The cells that differ.
    pub changes: Vec<CellChange>,
}

/// Reads the rows of a sheet.
///
/// # Errors
///
/// One [`RowError`] for each wrong cell, its row with the line in the sheet.
///
/// ```
/// use berylmount_table::read_sheet;
///
/// assert_eq!(read_sheet(b"kind,name,version\nmodel,blaze,v1\n").unwrap().len(), 1);
/// let errors = read_sheet(b"kind,name,version\nmodel,blaze,\n").unwrap_err();
/// assert_eq!(errors[0].row, "line 2, model:blaze");
/// ```
pub fn read_sheet(bytes: &[u8]) -> Result<Vec<TableRow>, Vec<RowError>> {
    let mut reader = ReaderBuilder::new().trim(Trim::All).from_reader(bytes);
    let header = reader.headers().map_err(|error| vec![csv_error(&error)])?;
    let columns = read_header(header)?;
    let mut rows = Vec::new();
    let mut errors = Vec::new();
    for record in reader.records() {
        match record {
            Ok(record) => match read_record(&columns, &record) {
                Ok(row) => rows.push(row),
                Err(found) => errors.extend(found),
            },
            Err(error) => errors.push(csv_error(&error)),
        }
    }
    errors.extend(duplicate_errors(&rows));
    if errors.is_empty() {
        Ok(rows)
    } else {
        Err(errors)
    }
}

/// Writes rows as a sheet, ordered by key.
///
/// # Errors
///
/// The CSV library's, which says why the sheet could not be written.
pub fn write_sheet<'a>(
    rows: impl IntoIterator<Item = &'a TableRow>,
) -> Result<Vec<u8>, csv::Error> {
    let mut rows: Vec<_> = rows.into_iter().map(|row| (row.key(), row)).collect();
    rows.sort_by(|a, b| a.0.cmp(&b.0));
    let mut writer = Writer::from_writer(Vec::new());
    let columns = ColumnName::iter().map(<&str>::from);
    writer.write_record(["kind", "name"].into_iter().chain(columns))?;
    for (key, row) in rows {
        let cells = row_cells(row);
        let texts = ColumnName::iter().map(|column| cells.get(column).unwrap_or_default());
        let start = [key.kind.into(), key.name.as_str()];
        writer.write_record(start.into_iter().chain(texts))?;
    }
    writer
        .into_inner()
        .map_err(|error| error.into_error().into())
}

/// How `sheet` differs from the table's `rows`, and the changes that make them alike.
///
/// Rows that the sheet lacks are deleted only if `delete_missing` says so.
pub fn diff_rows<'a>(
    rows: impl IntoIterator<Item = &'a StoredRow>,
    sheet: &[TableRow],
    delete_missing: bool,
) -> (Vec<RowDiff>, Vec<RowChange>) {
    let mut stored: Vec<_> = rows.into_iter().collect();
    stored.sort_by(|a, b| a.cmp_key(&b.key()));
    let mut sheet: Vec<_> = sheet.iter().map(|row| (row.key(), row)).collect();
    sheet.sort_by(|a, b| a.0.cmp(&b.0));
    let mut diffs = Vec::new();
    let mut changes = Vec::new();
    for (key, row) in &sheet {
        let found = stored.binary_search_by(|old| old.cmp_key(key));
        let old = found.ok().map(|at| stored[at]);
        if old.is_some_and(|old| old.row == **row) {
            continue;
        }
        diffs.push(diff_row(key, old.map(|old| &old.row), Some(row)));
        changes.push(RowChange {
            key: key.clone(),
            expected: old.map_or(0, |old| old.version),
            row: Some((*row).clone()),
        });
    }
    let kept = |key: &RowKey| sheet.binary_search_by(|row| row.0.cmp(key)).is_ok();
    for old in stored
        .iter()
        .filter(|old| delete_missing && !kept(&old.key()))
    {
        diffs.push(diff_row(&old.key(), Some(&old.row), None));
        changes.push(RowChange {
            key: old.key(),
            expected: old.version,
            row: None,
        });
    }
    (diffs, changes)
}

fn diff_row(key: &RowKey, old: Option<&TableRow>, new: Option<&TableRow>) -> RowDiff {
    let before = old.map(row_cells).unwrap_or_default();
    let after = new.map(row_cells).unwrap_or_default();
    let kind = match (old, new) {
        (None, _) => DiffKind::Add,
        (Some(_), Some(_)) => DiffKind::Change,
        (Some(_), None) => DiffKind::Delete,
    };
    RowDiff {
        key: key.clone(),
        kind,
        changes: changed_cells(&before, &after),
    }
}

/// What one column of a sheet holds.
enum SheetColumn {
    Kind,
    Name,
    Cell(ColumnName),
}

fn read_header(header: &StringRecord) -> Result<Vec<SheetColumn>, Vec<RowError>> {
    let columns = header.iter().map(|text| match text {
        "kind" => Ok(SheetColumn::Kind),
        "name" => Ok(SheetColumn::Name),
        text => match text.parse() {
            Ok(column) => Ok(SheetColumn::Cell(column)),
            Err(_) => Err(text.to_owned()),
        },
    });
    let columns: Vec<_> = columns.collect();
    let unknown = columns.iter().filter_map(|column| column.as_ref().err());
    let names: Vec<&str> = ColumnName::iter().map(<&str>::from).collect();
    let allowed = format!("kind, name, {}", names.join(", "));
    let mut errors: Vec<_> = unknown
        .map(|text| sheet_error(1, text, text, &allowed))
        .collect();
    for name in ["kind", "name"] {
        if !header.iter().any(|text| text == name) {
            errors.push(sheet_error(1, name, "", "a column of this name"));
        }
    }
    let mut texts: Vec<_> = header.iter().collect();
    texts.sort_unstable();
    let twice = texts.windows(2).filter(|pair| pair[0] == pair[1]);
    errors.extend(twice.map(|pair| sheet_error(1, pair[0], "two columns", "one column")));
    if errors.is_empty() {
        Ok(columns.into_iter().flatten().collect())
    } else {
        Err(errors)
    }
}

fn read_record(columns: &[SheetColumn], record: &StringRecord) -> Result<TableRow, Vec<RowError>> {
    let line = record.position().map_or(0, csv::Position::line);
    let mut kind = "";
    let mut name = "";
    let mut cells = RowCells::default();
    for (column, text) in columns.iter().zip(record) {
        match column {
            SheetColumn::Kind => kind = text,
            SheetColumn::Name => name = text,
            SheetColumn::Cell(column) => cells.set(*column, text),
        }
    }
    let Ok(kind) = kind.parse() else {
        let kinds: Vec<&str> = RowKind::iter().map(<&str>::from).collect();
        let allowed = format!("one of {}", kinds.join(", "));
        return Err(vec![sheet_error(line, "kind", kind, &allowed)]);
    };
    parse_row(kind, name, &cells).map_err(|mut errors| {
        for error in &mut errors {
            error.row = format!("line {line}, {}", error.row);
        }
        errors
    })
}

fn duplicate_errors(rows: &[TableRow]) -> Vec<RowError> {
    let mut keys: Vec<_> = rows.iter().map(TableRow::key).collect();
    keys.sort();
    let twice = keys.windows(2).filter(|pair| pair[0] == pair[1]);
    let error = |pair: &[RowKey]| RowError::new(&pair[0], "name", &pair[0].name, "one row only");
    twice.map(error).collect()
}

fn sheet_error(line: u64, column: &str, found: &str, allowed: &str) -> RowError {
    RowError {
        row: format!("line {line}"),
        column: column.to_owned(),
        found: found.to_owned(),
        allowed: allowed.to_owned(),
    }
}

fn csv_error(error: &csv::Error) -> RowError {
    let line = error.position().map_or(0, csv::Position::line);
    match error.kind() {
        ErrorKind::UnequalLengths {
            expected_len, len, ..
        } => {
            let allowed = format!("{expected_len} cells, as in the first line");
            sheet_error(line, "(all)", &format!("{len} cells"), &allowed)
        }
        ErrorKind::Utf8 { .. } => sheet_error(line, "(all)", "other bytes", "text in UTF-8"),
        _ => sheet_error(line, "(all)", &error.to_string(), "a CSV sheet"),
    }
}
