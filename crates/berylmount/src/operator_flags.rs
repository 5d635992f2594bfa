//! Command-line flags of the `table` and `gateway` commands.

// The macro generates public items without documentation.
#![allow(missing_docs, unreachable_pub)]

use std::path::PathBuf;

xflags::xflags! {
    /// Reads and edits the operators' table. Kinds of row: customer, work,
    /// limit (its name is CUSTOMER/WORK), model, pool.
    cmd table {
        /// Addresses of entries for operators, separated by commas; the first
        /// that answers is used. $BERYLMOUNT_ENTRY unless set.
        optional --entry addresses: String
        /// Prints the answer as JSON.
        optional --json
        /// The operator's name in the history; $USER unless set.
        optional --who name: String
        /// The edit's id; pass the printed id again to retry an edit safely.
        optional --id id: String

        /// Shows a row.
        cmd get {
            /// The row's kind.
            required kind: String
            /// The row's name.
            required name: String
        }
        /// Adds a row or changes some of its cells.
        cmd set {
            /// The row's kind.
            required kind: String
            /// The row's name.
            required name: String
            /// Cells as COLUMN=TEXT; `key=TEXT` sets a customer's key by its hash.
            repeated cells: String
            /// The row version that the edit expects; the current version unless set.
            optional --version version: u64
        }
        /// Deletes a row.
        cmd delete {
            /// The row's kind.
            required kind: String
            /// The row's name.
            required name: String
            /// The row version that the edit expects; the current version unless set.
            optional --version version: u64
        }
        /// Lists rows.
        cmd list {
            /// Only rows of this kind.
            optional kind: String
        }
        /// Imports a CSV file as one edit.
        cmd import {
            /// The CSV file.
            required file: PathBuf
            /// Shows the differences and stores nothing.
            optional --dry-run
            /// Deletes the rows that are missing from the CSV file.
            optional --delete-missing
        }
        /// Exports the table as CSV.
        cmd export {
            /// The file; standard output unless set.
            optional file: PathBuf
        }
        /// Shows who changed a row and when, with the old and new values.
        cmd history {
            /// The row's kind.
            required kind: String
            /// The row's name.
            required name: String
        }
    }
}

xflags::xflags! {
    /// Serves callers on the users' platform, which names the settings file.
    cmd gateway {
        /// The port of the metrics page on the instance's address; 9464 unless set.
        optional --metrics port: u16
        /// Logs one in this many served requests; 100 unless set, 0 for none.
        optional --log-served every: u32
    }
}
