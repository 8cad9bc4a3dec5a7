//! What a leader knows of its followers that bears on changes of the voters.

use super::Zab;
use crate::zab::history::Voter;
use crate::zab::node::Role;
use std::time::Duration;
use trackbed::ids::{MemberId, Zxid};

impl Zab {
    /// Nodes that are in step and not yet voters.
    pub fn caught_up_learners(&self) -> Vec<Voter> {
        let Role::Leading(leading) = &self.role else { return Vec::new() };
        let voters = self.voters();
        leading
            .followers
            .values()
            .filter(|follower| {
                follower.synced
                    && follower.acked >= self.committed
                    && self.now.since(follower.last_heard) < self.timing.patience
                    && !voters.iter().any(|voter| voter.id == follower.voter.id)
            })
            .map(|follower| follower.voter.clone())
            .collect()
    }

    /// Voters that sent nothing for the time `silence`; none before this node has led for so long.
    pub fn silent_voters(&self, silence: Duration) -> Vec<Voter> {
        let Role::Leading(leading) = &self.role else { return Vec::new() };
        if self.now.since(leading.since) < silence {
            return Vec::new();
        }
        let is_silent = |voter: &&Voter| {
            let follower = leading.followers.get(&voter.id);
            follower.is_none_or(|follower| self.now.since(follower.last_heard) >= silence)
        };
        self.voters().iter().filter(|voter| voter.id != self.me.id).filter(is_silent).cloned().collect()
    }

    /// True when a majority of the voters would hold everything up to `zxid` without the one that leaves, whatever
    /// becomes of its disk. Only a leader can tell.
    pub fn is_durable_without(&self, leaver: MemberId, zxid: Zxid) -> bool {
        let Role::Leading(leading) = &self.role else { return false };
        let holds = |voter: &&Voter| match voter.id == self.me.id {
            true => leading.own_synced && leading.own_acked >= zxid,
            false => leading.followers.get(&voter.id).is_some_and(|known| known.synced && known.acked >= zxid),
        };
        let holders = self.voters().iter().filter(|voter| voter.id != leaver).filter(holds).count();
        leading.is_established() && holders >= self.quorum()
    }
}
