//! What callers counted as theirs, and the rules that it must keep.

use std::collections::BTreeMap;

/// A fence that a call brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FenceGiven {
    /// When the call was sent, in microseconds of the shared clock.
    pub sent: u64,
    /// When its answer was there.
    pub answered: u64,
    /// The fence.
    pub fence: u64,
}

/// A span in which a caller counted itself holder of a lock.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Hold {
    /// The lock's name.
    pub lock: String,
    /// The caller's name.
    pub holder: String,
    /// The fences given to it in this span, in the order of the answers.
    pub fences: Vec<FenceGiven>,
    /// From its first answer.
    pub from: u64,
    /// Until it gave the lock back or its time ran out.
    pub until: u64,
}

impl Hold {
    fn text(&self) -> String {
        let fences: Vec<u64> = self.fences.iter().map(|given| given.fence).collect();
        format!("{} with {fences:?} from {} until {}", self.holder, self.from, self.until)
    }
}

/// Everything that broke a rule, in words; nothing where all held.
pub fn violations(holds: &[Hold]) -> Vec<String> {
    let mut by_lock: BTreeMap<&str, Vec<&Hold>> = BTreeMap::new();
    for hold in holds {
        by_lock.entry(&hold.lock).or_default().push(hold);
    }
    by_lock.into_values().flat_map(violations_of_one_lock).collect()
}

fn violations_of_one_lock(mut holds: Vec<&Hold>) -> Vec<String> {
    holds.sort_by_key(|hold| hold.from);
    let mut found = Vec::new();
    for (index, one) in holds.iter().enumerate() {
        for other in holds[index + 1..].iter().filter(|other| other.holder != one.holder) {
            if other.from < one.until {
                let millis = (one.until.min(other.until) - other.from) / 1000;
                let lock = &one.lock;
                found.push(format!("ONE: {lock} has two holders for {millis} ms: {}; {}", one.text(), other.text()));
            }
            found.extend(fence_not_rising(one, other));
            found.extend(fence_not_rising(other, one));
        }
    }
    found
}

/// A fence of `later` that isn't above one that `earlier` had been given before the call was sent.
fn fence_not_rising(earlier: &Hold, later: &Hold) -> Option<String> {
    let is_wrong = |before: &FenceGiven, after: &FenceGiven| {
        before.fence == after.fence || (before.answered < after.sent && before.fence > after.fence)
    };
    let wrong = later.fences.iter().find(|after| earlier.fences.iter().any(|before| is_wrong(before, after)))?;
    Some(format!("ONE: {} gave fence {}: {}; {}", earlier.lock, wrong.fence, earlier.text(), later.text()))
}

#[cfg(test)]
#[path = "history_tests.rs"]
mod tests;
