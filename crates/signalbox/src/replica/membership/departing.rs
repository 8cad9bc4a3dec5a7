//! Members that are about to end, as the primary remembers them.

use super::hand_over::HAND_OVER_LIMIT;
use interlocking::zab::Voter;
use std::collections::BTreeMap;
use std::time::Duration;
use trackbed::clock::Moment;
use trackbed::ids::MemberId;

/// How long a member still counts as in step after its end.
const SEEN_AFTER_END: Duration = Duration::from_millis(1100);
/// How long a member that asked to be released gets no vote: until it is gone and seen to be, or has begun anew.
const REMEMBERED_FOR: Duration = HAND_OVER_LIMIT.saturating_add(SEEN_AFTER_END);

/// Members that asked to be released. One that was let go and has not ended yet is in step, like a newcomer.
#[derive(Default)]
pub struct Departing {
    until: BTreeMap<MemberId, Moment>,
}

impl Departing {
    /// A member asks to be released.
    pub fn note(&mut self, member: MemberId, now: Moment) {
        self.until.retain(|_, until| now < *until);
        self.until.insert(member, now + REMEMBERED_FOR);
    }

    /// Whether a member is about to end.
    pub fn includes(&self, voter: &Voter, now: Moment) -> bool {
        self.until.get(&voter.id).is_some_and(|until| now < *until)
    }
}
