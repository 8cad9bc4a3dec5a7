//! Tells of bad input, at a bounded rate however much of it comes.

use std::cell::Cell;
use std::fmt::Display;
use std::time::Duration;
use trackbed::clock::{self, Moment};
use trackbed::net::FrameError;

const EVERY: Duration = Duration::from_secs(10);

/// Counts what is wrong with messages that come in, and logs some of it.
#[derive(Default)]
pub struct Complaints {
    told: Cell<Option<Moment>>,
    held_back: Cell<u64>,
}

impl Complaints {
    /// Logs what was wrong with a peer's bytes, or counts it. A stream that ended is no fault.
    pub fn tell_of_stream(&self, error: &FrameError) {
        if !matches!(error, FrameError::Closed | FrameError::Io(_)) {
            self.tell(error);
        }
    }

    /// Logs what was wrong, or counts it.
    pub fn tell(&self, error: &dyn Display) {
        if self.is_due(clock::now()) {
            let held_back = self.held_back.replace(0);
            log::warn!("{error} ({held_back} more since the last such line)");
        }
    }

    pub(super) fn is_due(&self, now: Moment) -> bool {
        if self.told.get().is_some_and(|told| now.since(told) < EVERY) {
            self.held_back.set(self.held_back.get() + 1);
            return false;
        }
        self.told.set(Some(now));
        true
    }
}
