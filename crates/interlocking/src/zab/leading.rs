//! Phases 1 to 3 as a leader sees them.

use super::actions::Record;
use super::history::{Entry, Payload, Voter};
use super::messages::Message;
use super::node::{Role, Then, Zab};
use std::collections::BTreeMap;
use std::time::Duration;
use trackbed::clock::Moment;
use trackbed::ids::{MemberId, ZabEpoch, Zxid};

/// Share of the lease that a leader trusts: clocks run at slightly different speeds.
const LEASE_TRUST: f64 = 0.9;

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

#[derive(Clone, Debug, Hash)]
struct Follower {
    voter: Voter,
    promised: ZabEpoch,
    /// What its ACK-E said.
    standing: Option<(ZabEpoch, Zxid)>,
    /// The history was sent, and every proposal since goes out to it in order.
    sent: bool,
    synced: bool,
    /// Durable there, in this epoch. Invariant: in this leader's history.
    acked: Zxid,
    heard: Moment,
    /// This leader's clock when it sent the newest heartbeat that came back.
    stamp: Moment,
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
            next_beat: now,
            untold_commit: false,
        }
    }

    pub fn is_established(&self) -> bool {
        self.stage == Stage::Broadcast
    }

    pub fn hear_epoch(&mut self, voter: Voter, promised: ZabEpoch, now: Moment) {
        self.highest = self.highest.max(promised);
        let fresh = Follower {
            voter: voter.clone(),
            promised,
            standing: None,
            sent: false,
            synced: false,
            acked: Zxid::ZERO,
            heard: now,
            stamp: Moment::default(),
        };
        // A follower that asks again starts over: it may be another life of the process.
        self.followers.insert(voter.id, fresh);
    }
}

impl Zab {
    fn leading(&mut self) -> Option<&mut Leading> {
        match &mut self.role {
            Role::Leading(leading) => Some(leading),
            _ => None,
        }
    }

    fn count_voters(&self, holds: impl Fn(&Follower) -> bool, own: bool) -> usize {
        let Role::Leading(leading) = &self.role else { return 0 };
        self.voters()
            .iter()
            .filter(
                |voter| {
                    if voter.id == self.me.id { own } else { leading.followers.get(&voter.id).is_some_and(&holds) }
                },
            )
            .count()
    }

    pub(super) fn on_current_epoch(&mut self, from: Voter, promised: ZabEpoch, promised_to: MemberId) {
        let (now, me) = (self.now, self.me.id);
        let Some(leading) = self.leading() else { return };
        leading.hear_epoch(from.clone(), promised, now);
        match leading.stage {
            Stage::Discovery => self.try_new_epoch(),
            _ if promised > leading.epoch || (promised == leading.epoch && promised_to != me) => {
                // It can never acknowledge this epoch: a later one is needed.
                log::info!("a member promised epoch {promised} already: a later epoch is sought");
                self.look();
            }
            _ => {
                let epoch = leading.epoch;
                self.send(from, Message::NewEpoch { epoch });
            }
        }
    }

    pub(super) fn try_new_epoch(&mut self) {
        let count = self.count_voters(|_| true, true);
        let held = self.lease_given;
        if count < self.quorum() || (held.0 != self.me.id && self.now < held.1) {
            // Too few, or the lease of the leader last heard may still run.
            return;
        }
        let (promised, me) = (self.promised, self.me.id);
        let Some(leading) = self.leading() else { return };
        if leading.stage != Stage::Discovery {
            return;
        }
        let epoch = ZabEpoch(leading.highest.max(promised).0 + 1);
        leading.epoch = epoch;
        leading.stage = Stage::NewEpoch;
        self.promised = epoch;
        self.promised_to = me;
        self.persist(vec![Record::Promised(epoch, me)], Then::OwnPromise(epoch));
        self.tell_new_epoch();
    }

    fn tell_new_epoch(&mut self) {
        let me = self.me.id;
        let Some(leading) = self.leading() else { return };
        let epoch = leading.epoch;
        let waiting: Vec<Voter> = leading
            .followers
            .values()
            .filter(|follower| follower.standing.is_none() && follower.voter.id != me && follower.promised <= epoch)
            .map(|follower| follower.voter.clone())
            .collect();
        for voter in waiting {
            self.send(voter, Message::NewEpoch { epoch });
        }
    }

