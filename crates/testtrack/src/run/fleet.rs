//! The processes of one size: core nodes, hollow nodes and real nodes.

use super::plan::hollow_processes;
use super::process::{Output, Process};
use super::{Plan, REAL_NODES, io_error};
use crate::error::TrackError;
use crate::{hollow, layout, measure};
use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::{Duration, Instant};

/// How often a condition is looked at that is waited for.
const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// A running fleet. Invariant: its processes end with it.
pub(super) struct Fleet<'a> {
    pub(super) plan: &'a Plan,
    /// Tells the addresses of this run from those of others.
    run: u32,
    /// Number of hollow nodes.
    pub(super) size: usize,
    /// Holds settings, data and logs.
    folder: PathBuf,
    pub(super) cores: Vec<Process>,
    /// The processes of hollow nodes, by their numbers.
    pub(super) hollow: BTreeMap<usize, Process>,
    pub(super) real: Vec<Process>,
    /// The newest version of the configuration.
    pub(super) version: u64,
}

impl<'a> Fleet<'a> {
    /// A fleet of which nothing is started yet.
    pub(super) fn new(plan: &'a Plan, run: u32, size: usize, folder: &Path) -> Self {
        Self {
            plan,
            run,
            size,
            folder: folder.to_path_buf(),
            cores: Vec::new(),
            hollow: BTreeMap::new(),
            real: Vec::new(),
            version: 0,
        }
    }

    /// Starts all processes.
    pub(super) fn start(&mut self) -> Result<(), TrackError> {
        for index in 0..self.plan.cores {
            self.start_core(index)?;
        }
        self.write_hollow_settings()?;
        for process in 0..hollow_processes(self.size) {
            self.start_hollow(process)?;
        }
        for index in 0..REAL_NODES {
            self.start_real(index)?;
        }
        Ok(())
    }

    fn start_core(&mut self, index: usize) -> Result<(), TrackError> {
        let data = self.folder.join(format!("data-{index}"));
        let _ = fs::create_dir_all(&data);
        let settings = layout::core_settings(self.run, self.plan.cores, index, &data.display().to_string());
        let path = self.write(&format!("core-{index}.json"), settings)?;
        let mut command = Command::new(self.plan.programs.join("signalbox"));
        command.arg(path);
        let log = self.folder.join(format!("core-{index}.log"));
        self.cores.push(Process::start(command, Output::Log, &log)?);
        Ok(())
    }

    fn write_hollow_settings(&self) -> Result<(), TrackError> {
        let processes = hollow_processes(self.size);
        let mut places = vec![0; processes];
        for index in 0..self.size {
            let process = index % processes;
            let settings = layout::node_settings(self.run, self.plan.cores, index, process);
            let path = hollow::settings_path(&self.folder, process, places[process]);
            places[process] += 1;
            let name = path.file_name().map(|name| name.to_string_lossy().into_owned()).unwrap_or_default();
            self.write(&name, settings)?;
        }
        Ok(())
    }

    /// Starts one process of hollow nodes.
    pub(super) fn start_hollow(&mut self, process: usize) -> Result<(), TrackError> {
        let mut command = Command::new(self.plan.programs.join("testtrack"));
        command.arg("hollow").arg(&self.folder).arg(process.to_string());
        let log = self.folder.join(format!("hollow-{process}.log"));
        let started = Process::start(command, Output::Counts, &log)?;
        self.hollow.insert(process, started);
        Ok(())
    }

    fn start_real(&mut self, place: usize) -> Result<(), TrackError> {
        let index = self.size + place;
        let settings = layout::node_settings(self.run, self.plan.cores, index, place);
        let path = self.write(&format!("real-{index}.json"), settings)?;
        let mut command = Command::new(self.plan.programs.join("pointsman"));
        command.arg(path);
        let log = self.folder.join(format!("real-{index}.log"));
        self.real.push(Process::start(command, Output::Log, &log)?);
        Ok(())
    }

    fn write(&self, name: &str, text: String) -> Result<PathBuf, TrackError> {
        let path = self.folder.join(name);
        fs::write(&path, text).map_err(|error| io_error(&path, &error))?;
        Ok(path)
    }

    /// Waits until `is_over`, and returns the seconds that it took.
    pub(super) fn wait(
        &mut self,
        phase: &'static str,
        limit: Duration,
        mut is_over: impl FnMut(&mut Self) -> bool,
    ) -> Result<f64, TrackError> {
        let begun = Instant::now();
        while !is_over(self) {
            if begun.elapsed() > limit {
                let logs = self.folder.display().to_string();
                return Err(TrackError::Unfinished { phase, seconds: limit.as_secs(), logs });
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        Ok(begun.elapsed().as_secs_f64())
    }

    /// Whether that holds for every process of hollow nodes.
    pub(super) fn all(&mut self, holds: impl Fn(&mut Process) -> bool) -> bool {
        self.hollow.values_mut().all(holds)
    }

    /// Number of hollow nodes that run.
    pub(super) fn hollow_nodes(&mut self) -> f64 {
        self.hollow.values_mut().map(|process| process.field("nodes")).sum()
    }

    /// Number of peers that each node has when all know each other, beside so many hollow nodes.
    pub(super) fn peers_of_each(&self, hollow_nodes: f64) -> f64 {
        hollow_nodes + (REAL_NODES + self.plan.cores) as f64 - 1.0
    }

    /// Whether everybody knows everybody, all endpoints, and the newest configuration.
    pub(super) fn is_in_step(&mut self) -> bool {
        let there = self.hollow_nodes();
        let peers = self.peers_of_each(there);
        let version = self.version as f64;
        self.all(|process| {
            process.field("nodes") > 0.0
                && process.field("assured") == process.field("nodes")
                && process.field("configuration") >= version
                && process.field("endpoints") >= there
                && process.field("peers") >= peers
        })
    }

    /// Sends a change of the configuration to the core nodes in turn. Returns whether one of them took it.
    pub(super) fn change_configuration(&mut self, method: &str, body: impl Fn(u64) -> String) -> bool {
        let matched = if self.version == 0 { "0".to_owned() } else { format!("r{}", self.version) };
        let next = self.version + 1;
        for index in 0..self.plan.cores {
            let address = self.control_plane(index);
            let answer = measure::http(address, method, "/v1/configuration", Some(&matched), &body(next));
            if answer.is_some_and(|(status, _)| status == 200) {
                self.version = next;
                return true;
            }
        }
        false
    }

    /// The number of the core node that is the primary.
    pub(super) fn primary(&self) -> Option<usize> {
        let text = (0..self.plan.cores).find_map(|index| self.fleet_view(index))?;
        let address: SocketAddr = measure::text_of(&text, "primary")?.parse().ok()?;
        (0..self.plan.cores).find(|index| self.control_plane(*index).ip() == address.ip())
    }

    /// What a core node shows of the fleet, as JSON.
    pub(super) fn fleet_view(&self, index: usize) -> Option<String> {
        measure::http(self.control_plane(index), "GET", "/v1/fleet", None, "").map(|(_, text)| text)
    }

    fn control_plane(&self, index: usize) -> SocketAddr {
        layout::control_plane(self.run, index)
    }
}
