//! Small keys in groups, with the history that watches and repeated puts need.

use borsh::{BorshDeserialize, BorshSerialize};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use trackbed::clock::Moment;

#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct Event {
    pub name: String,
    pub value: String,
    pub revision: u64,
}

/// Invariants: `events` rise by revision without a gap from `floor` up to `revision`;
/// every cell's revision is at most the group's.
#[derive(Clone, Debug, Default, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct CellGroup {
    pub revision: u64,
    /// Up to here events are forgotten.
    pub floor: u64,
    pub cells: BTreeMap<String, (String, u64)>,
    events: VecDeque<Event>,
    /// When each event was applied here. Counted anew after a restart, so that none goes too soon.
    #[borsh(skip)]
    applied: VecDeque<Moment>,
}

impl CellGroup {
    pub fn put(&mut self, name: String, value: String, revision: u64, now: Moment, history: Duration) {
        assert_eq!(revision, self.revision + 1, "a group's revisions have no gap");
        self.revision = revision;
        self.cells.insert(name.clone(), (value.clone(), revision));
        self.events.push_back(Event { name, value, revision });
        while self.applied.len() < self.events.len() {
            self.applied.push_back(now);
        }
        self.prune(now, history);
    }

    fn prune(&mut self, now: Moment, history: Duration) {
        while self.applied.front().is_some_and(|at| now.since(*at) > history) && self.events.len() > 1 {
            self.applied.pop_front();
            if let Some(event) = self.events.pop_front() {
                self.floor = event.revision;
            }
        }
    }

    pub fn restart_history(&mut self, now: Moment) {
        self.applied = std::iter::repeat_n(now, self.events.len()).collect();
    }

    /// The revision that this very value got under this key, as far back as history goes.
    pub fn revision_of(&self, name: &str, value: &str) -> Option<u64> {
        if let Some((current, revision)) = self.cells.get(name)
            && current == value
        {
            return Some(*revision);
        }
        self.events.iter().find(|event| event.name == name && event.value == value).map(|event| event.revision)
    }

    /// Events above a revision; `None` when some of them are forgotten.
    pub fn after(&self, revision: u64) -> Option<impl Iterator<Item = &Event>> {
        if revision < self.floor {
            return None;
        }
        let start = self.events.partition_point(|event| event.revision <= revision);
        Some(self.events.range(start..))
    }
}
