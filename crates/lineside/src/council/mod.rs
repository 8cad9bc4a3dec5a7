//! One in charge of a region that can't reach the core: a lease that a majority of the region's council
//! granted. The council itself is ordered by the core.

mod lease;
mod messages;
mod orders;
#[cfg(test)]
mod tests;

pub use lease::{Council, CouncilAction, CouncilTiming};
pub use messages::{Fact, Fence, Grant, GrantAsk, Order};
pub use orders::OrderBook;
