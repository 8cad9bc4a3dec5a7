//! What several tests of real processes need.

use soak::layout::{CORES, Layout, empty_folder};
use soak::process::{Process, Program};
use std::path::{Path, PathBuf};

/// The executable that every process of a test is.
pub fn executable() -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_soak"))
}

/// Starts all core nodes of a layout on empty data folders.
pub fn start_cores(layout: Layout, folder: &Path) -> Vec<Process> {
    let start = |index: usize| {
        empty_folder(&data_folder(folder, index)).unwrap();
        start_core(layout, index, &format!("core-{index}"), folder)
    };
    (0..CORES).map(start).collect()
}

/// Starts a process of a core node on its data folder as it is.
pub fn start_core(layout: Layout, index: usize, name: &str, folder: &Path) -> Process {
    let settings = layout.core_settings(index, &data_folder(folder, index));
    Process::start(&executable(), Program::Signalbox, name.to_owned(), &settings, folder).unwrap()
}

fn data_folder(folder: &Path, index: usize) -> PathBuf {
    folder.join(format!("data-{index}"))
}
