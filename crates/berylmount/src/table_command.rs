//! The `berylmount table` command, which reads and edits the operators' table.
//!
//! Exit codes: 0 done (an edit is accepted and in force); 1 refused, nothing was
//! stored; 2 invalid command line; 5 the row was changed since it was read,
//! nothing was stored; 6 stored but not yet in force on more than half of the
//! processes; 7 the edit may have been stored, retry it with the printed id; 8
//! no entry or no platform answers, nothing was stored.

use crate::{
    operator_client::{CallFault, CommandExit, OperatorClient},
    operator_flags::{Delete, Export, Get, History, Import, List, Set, Table, TableCmd},
};
use berylmount_entry::{
    EditAnswer, EditRequest, EditState, ExportAnswer, ImportAnswer, ImportRequest, OperatorReason,
    OperatorRefusal, RowAnswer, RowHistory, RowList, RowSource, TypedCell,
};
use berylmount_model::unix_ms;
use berylmount_table::{CellChange, ForceReport, HistoryEntry, RowCells, RowConflict};
use serde::Serialize;
use std::{
    ffi::OsString,
    fmt::Write as _,
    fs,
    io::{self, Write},
};

/// Milliseconds in a day, an hour, a minute and a second.
const DAY_MS: u64 = 86_400_000;
const HOUR_MS: u64 = 3_600_000;
const MINUTE_MS: u64 = 60_000;
const SECOND_MS: u64 = 1_000;

/// Runs `berylmount table` with the arguments after `table`.
pub(crate) fn run_table(arguments: Vec<OsString>) -> CommandExit {
    let flags = match Table::from_vec(arguments) {
        Ok(flags) => flags,
        Err(error) => return show_usage(&error),
    };
    let json = flags.json;
    let fault = match TableCommand::new(flags) {
        Ok(command) => match command.run() {
            Ok(exit) => return exit,
            Err(fault) => fault,
        },
        Err(fault) => fault,
    };
    show_fault(&fault, json);
    fault.exit()
}

/// Prints the requested help, or the error in the arguments.
pub(crate) fn show_usage(error: &xflags::Error) -> CommandExit {
    if error.is_help() {
        println!("{error}");
        return CommandExit::Done;
    }
    eprintln!("{error}\nsee --help");
    CommandExit::Usage
}

/// Prints why a command failed; with `json`, a refusal is printed as JSON.
pub(crate) fn show_fault(fault: &CallFault, json: bool) {
    match fault {
        CallFault::Refused(refusal) if json => print_json(refusal),
        CallFault::Refused(refusal) => eprint!("{}", refusal_text(refusal)),
        fault => eprintln!("{fault}"),
    }
}

/// Prints an answer as JSON.
pub(crate) fn print_json<T: Serialize>(answer: &T) {
    let text = serde_json::to_string_pretty(answer).unwrap_or_default();
    print_text(&format!("{text}\n"));
}

/// Prints text; ignores write errors, as the reader may have closed the pipe.
fn print_text(text: &str) {
    let mut output = io::stdout().lock();
    let _ = output.write_all(text.as_bytes());
    let _ = output.flush();
}

/// One invocation of the command.
struct TableCommand {
    flags: Table,
    client: OperatorClient,
    who: String,
    id: String,
}

impl TableCommand {
    fn new(flags: Table) -> Result<Self, CallFault> {
        let client = OperatorClient::new(flags.entry.as_deref())?;
        let user = || std::env::var("USER").unwrap_or_else(|_| "operator".to_owned());
        let who = flags.who.clone().unwrap_or_else(user);
        let new_id = || format!("{}-{}", unix_ms(), std::process::id());
        let id = flags.id.clone().unwrap_or_else(new_id);
        Ok(Self {
            flags,
            client,
            who,
            id,
        })
    }

    fn run(&self) -> Result<CommandExit, CallFault> {
        match &self.flags.subcommand {
            TableCmd::Get(flags) => self.get(flags),
            TableCmd::Set(flags) => self.set(flags),
            TableCmd::Delete(flags) => self.delete(flags),
            TableCmd::List(flags) => self.list(flags),
            TableCmd::Import(flags) => self.import(flags),
            TableCmd::Export(flags) => self.export(flags),
            TableCmd::History(flags) => self.history(flags),
        }
    }

    /// Prints an answer as JSON or as text.
    fn show<T: Serialize>(&self, answer: &T, text: impl Fn(&T) -> String) {
        match self.flags.json {
            true => print_json(answer),
            false => print_text(&text(answer)),
        }
    }

    fn get(&self, flags: &Get) -> Result<CommandExit, CallFault> {
        let row: RowAnswer = self
            .client
            .get(&row_path("row", &flags.kind, &flags.name))?;
        self.show(&row, row_text);
        Ok(CommandExit::Done)
    }

