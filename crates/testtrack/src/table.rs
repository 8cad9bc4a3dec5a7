//! From recorded runs to the table of docs/CAPACITY.md: slopes, what they come to at the size aimed at, and verdicts.

use crate::error::TrackError;
use sonic_rs::{JsonValueTrait, Value};
use std::fs;

/// The size aimed at.
const NODES: f64 = 16_000.0;
/// What control may take of a node.
const BYTES_A_SECOND: f64 = 3_000.0;
const PROCESSOR: f64 = 0.021;
const MEMORY_KB: f64 = 32.0 * 1024.0;
const CHANGE_SECONDS: f64 = 17.0;

/// One line of the table: what, where it stands in a run, and the limit, if there is one.
struct Row {
    what: &'static str,
    unit: &'static str,
    phase: &'static str,
    fields: &'static [&'static str],
    limit: Option<f64>,
}

const ROWS: [Row; 17] = [
    Row {
        what: "node: bytes sent at rest",
        unit: "B/s",
        phase: "rest",
        fields: &["node datagram bytes", "node call bytes"],
        limit: Some(BYTES_A_SECOND),
    },
    Row {
        what: "node: bytes of replies at rest",
        unit: "B/s",
        phase: "rest",
        fields: &["node reply bytes"],
        limit: Some(BYTES_A_SECOND),
    },
    Row {
        what: "node: datagrams and calls at rest",
        unit: "/s",
        phase: "rest",
        fields: &["node datagrams", "node calls"],
        limit: None,
    },
    Row {
        what: "node: processor at rest",
        unit: "cores",
        phase: "rest",
        fields: &["node processor"],
        limit: Some(PROCESSOR),
    },
    Row {
        what: "node of its own process: processor at rest",
        unit: "cores",
        phase: "rest",
        fields: &["real processor"],
        limit: Some(PROCESSOR),
    },
    Row {
        what: "node of its own process: memory",
        unit: "KB",
        phase: "rest",
        fields: &["real memory kb"],
        limit: Some(MEMORY_KB),
    },
    Row {
        what: "hollow node: memory, its share of a process",
        unit: "KB",
        phase: "rest",
        fields: &["node memory kb"],
        limit: None,
    },
    Row {
        what: "core node that follows: bytes sent at rest",
        unit: "B/s",
        phase: "rest",
        fields: &["follower bytes"],
        limit: None,
    },
    Row {
        what: "core node that follows: processor at rest",
        unit: "cores",
        phase: "rest",
        fields: &["follower processor"],
        limit: None,
    },
    Row {
        what: "core node that follows: memory",
        unit: "KB",
        phase: "rest",
        fields: &["follower memory kb"],
        limit: None,
    },
    Row { what: "primary: bytes sent at rest", unit: "B/s", phase: "rest", fields: &["primary bytes"], limit: None },
    Row {
        what: "primary: processor at rest",
        unit: "cores",
        phase: "rest",
        fields: &["primary processor"],
        limit: None,
    },
    Row { what: "primary: memory", unit: "KB", phase: "rest", fields: &["primary memory kb"], limit: None },
    Row {
        what: "a change in force everywhere",
        unit: "s",
        phase: "change",
        fields: &["seconds"],
        limit: Some(CHANGE_SECONDS),
    },
    Row {
        what: "a tenth restarted, all in step again",
        unit: "s",
        phase: "restart",
        fields: &["seconds"],
        limit: None,
    },
    Row { what: "a lost zone known to all", unit: "s", phase: "zone", fields: &["seconds"], limit: None },
    Row {
        what: "the primary lost: a change in force everywhere",
        unit: "s",
        phase: "primary",
        fields: &["seconds"],
        limit: None,
    },
];

/// One size of one run.
pub struct Recorded {
    size: f64,
    value: Value,
}

impl Recorded {
    fn sum(&self, row: &Row) -> Option<f64> {
        let of = |field: &&str| self.value.pointer([row.phase, *field].iter())?.as_f64();
        row.fields.iter().map(of).sum()
    }
}

