//! The scale run's command line.

use getopts::Options;
use std::path::PathBuf;
use testtrack::{hollow, run, table};

const USAGE: &str = "Usage: testtrack run --out FILE [--sizes N,N,...] [--cores N] [--programs FOLDER]
       testtrack table FILE [FILE ...]
       testtrack hollow FOLDER PROCESS

run: starts real core nodes and hollow nodes on this machine's loopback, at each size in turn, and writes what was
counted as one JSON line a size. It ends all that it started.
table: from such files, the table of docs/CAPACITY.md.
hollow: one process of hollow nodes; run starts it.
Status: 0 done; 1 a run that did not finish; 2 wrong usage, or too little of something, told before anything starts.";

fn main() {
    std::process::exit(act(std::env::args().skip(1).collect()));
}

fn usage(reason: &str) -> i32 {
    eprintln!("testtrack: {reason}\n{USAGE}");
    2
}

fn act(arguments: Vec<String>) -> i32 {
    let mut options = Options::new();
    options.optflag("h", "help", "print this text");
    options.optopt("o", "out", "where the counts go", "FILE");
    options.optopt("s", "sizes", "numbers of hollow nodes, each at least double the one before", "N,N,...");
    options.optopt("c", "cores", "core nodes", "N");
    options.optopt("p", "programs", "where signalbox, pointsman and testtrack are", "FOLDER");
    let matches = match options.parse(&arguments) {
        Ok(matches) => matches,
        Err(error) => return usage(&error.to_string()),
    };
    if matches.opt_present("help") {
        println!("{}", options.usage(USAGE));
        return 0;
    }
    let words: Vec<&str> = matches.free.iter().map(String::as_str).collect();
    match words.as_slice() {
        ["hollow", folder, process] => match process.parse() {
            Ok(process) => hollow::run(PathBuf::from(folder), process),
            Err(_) => usage("PROCESS is a number"),
        },
        ["table", files @ ..] if !files.is_empty() => match table::of_files(files) {
            Ok(text) => {
                println!("{text}");
                0
            }
            Err(error) => {
                eprintln!("testtrack: {error}");
                2
            }
        },
        ["run"] => {
            let plan = run::Plan::read(
                matches.opt_str("sizes").as_deref(),
                matches.opt_str("cores").as_deref(),
                matches.opt_str("programs").map(PathBuf::from),
                matches.opt_str("out").map(PathBuf::from),
            );
            match plan.and_then(|plan| run::check(&plan).map(|()| plan)) {
                Ok(plan) => match run::run(&plan) {
                    Ok(()) => 0,
                    Err(error) => {
                        eprintln!("testtrack: {error}");
                        1
                    }
                },
                Err(error) => {
                    eprintln!("testtrack: {error}");
                    2
                }
            }
        }
        _ => usage("give run, table or hollow"),
    }
}
