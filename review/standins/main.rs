//! Cases of the review, each of which starts the project's programs among stand-ins.

mod clients;
mod http;
mod operator;
mod record;
mod servers;
mod stale_evacuation;
mod unreadable_entry;
mod world;

use record::Record;
use std::{path::Path, process::ExitCode};

/// How a case ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    Broken,
    Held,
    /// The case couldn't run.
    Unusable,
}

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (args.next(), args.next()) else {
        eprintln!("usage: standins CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let played = std::panic::catch_unwind(|| {
        let record = Record::create(&Path::new(&folder).join("record.txt")).unwrap();
        let verdict = match &*case {
            "stale-evacuation" => stale_evacuation::play(&record, trouble),
            "unreadable-entry" => unreadable_entry::play(&record, trouble),
            _ => panic!("no such case"),
        };
        record.tell(&format!("{verdict:?}"));
        verdict
    });
    match played {
        Ok(Verdict::Held) => ExitCode::SUCCESS,
        Ok(Verdict::Broken) => ExitCode::from(1),
        Ok(Verdict::Unusable) | Err(_) => ExitCode::from(2),
    }
}
