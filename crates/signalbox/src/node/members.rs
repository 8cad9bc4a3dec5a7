//! Who votes. The primary brings newcomers in and lets the lost go, one change at a time.
//!
//! Any two majorities of voter sets that differ by one member share a node, and a change is
//! proposed only when the last one is committed. So no two sets in force, or on the way, can
//! decide apart.

use super::{Signalbox, turn};
use interlocking::zab::Voter;
use std::time::Duration;
use trackbed::clock::Moment;

const EVERY: Duration = Duration::from_millis(200);
/// Silence after which a newcomer takes a voter's place.
const REPLACED_AFTER: Duration = Duration::from_millis(1500);
/// Silence after which a voter beyond the number needed is let go.
const DROPPED_AFTER: Duration = Duration::from_secs(4);

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
        let needed = 2 * node.live.get().machine_losses as usize + 1;
        wanted_voters(
            zab.voters(),
            &zab.caught_up_learners(),
            &zab.silent_voters(REPLACED_AFTER),
            &zab.silent_voters(DROPPED_AFTER),
            needed,
        )
    };
    let Some(wanted) = wanted else { return };
    log::info!("voters become {wanted:?}");
    let actions = node.zab.borrow_mut().propose_voters(wanted, now);
    turn::act(node, actions.unwrap_or_default());
}

/// The next set of voters, one step from the present one; `None` when it is right as it is.
fn wanted_voters(
    voters: &[Voter],
    learners: &[Voter],
    silent: &[Voter],
    long_silent: &[Voter],
    needed: usize,
) -> Option<Vec<Voter>> {
    let without = |gone: &Voter| voters.iter().filter(|voter| *voter != gone).cloned().collect::<Vec<_>>();
    // A learner at a voter's address proves that the voter's disk is gone for good.
    let replaced = voters.iter().find(|voter| learners.iter().any(|learner| learner.address == voter.address));
    if let Some(gone) = replaced.filter(|_| voters.len() > 1) {
        return Some(without(gone));
    }
    if let Some(learner) = learners.first() {
        // The place of a silent one is cleared first, so that the quorum never needs it.
        return match silent.first().filter(|_| voters.len() > 2) {
            Some(gone) => Some(without(gone)),
            None => Some(voters.iter().cloned().chain(std::iter::once(learner.clone())).collect()),
        };
    }
    long_silent.first().filter(|_| voters.len() > needed.max(3)).map(without)
}

#[cfg(test)]
mod tests {
    use super::*;
    use trackbed::ids::MemberId;

    fn voter(id: u64, host: u8) -> Voter {
        Voter { id: MemberId(id), address: ([10, 0, 0, host], 1).into() }
    }

    #[test]
    fn one_step_at_a_time() {
        let three = [voter(1, 1), voter(2, 2), voter(3, 3)];
        let newcomer = [voter(9, 9)];
        assert_eq!(wanted_voters(&three, &[], &three[..1], &three[..1], 3), None);
        assert_eq!(wanted_voters(&three, &newcomer, &[], &[], 3).unwrap().len(), 4);
        assert_eq!(wanted_voters(&three, &newcomer, &three[..1], &[], 3).unwrap(), three[1..].to_vec());
        // A lost disk at the same address makes way at once.
        assert_eq!(wanted_voters(&three, &[voter(8, 2)], &[], &[], 3).unwrap(), vec![voter(1, 1), voter(3, 3)]);
        let four = [voter(1, 1), voter(2, 2), voter(3, 3), voter(4, 4)];
        assert_eq!(wanted_voters(&four, &[], &four[..1], &four[..1], 3).unwrap().len(), 3);
        assert_eq!(wanted_voters(&four, &[], &four[..1], &[], 3), None);
    }
}
