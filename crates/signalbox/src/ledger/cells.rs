//! Small keys in groups, with the history that watches and repeated puts need.

use borsh::{BorshDeserialize, BorshSerialize};
use std::io::{self, Read, Write};
use std::time::Duration;
use timetable::shared::SharedMap;
use trackbed::clock::Moment;

#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct Event {
    pub name: String,
    pub value: String,
    pub revision: u64,
}

/// An event with the time when it was applied here.
#[derive(Clone, Debug, PartialEq)]
struct AppliedEvent {
    event: Event,
    applied: Moment,
}

/// Events by revision. Encoded as a list of events, without the times of this node.
#[derive(Clone, Debug, Default, PartialEq)]
struct EventHistory(SharedMap<u64, AppliedEvent>);

impl EventHistory {
    fn push(&mut self, event: Event, applied: Moment) {
        self.0.insert(event.revision, AppliedEvent { event, applied });
    }

    /// Forgets the oldest event if it is too old and not the last; its revision then.
    fn forget_one(&mut self, now: Moment, history: Duration) -> Option<u64> {
        let (revision, oldest) = self.0.first()?;
        let revision = *revision;
        if self.0.len() == 1 || now.since(oldest.applied) <= history {
            return None;
        }
        self.0.remove(&revision);
        Some(revision)
    }

    fn iter(&self) -> impl Iterator<Item = &Event> {
        self.0.values().map(|applied| &applied.event)
    }
}

impl BorshSerialize for EventHistory {
    fn serialize<W: Write>(&self, writer: &mut W) -> io::Result<()> {
        let count = u32::try_from(self.0.len()).map_err(|_| io::ErrorKind::InvalidData)?;
        count.serialize(writer)?;
        self.iter().try_for_each(|event| event.serialize(writer))
    }
}

impl BorshDeserialize for EventHistory {
    fn deserialize_reader<R: Read>(reader: &mut R) -> io::Result<Self> {
        let count = u32::deserialize_reader(reader)?;
        let mut events = Self::default();
        for _ in 0..count {
            events.push(Event::deserialize_reader(reader)?, Moment::from_micros(0));
        }
        Ok(events)
    }
}

/// Copies share their structure. Invariants: `events` rise by revision without a gap from `floor` up to
/// `revision`; every cell's revision is at most the group's.
#[derive(Clone, Debug, Default, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct CellGroup {
    pub revision: u64,
    /// Up to here events are forgotten.
    pub floor: u64,
    pub cells: SharedMap<String, (String, u64)>,
    events: EventHistory,
}

impl CellGroup {
    pub fn put(&mut self, name: String, value: String, revision: u64, now: Moment, history: Duration) {
        assert_eq!(revision, self.revision + 1, "a group's revisions have no gap");
        self.revision = revision;
        self.cells.insert(name.clone(), (value.clone(), revision));
        self.events.push(Event { name, value, revision }, now);
        while let Some(forgotten) = self.events.forget_one(now, history) {
            self.floor = forgotten;
        }
    }

    /// Counts the age of every event anew, so that none goes too soon after a restart.
    pub fn restart_history(&mut self, now: Moment) {
        let events = std::mem::take(&mut self.events);
        events.iter().for_each(|event| self.events.push(event.clone(), now));
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
        let after = self.events.0.range(revision.saturating_add(1)..);
        Some(after.map(|(_, applied)| &applied.event))
    }
}
