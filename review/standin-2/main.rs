//! Stand-ins of the second review's scripts, and the plays themselves. Standard library alone.
//! Usage: review-2 CASE FOLDER; the environment's TROUBLE=0 leaves the disruption out.
//! Status: 0 the rule held, 1 it was broken, 2 the case could not run.

#![allow(dead_code)]

mod endpoint;
mod fleet;
mod http;
mod large_packs;
mod late_heartbeat;
mod left_clients;

mod refused_release;
mod util;

use std::path::PathBuf;

/// What came of a play.
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun(String),
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, folder] = &arguments[..] else {
        eprintln!("review-2 CASE FOLDER");
        std::process::exit(2);
    };
    if let Err(error) = util::begin(&PathBuf::from(folder).join("record.txt")) {
        eprintln!("the record can't be written: {error}");
        std::process::exit(2);
    }
    fleet::watch_time();
    let with_trouble = std::env::var("TROUBLE").map_or(true, |trouble| trouble != "0");
    let root = std::env::current_dir().unwrap_or_default();
    let verdict = match case.as_str() {
        "refused-release" => refused_release::play(&root, with_trouble),
        "left-clients" => left_clients::play(&root, with_trouble),
        "large-packs" => large_packs::play(&root, with_trouble),
        "late-heartbeat" => late_heartbeat::play(&root, with_trouble),
        _ => Verdict::CouldNotRun("there is no such case".into()),
    };
    let status = match verdict {
        Verdict::Held => {
            util::say("the rule held");
            0
        }
        Verdict::Broken => {
            util::say("the rule was broken");
            1
        }
        Verdict::CouldNotRun(reason) => {
            util::say(&format!("the case could not run: {reason}"));
            2
        }
    };
    std::process::exit(status);
}
