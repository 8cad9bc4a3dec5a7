//! Where the keys of a sharded service belong: a pure planner, by the load that the fleet measured.

mod load;
mod planner;
#[cfg(test)]
mod tests;

pub use load::ServiceLoad;
pub use planner::{Endpoint, plan};
