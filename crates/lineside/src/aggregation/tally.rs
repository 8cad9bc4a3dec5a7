//! A node's own counts, from the door until they are sealed.

use super::messages::{Bucket, Counted, CountedTaken, NodeKey, Standing, WindowId};
use super::report::{ReportTold, Shown};
use super::summary::Summary;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use trackbed::clock::Moment;
use trackbed::ids::{NodeName, ZabEpoch};

#[derive(Clone, Copy, Debug)]
pub struct TallyTiming {
    /// How often the collector is told, while no report says when the next is due.
    pub tell: Duration,
    /// When it is told again that gave no answer.
    pub retry: Duration,
    /// How long after it is made a report takes to be at every collector.
    pub spread: Duration,
    /// Over how long the nodes' words are spread, so that they do not come at once.
    pub stagger: Duration,
    /// From which age on a report is shown: by then all have it, and all show it from about the same moment on.
    pub show: Duration,
}

impl Default for TallyTiming {
    fn default() -> Self {
        Self {
            tell: Duration::from_secs(5),
            retry: Duration::from_secs(1),
            spread: Duration::from_millis(3600),
            stagger: Duration::from_millis(1200),
            show: Duration::from_millis(6000),
        }
    }
}

/// What was counted in one window.
struct Kept {
    revision: u32,
    summary: Summary,
    /// The collector that has it, and under which primary.
    had_by: Option<(NodeName, ZabEpoch)>,
}

impl Kept {
    fn new() -> Self {
        Self { revision: 1, summary: Summary::of_a_node(), had_by: None }
    }
}

/// Invariant: each try is in one bucket, and no bucket outlives the word that its window is sealed.
pub struct Tally {
    key: NodeKey,
    timing: TallyTiming,
    /// What the primary said of its windows, and when that was heard.
    standing: Standing,
    /// When a collector last answered, or this node started.
    heard_at: Moment,
    /// By window. What is counted before any window is known stands under the default one.
    buckets: BTreeMap<WindowId, Kept>,
    /// Windows of this epoch up to here were told of.
    told: u64,
    /// The collector that answered last, and its life.
    collector: Option<(NodeName, u64)>,
    next: Moment,
    /// The newest reports, oldest first. Invariant: their numbers rise.
    reports: VecDeque<Shown>,
}

/// What was counted while no collector answered for longer than this is not of now.
const OUT_OF_TOUCH: Duration = Duration::from_secs(20);

/// Buckets held while no collector answers. The oldest make way: their windows are long sealed.
const MOST_BUCKETS: usize = 6;
const MOST_REPORTS: usize = 3;

impl Tally {
    pub fn new(key: NodeKey, timing: TallyTiming, now: Moment, first: Moment) -> Self {
        let (standing, buckets) = (Standing::default(), BTreeMap::new());
        Self {
            key,
            timing,
            standing,
            heard_at: now,
            buckets,
            told: 0,
            collector: None,
            next: first,
            reports: VecDeque::new(),
        }
    }

    /// The window that is open now, by this node's clock since it last heard.
    fn open(&self, now: Moment) -> WindowId {
        let open = self.standing.after(now.since(self.heard_at)).open;
        // Clocks differ a little; a bucket that was closed stays closed.
        let newest = self.buckets.keys().next_back().copied().unwrap_or_default();
        if newest.epoch == open.epoch { open.max(newest) } else { open }
    }

    /// Where what happens now is counted.
    pub fn at(&mut self, now: Moment) -> &mut Summary {
        let open = self.open(now);
        &mut self.buckets.entry(open).or_insert_with(Kept::new).summary
    }

    pub fn is_due(&self, now: Moment) -> bool {
        now >= self.next
    }

    /// What the collector is to be told: the windows that are over, each whole. A node that ends tells of the open
    /// one too.
    pub fn tell(&mut self, collector: &NodeName, is_leaving: bool, now: Moment) -> Counted {
        self.next = now + self.timing.retry;
        let open = self.open(now);
        // A node that counted nothing in a window has been there all the same.
        for number in open.number.saturating_sub(2).max(self.told + 1)..open.number {
            self.buckets.entry(WindowId { number, ..open }).or_insert_with(Kept::new);
        }
        self.told = self.told.max(open.number.saturating_sub(1));
        if let Some(kept) = self.buckets.get_mut(&open).filter(|_| is_leaving) {
            kept.revision += 1;
        }
        let has = Some((collector.clone(), self.standing.open.epoch));
        let due = |(window, kept): &(&WindowId, &Kept)| {
            **window != WindowId::default() && (**window < open || is_leaving) && kept.had_by != has
        };
        let bucket = |(window, kept): (&WindowId, &Kept)| Bucket {
            window: *window,
            revision: kept.revision,
            summary: kept.summary.clone(),
        };
        let buckets = self.buckets.iter().filter(due).map(bucket).collect();
        Counted { key: self.key, buckets, known: self.known() }
    }

