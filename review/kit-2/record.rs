//! The record of what was sent, answered and run.

use std::{
    fs::File,
    io::{self, Write},
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

/// A file of lines with the time since its start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        let file = Arc::new(Mutex::new(File::create(path)?));
        Ok(Self {
            file,
            started: Instant::now(),
        })
    }

    pub fn note(&self, line: &str) {
        let at_s = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        // The exit code tells the result if the record cannot be written.
        let _ = writeln!(file, "{at_s:8.3} s  {line}");
    }
}
