//! One scale run: sizes in turn, phases in turn, everything counted and everything ended.

mod fleet;
mod phases;
mod plan;
mod process;
mod usage;

pub use plan::{Plan, check};

use crate::error::TrackError;
use std::fs;
use std::io::Write;
use std::path::Path;

/// Nodes with a process of their own, beside the hollow ones.
const REAL_NODES: usize = 2;

/// Measures each size of the plan in turn, and writes one JSON line a size to the plan's file.
///
/// # Errors
///
/// A file or process that can't be made, or a phase that is not over within its limit.
pub fn run(plan: &Plan) -> Result<(), TrackError> {
    let mut out = fs::File::create(&plan.out).map_err(|error| io_error(&plan.out, &error))?;
    for (place, size) in plan.sizes.iter().enumerate() {
        let run = std::process::id().wrapping_add(place as u32);
        let line = phases::measure_size(plan, run, *size)?;
        eprintln!("testtrack: {size} nodes counted");
        writeln!(out, "{line}").map_err(|error| io_error(&plan.out, &error))?;
    }
    Ok(())
}

/// The error of a file operation at `path`.
fn io_error(path: &Path, error: &std::io::Error) -> TrackError {
    TrackError::Io { place: path.display().to_string(), reason: error.to_string() }
}
