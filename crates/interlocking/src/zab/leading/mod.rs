//! The leader's side of Zab (Junqueira, Reed and Serafini, 2011): discovery, synchronisation and broadcast, which are
//! phases 1 to 3 of the paper.
//!
//! A follower is known by its attempt. Messages of another attempt are dropped, so that an acknowledgement counts only
//! for the history that this leader sent in that attempt.

mod broadcast;
mod discovery;
mod followers;
mod heartbeat;
mod synchronisation;
mod voters;

use super::history::Voter;
use super::node::{Role, Zab};
use followers::Follower;
use std::collections::BTreeMap;
use trackbed::clock::Moment;
use trackbed::ids::{MemberId, ZabEpoch, Zxid};

/// How far a leader is.
#[derive(Clone, Copy, Debug, PartialEq, Hash)]
enum Stage {
    /// Waits for a quorum of CEPOCH.
    Discovery,
    /// NEWEPOCH is sent; waits for a quorum of ACK-E.
    NewEpoch,
    /// NEWLEADER is sent; waits for a quorum of ACK-LD.
    Synchronisation,
    /// Established: proposes and commits.
    Broadcast,
}

/// The state of a member that leads, or tries to.
#[derive(Clone, Debug, Hash)]
pub(super) struct Leading {
    stage: Stage,
    /// The epoch of this leader; zero during discovery.
    epoch: ZabEpoch,
    /// The highest epoch that any member is known to have promised.
    highest: ZabEpoch,
    followers: BTreeMap<MemberId, Follower>,
    /// Whether the own promise of the epoch is on the disk.
    own_promised: bool,
    /// Whether the own change to the epoch is on the disk.
    own_synced: bool,
    /// The end of the own history on the disk.
    own_acked: Zxid,
    /// The end of the history this epoch begins with. Invariant: nothing is proposed before it is committed.
    initial: Zxid,
    /// The counter of the last proposal.
    counter: u64,
    since: Moment,
    /// When a stage began or a voter took a part of a transfer.
    progress: Moment,
    next_heartbeat: Moment,
    /// The newest commit is not announced yet. Invariant: it is within a tick, or with the next proposal.
    commit_unannounced: bool,
}

impl Leading {
    /// The state at the start of discovery. `highest`: the highest epoch known to be promised.
    pub(super) fn new(now: Moment, highest: ZabEpoch) -> Self {
        Self {
            stage: Stage::Discovery,
            epoch: ZabEpoch(0),
            highest,
            followers: BTreeMap::new(),
            own_promised: false,
            own_synced: false,
            own_acked: Zxid::ZERO,
            initial: Zxid::ZERO,
            counter: 0,
            since: now,
            progress: now,
            next_heartbeat: now,
            commit_unannounced: false,
        }
    }

    /// Whether a quorum has taken this leader's history.
    pub(super) fn is_established(&self) -> bool {
        self.stage == Stage::Broadcast
    }

    /// Whether the history that the epoch begins with is fixed.
    fn has_history(&self) -> bool {
        matches!(self.stage, Stage::Synchronisation | Stage::Broadcast)
    }

    /// The epoch of this leader.
    #[cfg(test)]
    pub(super) fn epoch(&self) -> ZabEpoch {
        self.epoch
    }

    /// What counts as durable at each follower.
    #[cfg(test)]
    pub(super) fn acknowledged(&self) -> impl Iterator<Item = (MemberId, Zxid)> {
        let synced = self.followers.iter().filter(|(_, follower)| follower.synced);
        synced.map(|(id, follower)| (*id, follower.acked))
    }
}

impl Zab {
    fn leading(&mut self) -> Option<&mut Leading> {
        match &mut self.role {
            Role::Leading(leading) => Some(leading),
            _ => None,
        }
    }

    /// Number of voters, this one among them, for which `holds` is true.
    fn count_voters(&self, holds: impl Fn(&Follower) -> bool) -> usize {
        let Role::Leading(leading) = &self.role else { return 0 };
        let holds_of = |voter: &Voter| leading.followers.get(&voter.id).is_some_and(&holds);
        self.voters().iter().filter(|voter| voter.id == self.me.id || holds_of(voter)).count()
    }
}