    pub(super) fn own_promise(&mut self, epoch: ZabEpoch) {
        let Some(leading) = self.leading() else { return };
        if leading.epoch == epoch && leading.stage == Stage::NewEpoch {
            leading.own_promised = true;
            self.try_synchronise();
        }
    }

    pub(super) fn on_ack_epoch(&mut self, from: MemberId, epoch: ZabEpoch, current: ZabEpoch, last: Zxid) {
        let now = self.now;
        let own = self.standing();
        let is_voter = self.voters().iter().any(|voter| voter.id == from);
        let Some(leading) = self.leading() else { return };
        if leading.epoch != epoch {
            return;
        }
        let stage = leading.stage;
        let Some(follower) = leading.followers.get_mut(&from) else {
            return;
        };
        follower.heard = now;
        follower.standing = Some((current, last));
        match stage {
            Stage::NewEpoch => {
                if is_voter && (current, last) > own {
                    // It has the later history, and leads better than one that would have to fetch it.
                    self.look();
                    return;
                }
                self.try_synchronise();
            }
            Stage::Synchronisation | Stage::Broadcast if !follower.sent => self.send_history(from, last),
            _ => {}
        }
    }

    fn try_synchronise(&mut self) {
        let Role::Leading(leading) = &self.role else { return };
        if leading.stage != Stage::NewEpoch || !leading.own_promised {
            return;
        }
        if self.count_voters(|follower| follower.standing.is_some(), true) < self.quorum() {
            return;
        }
        let initial = self.history.last();
        let Some(leading) = self.leading() else { return };
        leading.stage = Stage::Synchronisation;
        leading.initial = initial;
        let epoch = leading.epoch;
        let waiting: Vec<(MemberId, Zxid)> = leading
            .followers
            .iter()
            .filter_map(|(id, follower)| follower.standing.map(|(_, last)| (*id, last)))
            .collect();
        self.current = epoch;
        self.persist(vec![Record::Current(epoch)], Then::OwnEpoch(epoch));
        for (id, last) in waiting {
            self.send_history(id, last);
        }
    }

    pub(super) fn own_sync_point(&self, epoch: ZabEpoch) -> Zxid {
        match &self.role {
            Role::Leading(leading) if leading.epoch == epoch => leading.initial,
            _ => Zxid::ZERO,
        }
    }

    /// NEWLEADER with what follows the last place both are known to share.
    fn send_history(&mut self, id: MemberId, last: Zxid) {
        let place = self.history.place_not_after(last);
        let (previous, frame) = match place {
            Some(previous) => (previous, None),
            None => (self.history.frame.zxid, Some(self.history.frame.clone())),
        };
        let entries: Vec<Entry> = self.history.after(previous).cloned().collect();
        let Some(leading) = self.leading() else { return };
        let epoch = leading.epoch;
        let Some(follower) = leading.followers.get_mut(&id) else {
            return;
        };
        follower.sent = true;
        follower.synced = false;
        let voter = follower.voter.clone();
        self.send(voter, Message::NewLeader { epoch, previous, entries, frame });
    }

