//! The part of the ordered state that every node goes by, and the changes that make it.

mod changes;
mod state;

pub use changes::{ConfigChange, FleetChange, Instance};
pub use state::{FleetFrame, FleetNews, FleetState};
