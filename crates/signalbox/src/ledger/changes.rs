//! One ordered change. The primary works out its effect, so that applying it is the same everywhere.

use super::history::{Plan, SlotRecord};
use borsh::{BorshDeserialize, BorshSerialize};
use timetable::fleet::FleetChange;

/// Bytes of an encoded `Change::Fleet` before the fleet's own change: the variant's number.
pub const FLEET_HEAD: usize = 1;

#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub enum Change {
    Fleet(FleetChange),
    /// The lock is the holder's. Invariant: a new holder's fence is above every fence before it.
    LockTaken {
        lock: String,
        holder: String,
        fence: u64,
        hold_millis: u64,
    },
    LockFreed {
        lock: String,
        fence: u64,
    },
    /// The number given. Invariant: above every number given under that name.
    Number {
        name: String,
        value: u64,
    },
    /// Invariant: the revision is the group's next.
    CellPut {
        name: String,
        value: String,
        revision: u64,
    },
    /// An hour of history. Invariant: the next.
    Slot(SlotRecord),
    /// Room to be kept in an hour to come.
    Plan(Plan),
}
