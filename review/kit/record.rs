//! The record of a case.

use std::{
    fs,
    path::PathBuf,
    sync::{Arc, Mutex},
    time::Instant,
};

/// Lines with the time since the start; clones share them.
#[derive(Clone)]
pub struct Record {
    path: PathBuf,
    started: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Record {
    pub fn new(path: PathBuf) -> Self {
        Self { path, started: Instant::now(), lines: Arc::default() }
    }

    /// Adds a line.
    pub fn note(&self, text: &str) {
        let line = format!("{:8.3} s  {text}", self.started.elapsed().as_secs_f64());
        self.lines.lock().unwrap().push(line);
    }

    /// Writes all lines.
    pub fn save(&self) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.push(String::new());
        let _ = fs::write(&self.path, lines.join("\n"));
    }
}
