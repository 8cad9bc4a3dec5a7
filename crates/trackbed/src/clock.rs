//! The steady clock. Nothing in the system decides by the time of day.

use nix::time::{ClockId, clock_gettime};
use std::ops::{Add, Sub};
use std::sync::OnceLock;
use std::time::Duration;

/// A point on this process's steady clock.
/// Invariant: never sent to another process and compared there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Moment(pub u64);

impl Moment {
    /// The point so many microseconds after the clock's origin.
    pub fn from_micros(micros: u64) -> Self {
        Self(micros)
    }
    /// Microseconds since the clock's origin.
    pub fn micros(self) -> u64 {
        self.0
    }
    /// The time since an earlier moment, zero when it is later.
    pub fn since(self, earlier: Moment) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
    /// What is left until a later moment, zero when it has passed.
    pub fn until(self, later: Moment) -> Duration {
        later.since(self)
    }
}

impl Add<Duration> for Moment {
    type Output = Moment;
    fn add(self, span: Duration) -> Moment {
        Moment(self.0.saturating_add(span.as_micros() as u64))
    }
}

impl Sub<Duration> for Moment {
    type Output = Moment;
    fn sub(self, span: Duration) -> Moment {
        Moment(self.0.saturating_sub(span.as_micros() as u64))
    }
}

static START: OnceLock<Duration> = OnceLock::new();

/// Now, counted from a second before the first call, so that "before the start" can be said. The clock goes on while
/// the machine is suspended: a lease that ran out meanwhile must not seem to hold.
pub fn now() -> Moment {
    let now = since_boot();
    let start = *START.get_or_init(|| now);
    Moment(1_000_000 + now.saturating_sub(start).as_micros() as u64)
}

fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME).or_else(|_| clock_gettime(ClockId::CLOCK_MONOTONIC));
    time.map(Duration::from).unwrap_or_default()
}
