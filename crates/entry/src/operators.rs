//! The operators' routes, apart from the server that mounts them.
//!
//! | route | does |
//! | --- | --- |
//! | `GET /ops/table?kind=K` | lists rows of this entry's copy |
//! | `GET /ops/row?kind=K&name=N` | reads a row at the platform |
//! | `GET /ops/history?kind=K&name=N` | reads a row's history |
//! | `POST /ops/edit` | an [`EditRequest`] |
//! | `POST /ops/import` | an [`ImportRequest`] |
//! | `GET /ops/export` | the table as a sheet |
//! | `GET /ops/status` | a [`StatusAnswer`](crate::StatusAnswer) |
//!
//! Whoever mounts them has told the operator by the key before.

use crate::{
    operator_messages::{
        ChangedRow, EditAnswer, EditRequest, EditState, ExportAnswer, ImportAnswer, ImportRequest,
        OperatorReason, OperatorRefusal, RowAnswer, RowHistory, RowList, RowSource, StatusLevel,
        StatusLine, TypedCell,
    },
    operator_status::status_answer,
};
use berylmount_model::{unix_ms, MonotonicClock, RowKey, RowKind, TableRow};
use berylmount_objects::ObjectStore;
use berylmount_table::{
    changed_errors, diff_rows, parse_row, read_sheet, row_cells, verify_rows, write_sheet,
    ColumnName, EditError, EditReceipt, ForceReport, RowCells, RowChange, RowError, ShardDocument,
    StoredRow, TableEdit, TableEditor, TableReplica, TableView,
};
use serde::{de::DeserializeOwned, Serialize};
use sha2::{Digest, Sha256};
use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, PoisonError},
    thread,
    time::{Duration, Instant},
};
use strum::IntoEnumIterator;

/// How long an edit's answer waits for more than half of the processes.
const FORCE_WAIT: Duration = Duration::from_millis(3_500);
/// Time between two looks at who has applied an edit.
const FORCE_LOOK: Duration = Duration::from_millis(20);
/// Refused edits that the status shows.
const KEPT_REFUSALS: usize = 10;
/// The longest id of an edit and name of an operator, in bytes.
const MAX_LABEL_BYTES: usize = 96;
/// The column that stands for a customer's key itself.
const KEY_COLUMN: &str = "key";

/// Gives the status lines of another part.
pub type StatusPart = Box<dyn Fn() -> Vec<StatusLine> + Send + Sync>;

/// The operators' routes of one entry.
pub struct OperatorRoutes {
    store: Arc<dyn ObjectStore>,
    table: Arc<TableReplica>,
    clock: MonotonicClock,
    parts: Vec<StatusPart>,
    refused: Mutex<VecDeque<StatusLine>>,
}

/// The value of an answer, as JSON.
type Answer = Result<Vec<u8>, OperatorRefusal>;

impl OperatorRoutes {
    /// Routes to the table in `store` and this entry's copy of it.
    pub fn new(
        store: Arc<dyn ObjectStore>,
        table: Arc<TableReplica>,
        clock: MonotonicClock,
        parts: Vec<StatusPart>,
    ) -> Self {
        Self {
            store,
            table,
            clock,
            parts,
            refused: Mutex::default(),
        }
    }

    /// Answers a request: the HTTP status and the JSON body.
    ///
    /// ```
    /// use berylmount_entry::OperatorRoutes;
    /// use berylmount_model::MonotonicClock;
    /// use berylmount_standins::MemoryStore;
    /// use berylmount_table::TableReplica;
    /// use std::sync::Arc;
    ///
    /// let table = Arc::new(TableReplica::new(0));
    /// let store = Arc::new(MemoryStore::default());
    /// let routes = OperatorRoutes::new(store, table, MonotonicClock::start(), Vec::new());
    /// assert_eq!(routes.handle("GET", "/ops/table", "", b""), (200, br#"{"rows":[]}"#.to_vec()));
    /// assert_eq!(routes.handle("GET", "/ops/other", "", b"").0, 404);
    /// ```
    pub fn handle(&self, method: &str, path: &str, query: &str, body: &[u8]) -> (u16, Vec<u8>) {
        let answer = match (method, path) {
            ("GET", "/ops/table") => self.list(query),
            ("GET", "/ops/row") => self.row(query),
            ("GET", "/ops/history") => self.history(query),
            ("POST", "/ops/edit") => self.edit(body),
            ("POST", "/ops/import") => self.import(body),
            ("GET", "/ops/export") => self.export(),
            ("GET", "/ops/status") => self.status(),
            _ => Err(refusal(OperatorReason::NotFound, "there is no such route")),
        };
        match answer {
            Ok(body) => (200, body),
            Err(refusal) => {
                let body = serde_json::to_vec(&refusal).unwrap_or_default();
                (http_status(refusal.reason), body)
            }
        }
    }

