//! How a member leaves in order, so that nothing acknowledged is lost with it.

use interlocking::zab::{Voter, Zab};
use std::time::Duration;
use trackbed::clock::Moment;
use trackbed::ids::{MemberId, Zxid};

/// How long a member that leaves waits until the others have all that it has.
pub const HAND_OVER_LIMIT: Duration = Duration::from_millis(1500);
/// How long one ask to the primary may take: it may be the one that was lost, and another may lead by then.
pub(super) const ASK_LIMIT: Duration = Duration::from_millis(300);
/// Between two looks at whether they have.
pub const HAND_OVER_PAUSE: Duration = Duration::from_millis(20);

/// What a member that leaves does next.
#[derive(Clone, Debug, PartialEq)]
pub enum HandOverStep {
    /// It is the primary itself: it sees to its own departure within the limit.
    ReleaseHere { limit: Duration },
    /// The primary is to see to it within the limit.
    AskPrimary { primary: Voter, limit: Duration },
    /// No primary is known just now: to be looked at again after a pause.
    Wait,
    /// It has no vote, so nothing rests on it.
    NotNeeded,
    /// The time is up, and the others are not known to have everything.
    GiveUp,
}

/// A leaving member's side of its hand-over.
pub struct HandOver {
    member: MemberId,
    end: Moment,
}

impl HandOver {
    pub fn begin(member: MemberId, now: Moment) -> Self {
        Self { member, end: now + HAND_OVER_LIMIT }
    }

    /// What to do, given the primary as far as it is known and whether this member votes.
    pub fn next(&self, primary: Option<Voter>, is_voter: bool, now: Moment) -> HandOverStep {
        if now >= self.end {
            return HandOverStep::GiveUp;
        }
        if !is_voter {
            return HandOverStep::NotNeeded;
        }
        let limit = now.until(self.end);
        match primary {
            None => HandOverStep::Wait,
            Some(primary) if primary.id == self.member => HandOverStep::ReleaseHere { limit },
            Some(primary) => HandOverStep::AskPrimary { primary, limit: limit.min(ASK_LIMIT) },
        }
    }
}

/// What the primary does next about a member that leaves.
#[derive(Clone, Debug, PartialEq)]
pub enum DepartureStep {
    /// The member may end.
    Released,
    /// These are to be the voters.
    ChangeVoters(Vec<Voter>),
    /// To be looked at again after a pause.
    Wait,
    /// This member is not the primary any more, or the time is up.
    NotReleased,
}

/// What the primary knows about a member that leaves.
#[derive(Clone, Debug)]
pub struct DepartureState {
    pub is_primary: bool,
    pub lease_holds: bool,
    pub is_change_pending: bool,
    /// A majority holds all that was proposed when the member asked, without the member.
    pub is_durable: bool,
    pub voters: Vec<Voter>,
    /// Voters that the losses allowed for ask.
    pub needed: usize,
}

/// The primary's side of a member's hand-over.
pub struct Departure {
    member: MemberId,
    /// Everything up to here has to outlive the member.
    last: Zxid,
    end: Moment,
}

impl Departure {
    pub fn begin(zab: &Zab, member: MemberId, limit: Duration, now: Moment) -> Self {
        Self { member, last: zab.history().last(), end: now + limit.min(HAND_OVER_LIMIT) }
    }

    /// What to do, as the order of changes stands at this member.
    pub fn next(&self, zab: &Zab, needed: usize, now: Moment) -> DepartureStep {
        let state = DepartureState {
            is_primary: zab.is_primary(),
            lease_holds: zab.lease_holds(now),
            is_change_pending: zab.voters_change_pending(),
            is_durable: zab.is_durable_without(self.member, self.last),
            voters: zab.voters().clone(),
            needed,
        };
        self.decide(&state, now)
    }

    /// What to do in a given state. A set of voters without the member is committed only when a majority of the others
    /// holds everything before.
    pub fn decide(&self, state: &DepartureState, now: Moment) -> DepartureStep {
        if now >= self.end || !state.is_primary {
            return DepartureStep::NotReleased;
        }
        let is_voter = state.voters.iter().any(|voter| voter.id == self.member);
        if !is_voter && !state.is_change_pending {
            return DepartureStep::Released;
        }
        if !state.is_durable {
            return DepartureStep::Wait;
        }
        let others: Vec<Voter> = state.voters.iter().filter(|voter| voter.id != self.member).cloned().collect();
        if !is_dispensable(others.len() + 1, state.needed) {
            return DepartureStep::Released;
        }
        match state.lease_holds && !state.is_change_pending {
            true => DepartureStep::ChangeVoters(others),
            false => DepartureStep::Wait,
        }
    }
}

/// Whether a set of voters is better off without one that is about to end: more are there than needed, and the majority
/// asked of an even number is smaller without it. An odd number asks for as many either way, and the member may only be
/// about to start again.
pub fn is_dispensable(voters: usize, needed: usize) -> bool {
    voters > needed && voters.is_multiple_of(2)
}
