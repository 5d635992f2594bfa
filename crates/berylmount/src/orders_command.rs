//! The `berylmount orders` command, which shows and settles orders.
//!
//! It reads and changes the ledger on the platform directly, so it works while
//! no entry or dispatch process runs. A change is a conditional update and can
//! be retried safely.

use crate::exit_codes::{EXIT_OK, EXIT_USAGE};
use berylmount_ledger::{
    expire_day, read_entry, service_key, settle_entry, unsettled_orders, ChangeReply, DayExpiry,
    LedgerConfig, LedgerDay, OrderEntry, OrderOutcome, OrderState, OutcomeSource, ReadError,
    RETENTION_DAYS,
};
use berylmount_model::{unix_ms, CustomerName, NameError, OrderKey};
use berylmount_objects::{ObjectStore, PlatformClient};
use berylmount_settings::ProcessSettings;
use std::{
    ffi::OsString,
    io::{self, Write},
    path::PathBuf,
};

/// Exit code for a command that was refused or failed.
const EXIT_REFUSED: u8 = 1;
/// Milliseconds in a minute.
const MINUTE_MS: u64 = 60_000;
/// Number of days past the retention that `expire` checks.
const EXPIRE_DAYS: u32 = 7;

xflags::xflags! {
    /// Shows orders, and settles those whose outcome is unknown.
    cmd orders {
        /// The settings file that names the platform.
        required --settings settings: PathBuf
        /// Lists orders that may have run and have no recorded outcome.
        cmd list-unsettled {
            /// Days to look back; all days that are kept unless set.
            optional --days days: u32
            /// Write JSON.
            optional --json
        }
        /// Shows one order.
        cmd show {
            /// The customer.
            required customer: String
            /// The caller's key.
            required key: String
            /// Write JSON.
            optional --json
        }
        /// Records the outcome of an unsettled order.
        cmd settle {
            /// The customer.
            required customer: String
            /// The caller's key.
            required key: String
            /// `ran` or `not-run`.
            required outcome: String
            /// How the outcome is known; stored with the order.
            required --note note: String
            /// Confirms that the service has not run the order and has no
            /// call in flight; required for `not-run`.
            optional --checked-with-service
        }
        /// Deletes settled orders that are past the retention.
        cmd expire {
        }
    }
}

