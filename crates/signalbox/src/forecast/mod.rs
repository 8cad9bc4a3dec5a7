//! How busy each route is going to be, and the room that is kept for it. Pure; the node carries it.

mod clock;
mod forecaster;
mod model;
mod plan;
mod series;
#[cfg(test)]
mod tests;

pub use forecaster::Forecaster;
use model::{Forecast, Outlook, foresee};
pub use plan::Capacity;
use series::{Gathered, series_of};

/// One slot of history, and one hour of a forecast.
pub const SLOT_MILLIS: u64 = 3_600_000;
/// Slots in a week.
pub const WEEK: usize = 168;
/// Names the series of a service's routes that are not told by name.
pub const REST: &str = "";