    /// The collector's word on what it was told: how the windows stand, and a report that is newer than the one here.
    pub fn answered(&mut self, collector: &NodeName, counted: &Counted, taken: CountedTaken, now: Moment) -> bool {
        let CountedTaken { life, standing, report } = taken;
        let before = self.collector.replace((collector.clone(), life));
        let started_anew = before.is_some_and(|(name, before)| name == *collector && before != life);
        if started_anew {
            // What it held of windows that are not sealed yet is to be told again.
            self.buckets.values_mut().for_each(|kept| kept.had_by = None);
        }
        for bucket in &counted.buckets {
            if let Some(kept) = self.buckets.get_mut(&bucket.window).filter(|kept| kept.revision == bucket.revision) {
                kept.had_by = Some((collector.clone(), standing.open.epoch));
            }
        }
        let newer = report.is_some_and(|told| self.take_report(told, now));
        self.next = if started_anew { now + self.timing.retry } else { self.next_tell(now) };
        self.heard(standing, now);
        newer
    }

    /// Right after the next report is at every collector, so that all show the same soon.
    fn next_tell(&self, now: Moment) -> Moment {
        let Some(shown) = self.reports.back().filter(|shown| !shown.is_stale(now)) else {
            return now + self.timing.tell;
        };
        let window = Duration::from_millis(shown.told.report.window_millis.max(1000) as u64);
        let stagger = self.timing.stagger.mul_f64((self.key.0 >> 32) as f64 / u32::MAX as f64);
        let (age, mut due) = (shown.age(now), self.timing.spread + stagger);
        if age >= due + window {
            // The next should be there and is not yet.
            return now + self.timing.retry;
        }
        while due <= age {
            due += window;
        }
        now + (due - age)
    }

    fn heard(&mut self, standing: Standing, now: Moment) {
        let in_touch = now.since(self.heard_at) < OUT_OF_TOUCH;
        if standing.open.epoch < self.standing.open.epoch {
            return;
        }
        let sealed = self.standing.sealed.max(standing.sealed);
        let before = std::mem::replace(&mut self.standing, Standing { sealed, ..standing });
        self.heard_at = now;
        self.buckets.retain(|window, _| *window == WindowId::default() || *window > sealed);
        // Another primary counts anew: what nobody sealed goes into its first window. So does what was counted
        // before any window was known, unless this node has been out of touch: that is not of now.
        if before.open.epoch != standing.open.epoch {
            // Nothing was counted of the windows before this one.
            self.told = standing.open.number.saturating_sub(1);
            let unsealed: Vec<WindowId> =
                self.buckets.keys().copied().filter(|window| window.epoch != standing.open.epoch).collect();
            for window in unsealed {
                let Some(kept) = self.buckets.remove(&window) else { continue };
                if in_touch {
                    self.at(now).merge(&kept.summary);
                }
            }
        }
        while self.buckets.len() > MOST_BUCKETS {
            self.buckets.pop_first();
        }
    }

    pub fn known(&self) -> WindowId {
        self.reports.back().map(|shown| shown.told.report.id).unwrap_or_default()
    }

    /// A report, from whoever had it. An older one never takes the place of a newer one.
    pub fn take_report(&mut self, told: ReportTold, now: Moment) -> bool {
        let newer = told.report.id > self.known();
        if newer {
            self.reports.push_back(Shown::of(told, now));
            while self.reports.len() > MOST_REPORTS {
                self.reports.pop_front();
            }
        }
        newer
    }

    /// The newest report here.
    pub fn newest(&self) -> Option<&Shown> {
        self.reports.back()
    }

    /// The report that nodes show now.
    pub fn shown(&self, now: Moment) -> Option<&Shown> {
        self.reports.iter().rev().find(|shown| shown.age(now) >= self.timing.show).or(self.reports.front())
    }

    /// For a peer that has an older report.
    pub fn report_for(&self, known: WindowId, now: Moment) -> Option<ReportTold> {
        self.reports.back().filter(|shown| shown.told.report.id > known).map(|shown| shown.told_at(now))
    }
}