    fn editor(&self) -> TableEditor<'_> {
        TableEditor::new(&*self.store)
    }

    fn list(&self, query: &str) -> Answer {
        let kind = match parameter(query, "kind").as_deref() {
            None | Some("") => None,
            Some(kind) => Some(parse_kind(kind)?),
        };
        let view = self.table.view();
        let rows = view.rows();
        let rows = rows.filter(|stored| kind.is_none_or(|kind| kind == stored.key().kind));
        let mut rows: Vec<_> = rows
            .map(|row| row_answer(row, RowSource::Copy, None))
            .collect();
        rows.sort_by(|a, b| a.key.cmp(&b.key));
        to_json(&RowList { rows })
    }

    fn row(&self, query: &str) -> Answer {
        let key = query_key(query)?;
        let view = self.table.view();
        let copy = view.row(&key);
        let (stored, source) = match self.editor().read(&key) {
            Ok(document) => (document.row(&key).cloned(), RowSource::Platform),
            Err(EditError::Unavailable) => (copy.cloned(), RowSource::Copy),
            Err(error) => return Err(edit_refusal(error)),
        };
        let stored = stored.ok_or_else(|| no_row(&key))?;
        let applied = copy.is_some_and(|copy| copy.version >= stored.version);
        let force = applied.then(|| self.table.report(self.clock.now_ms()).force);
        to_json(&row_answer(&stored, source, force))
    }

    fn history(&self, query: &str) -> Answer {
        let key = query_key(query)?;
        let document = self.editor().read(&key).map_err(edit_refusal)?;
        let entries = document.history(&key).cloned().collect();
        to_json(&RowHistory { entries })
    }

    fn export(&self) -> Answer {
        let view = self.table.view();
        let (rows, source) = match self.editor().read_all() {
            Ok(documents) => (all_rows(&documents).cloned().collect(), RowSource::Platform),
            Err(EditError::Unavailable) => (view.rows().cloned().collect(), RowSource::Copy),
            Err(error) => return Err(edit_refusal(error)),
        };
        let rows: Vec<StoredRow> = rows;
        let sheet = write_sheet(rows.iter().map(|stored| &stored.row))
            .map_err(|error| refusal(OperatorReason::Damaged, &error.to_string()))?;
        let csv = String::from_utf8_lossy(&sheet).into_owned();
        to_json(&ExportAnswer { csv, source })
    }

    fn status(&self) -> Answer {
        let report = self.table.report(self.clock.now_ms());
        let mut lines: Vec<_> = self.parts.iter().flat_map(|part| part()).collect();
        let refused = self.refused.lock().unwrap_or_else(PoisonError::into_inner);
        lines.extend(refused.iter().cloned());
        to_json(&status_answer(&report, &self.table.rule_errors(), lines))
    }

    fn edit(&self, body: &[u8]) -> Answer {
        let request: EditRequest = parse_body(body)?;
        let what = format!("{}:{}", request.kind, request.name);
        let result = self.try_edit(&request);
        self.note(&request.who, &what, result)
    }

    fn try_edit(&self, request: &EditRequest) -> Answer {
        check_labels(&request.id, &request.who)?;
        let key = RowKey {
            kind: parse_kind(&request.kind)?,
            name: request.name.clone(),
        };
        let typed = typed_cells(&key, &request.cells)?;
        let document = self.editor().read(&key).map_err(edit_refusal)?;
        let known = document.holds_edit(&request.id);
        let row = match request.delete {
            true if document.row(&key).is_none() && !known => return Err(no_row(&key)),
            true => None,
            false => Some(merged_row(&key, &document, &typed)?),
        };
        let change = RowChange {
            key: key.clone(),
            expected: request.expected,
            row,
        };
        let asked = serde_json::to_vec(&(&key, &typed, request.delete)).unwrap_or_default();
        if !known {
            self.check_rules(std::slice::from_ref(&change))?;
        }
        to_json(&self.store(TableEdit {
            id: request.id.clone(),
            who: request.who.clone(),
            at_ms: unix_ms(),
            digest: TableEdit::digest(&asked),
            changes: vec![change],
        })?)
    }

    fn import(&self, body: &[u8]) -> Answer {
        let request: ImportRequest = parse_body(body)?;
        let result = self.try_import(&request);
        self.note(&request.who, "a sheet", result)
    }

    fn try_import(&self, request: &ImportRequest) -> Answer {
        check_labels(&request.id, &request.who)?;
        let sheet = read_sheet(request.csv.as_bytes()).map_err(wrong_rows)?;
        let documents = self.editor().read_all().map_err(edit_refusal)?;
        let (differences, changes) =
            diff_rows(all_rows(&documents), &sheet, request.delete_missing);
        self.check_rules(&changes)?;
        let mut edit = None;
        if !request.dry_run && !changes.is_empty() {
            edit = Some(self.store(TableEdit {
                id: request.id.clone(),
                who: request.who.clone(),
                at_ms: unix_ms(),
                digest: TableEdit::digest(request.csv.as_bytes()),
                changes,
            })?);
        }
        to_json(&ImportAnswer { differences, edit })
    }

    /// Refuses changes that would make rows not fit together.
    fn check_rules(&self, changes: &[RowChange]) -> Result<(), OperatorRefusal> {
        let view = self.table.view();
        let before = verify_rows(view.rows().map(|stored| &stored.row));
        let after = verify_rows(changed_rows(&view, changes));
        let errors = changed_errors(&before, after);
        if errors.is_empty() {
            Ok(())
        } else {
            Err(wrong_rows(errors))
        }
    }

    /// Stores an edit, and waits a while for it to be in force.
    fn store(&self, edit: TableEdit) -> Result<EditAnswer, OperatorRefusal> {
        let receipt = self.editor().apply(&edit).map_err(edit_refusal)?;
        let force = self.wait_for_force(&receipt);
        let state = match force.accepted() {
            true => EditState::Accepted,
            false => EditState::Stored,
        };
        log::info!(target: "operators", who = edit.who.as_str(), id = edit.id.as_str(), state:% = state; "stored an edit");
        let rows = receipt.rows.into_iter();
        Ok(EditAnswer {
            id: edit.id,
            state,
            repeated: receipt.repeated,
            rows: rows
                .map(|(key, version)| ChangedRow { key, version })
                .collect(),
            force,
        })
    }

    fn wait_for_force(&self, receipt: &EditReceipt) -> ForceReport {
        let end = Instant::now() + FORCE_WAIT;
        loop {
            let force = self.table.force(receipt.head_version);
            if force.accepted() || Instant::now() >= end {
                return force;
            }
            thread::sleep(FORCE_LOOK);
        }
    }

    /// Keeps what was refused for the status.
    fn note(&self, who: &str, what: &str, answer: Answer) -> Answer {
        if let Err(refusal) = &answer {
            log::warn!(target: "operators", who, reason:% = refusal.reason; "refused an edit");
            let text = format!("refused {who}'s edit of {what}: {}", refusal.detail);
            let line = StatusLine::new(StatusLevel::Well, "edits", &text, "");
            let mut refused = self.refused.lock().unwrap_or_else(PoisonError::into_inner);
            refused.push_back(line);
            while refused.len() > KEPT_REFUSALS {
                refused.pop_front();
            }
        }
        answer
    }
}

