//! The state that Zab orders: the fleet, and the locks, numbers and keys of the applications.

mod cells;
mod changes;
mod history;
mod state;

pub use changes::Change;
pub use history::{History, MOST_SERIES, Plan, PlannedService, SlotLine, SlotRecord};
pub use state::{Ledger, group_of};
