//! The safety rules, checked over what all endpoints saw.

use crate::client::{Outcome, Record};
use crate::endpoint::events::Event;
use crate::layout::COLD_BOUND;
use std::collections::{BTreeMap, HashMap, HashSet};

/// What one process of an endpoint printed over all its lives, and when its lives were ended by the run.
#[derive(Clone, Debug, Default)]
pub struct Witness {
    /// Events in the order in which they were printed.
    pub events: Vec<Event>,
    /// When the process was killed, on the shared clock.
    pub ended: Vec<u64>,
}

/// One life's hold of a range, from the first grant to its end.
#[derive(Clone, Debug, PartialEq)]
struct Held {
    life: String,
    first: u16,
    last: u16,
    from: u64,
    until: u64,
}

/// A request that began at a life.
type Run = (u64, u16);

/// Every rule that was broken, in words; nothing where all held.
pub fn violations(witnesses: &[Witness]) -> Vec<String> {
    let mut found = two_holders(witnesses);
    found.extend(run_twice(witnesses));
    found.extend(flooded(witnesses));
    found
}

/// FAILBACK: a cold endpoint got more requests within a second than the contract allows.
fn flooded(witnesses: &[Witness]) -> Vec<String> {
    let seconds = cold_seconds(witnesses);
    let above = seconds.iter().filter(|second| second.arrivals > COLD_BOUND);
    above
        .map(|ColdSecond { life, from, arrivals }| format!("FAILBACK: {life} got {arrivals} in the second from {from}"))
        .collect()
}

fn life_end(witness: &Witness, started: u64) -> u64 {
    witness.ended.iter().copied().filter(|at| *at > started).min().unwrap_or(u64::MAX)
}

/// The holds of all lives of a process.
fn holds(witness: &Witness) -> Vec<Held> {
    let mut all = Vec::new();
    let mut open: Vec<Held> = Vec::new();
    let mut end = u64::MAX;
    for event in &witness.events {
        match event {
            Event::Started { at, .. } => {
                all.append(&mut open);
                end = life_end(witness, *at);
            }
            Event::Held { at, life, first, last, until, .. } => {
                let renews = |held: &&mut Held| held.first == *first && held.last == *last && held.until >= *at;
                match open.iter_mut().find(renews) {
                    Some(held) => held.until = (*until).min(end),
                    None => open.push(Held {
                        life: life.clone(),
                        first: *first,
                        last: *last,
                        from: *at,
                        until: (*until).min(end),
                    }),
                }
            }
            Event::LetGo { at, first, last, .. } => {
                let cut = std::mem::take(&mut open);
                for held in cut {
                    let overlaps = held.first <= *last && *first <= held.last && *at < held.until;
                    if !overlaps {
                        open.push(held);
                        continue;
                    }
                    all.push(Held { until: *at, ..held.clone() });
                    if held.first < *first {
                        open.push(Held { last: first - 1, from: *at, ..held.clone() });
                    }
                    if *last < held.last {
                        open.push(Held { first: last + 1, from: *at, ..held });
                    }
                }
            }
            Event::Ended { at, .. } => {
                let ended = std::mem::take(&mut open);
                all.extend(ended.into_iter().map(|held| Held { until: held.until.min(*at), ..held }));
            }
            Event::Ran { .. }
            | Event::Misdirected { .. }
            | Event::Cold { .. }
            | Event::Refused { .. }
            | Event::FellOver { .. } => {}
        }
    }
    all.extend(open);
    all
}

/// OWNER: two lives hold the same keys at once. The rule counts only holds in which both begin requests, which is chance;
/// how many each began is told.
fn two_holders(witnesses: &[Witness]) -> Vec<String> {
    let mut runs: HashMap<&str, Vec<Run>> = HashMap::new();
    for event in witnesses.iter().flat_map(|witness| &witness.events) {
        if let Event::Ran { at, life, key, .. } = event {
            runs.entry(life).or_default().push((*at, *key));
        }
    }
    let held: Vec<Vec<Held>> = witnesses.iter().map(holds).collect();
    let began = |life: &str, keys: (u16, u16), span: (u64, u64)| {
        let runs = runs.get(life).into_iter().flatten();
        runs.filter(|(at, key)| span.0 <= *at && *at < span.1 && keys.0 <= *key && *key <= keys.1).count()
    };
    let mut found = Vec::new();
    for (index, ones) in held.iter().enumerate() {
        for (one, other) in
            ones.iter().flat_map(|one| held[index + 1..].iter().flatten().map(move |other| (one, other)))
        {
            let keys = (one.first.max(other.first), one.last.min(other.last));
            let span = (one.from.max(other.from), one.until.min(other.until));
            if keys.0 > keys.1 || span.0 >= span.1 {
                continue;
            }
            let (by_one, by_other) = (began(&one.life, keys, span), began(&other.life, keys, span));
            found.push(format!(
                "OWNER: {} and {} held {}-{} together for {} ms from {} and began {by_one} and {by_other} requests",
                one.life,
                other.life,
                keys.0,
                keys.1,
                (span.1 - span.0) / 1000,
                span.0
            ));
        }
    }
    found
}

