//! Cases of the review that are scripts: `standins CASE FOLDER` plays one and writes its record
//! to FOLDER.
//!
//! Exit codes: 1 if the rule was broken, 0 if it held, 2 if the case could not run. With
//! `TROUBLE=0` in the environment, the disruption is left out.

mod http;
mod json;
mod moved_store;
mod process;
mod record;
mod runner;
mod store;

use record::Record;
use std::{
    env, fs,
    net::{IpAddr, Ipv4Addr},
    path::{Path, PathBuf},
    process::{id, ExitCode},
};

/// What a case gets.
pub struct Stage {
    pub record: Record,
    /// A temporary folder.
    pub folder: PathBuf,
    pub has_trouble: bool,
}

impl Stage {
    /// Returns a loopback address that other plays do not use at the same time.
    pub fn ip(&self, number: u8) -> IpAddr {
        let play = id();
        IpAddr::V4(Ipv4Addr::new(
            127,
            (play >> 8) as u8 & 0x7f | 0x40,
            play as u8,
            number,
        ))
    }
}

/// The outcome of a case that could run.
pub enum Outcome {
    Held,
    Broken,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let [case, output] = &arguments[..] else {
        eprintln!("usage: standins CASE FOLDER");
        return ExitCode::from(2);
    };
    let folder = env::temp_dir().join(format!("berylmount-review-{}", id()));
    let record = Record::create(&Path::new(output).join("record.txt"));
    let (Ok(record), Ok(())) = (record, fs::create_dir_all(&folder)) else {
        eprintln!("the record or the temporary folder cannot be written");
        return ExitCode::from(2);
    };
    let has_trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let stage = Stage {
        record: record.clone(),
        folder: folder.clone(),
        has_trouble,
    };
    let result = match case.as_str() {
        "moved-store" => moved_store::play(&stage),
        _ => Err(format!("there is no case {case}")),
    };
    if env::var("KEEP").is_err() {
        let _ = fs::remove_dir_all(&folder);
    }
    match result {
        Ok(Outcome::Held) => {
            record.note("the rule held");
            ExitCode::SUCCESS
        }
        Ok(Outcome::Broken) => {
            record.note("the rule was broken");
            ExitCode::from(1)
        }
        Err(reason) => {
            record.note(&format!("the case could not run: {reason}"));
            ExitCode::from(2)
        }
    }
}