    pub(super) fn on_behind(&mut self, from: MemberId, epoch: ZabEpoch, last: Zxid) {
        let Some(leading) = self.leading() else { return };
        if leading.epoch == epoch && matches!(leading.stage, Stage::Synchronisation | Stage::Broadcast) {
            self.send_history(from, last);
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

    pub(super) fn on_ack(&mut self, from: MemberId, epoch: ZabEpoch, last: Zxid, syncs: bool) {
        let now = self.now;
        let Some(leading) = self.leading() else { return };
        if leading.epoch != epoch {
            return;
        }
        let established = leading.is_established();
        let Some(follower) = leading.followers.get_mut(&from) else {
            return;
        };
        follower.heard = now;
        if syncs && follower.sent {
            follower.synced = true;
            follower.stamp = follower.stamp.max(Moment::default());
        }
        if follower.synced {
            follower.acked = follower.acked.max(last);
        }
        let voter = follower.voter.clone();
        self.advance();
        if syncs && established {
            let upto = self.committed;
            self.send(voter, Message::Commit { epoch, upto });
        }
    }

    /// Commits what a quorum holds.
    fn advance(&mut self) {
        let Role::Leading(leading) = &self.role else { return };
        if !matches!(leading.stage, Stage::Synchronisation | Stage::Broadcast) {
            return;
        }
        let mut held: Vec<Option<Zxid>> = self
            .voters()
            .iter()
            .map(|voter| {
                if voter.id == self.me.id {
                    leading.own_synced.then_some(leading.own_acked)
                } else {
                    leading.followers.get(&voter.id).filter(|follower| follower.synced).map(|follower| follower.acked)
                }
            })
            .collect();
        held.sort();
        held.reverse();
        let Some(Some(upto)) = held.get(self.quorum() - 1).copied() else {
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
            self.actions.push(super::actions::Action::Ready { epoch });
        }
        let before = self.committed;
        self.commit_upto(upto);
        if !established {
            self.tell_commit();
        } else if self.committed > before
            && let Some(leading) = self.leading()
        {
            leading.untold_commit = true;
        }
        if established && self.committed > before && !self.is_voter() && !self.voters_change_pending() {
            // The change that let this node go is committed: another leads.
            self.look();
        }
    }

    fn tell_commit(&mut self) {
        let upto = self.committed;
        let Some(leading) = self.leading() else { return };
        leading.untold_commit = false;
        let epoch = leading.epoch;
        for voter in self.synced_followers() {
            self.send(voter, Message::Commit { epoch, upto });
        }
    }

    fn synced_followers(&mut self) -> Vec<Voter> {
        let me = self.me.id;
        self.leading()
            .map(|leading| {
                leading
                    .followers
                    .values()
                    .filter(|follower| follower.synced && follower.voter.id != me)
                    .map(|follower| follower.voter.clone())
                    .collect()
            })
            .unwrap_or_default()
    }

    pub(super) fn broadcast(&mut self, payloads: Vec<Payload>) -> Option<Zxid> {
        let previous = self.history.last();
        let (me, upto) = (self.me.id, self.committed);
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
        let receivers: Vec<Voter> = leading
            .followers
            .values()
            .filter(|follower| follower.sent && follower.voter.id != me)
            .map(|follower| follower.voter.clone())
            .collect();
        let mut records = Vec::with_capacity(entries.len());
        for entry in &entries {
            records.push(Record::Append(entry.clone()));
            self.history.append(entry.clone());
        }
        let last = self.history.last();
        self.persist(records, Then::OwnAck(epoch, last));
        for voter in receivers {
            self.send(voter, Message::Propose { epoch, previous, entries: entries.clone(), upto });
        }
        Some(last)
    }

    pub(super) fn on_pong(&mut self, from: MemberId, epoch: ZabEpoch, stamp: u64) {
        let now = self.now;
        let Some(leading) = self.leading() else { return };
        if leading.epoch != epoch {
            return;
        }
        if let Some(follower) = leading.followers.get_mut(&from) {
            follower.heard = now;
            follower.stamp = follower.stamp.max(Moment::from_micros(stamp));
        }
    }

    pub(super) fn tick_leading(&mut self) {
        let (now, timing) = (self.now, self.timing);
        let Role::Leading(leading) = &self.role else { return };
        let (stage, since) = (leading.stage, leading.since);
        let in_touch = self.count_voters(|follower| now.since(follower.heard) < timing.patience, true);
        let late = stage != Stage::Broadcast && now.since(since) > timing.patience * 2;
        if (in_touch < self.quorum() && now.since(since) >= timing.patience) || late {
            self.look();
            return;
        }
        let Some(leading) = self.leading() else { return };
        let untold = leading.untold_commit;
        if now < leading.next_beat {
            if untold {
                self.tell_commit();
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
        self.tell_new_epoch();
        let (upto, me) = (self.committed, self.me.id);
        let Some(leading) = self.leading() else { return };
        let epoch = leading.epoch;
        leading.followers.retain(|_, follower| now.since(follower.heard) < Duration::from_secs(30));
        let receivers: Vec<Voter> = leading
            .followers
            .values()
            .filter(|follower| follower.sent && follower.voter.id != me)
            .map(|follower| follower.voter.clone())
            .collect();
        for voter in receivers {
            self.send(voter, Message::Ping { epoch, stamp: now.micros(), upto });
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
        self.count_voters(|follower| now < follower.stamp + trusted, true) >= self.quorum()
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
                    && follower.voter.id != self.me.id
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
}
