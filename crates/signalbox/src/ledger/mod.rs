//! The state that Zab orders: the fleet, and the locks, numbers and keys of the applications.

mod cells;
mod changes;
mod state;

pub use changes::Change;
pub use state::{Ledger, group_of};
