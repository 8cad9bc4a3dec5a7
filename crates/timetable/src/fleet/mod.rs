//! The part of the ordered state that every node goes by, and the changes that make it.

mod beat;
mod changes;
mod evacuations;
mod state;
mod tail;

pub use beat::{Beat, Post};
pub use changes::{Charter, ConfigChange, FleetChange, Instance, Member};
pub use evacuations::Evacuations;
pub use state::{
    FleetNews, FleetSnapshot, FleetSnapshotBefore, FleetSnapshotBeforeEvacuations, FleetSnapshotBeforeFences,
    FleetSnapshotBeforeShards, FleetState,
};
