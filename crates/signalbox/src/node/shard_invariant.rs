//! The invariant that no key stays without a holder: while endpoints are there that may hold keys, every free range is granted
//! within [`GRANTED_WITHIN`], and every revoked one is free within the longest hold and [`FREED_WITHIN`].

use std::collections::BTreeMap;
use std::time::Duration;
use timetable::shards::{Holding, KeyRange, ShardMap, certainly_over};
use trackbed::clock::Moment;

/// A plan is made several times a second, and a grant is one change of the log.
const GRANTED_WITHIN: Duration = Duration::from_secs(4);
/// What the log and the next look may take once a hold has certainly run out.
const FREED_WITHIN: Duration = Duration::from_secs(2);

/// A range that has been without a holder for too long.
#[derive(Clone, Debug, PartialEq)]
pub struct OverdueRange {
    /// The keys.
    pub range: KeyRange,
    /// How long it may be without one.
    pub limit: Duration,
}

/// The ranges of one service without a holder, and since when.
#[derive(Default)]
pub struct ShardInvariant {
    since: BTreeMap<(KeyRange, bool), Waiting>,
}

struct Waiting {
    since: Moment,
    is_told: bool,
}

impl ShardInvariant {
    /// Takes a look at the map; gives what has just become overdue.
    pub fn look(&mut self, map: &ShardMap, any_fit: bool, hold_max: Duration, now: Moment) -> Vec<OverdueRange> {
        if !any_fit {
            self.since.clear();
            return Vec::new();
        }
        let without_holder = map.shards().iter().filter_map(|shard| match shard.holding {
            Holding::Free { .. } => Some((shard.range, false)),
            Holding::Releasing { .. } => Some((shard.range, true)),
            Holding::Held { .. } => None,
        });
        let without_holder: Vec<(KeyRange, bool)> = without_holder.collect();
        self.since.retain(|key, _| without_holder.contains(key));
        let mut overdue = Vec::new();
        for key in without_holder {
            let limit = if key.1 { certainly_over(hold_max) + FREED_WITHIN } else { GRANTED_WITHIN };
            let waiting = self.since.entry(key).or_insert(Waiting { since: now, is_told: false });
            if !waiting.is_told && now.since(waiting.since) > limit {
                waiting.is_told = true;
                overdue.push(OverdueRange { range: key.0, limit });
            }
        }
        overdue
    }
}

#[cfg(test)]
#[path = "shard_invariant_tests.rs"]
mod tests;
