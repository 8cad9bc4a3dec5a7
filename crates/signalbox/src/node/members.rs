//! Who votes. The primary brings newcomers in and lets the lost go, one change at a time.
//!
//! Any two majorities of voter sets that differ by one member share a node, and a change is
//! proposed only when the last one is committed. So no two sets in force, or on the way, can
//! decide apart.
//!
//! A voter is not let go because it is silent: after a cut that shrank the set, the next cut could leave most of the
//! machines on the side without a quorum. It goes when a newcomer stands in its place, when it leaves in order and
//! more voters are there than the losses allowed for ask, or after so long a silence that nobody mends it any more.

use super::{Signalbox, primary, turn};
use interlocking::zab::Voter;
use lineside::call::{Ask, Reply};
use std::time::Duration;
use trackbed::clock::{self, Moment};
use trackbed::ids::MemberId;

const EVERY: Duration = Duration::from_millis(200);
/// A voter silent for longer may be one that a newcomer is to replace: nobody is brought in until that is known.
const IN_DOUBT_AFTER: Duration = Duration::from_millis(400);
/// Silence after which a newcomer takes a voter's place.
const REPLACED_AFTER: Duration = Duration::from_millis(1500);
/// Silence after which a voter beyond the number needed is let go without anybody in its place: longer than any cut
/// or repair that is waited for.
const ABANDONED_AFTER: Duration = Duration::from_secs(2 * 3600);
/// How long a member that leaves waits until the others have all that it has.
const HAND_OVER_LIMIT: Duration = Duration::from_millis(900);
const HAND_OVER_LOOK: Duration = Duration::from_millis(20);

/// What the primary knows of its voters and of those who would be.
struct Membership<'a> {
    voters: &'a [Voter],
    /// In step, and no voters yet.
    learners: &'a [Voter],
    in_doubt: &'a [Voter],
    silent: &'a [Voter],
    abandoned: &'a [Voter],
    /// Voters that the losses allowed for ask.
    needed: usize,
}

fn needed(node: &Signalbox) -> usize {
    2 * node.live.get().machine_losses as usize + 1
}

/// Makes the next change of the voters, where one is due.
pub fn tend(node: &Signalbox, now: Moment) {
    if now < node.next_members.get() || !node.zab.borrow().is_primary() {
        return;
    }
    node.next_members.set(now + EVERY);
    let wanted = {
        let zab = node.zab.borrow();
        if zab.voters_change_pending() {
            return;
        }
        let membership = Membership {
            voters: zab.voters(),
            learners: &zab.caught_up_learners(),
            in_doubt: &zab.silent_voters(IN_DOUBT_AFTER),
            silent: &zab.silent_voters(REPLACED_AFTER),
            abandoned: &zab.silent_voters(ABANDONED_AFTER),
            needed: needed(node),
        };
        wanted_voters(&membership)
    };
    if let Some(wanted) = wanted {
        change_voters(node, wanted, now);
    }
}

fn change_voters(node: &Signalbox, wanted: Vec<Voter>, now: Moment) {
    log::info!("voters become {wanted:?}");
    let actions = node.zab.borrow_mut().propose_voters(wanted, now);
    turn::act(node, actions.unwrap_or_default());
}

/// The next set of voters, one step from the present one; `None` when it is right as it is.
fn wanted_voters(membership: &Membership) -> Option<Vec<Voter>> {
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
    membership.abandoned.first().filter(|_| voters.len() > membership.needed.max(3)).map(without)
}

/// At a member that is about to end: sees to it that the others have all that was acknowledged with its help, and
/// that no quorum needs it where the others suffice.
pub async fn hand_over(node: &Signalbox) {
    let member = node.zab.borrow().me().id;
    let end = clock::now() + HAND_OVER_LIMIT;
    while clock::now() < end {
        let (primary, is_voter) = {
            let zab = node.zab.borrow();
            (zab.primary(), zab.is_voter())
        };
        let Some(primary) = primary.filter(|_| is_voter) else { return };
        let left = clock::now().until(end);
        let done = match primary.id == member {
            true => let_go(node, member, left).await,
            false => matches!(
                node.caller.call(primary.address, Ask::HandOver { member, limit: left.as_millis() as u32 }, left).await,
                Ok(Reply::Done)
            ),
        };
        if done {
            return;
        }
        monoio::time::sleep(HAND_OVER_LOOK).await;
    }
    log::warn!("this node ends before the others are known to have all that it has");
}

/// At the primary: whether the one that leaves has been answered for.
pub async fn answer_hand_over(node: &Signalbox, member: MemberId, limit: Duration) -> Reply {
    match let_go(node, member, limit.min(HAND_OVER_LIMIT)).await {
        true => Reply::Done,
        false => Reply::NotNow("the others do not have all of it yet".into()),
    }
}

/// Whether a set of voters is better off without one that is about to end: more are there than needed, and the majority
/// asked of an even number is smaller without it. An odd number asks for as many either way, and the member may only be
/// about to start again.
fn is_dispensable(voters: usize, needed: usize) -> bool {
    voters > needed && voters.is_multiple_of(2)
}

/// Waits until a majority holds all without the member, and takes it off the voters where it is dispensable.
/// A set without the member commits that only when a majority of the others holds everything before.
async fn let_go(node: &Signalbox, member: MemberId, limit: Duration) -> bool {
    let end = clock::now() + limit;
    let last = node.zab.borrow().history().last();
    while clock::now() < end {
        {
            let zab = node.zab.borrow();
            if !zab.is_primary() {
                return false;
            }
            let is_voter = zab.voters().iter().any(|voter| voter.id == member);
            if !is_voter && !zab.voters_change_pending() {
                return true;
            }
        }
        let now = clock::now();
        let (others, is_durable) = {
            let zab = node.zab.borrow();
            let others: Vec<Voter> = zab.voters().iter().filter(|voter| voter.id != member).cloned().collect();
            (others, zab.is_durable_without(member, last))
        };
        if is_durable && !is_dispensable(others.len() + 1, needed(node)) {
            return true;
        }
        if is_durable && primary::lease_holds(node) && !node.zab.borrow().voters_change_pending() {
            change_voters(node, others, now);
        }
        monoio::time::sleep(HAND_OVER_LOOK).await;
    }
    false
}

#[cfg(test)]
#[path = "members_tests.rs"]
mod tests;