    fn list(&self, flags: &List) -> Result<CommandExit, CallFault> {
        let kind = flags.kind.as_deref().unwrap_or_default();
        let list: RowList = self.client.get(&format!("/ops/table?kind={kind}"))?;
        self.show(&list, |list| list.rows.iter().map(row_line).collect());
        Ok(CommandExit::Done)
    }

    fn history(&self, flags: &History) -> Result<CommandExit, CallFault> {
        let path = row_path("history", &flags.kind, &flags.name);
        let history: RowHistory = self.client.get(&path)?;
        self.show(&history, |history| {
            history.entries.iter().map(history_text).collect()
        });
        Ok(CommandExit::Done)
    }

    fn export(&self, flags: &Export) -> Result<CommandExit, CallFault> {
        let answer: ExportAnswer = self.client.get("/ops/export")?;
        match &flags.file {
            None => self.show(&answer, |answer| answer.csv.clone()),
            Some(path) => fs::write(path, &answer.csv)
                .map_err(|error| CallFault::Usage(format!("{}: {error}", path.display())))?,
        }
        if answer.source == RowSource::Copy {
            eprintln!("the platform does not answer; these rows are an entry's copy");
        }
        Ok(CommandExit::Done)
    }

    fn set(&self, flags: &Set) -> Result<CommandExit, CallFault> {
        let cells = flags.cells.iter().map(|text| typed_cell(text));
        let cells = cells.collect::<Result<Vec<_>, _>>()?;
        let request = EditRequest {
            id: self.id.clone(),
            who: self.who.clone(),
            kind: flags.kind.clone(),
            name: flags.name.clone(),
            expected: self.expected(flags.version, &flags.kind, &flags.name)?,
            cells,
            delete: false,
        };
        self.edit(&request)
    }

    fn delete(&self, flags: &Delete) -> Result<CommandExit, CallFault> {
        let request = EditRequest {
            id: self.id.clone(),
            who: self.who.clone(),
            kind: flags.kind.clone(),
            name: flags.name.clone(),
            expected: self.expected(flags.version, &flags.kind, &flags.name)?,
            cells: Vec::new(),
            delete: true,
        };
        self.edit(&request)
    }

    /// Returns the row version that an edit expects.
    ///
    /// This is the given version or, without one, the row's current version; 0 if
    /// the row does not exist.
    fn expected(&self, given: Option<u64>, kind: &str, name: &str) -> Result<u64, CallFault> {
        if let Some(version) = given {
            return Ok(version);
        }
        match self.client.get::<RowAnswer>(&row_path("row", kind, name)) {
            Ok(row) => Ok(row.version),
            Err(CallFault::Refused(refusal)) if refusal.reason == OperatorReason::NotFound => Ok(0),
            Err(fault) => Err(fault),
        }
    }

    fn edit(&self, request: &EditRequest) -> Result<CommandExit, CallFault> {
        let answer = self.client.post("/ops/edit", request);
        let answer: EditAnswer = answer.inspect_err(|fault| self.print_retry_hint(fault))?;
        self.show(&answer, edit_text);
        Ok(edit_exit(&answer))
    }

    fn import(&self, flags: &Import) -> Result<CommandExit, CallFault> {
        let csv = fs::read_to_string(&flags.file)
            .map_err(|error| CallFault::Usage(format!("{}: {error}", flags.file.display())))?;
        let request = ImportRequest {
            id: self.id.clone(),
            who: self.who.clone(),
            csv,
            dry_run: flags.dry_run,
            delete_missing: flags.delete_missing,
        };
        let answer = self.client.post("/ops/import", &request);
        let answer: ImportAnswer = answer.inspect_err(|fault| self.print_retry_hint(fault))?;
        self.show(&answer, import_text);
        Ok(answer.edit.as_ref().map_or(CommandExit::Done, edit_exit))
    }

    /// Prints how to retry an edit that may have been stored.
    fn print_retry_hint(&self, fault: &CallFault) {
        if fault.exit() == CommandExit::Unclear {
            eprintln!(
                "the edit may have been stored; retry the command with --id {}",
                self.id
            );
        }
    }
}

fn row_path(route: &str, kind: &str, name: &str) -> String {
    format!("/ops/{route}?kind={kind}&name={name}")
}

fn typed_cell(text: &str) -> Result<TypedCell, CallFault> {
    let (column, text) = text
        .split_once('=')
        .ok_or_else(|| CallFault::Usage(format!("a cell is COLUMN=TEXT, found {text:?}")))?;
    Ok(TypedCell {
        column: column.to_owned(),
        text: text.to_owned(),
    })
}

