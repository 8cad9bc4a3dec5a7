//! Synchronisation, phase 2 of the paper: the followers take over this leader's history.

use super::followers::EpochAck;
use super::{Stage, Zab};
use crate::zab::Record;
use crate::zab::history::Entry;
use crate::zab::messages::{Attempt, Message};
use crate::zab::node::{Role, Then};
use crate::zab::transfer::{Held, Missed, Outgoing};
use trackbed::ids::{MemberId, ZabEpoch, Zxid};

impl Zab {
    /// Takes an ACK-E. `standing`: the follower's last epoch and the end of its history; `held`: what it still holds
    /// of a broken transfer.
    pub(in crate::zab) fn on_ack_epoch(
        &mut self,
        from: MemberId,
        attempt: Attempt,
        epoch: ZabEpoch,
        standing: (ZabEpoch, Zxid),
        held: Held,
    ) {
        let now = self.now;
        let own = self.standing();
        let is_voter = self.voters().iter().any(|voter| voter.id == from);
        let Some(leading) = self.leading() else { return };
        let stage = leading.stage;
        let Some(follower) = leading.follower(from, attempt, epoch) else { return };
        follower.last_heard = now;
        if follower.epoch_ack.is_some() {
            // A duplicate: its history is on the way, or will be.
            return;
        }
        let (current, last) = standing;
        follower.epoch_ack = Some(EpochAck { current, last, held });
        match stage {
            // It has the later history, and leads better than one that would have to fetch it.
            Stage::NewEpoch if is_voter && standing > own => self.look(),
            Stage::NewEpoch => self.try_synchronise(),
            Stage::Synchronisation | Stage::Broadcast => self.send_history(from, last, held),
            Stage::Discovery => {}
        }
    }

    /// Fixes the history of the epoch and sends it, once a quorum with this node has acknowledged the epoch.
    pub(super) fn try_synchronise(&mut self) {
        let Role::Leading(leading) = &self.role else { return };
        if leading.stage != Stage::NewEpoch || !leading.own_promised {
            return;
        }
        if self.count_voters(|follower| follower.epoch_ack.is_some()) < self.quorum() {
            return;
        }
        let (initial, now) = (self.history.last(), self.now);
        let Some(leading) = self.leading() else { return };
        leading.stage = Stage::Synchronisation;
        leading.initial = initial;
        leading.progress = now;
        let epoch = leading.epoch;
        let acknowledged = leading.followers.iter().filter_map(|(id, follower)| Some((*id, follower.epoch_ack?)));
        let waiting: Vec<(MemberId, EpochAck)> = acknowledged.collect();
        self.current = epoch;
        self.persist(vec![Record::Current(epoch)], Then::OwnEpoch(epoch));
        for (id, ack) in waiting {
            self.send_history(id, ack.last, ack.held);
        }
    }

    /// The end of the history that the epoch begins with, if this node leads in it.
    pub(in crate::zab) fn own_sync_point(&self, epoch: ZabEpoch) -> Zxid {
        match &self.role {
            Role::Leading(leading) if leading.epoch == epoch => leading.initial,
            _ => Zxid::ZERO,
        }
    }

    /// Begins the transfer, by NEWLEADER messages, of what follows the last place that both histories share.
    fn send_history(&mut self, id: MemberId, last: Zxid, held: Held) {
        let outgoing = self.outgoing(last);
        let Some(leading) = self.leading() else { return };
        let epoch = leading.epoch;
        let Some(follower) = leading.followers.get_mut(&id) else { return };
        let offset = outgoing.resume_at(held);
        follower.transfer = Some(outgoing);
        let attempt = follower.attempt;
        self.send_part(id, attempt, epoch, offset);
    }

    /// What a follower lacks whose history ends at `last`. Followers that lack the same share one transfer.
    fn outgoing(&mut self, last: Zxid) -> Outgoing {
        let shared = self.history.place_not_after(last);
        let previous = shared.unwrap_or(self.history.snapshot.zxid);
        let end = self.history.last();
        if let Role::Leading(leading) = &self.role {
            let mut others = leading.followers.values().filter_map(|follower| follower.transfer.as_ref());
            let wanted = (previous, end, shared.is_none());
            if let Some(same) = others.find(|other| (other.previous, other.last, other.has_snapshot) == wanted) {
                return same.clone();
            }
        }
        let snapshot = shared.is_none().then(|| self.history.snapshot.clone());
        let entries: Vec<Entry> = self.history.after(previous).cloned().collect();
        Outgoing::new(&Missed { snapshot, previous, entries })
    }

    /// Sends a follower the part of its transfer at `offset` (bytes), which it asks for.
    pub(in crate::zab) fn on_next_part(&mut self, from: MemberId, attempt: Attempt, epoch: ZabEpoch, offset: u64) {
        let now = self.now;
        let is_voter = self.voters().iter().any(|voter| voter.id == from);
        let Some(leading) = self.leading() else { return };
        let Some(follower) = leading.follower(from, attempt, epoch) else { return };
        follower.last_heard = now;
        if is_voter {
            leading.progress = now;
        }
        self.send_part(from, attempt, epoch, offset);
    }

    fn send_part(&mut self, id: MemberId, attempt: Attempt, epoch: ZabEpoch, offset: u64) {
        let Some(follower) = self.follower(id, attempt, epoch) else { return };
        let voter = follower.voter.clone();
        let part = follower.transfer.as_ref().and_then(|transfer| transfer.part(offset));
        if let Some(part) = part {
            self.send(voter, Message::NewLeader { attempt, epoch, part });
        }
    }

    /// Begins a follower's transfer anew: its history ends at `last`, before the transfer's start at `previous`.
    pub(in crate::zab) fn on_behind(
        &mut self,
        from: MemberId,
        attempt: Attempt,
        epoch: ZabEpoch,
        previous: Zxid,
        last: Zxid,
    ) {
        let Some(follower) = self.follower(from, attempt, epoch) else { return };
        if follower.transfer.as_ref().is_some_and(|transfer| transfer.previous == previous) {
            self.send_history(from, last, Held::default());
        }
    }
}
