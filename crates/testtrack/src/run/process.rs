//! A process that a run starts and ends.

use super::io_error;
use crate::error::TrackError;
use crate::measure;
use std::fs;
use std::io::{BufRead, BufReader};
use std::path::Path;
use std::process::{Child, ChildStdout, Command, Stdio};
use std::sync::mpsc::{Receiver, channel};

/// How a line of counts begins in a hollow process's output.
const COUNTS_PREFIX: &str = "{\"nodes\"";

/// Where a process's standard output goes. Its standard error goes to its log.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum Output {
    /// To the log.
    Log,
    /// To this process, which reads counts from it.
    Counts,
}

/// A process of this run. Invariant: it is killed when this is dropped.
pub(super) struct Process {
    child: Child,
    lines: Option<Receiver<String>>,
    /// The newest line of counts.
    last: String,
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
        let _ = self.child.wait();
    }
}

impl Process {
    /// Starts a command that logs to the file `log`.
    pub(super) fn start(mut command: Command, output: Output, log: &Path) -> Result<Self, TrackError> {
        let file = fs::File::create(log).map_err(|error| io_error(log, &error))?;
        let errors = file.try_clone().map_err(|error| io_error(log, &error))?;
        command.stdin(Stdio::null()).stderr(errors);
        command.stdout(match output {
            Output::Counts => Stdio::piped(),
            Output::Log => Stdio::from(file),
        });
        let mut child = command.spawn().map_err(|error| io_error(log, &error))?;
        let lines = child.stdout.take().map(read_lines);
        Ok(Self { child, lines, last: String::new() })
    }

    pub(super) fn id(&self) -> u32 {
        self.child.id()
    }

    pub(super) fn kill(&mut self) {
        let _ = self.child.kill();
    }

    /// A field of the newest counts; zero before there are any.
    pub(super) fn field(&mut self, name: &str) -> f64 {
        let lines = self.lines.iter().flat_map(|lines| lines.try_iter());
        if let Some(line) = lines.filter(|line| line.starts_with(COUNTS_PREFIX)).last() {
            self.last = line;
        }
        measure::number(&self.last, name).unwrap_or(0.0)
    }
}

/// Reads lines on a thread of its own until the process ends.
fn read_lines(stdout: ChildStdout) -> Receiver<String> {
    let (sender, receiver) = channel();
    std::thread::spawn(move || {
        for line in BufReader::new(stdout).lines().map_while(Result::ok) {
            if sender.send(line).is_err() {
                return;
            }
        }
    });
    receiver
}