fn edit_exit(answer: &EditAnswer) -> CommandExit {
    match answer.state {
        EditState::Accepted => CommandExit::Done,
        EditState::Stored => CommandExit::NotInForce,
    }
}

fn cells_text(cells: &RowCells) -> String {
    let cells = cells
        .iter()
        .map(|(column, text)| format!("{column}={text}"));
    cells.collect::<Vec<_>>().join(" ")
}

fn row_line(row: &RowAnswer) -> String {
    format!(
        "{} version {}: {}\n",
        row.key,
        row.version,
        cells_text(&row.cells)
    )
}

fn row_text(row: &RowAnswer) -> String {
    let mut text = format!("{}, version {}\n", row.key, row.version);
    for (column, cell) in row.cells.iter() {
        let _ = writeln!(text, "  {column} = {cell}");
    }
    match &row.force {
        Some(force) => text.push_str(&force_text(force)),
        None => text.push_str("not yet applied by the entry that answers\n"),
    }
    if row.source == RowSource::Copy {
        text.push_str("the platform does not answer; this is the entry's copy\n");
    }
    text
}

fn force_text(force: &ForceReport) -> String {
    let mut text = format!("in force on {} of {}", force.applied, force.members);
    if !force.behind.is_empty() {
        let names: Vec<_> = force.behind.iter().map(ToString::to_string).collect();
        let _ = write!(text, "; behind: {}", names.join(", "));
    }
    text.push('\n');
    text
}

fn edit_text(answer: &EditAnswer) -> String {
    let mut text = match answer.state {
        EditState::Accepted => "accepted; the edit is in force\n".to_owned(),
        EditState::Stored => "stored, not yet in force; see `berylmount status`\n".to_owned(),
    };
    if answer.repeated {
        text.push_str("an earlier attempt had already stored the edit\n");
    }
    for row in &answer.rows {
        let _ = match row.version {
            0 => writeln!(text, "{} is deleted", row.key),
            version => writeln!(text, "{} is at version {version}", row.key),
        };
    }
    text + &force_text(&answer.force)
}

fn import_text(answer: &ImportAnswer) -> String {
    let mut text = String::new();
    for difference in &answer.differences {
        let changes = changes_text(&difference.changes);
        let _ = writeln!(text, "{} {}{changes}", difference.kind, difference.key);
    }
    match &answer.edit {
        Some(edit) => text + &edit_text(edit),
        None if answer.differences.is_empty() => {
            "the CSV file and the table do not differ\n".to_owned()
        }
        None => text + "dry run: nothing was stored\n",
    }
}

fn changes_text(changes: &[CellChange]) -> String {
    let change = |c: &CellChange| format!("\n  {}: {:?} -> {:?}", c.column, c.before, c.after);
    changes.iter().map(change).collect()
}

fn history_text(entry: &HistoryEntry) -> String {
    let what = if entry.deleted {
        "deleted it"
    } else {
        "changed it"
    };
    let (when, who) = (age_text(entry.at_ms), &entry.who);
    let changes = changes_text(&entry.changes);
    format!(
        "version {}, {when}: {who} {what} (edit {}){changes}\n",
        entry.version, entry.edit
    )
}

/// Formats how long ago a Unix time in milliseconds was.
fn age_text(at_ms: u64) -> String {
    let age_ms = unix_ms().saturating_sub(at_ms);
    let (count, unit) = match age_ms {
        DAY_MS.. => (age_ms / DAY_MS, "d"),
        HOUR_MS.. => (age_ms / HOUR_MS, "h"),
        MINUTE_MS.. => (age_ms / MINUTE_MS, "min"),
        _ => (age_ms / SECOND_MS, "s"),
    };
    format!("{count} {unit} ago")
}

fn refusal_text(refusal: &OperatorRefusal) -> String {
    let mut text = match refusal.errors.is_empty() {
        true => format!("refused: {}\n", refusal.detail),
        false => "refused; nothing was stored\n".to_owned(),
    };
    for error in &refusal.errors {
        let _ = writeln!(text, "  {error}");
    }
    for conflict in &refusal.conflicts {
        text.push_str(&conflict_text(conflict));
    }
    text
}

fn conflict_text(conflict: &RowConflict) -> String {
    let side = |cells: &Option<RowCells>| cells.as_ref().map_or("no row".to_owned(), cells_text);
    let who = conflict
        .changed_by
        .as_deref()
        .unwrap_or("an unknown operator");
    let when = conflict.changed_at_ms.map(age_text).unwrap_or_default();
    format!(
        "  {conflict}; {who} changed it {when}\n    yours:  {}\n    stored: {}\n  read the row again, then edit it\n",
        side(&conflict.yours),
        side(&conflict.theirs),
    )
}
