//! The phases that are measured at one size.

use super::fleet::Fleet;
use super::usage::Values;
use super::{Plan, io_error};
use crate::error::TrackError;
use crate::layout;
use std::fmt::Write;
use std::fs;
use std::time::{Duration, Instant};

const START_LIMIT: Duration = Duration::from_secs(90);
const PHASE_LIMIT: Duration = Duration::from_secs(60);
/// How long a fleet at rest is measured.
const REST: Duration = Duration::from_secs(15);
/// Counts settle for so long before a phase is measured.
const SETTLE: Duration = Duration::from_secs(6);
/// Request timeouts, in seconds, that the configurations of the phases set in turn.
const FIRST_TIMEOUT: f64 = 4.0;
const CHANGED_TIMEOUT: f64 = 3.5;
const LAST_TIMEOUT: f64 = 3.0;

/// Starts a fleet of `size` hollow nodes, measures every phase, ends the fleet, and returns the results as JSON.
pub(super) fn measure_size(plan: &Plan, run: u32, size: usize) -> Result<String, TrackError> {
    let folder = std::env::temp_dir().join(format!("testtrack-{}-{size}", std::process::id()));
    let _ = fs::remove_dir_all(&folder);
    fs::create_dir_all(&folder).map_err(|error| io_error(&folder, &error))?;
    let mut fleet = Fleet::new(plan, run, size, &folder);
    let started = start(&mut fleet)?;
    std::thread::sleep(SETTLE);
    let primary = fleet.primary().unwrap_or(0);
    let mut phases = vec![rest(&mut fleet, primary), change(&mut fleet, primary)?];
    std::thread::sleep(SETTLE);
    phases.push(restart(&mut fleet, primary)?);
    std::thread::sleep(SETTLE);
    phases.push(zone_loss(&mut fleet, primary)?);
    std::thread::sleep(SETTLE);
    phases.push(primary_loss(&mut fleet, primary)?);
    drop(fleet);
    let _ = fs::remove_dir_all(&folder);
    Ok(format!(
        "{{\"size\":{size},\"cores\":{},\"services\":{},\"start\":{{\"seconds\":{started:.3}}},{}}}",
        plan.cores,
        layout::services(size),
        phases.join(",")
    ))
}

/// Starts the fleet, and returns the seconds until it was in step.
fn start(fleet: &mut Fleet) -> Result<f64, TrackError> {
    let begun = Instant::now();
    fleet.start()?;
    fleet.wait("the first configuration", START_LIMIT, |fleet| {
        let size = fleet.size;
        fleet.change_configuration("PUT", |version| layout::configuration(version, size, FIRST_TIMEOUT))
    })?;
    fleet.wait("the start", START_LIMIT, Fleet::is_in_step)?;
    let seconds = begun.elapsed().as_secs_f64();
    fleet.wait("the first report", START_LIMIT, |fleet| {
        fleet.all(|process| process.field("reports") == process.field("nodes"))
    })?;
    Ok(seconds)
}

/// Nothing happens.
fn rest(fleet: &mut Fleet, primary: usize) -> String {
    let before = fleet.counters(primary);
    std::thread::sleep(REST);
    let mut values = fleet.usage_since(&before, primary);
    fleet.add_memory(primary, &mut values);
    json("rest", None, &values)
}

/// The configuration changes.
fn change(fleet: &mut Fleet, primary: usize) -> Result<String, TrackError> {
    let before = fleet.counters(primary);
    fleet.wait("a change", PHASE_LIMIT, |fleet| {
        fleet.change_configuration("PATCH", |version| layout::patch(version, CHANGED_TIMEOUT))
    })?;
    let seconds = fleet.wait("a change everywhere", PHASE_LIMIT, Fleet::is_in_step)?;
    Ok(json("change", Some(seconds), &fleet.usage_since(&before, primary)))
}

/// A tenth of the hollow nodes is killed and started again.
fn restart(fleet: &mut Fleet, primary: usize) -> Result<String, TrackError> {
    let before = fleet.counters(primary);
    drop(fleet.hollow.remove(&0));
    let begun = Instant::now();
    fleet.start_hollow(0)?;
    fleet.wait("a tenth to be back", PHASE_LIMIT, |fleet| {
        fleet.hollow.get_mut(&0).is_some_and(|process| process.field("nodes") > 0.0) && fleet.is_in_step()
    })?;
    let seconds = begun.elapsed().as_secs_f64();
    Ok(json("restart", Some(seconds), &fleet.usage_since(&before, primary)))
}

/// All hollow nodes of one zone are killed.
fn zone_loss(fleet: &mut Fleet, primary: usize) -> Result<String, TrackError> {
    let before = fleet.counters(primary);
    let zone = layout::ZONES - 1;
    fleet.hollow.retain(|process, _| process % layout::ZONES != zone);
    let left = fleet.hollow_nodes();
    let peers = fleet.peers_of_each(left);
    let seconds = fleet.wait("a lost zone to be known to all", PHASE_LIMIT, |fleet| {
        fleet.all(|process| process.field("peers_most") <= peers)
    })?;
    Ok(json("zone", Some(seconds), &fleet.usage_since(&before, primary)))
}

/// The primary is killed, and the configuration changes at another.
fn primary_loss(fleet: &mut Fleet, primary: usize) -> Result<String, TrackError> {
    fleet.cores[primary].kill();
    let begun = Instant::now();
    fleet.wait("another primary", PHASE_LIMIT, |fleet| {
        fleet.change_configuration("PATCH", |version| layout::patch(version, LAST_TIMEOUT))
    })?;
    let ordered = begun.elapsed().as_secs_f64();
    let version = fleet.version as f64;
    fleet.wait("its change everywhere", PHASE_LIMIT, |fleet| {
        fleet.all(|process| process.field("configuration") >= version)
    })?;
    let values = [("ordered after", ordered)].into();
    Ok(json("primary", Some(begun.elapsed().as_secs_f64()), &values))
}

/// One phase's member of the result.
fn json(phase: &str, seconds: Option<f64>, values: &Values) -> String {
    let mut text = format!("\"{phase}\":{{");
    let mut comma = "";
    if let Some(seconds) = seconds {
        let _ = write!(text, "\"seconds\":{seconds:.3}");
        comma = ",";
    }
    for (name, value) in values {
        let _ = write!(text, "{comma}\"{name}\":{value:.6}");
        comma = ",";
    }
    text.push('}');
    text
}
