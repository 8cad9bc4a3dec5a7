//! Which hour it is. Slots last by the steady clock; their labels come from the time of day that most of the core has.

use super::SLOT_MILLIS;
use std::collections::BTreeMap;
use std::time::Duration;
use trackbed::clock::Moment;
use trackbed::ids::NodeName;

/// A member's word on the time of day counts for so long.
const FRESH: Duration = Duration::from_secs(15);

/// The time of day as a majority of the core has it.
#[derive(Default)]
pub struct CoreTime {
    /// What each member's time of day was, and when it was heard.
    told: BTreeMap<NodeName, (u64, Moment)>,
}

impl CoreTime {
    pub fn heard(&mut self, from: &NodeName, wall_millis: u64, now: Moment) {
        self.told.insert(from.clone(), (wall_millis, now));
    }

    /// The median of what the members have; nothing while fewer than a majority were heard. Invariant: lies between
    /// the times of two members of any majority that is right.
    pub fn now(&mut self, members: usize, now: Moment) -> Option<u64> {
        self.told.retain(|_, (_, at)| now.since(*at) < FRESH);
        if self.told.len() * 2 <= members {
            return None;
        }
        let mut times: Vec<u64> =
            self.told.values().map(|(wall, at)| wall + now.since(*at).as_millis() as u64).collect();
        times.sort_unstable();
        Some(times[(times.len() - 1) / 2])
    }
}

/// The slot that is open. Invariant: labels only rise, and each is closed at most once.
#[derive(Clone, Copy, Debug, Default)]
pub struct SlotClock {
    open: Option<(u64, Moment)>,
}

fn left_of(label: u64, wall: u64) -> Duration {
    let left = ((label + 1) * SLOT_MILLIS).saturating_sub(wall);
    // The time of day corrects a slot's length a little, and never by much.
    Duration::from_millis(left.clamp(1000, SLOT_MILLIS * 3 / 2))
}

impl SlotClock {
    /// Moves on. `last`: the label of the last slot in the history. Returns the label of a slot that is over.
    pub fn step(&mut self, last: Option<u64>, wall: Option<u64>, now: Moment) -> Option<u64> {
        match self.open {
            None => {
                let wall = wall?;
                let label = wall / SLOT_MILLIS;
                let next = last.map(|last| last + 1).unwrap_or(label);
                // The last primary may have closed this hour already, by a clock a little ahead. More than that is a
                // time of day that went back: nothing is labelled until it has caught up.
                if label + 1 < next {
                    return None;
                }
                let label = label.max(next);
                self.open = Some((label, now + left_of(label, wall)));
                None
            }
            Some((label, end)) if now >= end => {
                let next = label + 1;
                let length = match wall {
                    // A core that stood still for hours leaves a gap behind.
                    Some(wall) if wall / SLOT_MILLIS > next => {
                        let label = wall / SLOT_MILLIS;
                        self.open = Some((label, now + left_of(label, wall)));
                        return Some(next - 1);
                    }
                    Some(wall) => left_of(next, wall).max(Duration::from_millis(SLOT_MILLIS / 2)),
                    None => Duration::from_millis(SLOT_MILLIS),
                };
                self.open = Some((next, now + length));
                Some(label)
            }
            Some(_) => None,
        }
    }
}
