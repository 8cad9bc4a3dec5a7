//! How an endpoint does, by what requests show. What it says of its own health is not asked: it may
//! be wrong either way, and a probe costs a slot.

use std::cell::Cell;
use std::time::Duration;
use trackbed::clock::Moment;

/// Weight of failures in a row at which an endpoint is set aside.
const TOO_MANY: u32 = 4;
const SHORTEST_ASIDE: Duration = Duration::from_millis(400);
const LONGEST_ASIDE: Duration = Duration::from_secs(3);
const SHORTEST_UNREACHABLE: Duration = Duration::from_millis(250);
const LONGEST_UNREACHABLE: Duration = Duration::from_secs(2);

/// What one request showed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sign {
    Well,
    /// It answered, and said that it failed or would not run it.
    Declined,
    /// No answer that can be read, or none for far longer than usual.
    Broken,
    /// No connection.
    Unreachable,
}

/// Invariants: `row` counts what went wrong since something went well; an endpoint is set aside for a
/// bounded time, longer each time, and then tried with one request.
#[derive(Debug, Default)]
pub struct Health {
    row: Cell<u32>,
    /// How often in a row it was set aside.
    times: Cell<u32>,
    aside_until: Cell<Moment>,
    unreachable: Cell<u32>,
}

impl Health {
    pub fn shows(&self, sign: Sign, now: Moment) {
        match sign {
            Sign::Well => {
                self.row.set(0);
                self.times.set(0);
                self.unreachable.set(0);
                self.aside_until.set(Moment::default());
            }
            Sign::Declined => self.weigh(1, now),
            Sign::Broken => self.weigh(2, now),
            Sign::Unreachable => {
                let span = SHORTEST_UNREACHABLE * (1 << self.unreachable.get().min(4));
                self.unreachable.set(self.unreachable.get() + 1);
                self.aside_until.set(now + span.min(LONGEST_UNREACHABLE));
            }
        }
    }

    fn weigh(&self, weight: u32, now: Moment) {
        self.row.set(self.row.get() + weight);
        if self.row.get() >= TOO_MANY && now >= self.aside_until.get() {
            let span = SHORTEST_ASIDE * (1 << self.times.get().min(4));
            self.times.set(self.times.get() + 1);
            self.aside_until.set(now + span.min(LONGEST_ASIDE));
        }
    }

    pub fn is_aside(&self, now: Moment) -> bool {
        now < self.aside_until.get()
    }

    /// It was set aside and has not done well since: one request at a time.
    pub fn is_on_trial(&self) -> bool {
        self.times.get() > 0 || self.unreachable.get() > 0
    }

    /// It spoke of itself: it can be reached again, however it does.
    pub fn spoke(&self) {
        self.unreachable.set(0);
        if self.times.get() == 0 {
            self.aside_until.set(Moment::default());
        }
    }

    pub fn start_anew(&self) {
        self.shows(Sign::Well, Moment::default());
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_outlier_gets_nothing_then_a_trickle_until_it_proves_itself() {
        let health = Health::default();
        let mut now = Moment::from_micros(1_000_000);
        health.shows(Sign::Broken, now);
        assert!(!health.is_aside(now) && !health.is_on_trial());
        health.shows(Sign::Broken, now);
        assert!(health.is_aside(now) && health.is_on_trial());
        let mut longest = Duration::ZERO;
        for _ in 0..8 {
            let begun = now;
            while health.is_aside(now) {
                now = now + Duration::from_millis(10);
            }
            longest = longest.max(now.since(begun));
            health.shows(Sign::Broken, now);
        }
        assert!(longest > SHORTEST_ASIDE * 4 && longest <= LONGEST_ASIDE + Duration::from_millis(10));
        health.shows(Sign::Well, now);
        assert!(!health.is_aside(now) && !health.is_on_trial());
        // A failure now and then sets nobody aside.
        for _ in 0..50 {
            health.shows(Sign::Declined, now);
            health.shows(Sign::Well, now);
        }
        assert!(!health.is_aside(now));
    }
}