/// The reason why a command failed.
#[derive(Debug, thiserror::Error)]
enum OrdersFault {
    /// The ledger could not be read.
    #[error(transparent)]
    Read(#[from] ReadError),
    /// A name is malformed.
    #[error(transparent)]
    Name(#[from] NameError),
    /// The output could not be written.
    #[error(transparent)]
    Output(#[from] io::Error),
    /// The order is not in the ledger.
    #[error("there is no such order, so it has not run")]
    Absent,
    /// The command is refused.
    #[error("{0}")]
    Refused(String),
}

/// Runs `berylmount orders` with the arguments after `orders`; returns the exit code.
pub(crate) fn run_orders(words: Vec<OsString>, output: &mut dyn Write) -> u8 {
    let orders = match Orders::from_vec(words) {
        Ok(orders) => orders,
        Err(fault) if fault.is_help() => {
            let shown = writeln!(output, "{fault}");
            return if shown.is_ok() { EXIT_OK } else { EXIT_REFUSED };
        }
        Err(fault) => {
            eprintln!("{fault}");
            return EXIT_USAGE;
        }
    };
    let settings = match ProcessSettings::read(&orders.settings) {
        Ok(settings) => settings,
        Err(fault) => {
            eprintln!("{fault}");
            return EXIT_USAGE;
        }
    };
    let store = PlatformClient::new(settings.platform.address);
    match execute(&store, &orders.subcommand, output) {
        Ok(()) => EXIT_OK,
        Err(fault) => {
            eprintln!("{fault}");
            EXIT_REFUSED
        }
    }
}

/// Runs one command.
fn execute(
    store: &dyn ObjectStore,
    command: &OrdersCmd,
    output: &mut dyn Write,
) -> Result<(), OrdersFault> {
    match command {
        OrdersCmd::ListUnsettled(list) => list_unsettled(store, list, output),
        OrdersCmd::Show(show) => show_order(store, show, output),
        OrdersCmd::Settle(settle) => settle_order(store, settle, output),
        OrdersCmd::Expire(_) => expire_days(store, output),
    }
}

/// Lists unsettled orders, oldest day first.
fn list_unsettled(
    store: &dyn ObjectStore,
    list: &ListUnsettled,
    output: &mut dyn Write,
) -> Result<(), OrdersFault> {
    let now_ms = unix_ms();
    let today = LedgerDay::of_unix_ms(now_ms);
    let days = list.days.unwrap_or(RETENTION_DAYS);
    let mut entries = Vec::new();
    for back in (0..=days).rev() {
        entries.extend(unsettled_orders(store, today.minus(back), now_ms)?);
    }
    entries.extend(unsettled_orders(store, today.plus(1), now_ms)?);
    if list.json {
        return write_json(&entries, output);
    }
    for entry in &entries {
        write_entry(entry, now_ms, output)?;
    }
    writeln!(output, "{} orders without outcome", entries.len())?;
    Ok(())
}

/// Shows one order.
fn show_order(
    store: &dyn ObjectStore,
    show: &Show,
    output: &mut dyn Write,
) -> Result<(), OrdersFault> {
    let entry = find_entry(store, &show.customer, &show.key)?;
    if show.json {
        return write_json(&entry, output);
    }
    write_entry(&entry, unix_ms(), output)
}

/// Reads the ledger entry of an order.
fn find_entry(
    store: &dyn ObjectStore,
    customer: &str,
    key: &str,
) -> Result<OrderEntry, OrdersFault> {
    let customer = CustomerName::new(customer)?;
    let key = OrderKey::new(key)?;
    read_entry(store, &customer, &key)?.ok_or(OrdersFault::Absent)
}

/// Records the outcome of an order.
fn settle_order(
    store: &dyn ObjectStore,
    settle: &Settle,
    output: &mut dyn Write,
) -> Result<(), OrdersFault> {
    let outcome = match settle.outcome.as_str() {
        "ran" => OrderOutcome::Ran(None),
        "not-run" if settle.checked_with_service => OrderOutcome::NotRun,
        "not-run" => {
            let text = "not-run lets the key run again; ask the service first, then add \
                        --checked-with-service";
            return Err(OrdersFault::Refused(text.to_owned()));
        }
        other => {
            let text = format!("the outcome is 'ran' or 'not-run', found {other:?}");
            return Err(OrdersFault::Refused(text));
        }
    };
    let entry = find_entry(store, &settle.customer, &settle.key)?;
    let source = OutcomeSource::operator(&settle.note);
    let config = LedgerConfig::for_process(unix_ms());
    let reply = settle_entry(store, config, &entry, outcome, source, unix_ms())?;
    check_settled(&reply, &config)?;
    let entry = find_entry(store, &settle.customer, &settle.key)?;
    write_entry(&entry, unix_ms(), output)
}

/// Returns an error that says why an outcome was not recorded.
fn check_settled(reply: &ChangeReply, config: &LedgerConfig) -> Result<(), OrdersFault> {
    let text = match reply {
        ChangeReply::Recorded => return Ok(()),
        ChangeReply::AttemptMoved => {
            "the order has an outcome, or another call has begun; see 'orders show'".to_owned()
        }
        ChangeReply::TooYoung => format!(
            "the order is too young: its process may still call the service; wait until it is \
             {} minutes old",
            config.settle_min_age_ms / MINUTE_MS
        ),
        other => {
            let name: &str = other.into();
            format!("the platform did not confirm it ({name}); repeat the command")
        }
    };
    Err(OrdersFault::Refused(text))
}

/// Deletes the orders of days that are past the retention.
fn expire_days(store: &dyn ObjectStore, output: &mut dyn Write) -> Result<(), OrdersFault> {
    let config = LedgerConfig::for_process(unix_ms());
    let today = LedgerDay::of_unix_ms(unix_ms());
    for back in 1..=EXPIRE_DAYS {
        let day = today.minus(RETENTION_DAYS + 2 + back);
        match expire_day(store, config, day, today)? {
            DayExpiry::Kept => writeln!(output, "{day}: kept")?,
            DayExpiry::Expired(count) => writeln!(output, "{day}: deleted, {count} segments")?,
            DayExpiry::Unsettled(count) => {
                writeln!(output, "{day}: kept, {count} orders without outcome")?;
            }
        }
    }
    Ok(())
}

/// Writes one value as JSON on a line.
fn write_json<T: serde::Serialize>(value: &T, output: &mut dyn Write) -> Result<(), OrdersFault> {
    let text = serde_json::to_string(value).map_err(io::Error::other)?;
    writeln!(output, "{text}")?;
    Ok(())
}

/// Writes one order as text.
fn write_entry(entry: &OrderEntry, now_ms: u64, output: &mut dyn Write) -> Result<(), OrdersFault> {
    let age_min = now_ms.saturating_sub(entry.since_unix_ms) / MINUTE_MS;
    let state = match &entry.state {
        OrderState::Intent => "may have run; ask the service, then use 'orders settle'".to_owned(),
        OrderState::Ran { source, .. } => format!("ran, {}", source_words(source)),
        OrderState::NotRun { source } => {
            format!(
                "not run, {}; the same call may be made again",
                source_words(source)
            )
        }
    };
    let known = service_key(&entry.customer, &entry.key);
    let known = known.map_or_else(String::new, |key| key.to_string());
    writeln!(
        output,
        "{} {}: {state}\n  work {}, pool {}, key at the service {known}, begun {age_min} minutes ago",
        entry.customer, entry.key, entry.work, entry.pool
    )?;
    Ok(())
}

/// Describes who reported an outcome.
fn source_words(source: &OutcomeSource) -> String {
    match source {
        OutcomeSource::Writer => "reported by the process that called the service".to_owned(),
        OutcomeSource::LookUp => "reported by the service's look-up".to_owned(),
        OutcomeSource::Operator(note) => format!("reported by an operator: {note}"),
    }
}