fn read(file: &str) -> Result<Vec<Recorded>, TrackError> {
    let unreadable = |reason: &str| TrackError::Unreadable { file: file.to_owned(), reason: reason.to_owned() };
    let text = fs::read_to_string(file).map_err(|error| unreadable(&error.to_string()))?;
    let mut sizes = Vec::new();
    for line in text.lines().filter(|line| !line.trim().is_empty()) {
        let value: Value = sonic_rs::from_str(line).map_err(|_| unreadable("a line is not JSON"))?;
        let size = value.pointer(["size"].iter()).and_then(|size| size.as_f64());
        let recorded = Recorded { size: size.ok_or_else(|| unreadable("a line names no size"))?, value };
        if ROWS.iter().any(|row| recorded.sum(row).is_none()) {
            return Err(unreadable("a count is missing"));
        }
        sizes.push(recorded);
    }
    match sizes.len() {
        0..=3 => Err(unreadable("fewer than four sizes")),
        _ => Ok(sizes),
    }
}

/// Constant and slope by least squares.
pub fn fit(points: &[(f64, f64)]) -> (f64, f64) {
    let count = points.len() as f64;
    let (mean_x, mean_y) = (
        points.iter().map(|point| point.0).sum::<f64>() / count,
        points.iter().map(|point| point.1).sum::<f64>() / count,
    );
    let across: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let along: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let slope = if along > 0.0 { across / along } else { 0.0 };
    (mean_y - slope * mean_x, slope)
}

fn shown(value: f64) -> String {
    match value.abs() {
        size if size >= 100.0 => format!("{value:.0}"),
        size if size >= 1.0 => format!("{value:.1}"),
        size if size >= 0.01 => format!("{value:.3}"),
        0.0 => "0".into(),
        _ => format!("{value:.1e}"),
    }
}

/// The table's text.
pub fn of_runs(runs: &[Vec<Recorded>]) -> String {
    let mut sizes: Vec<u64> = runs.iter().flatten().map(|recorded| recorded.size as u64).collect();
    sizes.sort_unstable();
    sizes.dedup();
    let head: Vec<String> = sizes.iter().map(|size| format!("{size} nodes")).collect();
    let mut lines = vec![
        format!(
            "| what | unit | {} | constant | slope a node | spread | at 16,000 | limit | verdict |",
            head.join(" | ")
        ),
        format!("| --- | --- |{} --- | --- | --- | --- | --- | --- |", " --- |".repeat(sizes.len())),
    ];
    for row in &ROWS {
        let points: Vec<(f64, f64)> =
            runs.iter().flatten().filter_map(|recorded| Some((recorded.size, recorded.sum(row)?))).collect();
        let at =
            |size: u64| points.iter().filter(|point| point.0 as u64 == size).map(|point| point.1).collect::<Vec<_>>();
        let mean = |values: &[f64]| values.iter().sum::<f64>() / values.len().max(1) as f64;
        let cells: Vec<String> = sizes.iter().map(|size| shown(mean(&at(*size)))).collect();
        // The largest distance of two runs of one size, as a share of their mean.
        let spread = sizes
            .iter()
            .map(|size| at(*size))
            .map(|values| {
                let (least, most) =
                    (values.iter().cloned().fold(f64::MAX, f64::min), values.iter().cloned().fold(0.0, f64::max));
                if most > 0.0 { (most - least) / mean(&values) } else { 0.0 }
            })
            .fold(0.0, f64::max);
        let (constant, slope) = fit(&points);
        let there = constant + slope * NODES;
        let verdict = match row.limit {
            None => "",
            Some(limit) if there <= limit => "met, if the line holds",
            Some(_) => "missed",
        };
        let limit = row.limit.map(shown).unwrap_or_default();
        lines.push(format!(
            "| {} | {} | {} | {} | {} | {:.0}% | {} | {limit} | {verdict} |",
            row.what,
            row.unit,
            cells.join(" | "),
            shown(constant),
            shown(slope),
            spread * 100.0,
            shown(there)
        ));
    }
    lines.join("\n")
}

pub fn of_files(files: &[&str]) -> Result<String, TrackError> {
    let runs: Result<Vec<_>, _> = files.iter().map(|file| read(file)).collect();
    Ok(of_runs(&runs?))
}
