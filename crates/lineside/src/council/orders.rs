//! A coordinator's orders at the nodes of its region.

use super::messages::{Fence, Order};
use trackbed::clock::Moment;
use trackbed::ids::Zxid;

/// Invariant: an order is in force only while the core is not heard, and never after one of a higher fence.
#[derive(Default)]
pub struct OrderBook {
    highest: Fence,
    last: Option<(Order, Moment)>,
    /// Fences are not looked at, so that tests can show that they are needed.
    #[cfg(test)]
    pub unfenced: bool,
}

impl OrderBook {
    /// Takes an order, or says by which higher right it is refused. A node that hears the core follows the core.
    pub fn take(&mut self, order: Order, charter: Zxid, in_touch: bool, now: Moment) -> Result<(), Fence> {
        let lower = order.fence < self.highest || order.fence.charter < charter;
        let late =
            self.last.as_ref().is_some_and(|(last, _)| last.fence == order.fence && last.sequence >= order.sequence);
        let refused = lower || late;
        #[cfg(test)]
        let refused = refused && !self.unfenced;
        if in_touch || refused {
            return Err(self.highest);
        }
        self.highest = self.highest.max(order.fence);
        self.last = Some((order, now));
        Ok(())
    }

    /// The core speaks: what it says counts again.
    pub fn core_spoke(&mut self) {
        self.last = None;
    }

    pub fn in_force(&self) -> Option<&Order> {
        self.last.as_ref().map(|(order, _)| order)
    }

    pub fn heard(&self) -> Option<Moment> {
        self.last.as_ref().map(|(_, at)| *at)
    }
}
