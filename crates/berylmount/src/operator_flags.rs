//! Command lines of the operators' commands.

// The macro makes public items without documentation of their own.
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
        /// The edit's id; give the printed one again to repeat an edit safely.
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
            /// The row version that the edit is for; the one read just before unless set.
            optional --version version: u64
        }
        /// Deletes a row.
        cmd delete {
            /// The row's kind.
            required kind: String
            /// The row's name.
            required name: String
            /// The row version that the edit is for; the one read just before unless set.
            optional --version version: u64
        }
        /// Lists rows.
        cmd list {
            /// Only rows of this kind.
            optional kind: String
        }
        /// Brings a CSV sheet in, as one edit.
        cmd import {
            /// The sheet.
            required file: PathBuf
            /// Only shows the difference.
            optional --dry-run
            /// Deletes the rows that the sheet lacks.
            optional --delete-missing
        }
        /// Writes the table as a CSV sheet.
        cmd export {
            /// The file; standard output unless set.
            optional file: PathBuf
        }
        /// Shows who changed a row, when, and from what to what.
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
        /// Log one of so many requests that were served; 100 unless set, 0 for none.
        optional --log-served every: u32
    }
}
