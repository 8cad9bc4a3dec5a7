//! Troubles of a run, drawn from its seed: kills, pauses, restarts, lost answers and silence, two or three at a time.

use crate::layout::{CORES, ENDPOINTS, NODES};
use trackbed::random::Random;

/// What a trouble does to its process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Killed at once, and started again when the trouble ends.
    Kill,
    /// Stopped by a signal, and continued when the trouble ends.
    Pause,
    /// Asked to end, and started again when the trouble ends. An endpoint says that it leaves first.
    Terminate,
    /// The endpoint runs requests and breaks connections off in place of their answers, for two seconds.
    LoseAnswers,
    /// The endpoint sends no heartbeats, for two seconds.
    Silence,
}

/// Which process a trouble meets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    /// A core node.
    Core(usize),
    /// A node that carries requests.
    Node(usize),
    /// An endpoint.
    Endpoint(usize),
}

/// One trouble. Times are milliseconds from the first moment of the troubled span.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Trouble {
    /// When it begins.
    pub from: u64,
    /// When it ends.
    pub until: u64,
    /// What it does.
    pub kind: Kind,
    /// To which process.
    pub target: Target,
}

/// Mean time between the beginnings of two troubles.
const EVERY_MILLIS: u64 = 900;
const SHORTEST_MILLIS: u64 = 300;
const LONGEST_MILLIS: u64 = 3500;

/// The troubles of a seed within a span. Invariants: one core node at a time is in trouble, as the settings allow the
/// loss of one; no process has two troubles at once; all have ended with the span.
pub fn plan(seed: u64, span_millis: u64) -> Vec<Trouble> {
    let mut random = Random::seeded(seed);
    let mut troubles: Vec<Trouble> = Vec::new();
    let mut from = 0;
    loop {
        from += EVERY_MILLIS / 3 + random.below(EVERY_MILLIS);
        let until = from + SHORTEST_MILLIS + random.below(LONGEST_MILLIS - SHORTEST_MILLIS);
        if until >= span_millis {
            return troubles;
        }
        let (kind, target) = draw(&mut random);
        let under_way = || troubles.iter().filter(|other| other.until >= from);
        let core_in_trouble = under_way().any(|other| matches!(other.target, Target::Core(_)));
        let is_in_trouble = under_way().any(|other| other.target == target);
        if is_in_trouble || (core_in_trouble && matches!(target, Target::Core(_))) {
            continue;
        }
        troubles.push(Trouble { from, until, kind, target });
    }
}

fn draw(random: &mut Random) -> (Kind, Target) {
    match random.below(12) {
        0 | 1 => (Kind::Kill, Target::Core(random.below(CORES as u64) as usize)),
        2 => (Kind::Pause, Target::Core(random.below(CORES as u64) as usize)),
        3 => (Kind::Kill, Target::Node(random.below(NODES as u64) as usize)),
        4 => (Kind::Pause, Target::Node(random.below(NODES as u64) as usize)),
        5 => (Kind::Terminate, Target::Node(random.below(NODES as u64) as usize)),
        6 => (Kind::Kill, Target::Endpoint(random.below(ENDPOINTS as u64) as usize)),
        7 => (Kind::Pause, Target::Endpoint(random.below(ENDPOINTS as u64) as usize)),
        8 | 9 => (Kind::Terminate, Target::Endpoint(random.below(ENDPOINTS as u64) as usize)),
        10 => (Kind::LoseAnswers, Target::Endpoint(random.below(ENDPOINTS as u64) as usize)),
        _ => (Kind::Silence, Target::Endpoint(random.below(ENDPOINTS as u64) as usize)),
    }
}

#[cfg(test)]
#[path = "trouble_tests.rs"]
mod tests;
