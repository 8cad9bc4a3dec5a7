//! Whether this process stood still: stopped by a signal, on a suspended machine, or on one too busy to run it.

use std::time::Duration;
use trackbed::clock::Moment;

/// Turns of the loop come several times as often. A caller of the control API waits little longer.
const STALL_AFTER: Duration = Duration::from_millis(500);

/// Looks at the time between two turns of the loop.
#[derive(Debug)]
pub struct StallWatch {
    last_turn: Moment,
}

impl StallWatch {
    /// A watch whose first turn is now.
    pub fn new(now: Moment) -> Self {
        Self { last_turn: now }
    }

    /// Notes a turn; gives the time since the last one where the process stood still meanwhile.
    pub fn note_turn(&mut self, now: Moment) -> Option<Duration> {
        let pause = now.since(self.last_turn);
        self.last_turn = now;
        (pause >= STALL_AFTER).then_some(pause)
    }
}

#[cfg(test)]
#[path = "stall_tests.rs"]
mod tests;
