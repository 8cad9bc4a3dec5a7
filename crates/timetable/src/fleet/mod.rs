//! The part of the ordered state that every node goes by, and the changes that make it.

mod beat;
mod changes;
mod state;

pub use beat::{Beat, Post};
pub use changes::{ConfigChange, FleetChange, Instance};
pub use state::{FleetFrame, FleetNews, FleetState};
