//! Measures how a process's cost grows, with real processes on this machine.
//!
//! `scripts/slopes SLOPE` prints one JSON object a line; docs/CAPACITY.md says
//! what was made of them. Stand-ins run in this process, the roles as processes
//! of their own, all on loopback and for a bounded time.

mod slopes;
mod usage;

use crate::slopes::SlopeName;
use std::{path::PathBuf, process::ExitCode};
use strum::VariantNames;

fn main() -> ExitCode {
    let flags = xflags::parse_or_exit! {
        /// The binary to measure.
        required binary: PathBuf
        /// Slope to measure.
        required slope: SlopeName
    };
    match slopes::measure(&flags.binary, flags.slope) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{e}; slopes: {}", SlopeName::VARIANTS.join(", "));
            ExitCode::FAILURE
        }
    }
}