fn all_rows(documents: &[ShardDocument]) -> impl Iterator<Item = &StoredRow> {
    documents.iter().flat_map(ShardDocument::rows)
}

/// The rows of `view` with `changes` made.
fn changed_rows<'a>(view: &'a TableView, changes: &'a [RowChange]) -> Vec<&'a TableRow> {
    let mut keys: Vec<_> = changes.iter().map(|change| &change.key).collect();
    keys.sort();
    let kept = |row: &&TableRow| keys.binary_search(&&row.key()).is_err();
    let rows = view.rows().map(|stored| &stored.row).filter(kept);
    let changed = changes.iter().filter_map(|change| change.row.as_ref());
    rows.chain(changed).collect()
}

/// Cells by their columns; a key becomes its hash.
fn typed_cells(key: &RowKey, cells: &[TypedCell]) -> Result<RowCells, OperatorRefusal> {
    let mut typed = RowCells::default();
    let mut errors = Vec::new();
    for cell in cells {
        match cell.column.parse() {
            Ok(column) => typed.set(column, &cell.text),
            Err(_) if cell.column == KEY_COLUMN && !cell.text.is_empty() => {
                let hash = hex::encode(Sha256::digest(cell.text.as_bytes()));
                typed.set(ColumnName::KeyHash, &hash);
            }
            Err(_) => errors.push(unknown_column(key, &cell.column)),
        }
    }
    if errors.is_empty() {
        Ok(typed)
    } else {
        Err(wrong_rows(errors))
    }
}

fn unknown_column(key: &RowKey, column: &str) -> RowError {
    let columns: Vec<&str> = ColumnName::iter().map(<&str>::from).collect();
    RowError {
        row: key.to_string(),
        column: column.to_owned(),
        found: column.to_owned(),
        allowed: format!("{KEY_COLUMN}, {}", columns.join(", ")),
    }
}

