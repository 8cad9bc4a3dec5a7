//! Phases 1 to 3 as a leader sees them.
//!
//! A follower is known by its attempt. Whatever bears another attempt is not taken, so that an acknowledgement counts
//! only for the history that this leader gave in this attempt.

use super::history::{Entry, Payload, Voter};
use super::messages::{Attempt, Message};
use super::node::{Role, Then, Zab};
use super::transfer::{Held, Missed, Outgoing};
use crate::zab::{Action, Record};
use std::collections::BTreeMap;
use std::time::Duration;
use trackbed::clock::Moment;
use trackbed::ids::{MemberId, ZabEpoch, Zxid};

/// Share of the lease that a leader trusts: clocks run at slightly different speeds.
const LEASE_TRUST: f64 = 0.9;
/// A follower of which nothing was heard for so long is forgotten.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(30);
/// Bytes of entries in one proposal to a follower that lacks some.
const RESEND_BYTES: usize = 16 << 10;
/// Such proposals sent at once. What is still lacking then is asked for again.
const RESEND_MESSAGES: usize = 4;

#[derive(Clone, Copy, Debug, PartialEq, Hash)]
enum Stage {
    /// Waits for a quorum of CEPOCH.
    Discovery,
    /// NEWEPOCH is out; waits for a quorum of ACK-E.
    NewEpoch,
    /// NEWLEADER is out; waits for a quorum of ACK-LD.
    Synchronisation,
    Broadcast,
}

/// One attempt of a member to follow this leader.
#[derive(Clone, Debug, Hash)]
struct Follower {
    voter: Voter,
    attempt: Attempt,
    promised: ZabEpoch,
    /// What its ACK-E said, and what it still held of a broken transfer.
    standing: Option<(ZabEpoch, Zxid, Held)>,
    /// The history on its way there. Invariant: none once the follower is in step.
    transfer: Option<Outgoing>,
    /// Its history is this leader's, up to `acked` at least; every proposal goes out to it.
    synced: bool,
    /// Durable there, in this attempt. Invariant: in this leader's history.
    acked: Zxid,
    heard: Moment,
    /// This leader's clock when it sent the newest heartbeat that came back.
    stamp: Moment,
}

impl Follower {
    fn new(voter: Voter, attempt: Attempt, promised: ZabEpoch, now: Moment) -> Self {
        Self {
            voter,
            attempt,
            promised,
            standing: None,
            transfer: None,
            synced: false,
            acked: Zxid::ZERO,
            heard: now,
            stamp: Moment::default(),
        }
    }
}

#[derive(Clone, Debug, Hash)]
pub(super) struct Leading {
    stage: Stage,
    epoch: ZabEpoch,
    /// Highest promise heard of, anywhere.
    highest: ZabEpoch,
    followers: BTreeMap<MemberId, Follower>,
    own_promised: bool,
    own_synced: bool,
    own_acked: Zxid,
    /// The end of the history this epoch begins with. Invariant: nothing is proposed before it is committed.
    initial: Zxid,
    counter: u64,
    since: Moment,
    /// When a stage began or a voter took a part of a transfer.
    progress: Moment,
    next_beat: Moment,
    /// Followers have not been told of the newest commit yet. Invariant: they are within a tick, or with the next proposal.
    untold_commit: bool,
}

