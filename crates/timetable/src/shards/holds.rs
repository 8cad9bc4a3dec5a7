//! For how long keys may be granted, and when a grant that nobody ended is certainly over.
//!
//! Argument: a node renews a hold only by a state that a primary vouched for under its lease, and counts from the moment
//! it asked for that word. A word that was asked for before a revocation was committed may lead to holds that end `hold_max` after the
//! ask, on the endpoint's clock; a word asked for later shows the revocation. So `certainly_over` after a primary saw
//! the revocation committed no hold that rests on an earlier state is left, whoever was frozen or cut off meanwhile.

use std::time::Duration;
use trackbed::clock::Moment;

/// An endpoint's clock may run this much slower than ours: 2%, and 1% between our own.
const CLOCK_ALLOWANCE: f64 = 0.03;
/// Kept back of every hold, for what lies between a node's clock reading and the answer on the wire.
const HOLD_MARGIN: Duration = Duration::from_millis(200);
/// Waited beyond the longest hold.
const EXPIRY_MARGIN: Duration = Duration::from_millis(700);
/// A hold that would be shorter is not renewed.
const SHORTEST_HOLD: Duration = Duration::from_millis(300);

/// For how long an endpoint may hold its keys from `now` on, by a word that was asked for at `vouched`.
pub fn renewable_for(vouched: Moment, now: Moment, hold_max: Duration) -> Option<Duration> {
    let until = vouched + hold_max.saturating_sub(HOLD_MARGIN);
    Some(now.until(until)).filter(|hold| *hold >= SHORTEST_HOLD)
}

/// How long after its revocation was seen committed a hold is certainly over.
pub fn certainly_over(hold_max: Duration) -> Duration {
    hold_max.mul_f64(1.0 + CLOCK_ALLOWANCE) + EXPIRY_MARGIN
}
