//! The processes of a run, started on the addresses of its layout.

use crate::error::SoakError;
use crate::layout::{Layout, empty_folder};
use crate::process::{Process, Program};
use std::path::{Path, PathBuf};

/// How the processes of one run are started.
#[derive(Clone, Copy, Debug)]
pub struct Starter<'a> {
    /// An executable of this crate: every process of the run is one of it.
    pub executable: &'a Path,
    /// Where they listen.
    pub layout: Layout,
    /// Where settings, state and logs go.
    pub folder: &'a Path,
}

impl Starter<'_> {
    /// All core nodes, on empty data folders.
    ///
    /// # Errors
    ///
    /// [`SoakError::Io`] where a folder can't be made or a process doesn't start.
    pub fn cores(self) -> Result<Vec<Process>, SoakError> {
        let start = |index| {
            empty_folder(&self.data_folder(index))?;
            self.core(index, format!("core-{index}"))
        };
        (0..self.layout.cores).map(start).collect()
    }

    /// A process of a core node, under a name of its own, on the node's data folder as it is.
    ///
    /// # Errors
    ///
    /// [`SoakError::Io`] where it doesn't start.
    pub fn core(self, index: usize, name: String) -> Result<Process, SoakError> {
        let settings = self.layout.core_settings(index, &self.data_folder(index));
        self.process(Program::Signalbox, name, &settings)
    }

    /// Nodes that carry requests.
    ///
    /// # Errors
    ///
    /// [`SoakError::Io`] where one doesn't start.
    pub fn nodes(self, count: usize) -> Result<Vec<Process>, SoakError> {
        let start =
            |index| self.process(Program::Pointsman, format!("node-{index}"), &self.layout.node_settings(index));
        (0..count).map(start).collect()
    }

    /// Endpoints.
    ///
    /// # Errors
    ///
    /// [`SoakError::Io`] where one doesn't start.
    pub fn endpoints(self, count: usize) -> Result<Vec<Process>, SoakError> {
        (0..count).map(|index| self.endpoint(index, &self.layout.endpoint_settings(index))).collect()
    }

    /// One endpoint, with settings of its own.
    ///
    /// # Errors
    ///
    /// [`SoakError::Io`] where it doesn't start.
    pub fn endpoint(self, index: usize, settings: &str) -> Result<Process, SoakError> {
        self.process(Program::Endpoint, format!("endpoint-{index}"), settings)
    }

    /// The data folder of a core node.
    pub fn data_folder(self, index: usize) -> PathBuf {
        self.folder.join(format!("data-{index}"))
    }

    fn process(self, program: Program, name: String, settings: &str) -> Result<Process, SoakError> {
        Process::start(self.executable, program, name, settings, self.folder)
    }
}
