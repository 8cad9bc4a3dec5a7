//! Troubles of core nodes, drawn from a run's seed. Each node has its own series, so that they overlap; some meet all
//! nodes at once. What holds of locks must hold through any of them.

use trackbed::random::Random;

/// What is done to the process of a core node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Stopped by a signal.
    Freeze,
    /// Continued.
    Thaw,
    /// Killed at once.
    Kill,
    /// Asked to end.
    Terminate,
    /// Told that its settings have changed.
    HangUp,
    /// Started anew; it is killed first where it still runs.
    Start,
    /// Started once more, whether or not it still runs, as a supervisor does that doesn't wait for the end.
    StartBeside,
    /// Started anew where it has ended.
    Ensure,
    /// Killed, and started anew with an empty disk.
    StartEmpty,
}

/// One step and when it is due, in milliseconds from the first moment of the troubled span.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Due {
    /// When.
    pub at: u64,
    /// The core node.
    pub core: usize,
    /// What is done.
    pub step: Step,
}

/// Which kinds of trouble a run has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mix {
    /// Only freezes.
    Freezes,
    /// Kills, orderly ends and quick restarts.
    Restarts,
    /// All kinds.
    All,
    /// All kinds, and some of them meet all nodes at once or one right after the other.
    Together,
    /// No signals: the machine is kept busy by other work.
    Busy,
}

impl Mix {
    /// Every mix.
    pub const ALL: [Mix; 5] = [Mix::Freezes, Mix::Restarts, Mix::All, Mix::Together, Mix::Busy];

    /// The name on the command line and in reports.
    pub fn name(self) -> &'static str {
        match self {
            Self::Freezes => "freezes",
            Self::Restarts => "restarts",
            Self::All => "all",
            Self::Together => "together",
            Self::Busy => "busy",
        }
    }

    /// The mix of that name.
    pub fn named(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|mix| mix.name() == name)
    }
}

const SHORTEST_PAUSE_MILLIS: u64 = 300;
const LONGEST_PAUSE_MILLIS: u64 = 5000;
const SHORTEST_FREEZE_MILLIS: u64 = 150;
const LONGEST_FREEZE_MILLIS: u64 = 4000;
/// Down time of a kill. Many are over before the other members notice.
const SHORTEST_DOWN_MILLIS: u64 = 10;
const LONGEST_DOWN_MILLIS: u64 = 1500;
/// Share of short down times.
const QUICK_SHARE: f64 = 0.5;
const QUICK_MILLIS: u64 = 200;
/// Mean time between two troubles that meet all nodes.
const TOGETHER_EVERY_MILLIS: u64 = 7000;
/// An orderly end takes up to this long before the process is started anew.
const LEAVE_MILLIS: u64 = 2500;

/// The steps of a seed, in their order. All nodes run at the end of the span.
pub fn plan(mix: Mix, cores: usize, seed: u64, span_millis: u64) -> Vec<Due> {
    let mut random = Random::seeded(seed);
    let mut steps = Vec::new();
    if mix != Mix::Busy {
        for core in 0..cores {
            series(mix, core, span_millis, &mut random, &mut steps);
        }
    }
    if mix == Mix::Together {
        meet_all(cores, span_millis, &mut random, &mut steps);
    }
    if matches!(mix, Mix::All | Mix::Together) && span_millis > LEAVE_MILLIS {
        lose_disks(cores, span_millis, &mut random, &mut steps);
    }
    steps.sort_by_key(|due| due.at);
    steps
}

/// One node's troubles, one after the other.
fn series(mix: Mix, core: usize, span: u64, random: &mut Random, steps: &mut Vec<Due>) {
    let mut at = 0;
    loop {
        at += between(random, SHORTEST_PAUSE_MILLIS, LONGEST_PAUSE_MILLIS);
        let trouble = draw(mix, random);
        let length = trouble.iter().map(|(pause, _)| pause).sum::<u64>();
        if at + length >= span {
            return;
        }
        for (pause, step) in trouble {
            at += pause;
            steps.push(Due { at, core, step });
        }
    }
}

/// The steps of one trouble, each with the time since the one before.
fn draw(mix: Mix, random: &mut Random) -> Vec<(u64, Step)> {
    let kind = match mix {
        Mix::Freezes => 0,
        Mix::Restarts => 3 + random.below(7),
        _ => random.below(11),
    };
    match kind {
        0..=2 => vec![(0, Step::Freeze), (freeze_time(random), Step::Thaw)],
        3 | 4 => vec![(0, Step::Kill), (down_time(random), Step::Start)],
        5 | 6 => vec![(0, Step::Terminate), (down_time(random) + random.below(LEAVE_MILLIS), Step::Start)],
        7 => vec![
            (0, Step::Freeze),
            (freeze_time(random), Step::Terminate),
            (random.below(QUICK_MILLIS), Step::Thaw),
            (LEAVE_MILLIS, Step::Start),
        ],
        8 => vec![
            (0, Step::Terminate),
            (random.below(QUICK_MILLIS), Step::StartBeside),
            (QUICK_MILLIS, Step::Ensure),
            (LEAVE_MILLIS, Step::Ensure),
        ],
        9 => vec![(0, Step::StartBeside), (QUICK_MILLIS, Step::Terminate), (LEAVE_MILLIS, Step::Start)],
        _ => vec![(0, Step::HangUp), (random.below(QUICK_MILLIS), Step::HangUp)],
    }
}

/// Troubles that meet all nodes at once, or one right after the other.
fn meet_all(cores: usize, span: u64, random: &mut Random, steps: &mut Vec<Due>) {
    let mut at = 0;
    loop {
        at += between(random, TOGETHER_EVERY_MILLIS / 2, TOGETHER_EVERY_MILLIS * 3 / 2);
        let gap = if random.chance(QUICK_SHARE) { random.below(20) } else { random.below(700) };
        let (first, second) = match random.below(3) {
            0 => (Step::Freeze, Step::Thaw),
            1 => (Step::Kill, Step::Start),
            _ => (Step::Terminate, Step::Start),
        };
        let length = between(random, SHORTEST_FREEZE_MILLIS, LONGEST_FREEZE_MILLIS);
        if at + gap * cores as u64 + length >= span {
            return;
        }
        for core in 0..cores {
            let begun = at + gap * core as u64;
            steps.push(Due { at: begun, core, step: first });
            steps.push(Due { at: begun + length, core, step: second });
        }
    }
}

/// As many disks are lost in a run as may be lost at once, each of another node.
fn lose_disks(cores: usize, span: u64, random: &mut Random, steps: &mut Vec<Due>) {
    let most = (cores - 1) / 2;
    let mut nodes: Vec<usize> = (0..cores).collect();
    random.shuffle(&mut nodes);
    for core in nodes.into_iter().take(most) {
        steps.push(Due { at: random.below(span), core, step: Step::StartEmpty });
    }
}

fn between(random: &mut Random, least: u64, most: u64) -> u64 {
    least + random.below(most - least)
}

fn freeze_time(random: &mut Random) -> u64 {
    between(random, SHORTEST_FREEZE_MILLIS, LONGEST_FREEZE_MILLIS)
}

fn down_time(random: &mut Random) -> u64 {
    let most = if random.chance(QUICK_SHARE) { QUICK_MILLIS } else { LONGEST_DOWN_MILLIS };
    between(random, SHORTEST_DOWN_MILLIS, most)
}

#[cfg(test)]
#[path = "trouble_tests.rs"]
mod tests;
