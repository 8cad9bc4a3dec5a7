//! Whether a majority stands behind this member.
//!
//! A member without one may hold an old state. Whatever is answered from the committed state here, and not by the
//! primary, is refused once that has lasted: the caller goes on to another member.

use derive_more::Display;
use std::time::Duration;
use trackbed::clock::Moment;

/// An election takes less. Without a majority for so long, a member counts as cut off.
const CUT_OFF_AFTER: Duration = Duration::from_secs(2);

/// What is told of it in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum MajorityChange {
    #[display("no majority for 2 s: calls are answered 503 here")]
    Lost,
    #[display("a majority stands behind this member again")]
    Regained,
}

#[derive(Debug)]
pub struct Majority {
    last_seen: Moment,
    is_lost: bool,
}

impl Majority {
    pub fn new(now: Moment) -> Self {
        Self { last_seen: now, is_lost: false }
    }

    /// Takes a look at the present state; says what has changed for long.
    pub fn note(&mut self, has_majority: bool, now: Moment) -> Option<MajorityChange> {
        let was_lost = self.is_lost;
        if has_majority {
            *self = Self::new(now);
            return was_lost.then_some(MajorityChange::Regained);
        }
        self.is_lost = now.since(self.last_seen) > CUT_OFF_AFTER;
        (self.is_lost && !was_lost).then_some(MajorityChange::Lost)
    }

    pub fn is_cut_off(&self) -> bool {
        self.is_lost
    }
}

#[cfg(test)]
#[path = "majority_tests.rs"]
mod tests;
