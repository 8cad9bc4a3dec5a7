//! An explicit-state model checker: a breadth-first search of every state within the bounds.
//!
//! The search goes level by level, so a counterexample is always one of the shortest. Levels are shared
//! among threads, and the verdict, the counts and the trace do not depend on how the threads run.

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::hash::{BuildHasherDefault, Hasher};
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// States that one thread takes at a time.
const BATCH: usize = 64;
/// Locks over the visited states. A power of two.
const SHARDS: usize = 256;

/// States of one level held in memory at a time: about 4 KiB each.
const FRONTIER_LIMIT: usize = 2_000_000;

/// A transition system with a property that every reachable state must have.
pub trait Model: Sync {
    type State: Clone + Send + Sync;
    type Action: Clone + std::fmt::Display;

    fn initial(&self) -> Self::State;
    /// Every action that the bounds allow, always in the same order.
    fn actions(&self, state: &Self::State) -> Vec<Self::Action>;
    fn next(&self, state: &Self::State, action: &Self::Action) -> Self::State;
    /// Equal for equal states. The search takes states of one fingerprint for one state.
    fn fingerprint(&self, state: &Self::State) -> u64;
    /// The property that the state breaks, if any.
    fn violation(&self, state: &Self::State) -> Option<String>;
    /// What the state shows to be reachable, as a set of bits.
    fn milestones(&self, state: &Self::State) -> u32;
}

/// One step of a counterexample.
#[derive(Clone, Debug)]
pub struct TraceStep {
    /// The action's place among all actions of the state before it.
    pub index: usize,
    pub description: String,
}

/// A shortest path from the initial state to a violation.
#[derive(Clone, Debug)]
pub struct Counterexample {
    pub violation: String,
    pub steps: Vec<TraceStep>,
}

impl std::fmt::Display for Counterexample {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        writeln!(formatter, "violated: {}", self.violation)?;
        for (number, step) in self.steps.iter().enumerate() {
            writeln!(formatter, "{:>3}. [{}] {}", number + 1, step.index, step.description)?;
        }
        let indices: Vec<String> = self.steps.iter().map(|step| step.index.to_string()).collect();
        write!(formatter, "trace: {}", indices.join(","))
    }
}

/// Why a search ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum End {
    /// No state is left: the bounds of the model itself end the space.
    Exhausted,
    /// Every state up to the bound of depth was seen.
    DepthReached,
    /// A level has more states than are held in memory: deeper ones were not seen.
    FrontierTooLarge,
    /// A violation was found.
    Violated,
}

/// The figures of a search.
#[derive(Debug)]
pub struct Report {
    pub end: End,
    /// States generated, those seen before included.
    pub generated: usize,
    pub unique: usize,
    pub depth: usize,
    pub elapsed: Duration,
    /// The milestones of all states seen.
    pub milestones: u32,
    pub counterexample: Option<Counterexample>,
}

impl std::fmt::Display for Report {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            formatter,
            "{:?}: {} states, {} unique, depth {}, {:.1} s",
            self.end,
            self.generated,
            self.unique,
            self.depth,
            self.elapsed.as_secs_f64()
        )
    }
}

/// Fingerprints are hashes already.
#[derive(Default)]
struct FingerprintHasher(u64);

impl Hasher for FingerprintHasher {
    fn finish(&self) -> u64 {
        self.0
    }
    fn write(&mut self, _: &[u8]) {
        unreachable!("only fingerprints are hashed");
    }
    fn write_u64(&mut self, fingerprint: u64) {
        self.0 = fingerprint;
    }
}

#[derive(Clone, Copy)]
struct Origin {
    parent: u64,
    depth: u32,
}

type Shard = HashMap<u64, Origin, BuildHasherDefault<FingerprintHasher>>;

/// The states seen, each with the state it was first reached from.
struct Visited {
    shards: Vec<Mutex<Shard>>,
}

impl Visited {
    fn new() -> Self {
        Self { shards: (0..SHARDS).map(|_| Mutex::default()).collect() }
    }

    fn shard(&self, fingerprint: u64) -> std::sync::MutexGuard<'_, Shard> {
        let index = (fingerprint >> 32) as usize & (SHARDS - 1);
        self.shards[index].lock().expect("no thread panics with the lock")
    }

    /// True for a state not seen before. Of the parents in one level the least is kept, so that traces
    /// are the same in every run.
    fn insert(&self, fingerprint: u64, origin: Origin) -> bool {
        match self.shard(fingerprint).entry(fingerprint) {
            Entry::Vacant(vacant) => {
                vacant.insert(origin);
                true
            }
            Entry::Occupied(mut occupied) => {
                let known = occupied.get_mut();
                if known.depth == origin.depth && origin.parent < known.parent {
                    known.parent = origin.parent;
                }
                false
            }
        }
    }

    fn origin(&self, fingerprint: u64) -> Origin {
        self.shard(fingerprint)[&fingerprint]
    }

    fn len(&self) -> usize {
        self.shards.iter().map(|shard| shard.lock().expect("no thread panics with the lock").len()).sum()
    }
}

/// What one level of the search gave.
struct Level<State> {
    states: Vec<State>,
    violations: Vec<(u64, String)>,
    generated: usize,
    /// States not seen before.
    fresh: usize,
    milestones: u32,
}

impl<State> Level<State> {
    fn empty() -> Self {
        Self { states: Vec::new(), violations: Vec::new(), generated: 0, fresh: 0, milestones: 0 }
    }

