//! The zones and regions of the fleet.

use trackbed::ids::{RegionName, ZoneName};

/// Which zones and regions there are.
#[derive(Clone, Copy)]
pub struct Places<'a> {
    /// Whether a zone is one of the fleet's.
    pub knows_zone: &'a dyn Fn(&ZoneName) -> bool,
    /// Whether a region is one of the fleet's.
    pub knows_region: &'a dyn Fn(&RegionName) -> bool,
}

impl Places<'static> {
    /// A fleet with every place that anybody names.
    pub const ANY: Self = Self { knows_zone: &|_| true, knows_region: &|_| true };
}
