//! What can go wrong with a scale run.

use derive_more::{Display, Error};

#[derive(Debug, Display, Error)]
pub enum TrackError {
    #[display("--{option} is wrong: give {wanted}")]
    Option { option: &'static str, wanted: &'static str },
    #[display("{wanted} file descriptors are needed and {there} allowed: raise the limit (ulimit -n) or lower --sizes")]
    Descriptors { wanted: u64, there: u64 },
    #[display("{wanted_mb} MB of memory are needed and half of this machine's is {there_mb}: lower --sizes")]
    Memory { wanted_mb: u64, there_mb: u64 },
    #[display("{program} is not there: build it (cargo build --release) or name its folder with --programs")]
    NoProgram { program: String },
    #[display("{place}: {reason}: free it and run again")]
    Io { place: String, reason: String },
    #[display("{phase} was not over after {seconds} s: look at the logs in {logs}")]
    Unfinished { phase: &'static str, seconds: u64, logs: String },
    #[display("{file} can't be read as a scale run ({reason}): give files that testtrack run has written")]
    Unreadable { file: String, reason: String },
}
