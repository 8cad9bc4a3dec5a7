//! The state that Zab orders: the fleet, and the locks, numbers and keys of the applications.

mod cells;
mod changes;
mod history;
mod refusal;
mod snapshot;
mod state;
#[cfg(test)]
mod tests;

pub use changes::Change;
pub use history::{History, MOST_SERIES, Plan, PlannedService, SlotLine, SlotRecord};
pub use refusal::Refusal;
pub use snapshot::LogGrowth;
pub use state::{Ledger, LockRecord, group_of};
