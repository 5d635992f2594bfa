//! What a process has used, read from the system.

use std::{fs, io};

/// Clock ticks a second in the system's accounts.
const TICKS_PER_S: f64 = 100.0;

/// What one process has used so far.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ProcessUsage {
    /// Processor time, in seconds.
    pub(crate) cpu_s: f64,
    /// Resident memory, in bytes.
    pub(crate) memory_bytes: u64,
    /// Threads.
    pub(crate) threads: u64,
}

impl ProcessUsage {
    /// Reads the usage of the process `pid`.
    ///
    /// # Errors
    ///
    /// Fails when the process is gone.
    pub(crate) fn read(pid: u32) -> io::Result<Self> {
        let stat = fs::read_to_string(format!("/proc/{pid}/stat"))?;
        // The name in parentheses may hold spaces; fields count from after it.
        let fields = stat.rsplit(") ").next().unwrap_or_default();
        let fields: Vec<f64> = fields
            .split(' ')
            .map(|field| field.parse().unwrap_or(0.0))
            .collect();
        let field = |index: usize| fields.get(index).copied().unwrap_or(0.0);
        let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
        let memory = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kib = memory.and_then(|text| text.split_whitespace().next()?.parse().ok());
        Ok(Self {
            cpu_s: (field(11) + field(12)) / TICKS_PER_S,
            memory_bytes: kib.unwrap_or(0_u64) * 1024,
            threads: field(17) as u64,
        })
    }
}
