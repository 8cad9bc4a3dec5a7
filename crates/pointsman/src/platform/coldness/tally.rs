//! What went out to one endpoint, by what was known of it.

use super::Warmth;

/// Counts since they were last taken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ColdTally {
    /// Requests that went out while nothing was known.
    pub unknown: u64,
    /// Requests that went out while the endpoint was cold.
    pub cold: u64,
    /// Requests that went out while it was warm.
    pub warm: u64,
    /// Requests that were held back, or turned away for that.
    pub held_back: u64,
    /// Requests of the busiest second in which the endpoint was not known to be warm.
    pub busiest_second: u64,
    /// Times at which that was above the ceiling: a violated invariant.
    pub violations: u64,
}

impl ColdTally {
    /// Takes in a request that goes out with `within` others of this sender in the last second.
    pub(super) fn went_out(&mut self, warmth: Warmth, within: usize, ceiling: usize) {
        match warmth {
            Warmth::Unknown => self.unknown += 1,
            Warmth::Cold => self.cold += 1,
            Warmth::Warm => {
                self.warm += 1;
                return;
            }
        }
        self.busiest_second = self.busiest_second.max(within as u64);
        if within > ceiling {
            self.violations += 1;
        }
    }
}
