//! The whole ordered state. Applying a change asks no clock but for how long history is kept.

use super::cells::CellGroup;
use super::changes::Change;
use borsh::{BorshDeserialize, BorshSerialize};
use std::collections::BTreeMap;
use std::time::Duration;
use timetable::fleet::{FleetFrame, FleetFrameBefore, FleetState};
use trackbed::clock::Moment;
use trackbed::ids::Zxid;

#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct LockRecord {
    pub holder: String,
    pub fence: u64,
    /// The longest hold granted. A new primary counts it from when it took over.
    pub hold_millis: u64,
}

#[derive(BorshSerialize, BorshDeserialize)]
struct LedgerFrame<F> {
    fleet: F,
    locks: BTreeMap<String, LockRecord>,
    last_fence: u64,
    numbers: BTreeMap<String, u64>,
    groups: BTreeMap<String, CellGroup>,
}

impl LedgerFrame<FleetFrame> {
    /// Reads it as it is now, or as it stood on disks before there were councils.
    fn read(state: &[u8]) -> borsh::io::Result<Self> {
        Self::try_from_slice(state).or_else(|error| {
            let before = LedgerFrame::<FleetFrameBefore>::try_from_slice(state).map_err(|_| error)?;
            let LedgerFrame { fleet, locks, last_fence, numbers, groups } = before;
            Ok(Self { fleet: fleet.into(), locks, last_fence, numbers, groups })
        })
    }
}

/// Invariant: the same changes in the same order make the same ledger on every node.
#[derive(Clone, Default)]
pub struct Ledger {
    pub fleet: FleetState,
    pub locks: BTreeMap<String, LockRecord>,
    /// Invariant: no fence given is above it.
    pub last_fence: u64,
    pub numbers: BTreeMap<String, u64>,
    pub groups: BTreeMap<String, CellGroup>,
    history: Duration,
}

impl Ledger {
    pub fn new(history: Duration) -> Self {
        // Twice the promise and more: what a watcher was told last is never forgotten too soon.
        Self { history: history * 5 / 2, ..Self::default() }
    }

    pub fn encode(&self) -> Vec<u8> {
        let frame = LedgerFrame {
            fleet: self.fleet.frame().clone(),
            locks: self.locks.clone(),
            last_fence: self.last_fence,
            numbers: self.numbers.clone(),
            groups: self.groups.clone(),
        };
        borsh::to_vec(&frame).expect("writing to memory can't fail")
    }

    pub fn decode(state: &[u8], history: Duration, now: Moment) -> borsh::io::Result<Self> {
        let mut ledger = Self::new(history);
        if state.is_empty() {
            return Ok(ledger);
        }
        let frame = LedgerFrame::read(state)?;
        ledger.fleet = FleetState::from_frame(frame.fleet);
        ledger.locks = frame.locks;
        ledger.last_fence = frame.last_fence;
        ledger.numbers = frame.numbers;
        ledger.groups = frame.groups;
        ledger.groups.values_mut().for_each(|group| group.restart_history(now));
        Ok(ledger)
    }

    pub fn apply(&mut self, zxid: Zxid, change: Change, now: Moment) {
        match change {
            Change::Fleet(change) => self.fleet.apply(zxid, change),
            Change::LockTaken { lock, holder, fence, hold_millis } => {
                let known = self.locks.get(&lock);
                assert!(
                    fence > self.last_fence
                        || known.is_some_and(|known| known.holder == holder && known.fence == fence),
                    "a fence is new, or its holder's own"
                );
                self.last_fence = self.last_fence.max(fence);
                self.locks.insert(lock, LockRecord { holder, fence, hold_millis });
            }
            Change::LockFreed { lock, fence } => {
                if self.locks.get(&lock).is_some_and(|known| known.fence == fence) {
                    self.locks.remove(&lock);
                }
            }
            Change::Number { name, value } => {
                let known = self.numbers.entry(name).or_insert(0);
                assert!(value > *known, "numbers only rise");
                *known = value;
            }
            Change::CellPut { name, value, revision } => {
                let group = group_of(&name).to_owned();
                self.groups.entry(group).or_default().put(name, value, revision, now, self.history);
            }
        }
    }
}

/// The part of a key's name up to its first dot.
pub fn group_of(name: &str) -> &str {
    match name.find('.') {
        Some(dot) => &name[..=dot],
        None => name,
    }
}