/// The stored row with the typed cells put over it, or a new one.
fn merged_row(
    key: &RowKey,
    document: &ShardDocument,
    typed: &RowCells,
) -> Result<TableRow, OperatorRefusal> {
    let stored = document.row(key).map(|stored| row_cells(&stored.row));
    let mut cells = stored.unwrap_or_default();
    for (column, text) in typed.iter() {
        cells.set(column, text);
    }
    parse_row(key.kind, &key.name, &cells).map_err(wrong_rows)
}

fn row_answer(stored: &StoredRow, source: RowSource, force: Option<ForceReport>) -> RowAnswer {
    RowAnswer {
        key: stored.key(),
        version: stored.version,
        cells: row_cells(&stored.row),
        source,
        force,
    }
}

fn parse_kind(text: &str) -> Result<RowKind, OperatorRefusal> {
    text.parse().map_err(|_| {
        let kinds: Vec<&str> = RowKind::iter().map(<&str>::from).collect();
        let detail = format!(
            "{text:?} is no kind of row; the kinds are {}",
            kinds.join(", ")
        );
        refusal(OperatorReason::BadRequest, &detail)
    })
}

fn query_key(query: &str) -> Result<RowKey, OperatorRefusal> {
    let kind = parse_kind(&parameter(query, "kind").unwrap_or_default())?;
    let name = parameter(query, "name").unwrap_or_default();
    Ok(RowKey { kind, name })
}

/// A query's value; names need no escapes but for `/`.
fn parameter(query: &str, name: &str) -> Option<String> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let value = pairs.find(|(key, _)| *key == name)?.1;
    Some(value.replace("%2F", "/").replace("%2f", "/"))
}

fn check_labels(id: &str, who: &str) -> Result<(), OperatorRefusal> {
    for (label, text) in [("id", id), ("who", who)] {
        if text.is_empty() || text.len() > MAX_LABEL_BYTES || text.chars().any(char::is_control) {
            let detail =
                format!("{label} has 1 to {MAX_LABEL_BYTES} bytes without control characters");
            return Err(refusal(OperatorReason::BadRequest, &detail));
        }
    }
    Ok(())
}

fn parse_body<T: DeserializeOwned>(body: &[u8]) -> Result<T, OperatorRefusal> {
    let parsed = serde_json::from_slice(body);
    parsed.map_err(|error| refusal(OperatorReason::BadRequest, &error.to_string()))
}

fn to_json<T: Serialize>(value: &T) -> Answer {
    let json = serde_json::to_vec(value);
    json.map_err(|error| refusal(OperatorReason::Damaged, &error.to_string()))
}

fn refusal(reason: OperatorReason, detail: &str) -> OperatorRefusal {
    OperatorRefusal {
        reason,
        detail: detail.to_owned(),
        errors: Vec::new(),
        conflicts: Vec::new(),
    }
}

fn no_row(key: &RowKey) -> OperatorRefusal {
    refusal(OperatorReason::NotFound, &format!("there is no row {key}"))
}

fn wrong_rows(errors: Vec<RowError>) -> OperatorRefusal {
    let first = errors.first().map(ToString::to_string).unwrap_or_default();
    let more = match errors.len() {
        0 | 1 => String::new(),
        count => format!(", and {} more", count - 1),
    };
    OperatorRefusal {
        errors,
        ..refusal(OperatorReason::WrongRow, &format!("{first}{more}"))
    }
}

fn edit_refusal(error: EditError) -> OperatorRefusal {
    let reason = match &error {
        EditError::Conflicts(_) => OperatorReason::Conflict,
        EditError::IdReused(_) => OperatorReason::IdReused,
        EditError::Unavailable => OperatorReason::PlatformUnavailable,
        EditError::Unclear => OperatorReason::Unclear,
        EditError::Busy => OperatorReason::Busy,
        EditError::Full(_) => OperatorReason::Full,
        EditError::Damaged { .. } => OperatorReason::Damaged,
    };
    let refusal = refusal(reason, &error.to_string());
    match error {
        EditError::Conflicts(conflicts) => OperatorRefusal {
            conflicts,
            ..refusal
        },
        _ => refusal,
    }
}

fn http_status(reason: OperatorReason) -> u16 {
    match reason {
        OperatorReason::BadRequest => 400,
        OperatorReason::NotFound => 404,
        OperatorReason::WrongRow => 422,
        OperatorReason::Conflict | OperatorReason::IdReused => 409,
        OperatorReason::PlatformUnavailable | OperatorReason::Busy => 503,
        OperatorReason::Unclear => 504,
        OperatorReason::Full => 507,
        OperatorReason::Damaged => 500,
    }
}
