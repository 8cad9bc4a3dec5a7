//! What was asked of each route, hour by hour, for some weeks; and the plan made of it.

use borsh::{BorshDeserialize, BorshSerialize};
use lineside::aggregation::Reservation;
use std::collections::{BTreeMap, HashMap, VecDeque};

/// Slots kept: six weeks of hours.
const MOST_SLOTS: usize = 6 * 168;
/// Names kept. Where routes come and go so fast that there are more, the oldest slots go first.
const MOST_NAMES: usize = 4096;
const MANY_NAMES: usize = 1024;
/// Series in one slot.
pub const MOST_SERIES: usize = 128;

/// One series of one slot.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct SlotLine {
    pub service: String,
    /// Empty for the service's routes that are not told by name.
    pub route: String,
    pub requests: u64,
    /// Requests × the time that one took at an endpoint.
    pub work_millis: u64,
}

/// One slot, as it is ordered.
#[derive(Clone, Debug, Default, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct SlotRecord {
    /// Invariant: one above the last record's.
    pub number: u64,
    /// Hours since 1970, as most of the core had it. Invariant: above the last record's.
    pub label: u64,
    /// How much of the fleet and of the slot was counted, in thousandths.
    pub coverage: u32,
    /// Invariant: `MOST_SERIES` at most.
    pub lines: Vec<SlotLine>,
    /// Who asked most, where anybody stood out.
    pub driver: Option<String>,
}

#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
struct KeptSlot {
    number: u64,
    label: u64,
    coverage: u32,
    /// Series by its place in `names`, requests, work in milliseconds.
    lines: Vec<(u16, u32, u32)>,
    driver: Option<String>,
}

/// Invariants: labels and numbers rise; `MOST_SLOTS` and `MOST_NAMES` at most; every line's name is there.
#[derive(Clone, Debug, Default, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct History {
    names: Vec<(String, String)>,
    slots: VecDeque<KeptSlot>,
    last_number: u64,
}

/// The room that is kept in one hour.
#[derive(Clone, Debug, Default, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct Plan {
    /// Hours since 1970.
    pub hour: u64,
    pub services: Vec<PlannedService>,
}

#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct PlannedService {
    pub reservation: Reservation,
    /// Requests on urgent routes in the hour, at least, by the forecast: far fewer give the room back.
    pub urgent_least: u64,
}

impl History {
    pub fn last_label(&self) -> Option<u64> {
        self.slots.back().map(|slot| slot.label)
    }

    pub fn last_number(&self) -> u64 {
        self.last_number
    }

    pub fn slot_count(&self) -> usize {
        self.slots.len()
    }

    /// Whether a record is the next.
    pub fn follows(&self, record: &SlotRecord) -> bool {
        record.number == self.last_number + 1 && self.last_label().is_none_or(|last| record.label > last)
    }

    pub fn push(&mut self, record: SlotRecord) {
        assert!(self.follows(&record), "slots only move on, and none is counted twice");
        let mut places: HashMap<(String, String), u16> =
            self.names.iter().enumerate().map(|(place, name)| (name.clone(), place as u16)).collect();
        let small = |number: u64| number.min(u32::MAX as u64) as u32;
        let mut lines = Vec::with_capacity(record.lines.len().min(MOST_SERIES));
        for line in record.lines.into_iter().take(MOST_SERIES) {
            let name = (line.service, line.route);
            let names = &mut self.names;
            let place = *places.entry(name).or_insert_with_key(|name| {
                names.push(name.clone());
                names.len() as u16 - 1
            });
            lines.push((place, small(line.requests), small(line.work_millis)));
        }
        let SlotRecord { number, label, coverage, driver, .. } = record;
        self.last_number = number;
        self.slots.push_back(KeptSlot { number, label, coverage, lines, driver });
        while self.slots.len() > MOST_SLOTS {
            self.slots.pop_front();
        }
        if self.names.len() > MANY_NAMES && number.is_multiple_of(24) {
            self.forget_unused_names();
        }
        while self.names.len() > MOST_NAMES && self.slots.len() > 1 {
            self.slots.drain(..24.min(self.slots.len() - 1));
            self.forget_unused_names();
        }
    }

    /// Names in use keep their order, so that every node holds the same.
    fn forget_unused_names(&mut self) {
        let mut places: BTreeMap<u16, u16> = BTreeMap::new();
        places.extend(self.slots.iter().flat_map(|slot| &slot.lines).map(|(place, _, _)| (*place, 0)));
        let mut names = Vec::with_capacity(places.len());
        for (before, after) in places.iter_mut() {
            *after = names.len() as u16;
            names.push(self.names[*before as usize].clone());
        }
        for slot in &mut self.slots {
            slot.lines.iter_mut().for_each(|(place, _, _)| *place = places[place]);
        }
        self.names = names;
    }

    pub fn names(&self) -> &[(String, String)] {
        &self.names
    }

    /// Slot by slot: label, coverage in thousandths, and lines by place in `names`.
    pub fn slots(&self) -> impl DoubleEndedIterator<Item = (u64, u32, &[(u16, u32, u32)])> {
        self.slots.iter().map(|slot| (slot.label, slot.coverage, slot.lines.as_slice()))
    }

    pub fn driver_at(&self, label: u64) -> Option<&str> {
        self.slots.iter().rev().find(|slot| slot.label == label).and_then(|slot| slot.driver.as_deref())
    }
}
