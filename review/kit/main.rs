//! Plays the cases of the review: `kit CASE RECORD`, with `TROUBLE=0` to leave out the disruption.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

#[macro_use]
mod json;
mod early;
mod engine;
mod gateway;
mod http;
mod record;
mod refused;
mod store;
mod two_models;
mod head;
mod isolated;
mod world;

use gateway::Processes;
use record::Record;
use std::{env, path::Path, process, thread, time::Duration};
use world::{Verdict, World};

/// Limit of one case.
const LIMIT: Duration = Duration::from_secs(110);

fn main() {
    let args: Vec<String> = env::args().collect();
    let (Some(case), Some(path), Some(root)) = (args.get(1), args.get(2), args.get(3)) else {
        eprintln!("usage: kit CASE RECORD ROOT");
        process::exit(2);
    };
    let has_trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::new(path.into());
    let Ok(processes) = Processes::new(Path::new(root)) else {
        process::exit(2);
    };
    let (late, late_record) = (processes.clone(), record.clone());
    thread::spawn(move || {
        thread::sleep(LIMIT);
        late_record.note("the case took too long");
        late_record.save();
        late.end();
        process::exit(2);
    });
    let result = World::new(Path::new(root), &record, &processes)
        .map_err(Verdict::from)
        .and_then(|world| match case.as_str() {
            "two_models" => two_models::play(world, has_trouble),
            "early" => early::play(world, has_trouble),
            "refused" => refused::play(world, has_trouble),
            "head" => head::play(world, has_trouble),
            "isolated" => isolated::play(world, has_trouble),
            _ => Err(Verdict::NotRun(format!("no case {case}"))),
        });
    processes.end();
    let (code, text) = match result {
        Ok(Verdict::Held) => (0, "the rule held".to_owned()),
        Ok(Verdict::Broken) => (1, "THE RULE WAS BROKEN".to_owned()),
        Ok(Verdict::NotRun(reason)) | Err(Verdict::NotRun(reason)) => (2, format!("the case could not run: {reason}")),
        Err(Verdict::Held) => (0, "the rule held".to_owned()),
        Err(Verdict::Broken) => (1, "THE RULE WAS BROKEN".to_owned()),
    };
    record.note(&text);
    record.save();
    println!("{case}, TROUBLE={}: {text}", u8::from(has_trouble));
    process::exit(code);
}
