//! The followers of a leader, and what each of them has acknowledged.

use super::Leading;
use crate::zab::history::Voter;
use crate::zab::messages::Attempt;
use crate::zab::node::Zab;
use crate::zab::transfer::{Held, Outgoing};
use trackbed::clock::Moment;
use trackbed::ids::{MemberId, ZabEpoch, Zxid};

/// What a follower's ACK-E said.
#[derive(Clone, Copy, Debug, Hash)]
pub(super) struct EpochAck {
    /// The epoch that the follower was last in.
    pub(super) current: ZabEpoch,
    /// The end of its history.
    pub(super) last: Zxid,
    /// What it still holds of a broken transfer.
    pub(super) held: Held,
}

/// One attempt of a member to follow this leader.
#[derive(Clone, Debug, Hash)]
pub(super) struct Follower {
    pub(super) voter: Voter,
    pub(super) attempt: Attempt,
    /// The epoch that its CEPOCH said was promised.
    pub(super) promised: ZabEpoch,
    pub(super) epoch_ack: Option<EpochAck>,
    /// The transfer of the history. Invariant: none once the follower is in step.
    pub(super) transfer: Option<Outgoing>,
    /// Its history is this leader's, up to `acked` at least; every proposal goes out to it.
    pub(super) synced: bool,
    /// Durable there, in this attempt. Invariant: in this leader's history.
    pub(super) acked: Zxid,
    /// When the last message of it arrived.
    pub(super) last_heard: Moment,
    /// This leader's clock when it sent the newest heartbeat that was answered.
    pub(super) heartbeat_sent: Moment,
}

impl Follower {
    fn new(voter: Voter, attempt: Attempt, promised: ZabEpoch, now: Moment) -> Self {
        Self {
            voter,
            attempt,
            promised,
            epoch_ack: None,
            transfer: None,
            synced: false,
            acked: Zxid::ZERO,
            last_heard: now,
            heartbeat_sent: Moment::default(),
        }
    }
}

impl Leading {
    /// Takes a CEPOCH; true when it begins an attempt. One that is duplicated, or of an attempt before the one known,
    /// changes nothing: what was acknowledged since counts on.
    pub(super) fn begin_attempt(&mut self, voter: Voter, attempt: Attempt, promised: ZabEpoch, now: Moment) -> bool {
        if let Some(known) = self.followers.get_mut(&voter.id)
            && (known.attempt == attempt || known.attempt.is_after(attempt))
        {
            known.last_heard = now;
            return false;
        }
        self.highest = self.highest.max(promised);
        let id = voter.id;
        self.followers.insert(id, Follower::new(voter, attempt, promised, now));
        true
    }

    /// The follower, in that attempt and epoch only.
    pub(super) fn follower(&mut self, id: MemberId, attempt: Attempt, epoch: ZabEpoch) -> Option<&mut Follower> {
        if self.epoch != epoch {
            return None;
        }
        self.followers.get_mut(&id).filter(|follower| follower.attempt == attempt)
    }

    /// The followers for which `holds` is true, with their attempts.
    pub(super) fn receivers(&self, holds: impl Fn(&Follower) -> bool) -> Vec<(Voter, Attempt)> {
        let receivers = self.followers.values().filter(|follower| holds(follower));
        receivers.map(|follower| (follower.voter.clone(), follower.attempt)).collect()
    }
}

impl Zab {
    /// The follower of this leader, in that attempt and epoch only.
    pub(super) fn follower(&mut self, id: MemberId, attempt: Attempt, epoch: ZabEpoch) -> Option<&mut Follower> {
        self.leading().and_then(|leading| leading.follower(id, attempt, epoch))
    }
}
