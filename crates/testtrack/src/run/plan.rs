//! What a scale run is to measure, and whether this machine can carry it.

use super::REAL_NODES;
use crate::error::TrackError;
use crate::{layout, measure};
use std::path::{Path, PathBuf};

/// Processes that the hollow nodes are split over, at least: one of them is a tenth.
const LEAST_HOLLOW_PROCESSES: usize = 10;
/// Processes of one size, at most.
const MOST_PROCESSES: usize = 200;
/// Memory that one hollow node may take, in KiB.
const KB_PER_NODE: u64 = 4096;
/// Memory that the run may take beside the hollow nodes, in MiB.
const BASE_MB: u64 = 500;
/// File descriptors that one hollow node may take.
const DESCRIPTORS_PER_NODE: u64 = 24;
/// File descriptors that a process may take beside its nodes.
const BASE_DESCRIPTORS: u64 = 200;
/// Sizes in a run, at least.
const LEAST_SIZES: usize = 4;
const DEFAULT_SIZES: &str = "40,80,160,320,640";
const DEFAULT_CORES: &str = "5";

/// What a scale run measures, and where its programs and its result are.
#[derive(Debug)]
pub struct Plan {
    /// Numbers of hollow nodes, each at least double the one before.
    pub sizes: Vec<usize>,
    /// Number of core nodes.
    pub cores: usize,
    /// The folder of the programs signalbox, pointsman and testtrack.
    pub programs: PathBuf,
    /// The file that the result is written to.
    pub out: PathBuf,
}

impl Plan {
    /// Reads a plan from the options of the command line.
    ///
    /// # Errors
    ///
    /// [`TrackError::Option`] names the option that is wrong or missing.
    pub fn read(
        sizes: Option<&str>,
        cores: Option<&str>,
        programs: Option<PathBuf>,
        out: Option<PathBuf>,
    ) -> Result<Self, TrackError> {
        let sizes = read_sizes(sizes.unwrap_or(DEFAULT_SIZES))?;
        let cores = cores.unwrap_or(DEFAULT_CORES).parse().ok().filter(|cores| (3..=40).contains(cores));
        let cores = cores.ok_or_else(|| wrong("cores", "a number from 3 to 40"))?;
        let here = std::env::current_exe().ok().and_then(|path| path.parent().map(Path::to_path_buf));
        let programs = programs.or(here).ok_or_else(|| wrong("programs", "a folder"))?;
        let out = out.ok_or_else(|| wrong("out", "a file for the counts"))?;
        Ok(Self { sizes, cores, programs, out })
    }
}

fn wrong(option: &'static str, wanted: &'static str) -> TrackError {
    TrackError::Option { option, wanted }
}

fn read_sizes(text: &str) -> Result<Vec<usize>, TrackError> {
    let wanted = "four or more numbers, each at least double the one before, like 40,80,160,320";
    let sizes: Option<Vec<usize>> = text.split(',').map(|size| size.trim().parse().ok()).collect();
    let doubles = |sizes: &Vec<usize>| sizes.windows(2).all(|pair| pair[1] >= pair[0] * 2);
    sizes
        .filter(|sizes| sizes.len() >= LEAST_SIZES && sizes[0] >= LEAST_HOLLOW_PROCESSES && doubles(sizes))
        .ok_or_else(|| wrong("sizes", wanted))
}

/// Checks, before anything is started, that the programs are there and this machine is large enough.
///
/// # Errors
///
/// The program that is missing, or the resource that there is too little of.
pub fn check(plan: &Plan) -> Result<(), TrackError> {
    for program in ["signalbox", "pointsman", "testtrack"] {
        if !plan.programs.join(program).is_file() {
            return Err(TrackError::NoProgram { program: plan.programs.join(program).display().to_string() });
        }
    }
    let largest = plan.sizes.iter().copied().max().unwrap_or(0);
    let processes = hollow_processes(largest);
    let wanted = largest.div_ceil(processes) as u64 * DESCRIPTORS_PER_NODE + BASE_DESCRIPTORS;
    let there = measure::descriptors_allowed();
    if wanted > there {
        return Err(TrackError::Descriptors { wanted, there });
    }
    let wanted_mb = largest as u64 * KB_PER_NODE / 1024 + BASE_MB;
    let there_mb = measure::memory_kb() / 2048;
    if wanted_mb > there_mb || processes + plan.cores + REAL_NODES > MOST_PROCESSES {
        return Err(TrackError::Memory { wanted_mb, there_mb });
    }
    Ok(())
}

/// Number of processes that `size` hollow nodes are split over.
pub(super) fn hollow_processes(size: usize) -> usize {
    size.div_ceil(layout::IN_A_PROCESS).max(LEAST_HOLLOW_PROCESSES)
}