impl Leading {
    pub fn new(now: Moment, highest: ZabEpoch) -> Self {
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
            next_beat: now,
            untold_commit: false,
        }
    }

    pub fn is_established(&self) -> bool {
        self.stage == Stage::Broadcast
    }

    /// Takes a CEPOCH; true when it begins an attempt. One that is doubled, or of an attempt before the one known,
    /// changes nothing: what was acknowledged since counts on.
    fn hear_epoch(&mut self, voter: Voter, attempt: Attempt, promised: ZabEpoch, now: Moment) -> bool {
        if let Some(known) = self.followers.get_mut(&voter.id)
            && (known.attempt == attempt || known.attempt.is_after(attempt))
        {
            known.heard = now;
            return false;
        }
        self.highest = self.highest.max(promised);
        let id = voter.id;
        self.followers.insert(id, Follower::new(voter, attempt, promised, now));
        true
    }

    /// The follower, in that attempt and epoch only.
    fn follower(&mut self, id: MemberId, attempt: Attempt, epoch: ZabEpoch) -> Option<&mut Follower> {
        if self.epoch != epoch {
            return None;
        }
        self.followers.get_mut(&id).filter(|follower| follower.attempt == attempt)
    }

    fn has_history(&self) -> bool {
        matches!(self.stage, Stage::Synchronisation | Stage::Broadcast)
    }

    #[cfg(test)]
    pub fn epoch(&self) -> ZabEpoch {
        self.epoch
    }

    /// What counts as durable at each follower.
    #[cfg(test)]
    pub fn acknowledged(&self) -> impl Iterator<Item = (MemberId, Zxid)> {
        let synced = self.followers.iter().filter(|(_, follower)| follower.synced);
        synced.map(|(id, follower)| (*id, follower.acked))
    }

    fn synced(&self) -> Vec<(Voter, Attempt)> {
        let synced = self.followers.values().filter(|follower| follower.synced);
        synced.map(|follower| (follower.voter.clone(), follower.attempt)).collect()
    }
}

impl Zab {
    fn leading(&mut self) -> Option<&mut Leading> {
        match &mut self.role {
            Role::Leading(leading) => Some(leading),
            _ => None,
        }
    }

    /// Voters, this one among them, of which that holds.
    fn count_voters(&self, holds: impl Fn(&Follower) -> bool) -> usize {
        let Role::Leading(leading) = &self.role else { return 0 };
        let holds_of = |voter: &Voter| leading.followers.get(&voter.id).is_some_and(&holds);
        self.voters().iter().filter(|voter| voter.id == self.me.id || holds_of(voter)).count()
    }

