//! The next set of voters.
//!
//! Any two majorities of voter sets that differ by one member share a node, and a change is
//! proposed only when the last one is committed. So no two sets in force, or on the way, can
//! decide apart.
//!
//! A set as large as needed, or of an odd number, loses no voter because it is silent: after a cut that shrank the set,
//! the next cut could leave most of the machines on the side without a quorum. A voter goes when a newcomer stands in
//! its place, when it leaves in order and more voters are there than the losses allowed for ask, or after so long a
//! silence that nobody mends it any more.
//!
//! One silent voter of an even number goes where more are there than needed, as after a loss that was noticed only when
//! its replacement already voted: each majority of the even number is one of the odd number left, too.

use super::departing::Departing;
use super::hand_over::is_dispensable;
use interlocking::zab::{Voter, Zab};
use std::time::Duration;
use trackbed::clock::Moment;

/// How often the primary looks whether the voters are right.
pub const TEND_EVERY: Duration = Duration::from_millis(200);
/// A voter silent for longer may be one that a newcomer is to replace: nobody is brought in until that is known.
const IN_DOUBT_AFTER: Duration = Duration::from_millis(400);
/// Silence after which a newcomer takes a voter's place, or a voter that is dispensable goes.
const REPLACED_AFTER: Duration = Duration::from_millis(1500);
/// Silence after which a voter beyond the number needed is let go without anybody in its place: longer than any cut
/// or repair that is waited for.
const ABANDONED_AFTER: Duration = Duration::from_secs(2 * 3600);

/// What the primary knows of its voters and of those who would be.
pub struct Membership<'a> {
    pub voters: &'a [Voter],
    /// In step, no voters yet, and not about to end.
    pub learners: &'a [Voter],
    pub in_doubt: &'a [Voter],
    pub silent: &'a [Voter],
    pub abandoned: &'a [Voter],
    /// Voters that the losses allowed for ask.
    pub needed: usize,
}

/// The set of voters that a primary is to propose next; `None` at any other member, while the last change is not yet
/// committed, and where the present set is right.
pub fn next_voters(zab: &Zab, departing: &Departing, needed: usize, now: Moment) -> Option<Vec<Voter>> {
    if !zab.is_primary() || zab.voters_change_pending() {
        return None;
    }
    let mut learners = zab.caught_up_learners();
    learners.retain(|learner| !departing.includes(learner, now));
    wanted_voters(&Membership {
        voters: zab.voters(),
        learners: &learners,
        in_doubt: &zab.silent_voters(IN_DOUBT_AFTER),
        silent: &zab.silent_voters(REPLACED_AFTER),
        abandoned: &zab.silent_voters(ABANDONED_AFTER),
        needed,
    })
}

/// The next set of voters, one step from the present one; `None` when it is right as it is.
pub fn wanted_voters(membership: &Membership) -> Option<Vec<Voter>> {
    let voters = membership.voters;
    let without = |gone: &Voter| voters.iter().filter(|voter| *voter != gone).cloned().collect::<Vec<_>>();
    // A learner at a voter's address proves that the voter's disk is gone for good.
    let is_replaced = |voter: &&Voter| membership.learners.iter().any(|learner| learner.address == voter.address);
    if let Some(gone) = voters.iter().find(is_replaced).filter(|_| voters.len() > 1) {
        return Some(without(gone));
    }
    if let Some(learner) = membership.learners.first() {
        // The place of a silent one is cleared first, so that the quorum never needs it.
        return match membership.silent.first().filter(|_| voters.len() > 2) {
            Some(gone) => Some(without(gone)),
            None if !membership.in_doubt.is_empty() && voters.len() > 2 => None,
            None => Some(voters.iter().cloned().chain(std::iter::once(learner.clone())).collect()),
        };
    }
    if let Some(gone) = membership.silent.first().filter(|_| is_dispensable(voters.len(), membership.needed)) {
        return Some(without(gone));
    }
    membership.abandoned.first().filter(|_| voters.len() > membership.needed.max(3)).map(without)
}
