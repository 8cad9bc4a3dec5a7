//! For how long an emulated endpoint is cold, and whether it bears what it gets meanwhile.

use super::Endpoint;
use super::events::{Event, shared_micros};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;

const SECOND_MICROS: u64 = 1_000_000;
/// The status with which a process ends that fell over.
const FELL_OVER: i32 = 3;

/// Coldness of one life. All times are on the shared clock.
#[derive(Default)]
pub(super) struct Coldness {
    until: Cell<u64>,
    /// Arrivals within the last second. Invariant: they rise.
    arrivals: RefCell<VecDeque<u64>>,
}

impl Coldness {
    /// Seconds for which it is still cold.
    pub(super) fn remaining_seconds(&self, now: u64) -> f64 {
        self.until.get().saturating_sub(now) as f64 / SECOND_MICROS as f64
    }

    /// Takes in an arrival; how many came within the last second, where it is cold.
    fn arrived(&self, now: u64) -> Option<usize> {
        if now >= self.until.get() {
            return None;
        }
        let mut arrivals = self.arrivals.borrow_mut();
        arrivals.push_back(now);
        while arrivals.front().is_some_and(|at| at + SECOND_MICROS < now) {
            arrivals.pop_front();
        }
        Some(arrivals.len())
    }
}

impl Endpoint {
    /// It is cold from now on.
    pub(super) fn turn_cold(&self) {
        let Some(cold) = self.settings.cold else { return };
        let at = shared_micros();
        let until = at + (cold.cold_start_s * SECOND_MICROS as f64) as u64;
        self.coldness.until.set(until);
        Event::Cold { at, life: self.life.clone(), until }.tell();
    }

    /// Counts a request that has arrived for this life; ends the process where that is more than it bears.
    pub(super) fn bear_one_more(&self, now: u64) {
        let (Some(cold), Some(arrivals)) = (self.settings.cold, self.coldness.arrived(now)) else { return };
        if arrivals > cold.falls_over_above {
            Event::FellOver { at: now, life: self.life.clone() }.tell();
            std::process::exit(FELL_OVER);
        }
    }
}