    pub(super) fn on_current_epoch(
        &mut self,
        from: Voter,
        attempt: Attempt,
        promised: ZabEpoch,
        promised_to: MemberId,
    ) {
        let (now, me) = (self.now, self.me.id);
        let Some(leading) = self.leading() else { return };
        if !leading.hear_epoch(from.clone(), attempt, promised, now) {
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

    pub(super) fn try_new_epoch(&mut self) {
        let count = self.count_voters(|_| true);
        let held = self.lease_given;
        if count < self.quorum() || (held.0 != self.me.id && self.now < held.1) {
            // Too few, or the lease of the leader last heard may still run.
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

    /// NEWEPOCH to whoever has not acknowledged it yet.
    fn send_new_epoch(&mut self) {
        let Some(leading) = self.leading() else { return };
        let epoch = leading.epoch;
        let waiting: Vec<(Voter, Attempt)> = leading
            .followers
            .values()
            .filter(|follower| follower.standing.is_none() && follower.promised <= epoch)
            .map(|follower| (follower.voter.clone(), follower.attempt))
            .collect();
        for (voter, attempt) in waiting {
            self.send(voter, Message::NewEpoch { attempt, epoch });
        }
    }

    pub(super) fn own_promise(&mut self, epoch: ZabEpoch) {
        let Some(leading) = self.leading() else { return };
        if leading.epoch == epoch && leading.stage == Stage::NewEpoch {
            leading.own_promised = true;
            self.try_synchronise();
        }
    }

    pub(super) fn on_ack_epoch(
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
        follower.heard = now;
        if follower.standing.is_some() {
            // Doubled: its history is on the way, or will be.
            return;
        }
        follower.standing = Some((standing.0, standing.1, held));
        match stage {
            // It has the later history, and leads better than one that would have to fetch it.
            Stage::NewEpoch if is_voter && standing > own => self.look(),
            Stage::NewEpoch => self.try_synchronise(),
            Stage::Synchronisation | Stage::Broadcast => self.send_history(from, standing.1, held),
            Stage::Discovery => {}
        }
    }

    fn try_synchronise(&mut self) {
        let Role::Leading(leading) = &self.role else { return };
        if leading.stage != Stage::NewEpoch || !leading.own_promised {
            return;
        }
        if self.count_voters(|follower| follower.standing.is_some()) < self.quorum() {
            return;
        }
        let (initial, now) = (self.history.last(), self.now);
        let Some(leading) = self.leading() else { return };
        leading.stage = Stage::Synchronisation;
        leading.initial = initial;
        leading.progress = now;
        let epoch = leading.epoch;
        let waiting: Vec<(MemberId, Zxid, Held)> = leading
            .followers
            .iter()
            .filter_map(|(id, follower)| follower.standing.map(|(_, last, held)| (*id, last, held)))
            .collect();
        self.current = epoch;
        self.persist(vec![Record::Current(epoch)], Then::OwnEpoch(epoch));
        for (id, last, held) in waiting {
            self.send_history(id, last, held);
        }
    }

    pub(super) fn own_sync_point(&self, epoch: ZabEpoch) -> Zxid {
        match &self.role {
            Role::Leading(leading) if leading.epoch == epoch => leading.initial,
            _ => Zxid::ZERO,
        }
    }

    /// NEWLEADER with what follows the last place both are known to share, in parts.
    fn send_history(&mut self, id: MemberId, last: Zxid, held: Held) {
        let outgoing = self.outgoing(last);
        let Some(leading) = self.leading() else { return };
        let epoch = leading.epoch;
        let Some(follower) = leading.followers.get_mut(&id) else {
            return;
        };
        let offset = outgoing.resume_at(held);
        follower.transfer = Some(outgoing);
        let attempt = follower.attempt;
        self.send_part(id, attempt, epoch, offset);
    }

    /// What a follower lacks whose history ends at `last`. Those who lack the same share one.
    fn outgoing(&mut self, last: Zxid) -> Outgoing {
        let (previous, frame) = match self.history.place_not_after(last) {
            Some(previous) => (previous, None),
            None => (self.history.frame.zxid, Some(self.history.frame.clone())),
        };
        let end = self.history.last();
        if let Role::Leading(leading) = &self.role {
            let mut others = leading.followers.values().filter_map(|follower| follower.transfer.as_ref());
            let wanted = (previous, end, frame.is_some());
            if let Some(same) = others.find(|other| (other.previous, other.last, other.has_frame) == wanted) {
                return same.clone();
            }
        }
        let entries: Vec<Entry> = self.history.after(previous).cloned().collect();
        Outgoing::new(&Missed { frame, previous, entries })
    }

    pub(super) fn on_next_part(&mut self, from: MemberId, attempt: Attempt, epoch: ZabEpoch, offset: u64) {
        let now = self.now;
        let is_voter = self.voters().iter().any(|voter| voter.id == from);
        let Some(leading) = self.leading() else { return };
        let Some(follower) = leading.follower(from, attempt, epoch) else { return };
        follower.heard = now;
        if is_voter {
            leading.progress = now;
        }
        self.send_part(from, attempt, epoch, offset);
    }

    fn send_part(&mut self, id: MemberId, attempt: Attempt, epoch: ZabEpoch, offset: u64) {
        let Some(follower) = self.leading().and_then(|leading| leading.follower(id, attempt, epoch)) else { return };
        let voter = follower.voter.clone();
        let part = follower.transfer.as_ref().and_then(|transfer| transfer.part(offset));
        if let Some(part) = part {
            self.send(voter, Message::NewLeader { attempt, epoch, part });
        }
    }

    pub(super) fn on_behind(&mut self, from: MemberId, attempt: Attempt, epoch: ZabEpoch, previous: Zxid, last: Zxid) {
        let Some(follower) = self.leading().and_then(|leading| leading.follower(from, attempt, epoch)) else { return };
        if follower.transfer.as_ref().is_some_and(|transfer| transfer.previous == previous) {
            self.send_history(from, last, Held::default());
        }
    }

    pub(super) fn own_ack(&mut self, epoch: ZabEpoch, last: Zxid) {
        let Some(leading) = self.leading() else { return };
        if leading.epoch == epoch {
            leading.own_synced = true;
            leading.own_acked = leading.own_acked.max(last);
            self.advance();
        }
    }

    /// ACK-LD, ACK, or a heartbeat's answer that stands for both: the follower is in step in this attempt, and
    /// everything up to `last` is durable there.
    pub(super) fn on_ack(&mut self, from: MemberId, attempt: Attempt, epoch: ZabEpoch, last: Zxid) {
        let now = self.now;
        let Some(leading) = self.leading() else { return };
        if !leading.has_history() {
            return;
        }
        let established = leading.is_established();
        let Some(follower) = leading.follower(from, attempt, epoch) else { return };
        follower.heard = now;
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

    pub(super) fn on_missing(&mut self, from: MemberId, attempt: Attempt, epoch: ZabEpoch, last: Zxid) {
        let now = self.now;
        let Some(follower) = self.leading().and_then(|leading| leading.follower(from, attempt, epoch)) else { return };
        follower.heard = now;
        if follower.synced {
            self.resend_after(from, attempt, epoch, last);
        }
    }

    /// Proposals that a follower in step did not get, some bytes at a time.
    fn resend_after(&mut self, id: MemberId, attempt: Attempt, epoch: ZabEpoch, last: Zxid) {
        if !self.history.contains(last) {
            return;
        }
        let upto = self.committed;
        let mut batches: Vec<(Zxid, Vec<Entry>)> = Vec::new();
        let mut previous = last;
        let mut weight = 0;
        for entry in self.history.after(last) {
            if batches.is_empty() || weight >= RESEND_BYTES {
                if batches.len() == RESEND_MESSAGES {
                    break;
                }
                batches.push((previous, Vec::new()));
                weight = 0;
            }
            weight += entry.payload.weight();
            previous = entry.zxid;
            if let Some((_, batch)) = batches.last_mut() {
                batch.push(entry.clone());
            }
        }
        let Some(follower) = self.leading().and_then(|leading| leading.follower(id, attempt, epoch)) else { return };
        let voter = follower.voter.clone();
        for (previous, entries) in batches {
            self.send(voter.clone(), Message::Propose { attempt, epoch, previous, entries, upto });
        }
    }

    /// Commits what a quorum holds.
    fn advance(&mut self) {
        let Role::Leading(leading) = &self.role else { return };
        if !leading.has_history() {
            return;
        }
        let durable_at = |voter: &Voter| match voter.id == self.me.id {
            true => leading.own_synced.then_some(leading.own_acked),
            false => leading.followers.get(&voter.id).filter(|follower| follower.synced).map(|follower| follower.acked),
        };
        let mut durable: Vec<Option<Zxid>> = self.voters().iter().map(durable_at).collect();
        durable.sort();
        durable.reverse();
        let Some(Some(upto)) = durable.get(self.quorum() - 1).copied() else {
            return;
        };
        if upto < leading.initial {
            return;
        }
        let (epoch, established, initial) = (leading.epoch, leading.is_established(), leading.initial);
        if !established {
            self.commit_upto(initial);
            if let Some(leading) = self.leading() {
                leading.stage = Stage::Broadcast;
            }
            self.actions.push(Action::Ready { epoch });
        }
        let before = self.committed;
        self.commit_upto(upto);
        if !established {
            self.send_commit();
        } else if self.committed > before
            && let Some(leading) = self.leading()
        {
            leading.untold_commit = true;
        }
        if established && self.committed > before && !self.is_voter() && !self.voters_change_pending() {
            // The change that let this node go is committed: another leads. The others learn of the commit first.
            self.send_commit();
            self.look();
        }
    }

    fn send_commit(&mut self) {
        let upto = self.committed;
        let Some(leading) = self.leading() else { return };
        leading.untold_commit = false;
        let epoch = leading.epoch;
        for (voter, attempt) in leading.synced() {
            self.send(voter, Message::Commit { attempt, epoch, upto });
        }
    }

    pub(super) fn broadcast(&mut self, payloads: Vec<Payload>) -> Option<Zxid> {
        let previous = self.history.last();
        let upto = self.committed;
        let leading = self.leading()?;
        if !leading.is_established() {
            return None;
        }
        leading.untold_commit = false;
        let epoch = leading.epoch;
        let mut entries = Vec::with_capacity(payloads.len());
        for payload in payloads {
            leading.counter += 1;
            entries.push(Entry { zxid: Zxid { epoch, counter: leading.counter }, payload });
        }
        let receivers = leading.synced();
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

    pub(super) fn on_pong(
        &mut self,
        from: MemberId,
        attempt: Attempt,
        epoch: ZabEpoch,
        stamp: u64,
        durable: Option<Zxid>,
    ) {
        let now = self.now;
        let Some(follower) = self.leading().and_then(|leading| leading.follower(from, attempt, epoch)) else { return };
        follower.heard = now;
        if let Some(last) = durable {
            follower.stamp = follower.stamp.max(Moment::from_micros(stamp));
            self.on_ack(from, attempt, epoch, last);
        }
    }

    pub(super) fn tick_leading(&mut self) {
        let (now, timing) = (self.now, self.timing);
        let Role::Leading(leading) = &self.role else { return };
        let (stage, since) = (leading.stage, leading.since);
        let in_touch = self.count_voters(|follower| now.since(follower.heard) < timing.patience);
        let late = stage != Stage::Broadcast && now.since(leading.progress) > timing.patience * 2;
        if (in_touch < self.quorum() && now.since(since) >= timing.patience) || late {
            self.look();
            return;
        }
        let Some(leading) = self.leading() else { return };
        let untold = leading.untold_commit;
        if now < leading.next_beat {
            if untold {
                self.send_commit();
            }
            return;
        }
        // The heartbeat says it too.
        leading.untold_commit = false;
        leading.next_beat = now + timing.beat;
        if stage == Stage::Discovery {
            let poll = self.own_poll();
            let others: Vec<Voter> = self.voters().iter().filter(|voter| voter.id != self.me.id).cloned().collect();
            for voter in others {
                self.send(voter, poll.clone());
            }
            self.try_new_epoch();
            return;
        }
        self.send_new_epoch();
        self.send_heartbeats();
    }

    /// To all who have acknowledged the epoch, in step or not: a transfer can take long.
    fn send_heartbeats(&mut self) {
        let (now, upto, last) = (self.now, self.committed, self.history.last());
        let Some(leading) = self.leading() else { return };
        let epoch = leading.epoch;
        leading.followers.retain(|_, follower| now.since(follower.heard) < FORGOTTEN_AFTER);
        let receivers: Vec<(Voter, Attempt)> = leading
            .followers
            .values()
            .filter(|follower| follower.standing.is_some())
            .map(|follower| (follower.voter.clone(), follower.attempt))
            .collect();
        for (voter, attempt) in receivers {
            self.send(voter, Message::Ping { attempt, epoch, stamp: now.micros(), upto, last });
        }
    }

    /// True while no other primary can be: a quorum, this node included, keeps to this one.
    pub fn lease_holds(&self, now: Moment) -> bool {
        let Role::Leading(leading) = &self.role else {
            return false;
        };
        if !leading.is_established() {
            return false;
        }
        let trusted = self.timing.lease.mul_f64(LEASE_TRUST);
        self.count_voters(|follower| now < follower.stamp + trusted) >= self.quorum()
    }

    /// Nodes that are in step and not yet voters.
    pub fn caught_up_learners(&self) -> Vec<Voter> {
        let Role::Leading(leading) = &self.role else {
            return Vec::new();
        };
        let voters = self.voters();
        leading
            .followers
            .values()
            .filter(|follower| {
                follower.synced
                    && follower.acked >= self.committed
                    && self.now.since(follower.heard) < self.timing.patience
                    && !voters.iter().any(|voter| voter.id == follower.voter.id)
            })
            .map(|follower| follower.voter.clone())
            .collect()
    }

    /// Voters of which nothing was heard for a time.
    pub fn silent_voters(&self, silence: Duration) -> Vec<Voter> {
        let Role::Leading(leading) = &self.role else {
            return Vec::new();
        };
        if self.now.since(leading.since) < silence {
            return Vec::new();
        }
        self.voters()
            .iter()
            .filter(|voter| {
                voter.id != self.me.id
                    && leading.followers.get(&voter.id).is_none_or(|follower| self.now.since(follower.heard) >= silence)
            })
            .cloned()
            .collect()
    }

    /// True when a majority of the voters would hold everything up to `zxid` without the one that leaves, whatever
    /// becomes of its disk. Only a leader can tell.
    pub fn is_durable_without(&self, leaver: MemberId, zxid: Zxid) -> bool {
        let Role::Leading(leading) = &self.role else {
            return false;
        };
        let holds = |voter: &&Voter| match voter.id == self.me.id {
            true => leading.own_synced && leading.own_acked >= zxid,
            false => leading.followers.get(&voter.id).is_some_and(|known| known.synced && known.acked >= zxid),
        };
        let holders = self.voters().iter().filter(|voter| voter.id != leaver).filter(holds).count();
        leading.is_established() && holders >= self.quorum()
    }
}
