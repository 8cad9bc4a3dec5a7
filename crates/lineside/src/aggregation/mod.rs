//! Counts gathered over the fleet: a node's summary of a window goes to a core node of its zone, what that
//! merged goes to the primary, which seals each window once, under its lease. Pure; the programs carry it.

mod clients;
mod collector;
mod messages;
mod report;
mod reservations;
mod sealer;
mod summary;
mod tally;
#[cfg(test)]
mod tests;

pub use clients::{OTHER, client_name};
pub use collector::{Collector, collector_for};
pub use messages::{Bucket, Counted, CountedTaken, NodeKey, Part, PartsTaken, SealedWindow, Standing, WindowId};
pub use report::{ClientLine, Report, ReportTold, Shown, client_changes, shown_json};
pub use reservations::{Reservation, Reservations};
pub use sealer::{Sealer, SealerTiming};
pub use summary::{Demand, MOST_ROUTES, Summary};
pub use tally::{Tally, TallyTiming};
