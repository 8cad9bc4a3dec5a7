//! Counts of the work done for configuration changes, so that tests can hold its bounds without a clock.

use std::cell::Cell;

/// Work done on one thread since it began.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Work {
    /// Items whose JSON text was parsed into a typed value.
    pub items_parsed: u64,
    /// Items copied from one configuration into another.
    pub items_copied: u64,
    /// Routes put into a lookup table, or taken out of one.
    pub routes_placed: u64,
    /// Routes whose digest was computed.
    pub routes_digested: u64,
    /// Values that were encoded and packed.
    pub values_packed: u64,
}

thread_local! {
    static WORK: Cell<Work> = const { Cell::new(Work {
        items_parsed: 0,
        items_copied: 0,
        routes_placed: 0,
        routes_digested: 0,
        values_packed: 0,
    }) };
}

impl Work {
    /// What this thread has done so far.
    pub fn so_far() -> Self {
        WORK.get()
    }

    /// What this thread has done since an earlier reading.
    pub fn since(earlier: Self) -> Self {
        let now = Self::so_far();
        Self {
            items_parsed: now.items_parsed - earlier.items_parsed,
            items_copied: now.items_copied - earlier.items_copied,
            routes_placed: now.routes_placed - earlier.routes_placed,
            routes_digested: now.routes_digested - earlier.routes_digested,
            values_packed: now.values_packed - earlier.values_packed,
        }
    }

    pub(crate) fn record(count: impl FnOnce(&mut Self)) {
        let mut work = WORK.get();
        count(&mut work);
        WORK.set(work);
    }
}