/// TWICE: a request that may run once at most began twice.
fn run_twice(witnesses: &[Witness]) -> Vec<String> {
    let mut began: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    for event in witnesses.iter().flat_map(|witness| &witness.events) {
        if let Event::Ran { attempt, life, safe: false, .. } = event {
            began.entry(attempt).or_default().push(life);
        }
    }
    let twice = began.into_iter().filter(|(_, lives)| lives.len() > 1);
    twice.map(|(attempt, lives)| format!("TWICE: {attempt} may run once and began at {lives:?}")).collect()
}

/// REFUSED: a request that may run once at most was told that it has not run and never will, and began all the same.
pub fn refused_and_ran(witnesses: &[Witness], records: &[Record]) -> Vec<String> {
    let events = witnesses.iter().flat_map(|witness| &witness.events);
    let began: HashSet<&str> = events
        .filter_map(|event| match event {
            Event::Ran { attempt, safe: false, .. } => Some(attempt.as_str()),
            _ => None,
        })
        .collect();
    let refused = records.iter().filter(|record| record.outcome == Outcome::Refused && !record.safe);
    let ran = refused.filter(|record| began.contains(record.attempt.as_str()));
    ran.map(|record| format!("REFUSED: {} was answered {:?} and began", record.attempt, record.answer)).collect()
}

/// The most requests that reached a life within one second while it was cold, and when that second began. Those that
/// it answered with 421 don't count.
#[derive(Clone, Debug, PartialEq)]
pub struct ColdSecond {
    /// The life's id.
    pub life: String,
    /// When the second began, on the shared clock.
    pub from: u64,
    /// Requests within it.
    pub arrivals: usize,
}

const SECOND_MICROS: u64 = 1_000_000;

/// The busiest cold second of each life that was ever cold.
pub fn cold_seconds(witnesses: &[Witness]) -> Vec<ColdSecond> {
    let mut spans: BTreeMap<&str, Vec<(u64, u64)>> = BTreeMap::new();
    let mut arrivals: HashMap<&str, Vec<u64>> = HashMap::new();
    for event in witnesses.iter().flat_map(|witness| &witness.events) {
        match event {
            Event::Cold { at, life, until } => spans.entry(life).or_default().push((*at, *until)),
            Event::Ran { at, life, .. } | Event::Refused { at, life } | Event::FellOver { at, life } => {
                arrivals.entry(life).or_default().push(*at);
            }
            _ => {}
        }
    }
    let busiest = |(life, spans): (&str, Vec<(u64, u64)>)| {
        let is_cold = |at: &u64| spans.iter().any(|(from, until)| from <= at && at < until);
        let mut cold: Vec<u64> = arrivals.get(life).into_iter().flatten().copied().filter(is_cold).collect();
        cold.sort_unstable();
        let within = |from: u64| cold.iter().filter(|at| (from..=from + SECOND_MICROS).contains(*at)).count();
        let (arrivals, from) = cold.iter().map(|from| (within(*from), *from)).max().unwrap_or((0, spans[0].0));
        ColdSecond { life: life.to_owned(), from, arrivals }
    };
    spans.into_iter().map(busiest).collect()
}

/// How often a life ended since it got more than it bore.
pub fn fell_over(witnesses: &[Witness]) -> usize {
    let events = witnesses.iter().flat_map(|witness| &witness.events);
    events.filter(|event| matches!(event, Event::FellOver { .. })).count()
}

/// How often keys were let go.
pub fn let_go(witnesses: &[Witness]) -> usize {
    let events = witnesses.iter().flat_map(|witness| &witness.events);
    events.filter(|event| matches!(event, Event::LetGo { .. })).count()
}

/// Requests that reached an endpoint that didn't hold their key, from a moment on.
pub fn misdirected(witnesses: &[Witness], from: u64) -> usize {
    let events = witnesses.iter().flat_map(|witness| &witness.events);
    events.filter(|event| matches!(event, Event::Misdirected { at, .. } if *at >= from)).count()
}

#[cfg(test)]
#[path = "invariants_tests.rs"]
mod tests;
