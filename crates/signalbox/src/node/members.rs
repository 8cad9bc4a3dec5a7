//! Carries out what `replica::membership` decides about the voters: at the primary, and at a member that leaves.

use super::{Signalbox, turn};
use crate::replica::membership::{DepartureStep, HAND_OVER_PAUSE, HandOver, HandOverStep, TEND_EVERY};
use interlocking::zab::Voter;
use lineside::call::{Ask, Reply};
use std::time::Duration;
use trackbed::clock::{self, Moment};
use trackbed::ids::MemberId;

fn needed(node: &Signalbox) -> usize {
    2 * node.live.get().machine_losses as usize + 1
}

/// Makes the next change of the voters, where one is due.
pub fn tend(node: &Signalbox, now: Moment) {
    if now < node.next_members.get() || !node.zab.borrow().is_primary() {
        return;
    }
    node.next_members.set(now + TEND_EVERY);
    let wanted = node.replica.borrow().next_voters(needed(node), now);
    if let Some(wanted) = wanted {
        change_voters(node, wanted, now);
    }
}

fn change_voters(node: &Signalbox, wanted: Vec<Voter>, now: Moment) {
    log::info!("voters become {wanted:?}");
    let actions = node.zab.borrow_mut().propose_voters(wanted, now);
    turn::act(node, actions.unwrap_or_default());
}

/// At a member that is about to end: sees to it that the others have all that was acknowledged with its help, and
/// that no quorum needs it where the others suffice.
pub async fn hand_over(node: &Signalbox) {
    let member = node.zab.borrow().me().id;
    let hand_over = HandOver::begin(member, clock::now());
    loop {
        let (primary, is_voter) = {
            let zab = node.zab.borrow();
            (zab.primary(), zab.is_voter())
        };
        let is_released = match hand_over.next(primary, is_voter, clock::now()) {
            HandOverStep::ReleaseHere { limit } => release(node, member, limit).await,
            HandOverStep::AskPrimary { primary, limit } => ask_for_release(node, member, &primary, limit).await,
            HandOverStep::Wait => false,
            HandOverStep::NotNeeded => return,
            HandOverStep::GiveUp => break,
        };
        if is_released {
            return;
        }
        monoio::time::sleep(HAND_OVER_PAUSE).await;
    }
    log::warn!("this node ends before the others are known to have all that it has");
}

async fn ask_for_release(node: &Signalbox, member: MemberId, primary: &Voter, limit: Duration) -> bool {
    let ask = Ask::HandOver { member, limit: limit.as_millis() as u32 };
    matches!(node.caller.call(primary.address, ask, limit).await, Ok(Reply::Done))
}

/// At the primary: whether the one that leaves has been answered for.
pub async fn answer_hand_over(node: &Signalbox, member: MemberId, limit: Duration) -> Reply {
    match release(node, member, limit).await {
        true => Reply::Done,
        false => Reply::NotNow("the others do not have all of it yet".into()),
    }
}

/// Waits until a majority holds all without the member, and takes it off the voters where it is dispensable.
async fn release(node: &Signalbox, member: MemberId, limit: Duration) -> bool {
    let departure = node.replica.borrow_mut().begin_departure(member, limit, clock::now());
    loop {
        let now = clock::now();
        let step = departure.next(&node.zab.borrow(), needed(node), now);
        match step {
            DepartureStep::Released => return true,
            DepartureStep::NotReleased => return false,
            DepartureStep::ChangeVoters(voters) => change_voters(node, voters, now),
            DepartureStep::Wait => {}
        }
        monoio::time::sleep(HAND_OVER_PAUSE).await;
    }
}
