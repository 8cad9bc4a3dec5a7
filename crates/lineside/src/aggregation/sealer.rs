//! The primary's part: it numbers the windows on its steady clock, and seals each once.

use super::messages::{NodeKey, Part, SealedWindow, Standing, WindowId};
use super::report::{ClientLine, Report};
use super::reservations::Reservations;
use super::summary::Summary;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;
use trackbed::clock::Moment;
use trackbed::ids::{NodeName, ZabEpoch};

/// Sealed windows that "right now" spans.
pub(super) const MOST_WINDOWS: usize = 12;
/// Clients that a report names.
const TOP: usize = 20;

#[derive(Clone, Copy, Debug)]
pub struct SealerTiming {
    pub window: Duration,
    /// How long after its end a window waits for late counts.
    pub grace: Duration,
}

impl Default for SealerTiming {
    fn default() -> Self {
        // A node tells every five seconds, and its collector passes on within two and a half.
        Self { window: Duration::from_secs(5), grace: Duration::from_secs(8) }
    }
}

#[derive(Default)]
struct Open {
    /// By collector. Invariant: no node's counts are in two parts.
    parts: BTreeMap<NodeName, (u32, Vec<NodeKey>, Summary)>,
    /// Which collector told of a node first.
    owners: HashMap<NodeKey, NodeName>,
}

/// Invariants: numbers only rise; a window sealed is never opened again; what is sealed in one epoch is never counted
/// in another, since a node hears which windows are sealed with the word which one is open.
pub struct Sealer {
    timing: SealerTiming,
    epoch: ZabEpoch,
    began: Moment,
    /// The next to be sealed.
    next: u64,
    /// The last sealed, of this epoch or one before.
    last: WindowId,
    open: BTreeMap<u64, Open>,
    sealed: VecDeque<SealedWindow>,
}

impl Sealer {
    /// `inherited`: what was sealed before, as far as is known here.
    pub fn new<'a>(
        epoch: ZabEpoch,
        inherited: impl Iterator<Item = &'a SealedWindow>,
        timing: SealerTiming,
        now: Moment,
    ) -> Self {
        let sealed: VecDeque<SealedWindow> = inherited.filter(|window| window.id.epoch < epoch).cloned().collect();
        let last = sealed.back().map(|window| window.id).unwrap_or_default();
        Self { timing, epoch, began: now, next: 1, last, open: BTreeMap::new(), sealed }
    }

    pub fn epoch(&self) -> ZabEpoch {
        self.epoch
    }

    fn window(&self, number: u64) -> WindowId {
        WindowId { epoch: self.epoch, number }
    }

    fn end_of(&self, number: u64) -> Moment {
        self.began + self.timing.window * number as u32
    }

    pub fn standing(&self, now: Moment) -> Standing {
        let window_millis = self.timing.window.as_millis() as u32;
        let first = Standing { open: self.window(1), sealed: self.last, into_millis: 0, window_millis };
        first.after(now.since(self.began))
    }

    /// A collector's parts. Returns the nodes that another told of first, by window: their parts were not taken.
    pub fn take(&mut self, from: &NodeName, parts: Vec<Part>, now: Moment) -> Vec<(WindowId, Vec<NodeKey>)> {
        let newest = self.standing(now).open.number;
        let mut foreign = Vec::new();
        for Part { window, revision, keys, summary } in parts {
            if window.epoch != self.epoch || window.number < self.next || window.number > newest {
                continue;
            }
            let open = self.open.entry(window.number).or_default();
            if open.parts.get(from).is_some_and(|(known, _, _)| *known >= revision) {
                continue;
            }
            let others: Vec<NodeKey> =
                keys.iter().copied().filter(|key| open.owners.get(key).is_some_and(|owner| owner != from)).collect();
            if !others.is_empty() {
                foreign.push((window, others));
                continue;
            }
            for key in &keys {
                open.owners.insert(*key, from.clone());
            }
            open.parts.insert(from.clone(), (revision, keys, summary));
        }
        foreign
    }

    /// Seals what is due. Only to be called while the lease holds; without it nothing is sealed, and the windows of
    /// that time are sealed late or, if too many have passed, left out.
    pub fn seal(&mut self, now: Moment) -> Vec<SealedWindow> {
        let mut done = Vec::new();
        while now >= self.end_of(self.next) + self.timing.grace {
            let number = self.next;
            self.next += 1;
            let open = self.open.remove(&number).unwrap_or_default();
            let mut summary = Summary::merged();
            let mut nodes = 0;
            for (_, keys, part) in open.parts.values() {
                nodes += keys.len() as u32;
                summary.merge(part);
            }
            self.last = self.window(number);
            let window = SealedWindow { id: self.last, nodes, summary };
            self.sealed.push_back(window.clone());
            while self.sealed.len() > MOST_WINDOWS {
                self.sealed.pop_front();
            }
            done.push(window);
        }
        done
    }

    /// What was sealed after a window; the whole, and that it is that, where this primary does not have that window.
    pub fn sealed_after(&self, known: WindowId) -> (Vec<SealedWindow>, bool) {
        let is_whole = !self.sealed.iter().any(|window| window.id == known);
        let windows = self.sealed.iter().filter(|window| is_whole || window.id > known).cloned().collect();
        (windows, is_whole)
    }

    /// The windows of the sliding minute.
    pub fn last_windows(&self) -> Vec<SealedWindow> {
        self.sealed.iter().cloned().collect()
    }

    /// The sliding minute as it stands; nothing before the first window of this epoch is sealed.
    pub fn report(&self, of: u32, reservations: Reservations) -> Option<Report> {
        let newest = self.sealed.back().filter(|window| window.id.epoch == self.epoch)?;
        let mut all = Summary::merged();
        self.sealed.iter().for_each(|window| all.merge(&window.summary));
        let rows = all.clients();
        let mut clients: Vec<ClientLine> = Vec::new();
        for (index, (name, requests, least, most)) in rows.iter().take(TOP).enumerate() {
            // Its place is sure where neither neighbour's true count can be on its other side.
            let above = index.checked_sub(1).map(|above| rows[above].2);
            let below = rows.get(index + 1).map(|below| below.3).unwrap_or(0);
            let unsure = above.is_some_and(|least_above| least_above < *most) || below > *least;
            clients.push(ClientLine {
                name: name.clone(),
                requests: *requests,
                at_least: *least,
                at_most: *most,
                is_rank_unsure: unsure,
            });
        }
        Some(Report {
            id: newest.id,
            windows: self.sealed.len() as u32,
            window_millis: self.timing.window.as_millis() as u32,
            nodes: newest.nodes,
            nodes_least: self.sealed.iter().map(|window| window.nodes).min().unwrap_or(0),
            of,
            requests: all.requests(),
            error: all.error(),
            clients,
            reservations,
        })
    }
}
