//! The core node that merges what nodes near it counted.

use super::messages::{Bucket, Counted, CountedTaken, NodeKey, Part, PartsTaken, SealedWindow, Standing, WindowId};
use super::report::{ReportTold, Shown};
use super::summary::Summary;
use crate::gossip::Peer;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;
use trackbed::clock::Moment;
use trackbed::ids::NodeName;
use trackbed::random::stable_hash;

/// Windows that a collector holds at most, and nodes in one.
const MOST_WINDOWS: usize = 8;
const MOST_NODES: usize = 4096;
/// Sealed windows older than this are not of now.
const OF_LATE: Duration = Duration::from_secs(75);
/// How often the primary is told at least, how soon after something new, and when it is told again that gave no answer.
const TELL_EVERY: Duration = Duration::from_secs(2);
const TELL_NEWS: Duration = Duration::from_millis(1300);
const RETRY: Duration = Duration::from_secs(1);

#[derive(Default)]
struct Held {
    summaries: BTreeMap<NodeKey, (u32, Summary)>,
    /// Those that another collector told of first.
    not_mine: BTreeSet<NodeKey>,
    /// Rises with each part made of it.
    revision: u32,
    /// Something came in since the last part.
    changed: bool,
}

/// Invariant: a node's counts are held one by one until their window is sealed, so that a part can be made anew.
pub struct Collector {
    /// Drawn anew at each start: what a former life held is gone.
    life: u64,
    held: BTreeMap<WindowId, Held>,
    /// The primary's word, and when it came.
    standing: Standing,
    heard_at: Moment,
    report: Option<Shown>,
    /// The newest sealed windows, for when this node becomes the primary.
    sealed: VecDeque<(SealedWindow, Moment)>,
    next: Moment,
    /// The primary was told, and has not answered yet.
    is_unheard: bool,
}

/// The core node that a node tells: always the same while the same are there. Of its zone, else of its region, else any.
pub fn collector_for<'a>(me: &Peer, cores: impl Iterator<Item = &'a Peer>) -> Option<&'a Peer> {
    let weight = |core: &NodeName| stable_hash(&format!("{} {}", me.name, core));
    cores.max_by_key(|core| (core.zone == me.zone, core.region == me.region, weight(&core.name)))
}

impl Collector {
    pub fn new(life: u64) -> Self {
        Self {
            life,
            held: BTreeMap::new(),
            standing: Standing::default(),
            heard_at: Moment::default(),
            report: None,
            sealed: VecDeque::new(),
            next: Moment::default(),
            is_unheard: false,
        }
    }

    /// A node's word, and what it is told.
    pub fn answer(&mut self, counted: Counted, now: Moment) -> CountedTaken {
        let report = self.report_for(counted.known, now);
        if self.take(counted) {
            self.next = self.next.min(now + TELL_NEWS);
        }
        CountedTaken { life: self.life, standing: self.standing.after(now.since(self.heard_at)), report }
    }

    /// What is told of a sealed window is left out. Returns whether there is anything for the primary.
    fn take(&mut self, counted: Counted) -> bool {
        let mut any = false;
        for Bucket { window, revision, summary } in counted.buckets {
            if window <= self.standing.sealed || window.epoch != self.standing.open.epoch {
                continue;
            }
            if !self.held.contains_key(&window) && self.held.len() >= MOST_WINDOWS {
                continue;
            }
            let held = self.held.entry(window).or_default();
            let known = held.summaries.get(&counted.key).map(|(revision, _)| *revision);
            if known.is_some_and(|known| known >= revision) || (known.is_none() && held.summaries.len() >= MOST_NODES) {
                continue;
            }
            held.changed |= !held.not_mine.contains(&counted.key);
            any |= held.changed;
            held.summaries.insert(counted.key, (revision, summary));
        }
        any
    }

    pub fn is_due(&self, now: Moment) -> bool {
        now >= self.next
    }

    /// What the primary is to be told: what is new since it last answered.
    pub fn hand_on(&mut self, now: Moment) -> Vec<Part> {
        self.next = now + RETRY;
        if std::mem::replace(&mut self.is_unheard, true) {
            self.held.values_mut().for_each(|held| held.changed = true);
        }
        let mut parts = Vec::new();
        for (window, held) in &mut self.held {
            if !std::mem::take(&mut held.changed) {
                continue;
            }
            held.revision += 1;
            let mut summary = Summary::merged();
            let mut keys = Vec::new();
            for (key, (_, counted)) in held.summaries.iter().filter(|(key, _)| !held.not_mine.contains(key)) {
                keys.push(*key);
                summary.merge(counted);
            }
            parts.push(Part { window: *window, revision: held.revision, keys, summary });
        }
        parts
    }

    /// The primary's word.
    pub fn heard(&mut self, taken: PartsTaken, now: Moment) {
        let PartsTaken { standing, not_yours, report, windows, is_whole } = taken;
        if (standing.open.epoch, standing.sealed) < (self.standing.open.epoch, self.standing.sealed) {
            return;
        }
        self.is_unheard = false;
        self.next = now + TELL_EVERY;
        for (window, keys) in not_yours {
            if let Some(held) = self.held.get_mut(&window) {
                held.not_mine.extend(keys);
                held.changed = true;
            }
        }
        self.standing = standing;
        self.heard_at = now;
        self.held.retain(|window, _| *window > standing.sealed && window.epoch == standing.open.epoch);
        if is_whole {
            // A window that this primary does not have was told of anew, and counts in one of its own.
            self.sealed.clear();
        }
        if let Some(told) = report {
            self.take_report(told, now);
        }
        for window in windows {
            if self.last_sealed() < window.id {
                self.sealed.push_back((window, now));
            }
        }
        while self.sealed.len() > super::sealer::MOST_WINDOWS {
            self.sealed.pop_front();
        }
    }

    /// The newest window that was sealed, as far as is known here.
    pub fn last_sealed(&self) -> WindowId {
        self.sealed.back().map(|(window, _)| window.id).unwrap_or_default()
    }

    /// What a new primary goes on from: the windows of late.
    pub fn sealed(&self, now: Moment) -> impl Iterator<Item = &SealedWindow> {
        let of_late = move |came: Moment| now.since(came) < OF_LATE;
        self.sealed.iter().filter(move |(_, came)| of_late(*came)).map(|(window, _)| window)
    }

    pub fn take_report(&mut self, told: ReportTold, now: Moment) {
        if told.report.id > self.known() {
            self.report = Some(Shown::of(told, now));
        }
    }

    pub fn known(&self) -> WindowId {
        self.report.as_ref().map(|shown| shown.told.report.id).unwrap_or_default()
    }

    pub fn report(&self) -> Option<&Shown> {
        self.report.as_ref()
    }

    pub fn report_for(&self, known: WindowId, now: Moment) -> Option<ReportTold> {
        self.report.as_ref().filter(|shown| shown.told.report.id > known).map(|shown| shown.told_at(now))
    }

    /// Nodes whose counts are held, for operators.
    pub fn nodes(&self) -> usize {
        self.held.values().map(|held| held.summaries.len()).max().unwrap_or(0)
    }
}
