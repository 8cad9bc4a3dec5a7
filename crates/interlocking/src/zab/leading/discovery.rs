//! Discovery, phase 1 of the paper: a quorum promises a new epoch to this leader.

use super::{Stage, Zab};
use crate::zab::Record;
use crate::zab::history::Voter;
use crate::zab::messages::{Attempt, Message};
use crate::zab::node::Then;
use trackbed::ids::{MemberId, ZabEpoch};

impl Zab {
    /// Takes a CEPOCH: the epoch that a member has promised, and to whom.
    pub(in crate::zab) fn on_current_epoch(
        &mut self,
        from: Voter,
        attempt: Attempt,
        promised: ZabEpoch,
        promised_to: MemberId,
    ) {
        let (now, me) = (self.now, self.me.id);
        let Some(leading) = self.leading() else { return };
        if !leading.begin_attempt(from.clone(), attempt, promised, now) {
            return;
        }
        match leading.stage {
            Stage::Discovery => self.try_new_epoch(),
            _ if promised > leading.epoch || (promised == leading.epoch && promised_to != me) => {
                // It can never acknowledge this epoch: a later one is needed.
                log::info!("a member promised epoch {promised} already: a later epoch is sought");
                self.look();
            }
            _ => {
                let epoch = leading.epoch;
                self.send(from, Message::NewEpoch { attempt, epoch });
            }
        }
    }

    /// Begins a new epoch once a quorum has sent CEPOCH and no other leader's lease can still be running.
    pub(in crate::zab) fn try_new_epoch(&mut self) {
        let count = self.count_voters(|_| true);
        let (lease_holder, lease_end) = self.lease_given;
        if count < self.quorum() || (lease_holder != self.me.id && self.now < lease_end) {
            return;
        }
        let (promised, me, now) = (self.promised, self.me.id, self.now);
        let Some(leading) = self.leading() else { return };
        if leading.stage != Stage::Discovery {
            return;
        }
        let epoch = ZabEpoch(leading.highest.max(promised).0 + 1);
        leading.epoch = epoch;
        leading.stage = Stage::NewEpoch;
        leading.progress = now;
        self.promised = epoch;
        self.promised_to = me;
        self.persist(vec![Record::Promised(epoch, me)], Then::OwnPromise(epoch));
        self.send_new_epoch();
    }

    /// Sends NEWEPOCH to the followers that have not acknowledged it yet.
    pub(super) fn send_new_epoch(&mut self) {
        let Some(leading) = self.leading() else { return };
        let epoch = leading.epoch;
        let waiting = leading.receivers(|follower| follower.epoch_ack.is_none() && follower.promised <= epoch);
        for (voter, attempt) in waiting {
            self.send(voter, Message::NewEpoch { attempt, epoch });
        }
    }

    /// The own promise of the epoch is on the disk.
    pub(in crate::zab) fn own_promise(&mut self, epoch: ZabEpoch) {
        let Some(leading) = self.leading() else { return };
        if leading.epoch == epoch && leading.stage == Stage::NewEpoch {
            leading.own_promised = true;
            self.try_synchronise();
        }
    }
}
