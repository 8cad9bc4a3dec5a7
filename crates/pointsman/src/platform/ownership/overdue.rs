//! The invariant that keys don't stay untold: what the ordered state gives to an endpoint that is there, it holds within
//! [`TAKEN_WITHIN`], as long as a primary vouches for the state.

use crate::node::Pointsman;
use crate::platform::Life;
use std::collections::BTreeMap;
use std::time::Duration;
use timetable::shards::KeyRange;
use trackbed::clock::Moment;

/// Several heartbeats, and a call that was lost.
const TAKEN_WITHIN: Duration = Duration::from_secs(6);

/// Keys that the endpoint is to hold and doesn't, by range and fence.
#[derive(Default)]
pub(super) struct Overdue {
    since: BTreeMap<(KeyRange, u64), Untaken>,
}

struct Untaken {
    since: Moment,
    is_counted: bool,
}

impl Overdue {
    /// Notes what is not held of what is assigned; gives what has just become overdue.
    fn note(&mut self, missing: &[(KeyRange, u64)], now: Moment) -> Vec<KeyRange> {
        self.since.retain(|key, _| missing.contains(key));
        let mut overdue = Vec::new();
        for key in missing {
            let untaken = self.since.entry(*key).or_insert(Untaken { since: now, is_counted: false });
            if !untaken.is_counted && now.since(untaken.since) > TAKEN_WITHIN {
                untaken.is_counted = true;
                overdue.push(key.0);
            }
        }
        overdue
    }
}

/// Checks the invariant. A violation is counted and logged once for each range.
pub(super) fn watch(node: &Pointsman, life: &Life, now: Moment) {
    let ownership = &node.platform.ownership;
    let is_vouched = ownership.vouched.get().is_some_and(|at| now.since(at) < TAKEN_WITHIN);
    let is_heard = now.since(life.heard) < TAKEN_WITHIN / 2;
    if !is_vouched || !is_heard || life.leaving {
        *ownership.overdue.borrow_mut() = Overdue::default();
        return;
    }
    let assigned = {
        let fleet = node.fleet.borrow();
        let assignment = fleet.shards(&life.instance.service).map(|shards| shards.assignment_of(&life.instance.id));
        assignment.unwrap_or_default().held
    };
    let granted = ownership.granted.borrow();
    let is_held = |range: KeyRange| granted.iter().flatten().any(|(held, until)| now < *until && held.covers(range));
    let missing: Vec<(KeyRange, u64)> =
        assigned.iter().filter(|row| !is_held(row.range)).map(|row| (row.range, row.fence)).collect();
    for range in ownership.overdue.borrow_mut().note(&missing, now) {
        node.metrics.keys.overdue();
        log::error!(
            "endpoint {} is to hold keys {range} and has not taken them for {} s",
            life.instance.id,
            TAKEN_WITHIN.as_secs()
        );
    }
}

#[cfg(test)]
#[path = "overdue_tests.rs"]
mod tests;
