//! Broadcast, phase 3 of the paper: proposals, acknowledgements and commits.

use super::{Leading, Stage, Zab};
use crate::zab::history::{Entry, Payload, Voter};
use crate::zab::messages::{Attempt, Message};
use crate::zab::node::{Role, Then};
use crate::zab::{Action, Record};
use trackbed::ids::{MemberId, ZabEpoch, Zxid};

/// Bytes of entries in one proposal to a follower that lacks some.
const RESEND_BYTES: usize = 16 << 10;
/// Such proposals sent at once. What is still lacking then is asked for again.
const RESEND_MESSAGES: usize = 4;

/// Entries that follow on `previous`, for one proposal.
struct Batch {
    previous: Zxid,
    entries: Vec<Entry>,
}

impl Zab {
    /// The own history is on the disk up to `last`.
    pub(in crate::zab) fn own_ack(&mut self, epoch: ZabEpoch, last: Zxid) {
        let Some(leading) = self.leading() else { return };
        if leading.epoch == epoch {
            leading.own_synced = true;
            leading.own_acked = leading.own_acked.max(last);
            self.advance();
        }
    }

    /// Takes an ACK-LD, an ACK, or a heartbeat's answer that stands for both: the follower is in step in this attempt,
    /// and everything up to `last` is durable there.
    pub(in crate::zab) fn on_ack(&mut self, from: MemberId, attempt: Attempt, epoch: ZabEpoch, last: Zxid) {
        let now = self.now;
        let Some(leading) = self.leading() else { return };
        if !leading.has_history() {
            return;
        }
        let established = leading.is_established();
        let Some(follower) = leading.follower(from, attempt, epoch) else { return };
        follower.last_heard = now;
        let joins = !follower.synced;
        follower.synced = true;
        follower.transfer = None;
        follower.acked = follower.acked.max(last);
        let voter = follower.voter.clone();
        self.advance();
        if joins && established {
            let upto = self.committed;
            self.send(voter, Message::Commit { attempt, epoch, upto });
            self.resend_after(from, attempt, epoch, last);
        }
    }

    /// A follower in step lacks proposals after `last`.
    pub(in crate::zab) fn on_missing(&mut self, from: MemberId, attempt: Attempt, epoch: ZabEpoch, last: Zxid) {
        let now = self.now;
        let Some(follower) = self.follower(from, attempt, epoch) else { return };
        follower.last_heard = now;
        if follower.synced {
            self.resend_after(from, attempt, epoch, last);
        }
    }

    /// Sends again proposals after `last`, as many as [`RESEND_MESSAGES`] allow.
    fn resend_after(&mut self, id: MemberId, attempt: Attempt, epoch: ZabEpoch, last: Zxid) {
        if !self.history.contains(last) {
            return;
        }
        let upto = self.committed;
        let batches = self.batches_after(last);
        let Some(follower) = self.follower(id, attempt, epoch) else { return };
        let voter = follower.voter.clone();
        for Batch { previous, entries } in batches {
            self.send(voter.clone(), Message::Propose { attempt, epoch, previous, entries, upto });
        }
    }

    fn batches_after(&self, last: Zxid) -> Vec<Batch> {
        let mut batches: Vec<Batch> = Vec::new();
        let mut previous = last;
        let mut weight = 0;
        for entry in self.history.after(last) {
            if batches.is_empty() || weight >= RESEND_BYTES {
                if batches.len() == RESEND_MESSAGES {
                    break;
                }
                batches.push(Batch { previous, entries: Vec::new() });
                weight = 0;
            }
            weight += entry.payload.weight();
            previous = entry.zxid;
            if let Some(batch) = batches.last_mut() {
                batch.entries.push(entry.clone());
            }
        }
        batches
    }

    /// Commits what is durable at a quorum.
    fn advance(&mut self) {
        let Role::Leading(leading) = &self.role else { return };
        if !leading.has_history() {
            return;
        }
        let Some(upto) = self.durable_at_quorum(leading) else { return };
        if upto < leading.initial {
            return;
        }
        match leading.is_established() {
            true => self.commit_established(upto),
            false => self.establish(leading.epoch, leading.initial, upto),
        }
    }

    /// The highest zxid up to which a quorum of the voters holds the history.
    fn durable_at_quorum(&self, leading: &Leading) -> Option<Zxid> {
        let durable_at = |voter: &Voter| match voter.id == self.me.id {
            true => leading.own_synced.then_some(leading.own_acked),
            false => leading.followers.get(&voter.id).filter(|follower| follower.synced).map(|follower| follower.acked),
        };
        let mut durable: Vec<Option<Zxid>> = self.voters().iter().map(durable_at).collect();
        durable.sort();
        durable.reverse();
        durable.get(self.quorum() - 1).copied().flatten()
    }

    /// Ends synchronisation: the history of the epoch is committed, and proposals can begin.
    fn establish(&mut self, epoch: ZabEpoch, initial: Zxid, upto: Zxid) {
        self.commit_upto(initial);
        if let Some(leading) = self.leading() {
            leading.stage = Stage::Broadcast;
        }
        self.actions.push(Action::Ready { epoch });
        self.commit_upto(upto);
        self.send_commit();
    }

    /// Commits up to `upto` as an established leader. A leader that the committed change removed from the voters
    /// announces the commit and steps down.
    fn commit_established(&mut self, upto: Zxid) {
        let before = self.committed;
        self.commit_upto(upto);
        if self.committed <= before {
            return;
        }
        if let Some(leading) = self.leading() {
            leading.commit_unannounced = true;
        }
        if !self.is_voter() && !self.voters_change_pending() {
            self.send_commit();
            self.look();
        }
    }

    /// Announces the newest commit to the followers in step.
    pub(super) fn send_commit(&mut self) {
        let upto = self.committed;
        let Some(leading) = self.leading() else { return };
        leading.commit_unannounced = false;
        let epoch = leading.epoch;
        for (voter, attempt) in leading.receivers(|follower| follower.synced) {
            self.send(voter, Message::Commit { attempt, epoch, upto });
        }
    }

    /// Proposes the payloads in order. Returns the zxid of the last entry, or nothing unless this node is the
    /// established leader.
    pub(in crate::zab) fn broadcast(&mut self, payloads: Vec<Payload>) -> Option<Zxid> {
        let previous = self.history.last();
        let upto = self.committed;
        let leading = self.leading()?;
        if !leading.is_established() {
            return None;
        }
        leading.commit_unannounced = false;
        let epoch = leading.epoch;
        let mut entries = Vec::with_capacity(payloads.len());
        for payload in payloads {
            leading.counter += 1;
            entries.push(Entry { zxid: Zxid { epoch, counter: leading.counter }, payload });
        }
        let receivers = leading.receivers(|follower| follower.synced);
        let mut records = Vec::with_capacity(entries.len());
        for entry in &entries {
            records.push(Record::Append(entry.clone()));
            self.history.append(entry.clone());
        }
        let last = self.history.last();
        self.persist(records, Then::OwnAck(epoch, last));
        for (voter, attempt) in receivers {
            let entries = entries.clone();
            self.send(voter, Message::Propose { attempt, epoch, previous, entries, upto });
        }
        Some(last)
    }
}
