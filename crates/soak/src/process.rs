//! A process that a run starts, troubles and ends.

use crate::error::SoakError;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::fs::{File, OpenOptions};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// Names the program that a child of the soak runs as.
pub const PROGRAM: &str = "FERRYHINGE_SOAK_PROGRAM";

const KILOBYTES_IN_MB: u64 = 1024;

/// What a process of a run is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Program {
    /// A core node.
    Signalbox,
    /// A node that carries requests.
    Pointsman,
    /// An emulated endpoint.
    Endpoint,
}

impl Program {
    fn name(self) -> &'static str {
        match self {
            Self::Signalbox => "signalbox",
            Self::Pointsman => "pointsman",
            Self::Endpoint => "endpoint",
        }
    }

    /// The program that this process is to run as, where it was started as a child.
    pub fn of_this_process() -> Option<Self> {
        let name = std::env::var(PROGRAM).ok()?;
        [Self::Signalbox, Self::Pointsman, Self::Endpoint].into_iter().find(|program| program.name() == name)
    }
}

/// Has the system kill this process with the one that started it, so that a run that is killed leaves none behind.
pub fn end_with_parent() {
    if let Err(error) = nix::sys::prctl::set_pdeathsig(Signal::SIGKILL) {
        eprintln!("this process would outlive its run: {error}");
    }
}

/// A process with its settings. Invariant: it is killed when this is dropped.
pub struct Process {
    executable: PathBuf,
    program: Program,
    name: String,
    settings: PathBuf,
    /// Standard error of all its lives.
    log: PathBuf,
    /// Standard output of all its lives.
    output: PathBuf,
    child: Option<Child>,
    /// Processes beside which the present one was started, and which may still be leaving.
    former: Vec<Child>,
}

impl Process {
    /// Writes the settings into the run's folder and starts the process.
    ///
    /// # Errors
    ///
    /// [`SoakError::Io`] where a file can't be written or the process doesn't start.
    pub fn start(
        executable: &Path,
        program: Program,
        name: String,
        settings: &str,
        folder: &Path,
    ) -> Result<Self, SoakError> {
        let path = folder.join(format!("{name}.json"));
        std::fs::write(&path, settings).map_err(|error| SoakError::io(path.display(), &error))?;
        let (log, output) = (folder.join(format!("{name}.log")), folder.join(format!("{name}.out")));
        let executable = executable.to_owned();
        let mut process =
            Self { executable, program, name, settings: path, log, output, child: None, former: Vec::new() };
        process.restart()?;
        Ok(process)
    }

    /// Starts the process anew where it does not run.
    ///
    /// # Errors
    ///
    /// [`SoakError::Io`] where it can't be started.
    pub fn restart(&mut self) -> Result<(), SoakError> {
        self.reap();
        self.spawn()
    }

    /// Starts the process once more, whether or not it still runs. Signals go to the new one.
    ///
    /// # Errors
    ///
    /// [`SoakError::Io`] where it can't be started.
    pub fn start_beside(&mut self) -> Result<(), SoakError> {
        self.former.extend(self.child.take());
        self.spawn()
    }

    /// Kills the processes beside which the present one was started, as the platform does once their time is over.
    pub fn end_former(&mut self) {
        for mut child in self.former.drain(..) {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    fn spawn(&mut self) -> Result<(), SoakError> {
        let mut command = Command::new(&self.executable);
        command.arg(&self.settings).env(PROGRAM, self.program.name()).stdin(Stdio::null());
        match self.program {
            Program::Signalbox => command.args(["--log-level", "debug"]),
            Program::Pointsman => command.args(["--log-level", "info"]),
            Program::Endpoint => &mut command,
        };
        command.stdout(append(&self.output)?).stderr(append(&self.log)?);
        self.child = Some(command.spawn().map_err(|error| SoakError::io(&self.name, &error))?);
        Ok(())
    }

    /// Replaces the settings, for the next start.
    ///
    /// # Errors
    ///
    /// [`SoakError::Io`] where the file can't be written.
    pub fn write_settings(&self, settings: &str) -> Result<(), SoakError> {
        std::fs::write(&self.settings, settings).map_err(|error| SoakError::io(self.settings.display(), &error))
    }

    /// The name that stands in logs.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// The file that its standard output goes to.
    pub fn output(&self) -> &Path {
        &self.output
    }

    /// Sends a signal to the process, if it runs.
    pub fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            let _ = kill(Pid::from_raw(child.id() as i32), signal);
        }
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
        }
        self.reap();
    }

    /// Whether the process has ended by itself, or was killed.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_none_or(|child| !matches!(child.try_wait(), Ok(None)))
    }

    /// The most memory that the process had resident so far, in MB; nothing where it doesn't run.
    pub fn peak_memory_mb(&self) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.as_ref()?.id())).ok()?;
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
        let kilobytes: u64 = peak.split_whitespace().next()?.parse().ok()?;
        Some(kilobytes.div_ceil(KILOBYTES_IN_MB))
    }

    fn reap(&mut self) {
        self.end_former();
        if let Some(mut child) = self.child.take() {
            if matches!(child.try_wait(), Ok(None)) {
                let _ = child.kill();
            }
            let _ = child.wait();
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

fn append(path: &Path) -> Result<File, SoakError> {
    let opened = OpenOptions::new().create(true).append(true).open(path);
    opened.map_err(|error| SoakError::io(path.display(), &error))
}