    fn join(mut self, mut other: Self) -> Self {
        self.states.append(&mut other.states);
        self.violations.append(&mut other.violations);
        self.generated += other.generated;
        self.fresh += other.fresh;
        self.milestones |= other.milestones;
        self
    }
}

/// Visits every state up to `depth` actions from the initial one, or ends at the first level with a violation.
pub fn search<M: Model>(model: &M, depth: usize) -> Report {
    let started = Instant::now();
    let visited = Visited::new();
    let initial = model.initial();
    let root = model.fingerprint(&initial);
    visited.insert(root, Origin { parent: root, depth: 0 });
    let mut report = Report {
        end: End::DepthReached,
        generated: 1,
        unique: 1,
        depth: 0,
        elapsed: Duration::ZERO,
        milestones: 0,
        counterexample: None,
    };
    let mut frontier = vec![initial];
    for reached in 1..=depth {
        let expansion = Expansion {
            model,
            visited: &visited,
            depth: reached as u32,
            is_last: reached == depth,
            kept: AtomicUsize::new(0),
        };
        let level = expansion.run(&frontier);
        report.generated += level.generated;
        report.milestones |= level.milestones;
        if let Some((fingerprint, violation)) = level.violations.into_iter().min() {
            report.depth = reached;
            report.end = End::Violated;
            let steps = trace(model, &visited, root, fingerprint);
            report.counterexample = Some(Counterexample { violation, steps });
            break;
        }
        if expansion.is_too_large() {
            report.end = End::FrontierTooLarge;
            break;
        }
        if level.fresh == 0 {
            report.end = End::Exhausted;
            break;
        }
        report.depth = reached;
        frontier = level.states;
    }
    report.unique = visited.len();
    report.elapsed = started.elapsed();
    report
}

/// The search of one level.
struct Expansion<'search, M> {
    model: &'search M,
    visited: &'search Visited,
    depth: u32,
    /// Nothing follows: the new states themselves need not be kept.
    is_last: bool,
    kept: AtomicUsize,
}

impl<M: Model> Expansion<'_, M> {
    fn run(&self, frontier: &[M::State]) -> Level<M::State> {
        let next = AtomicUsize::new(0);
        let work = || self.take_batches(frontier, &next);
        if frontier.len() <= BATCH {
            return work();
        }
        let threads = std::thread::available_parallelism().map_or(1, usize::from);
        std::thread::scope(|scope| {
            let workers: Vec<_> = (0..threads).map(|_| scope.spawn(work)).collect();
            workers.into_iter().map(|worker| worker.join().expect("a worker ended")).fold(Level::empty(), Level::join)
        })
    }

    fn is_too_large(&self) -> bool {
        self.kept.load(Ordering::Relaxed) > FRONTIER_LIMIT
    }

    fn take_batches(&self, frontier: &[M::State], next: &AtomicUsize) -> Level<M::State> {
        let mut level = Level::empty();
        loop {
            let start = next.fetch_add(BATCH, Ordering::Relaxed);
            if start >= frontier.len() || self.is_too_large() {
                return level;
            }
            let end = frontier.len().min(start + BATCH);
            frontier[start..end].iter().for_each(|state| self.expand(state, &mut level));
        }
    }

    fn expand(&self, state: &M::State, level: &mut Level<M::State>) {
        let parent = self.model.fingerprint(state);
        for action in self.model.actions(state) {
            let next = self.model.next(state, &action);
            let fingerprint = self.model.fingerprint(&next);
            level.generated += 1;
            if self.visited.insert(fingerprint, Origin { parent, depth: self.depth }) {
                self.take_fresh(fingerprint, next, level);
            }
        }
    }

    fn take_fresh(&self, fingerprint: u64, state: M::State, level: &mut Level<M::State>) {
        level.fresh += 1;
        level.milestones |= self.model.milestones(&state);
        if let Some(violation) = self.model.violation(&state) {
            level.violations.push((fingerprint, violation));
        } else if !self.is_last {
            self.kept.fetch_add(1, Ordering::Relaxed);
            level.states.push(state);
        }
    }
}

/// The actions that lead from the initial state to the one with this fingerprint.
fn trace<M: Model>(model: &M, visited: &Visited, root: u64, fingerprint: u64) -> Vec<TraceStep> {
    let mut path = vec![fingerprint];
    while *path.last().expect("never empty") != root {
        path.push(visited.origin(path[path.len() - 1]).parent);
    }
    path.reverse();
    let mut state = model.initial();
    let mut steps = Vec::new();
    for wanted in &path[1..] {
        let actions = model.actions(&state);
        let (index, next) = actions
            .iter()
            .map(|action| model.next(&state, action))
            .enumerate()
            .find(|(_, next)| model.fingerprint(next) == *wanted)
            .expect("each state of the path was reached from the one before");
        steps.push(TraceStep { index, description: actions[index].to_string() });
        state = next;
    }
    steps
}

/// Takes the actions with these indices, and gives what they are and the first violation on the way.
pub fn replay<M: Model>(model: &M, indices: &[usize]) -> (Vec<String>, Option<String>) {
    let mut state = model.initial();
    let mut descriptions = Vec::new();
    for index in indices {
        let actions = model.actions(&state);
        let action = actions.get(*index).unwrap_or_else(|| panic!("only {} actions, no action {index}", actions.len()));
        descriptions.push(action.to_string());
        state = model.next(&state, action);
        if let Some(violation) = model.violation(&state) {
            return (descriptions, Some(violation));
        }
    }
    (descriptions, None)
}
