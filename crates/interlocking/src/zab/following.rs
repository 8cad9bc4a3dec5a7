//! Phases 1 to 3 as a follower sees them.
//!
//! Every message of a leader is taken only in the attempt that it bears. Within one attempt each handler can be
//! called again, late, or out of order: NEWEPOCH and NEWLEADER count only before the follower is in step, proposals
//! and commits only move the history on.

use super::actions::{Action, Record};
use super::history::{Entry, History, Voter};
use super::messages::{Attempt, Message};
use super::node::{Role, Then, Zab};
use super::transfer::{Incoming, Missed, Part};
use std::time::Duration;
use trackbed::clock::Moment;
use trackbed::ids::{MemberId, ZabEpoch, Zxid};

const ASK_EVERY: Duration = Duration::from_millis(150);
/// Silence in discovery or in a transfer after which the attempt is given up for a new one.
const ATTEMPT_SILENCE: Duration = Duration::from_millis(600);
/// Between two questions for the same lost proposals.
const MISSING_EVERY: Duration = Duration::from_millis(60);
/// Questions for lost proposals that may go unanswered: the leader may no longer have them.
const MISSING_QUESTIONS: u32 = 8;

/// One attempt to follow a leader.
#[derive(Clone, Debug, Hash)]
pub(super) struct Following {
    pub leader: Voter,
    pub attempt: Attempt,
    /// The epoch promised to this very leader in this very attempt.
    pub promised: Option<ZabEpoch>,
    /// The epoch whose history was adopted in this attempt.
    pub synced: Option<ZabEpoch>,
    /// Everything up to here is durable in this attempt; `None` until the adopted history is.
    pub durable: Option<Zxid>,
    /// When the leader last sent something new. A message that is late or doubled is no sign of life.
    pub heard: Moment,
    /// The newest heartbeat's stamp, on the leader's clock.
    pub stamp: u64,
    /// When something was last asked for, or came.
    pub asked: Moment,
    /// Questions for lost proposals since the last proposal that could be taken.
    pub missing_asked: u32,
}

impl Following {
    pub fn new(leader: Voter, attempt: Attempt, now: Moment) -> Self {
        Self {
            leader,
            attempt,
            promised: None,
            synced: None,
            durable: None,
            heard: now,
            stamp: 0,
            asked: now,
            missing_asked: 0,
        }
    }

    pub fn is_in_step(&self, current: ZabEpoch) -> bool {
        self.synced == Some(current)
    }
}

impl Zab {
    /// Begins an attempt, with CEPOCH. What an earlier attempt was told and asked counts no more.
    pub(super) fn begin_attempt(&mut self, leader: Voter) {
        self.attempt.number += 1;
        let attempt = self.attempt;
        self.role = Role::Following(Following::new(leader.clone(), attempt, self.now));
        let (promised, promised_to) = (self.promised, self.promised_to);
        self.send(leader, Message::CurrentEpoch { attempt, promised, promised_to });
    }

    /// Begins anew with the same leader and the same process of it: what it last sent counts on.
    fn begin_again(&mut self) {
        let Role::Following(following) = &self.role else { return };
        let (leader, heard, stamp) = (following.leader.clone(), following.heard, following.stamp);
        self.begin_attempt(leader);
        if let Role::Following(following) = &mut self.role {
            following.heard = heard;
            following.stamp = stamp;
        }
    }

    pub(super) fn tick_following(&mut self) {
        let (now, patience) = (self.now, self.timing.patience);
        let Role::Following(following) = &self.role else { return };
        let answer_limit = if following.promised.is_some() { ATTEMPT_SILENCE } else { ASK_EVERY };
        if now.since(following.heard) >= patience {
            self.look();
            self.tick_looking();
        } else if following.synced.is_none() && now.since(following.asked) >= answer_limit {
            self.begin_again();
        }
    }

    /// The attempt with that leader; `None` for a message of another.
    fn following(&mut self, from: MemberId, attempt: Attempt) -> Option<&mut Following> {
        match &mut self.role {
            Role::Following(following) if following.leader.id == from && following.attempt == attempt => {
                Some(following)
            }
            _ => None,
        }
    }

    /// The same, in step in that epoch, with no later one promised.
    fn in_step(&mut self, from: MemberId, attempt: Attempt, epoch: ZabEpoch) -> Option<&mut Following> {
        let (current, promised) = (self.current, self.promised);
        self.following(from, attempt)
            .filter(|following| following.is_in_step(current) && epoch == current && promised == current)
    }

    pub(super) fn note_durable(&mut self, attempt: Attempt, last: Zxid) {
        if let Role::Following(following) = &mut self.role
            && following.attempt == attempt
        {
            following.durable = following.durable.max(Some(last));
        }
    }

    pub(super) fn on_new_epoch(&mut self, from: Voter, attempt: Attempt, epoch: ZabEpoch) {
        let (now, promised, promised_to, lease) = (self.now, self.promised, self.promised_to, self.lease_given);
        let (current, last) = self.standing();
        let held = self.incoming.held();
        let Some(following) = self.following(from.id, attempt) else {
            return;
        };
        if following.synced.is_some() {
            return;
        }
        following.heard = now;
        let answer = Message::AckEpoch { attempt, epoch, current, last, held };
        if epoch > promised {
            if lease.0 != from.id && now < lease.1 {
                // The lease of the leader last heard may still run. The new one asks again.
                return;
            }
            following.promised = Some(epoch);
            self.promised = epoch;
            self.promised_to = from.id;
            log::info!("promises epoch {epoch} to {}", from.id);
            let records = vec![Record::Promised(epoch, from.id)];
            self.persist(records, Then::Tell { to: from, message: answer });
        } else if epoch == promised && promised_to == from.id {
            following.promised = Some(epoch);
            // Behind the first write in the order of the disk, so never before it is durable.
            self.persist(Vec::new(), Then::Tell { to: from, message: answer });
        }
    }

    /// Gathers the leader's history, and adopts it with the epoch once all of it is here.
    pub(super) fn on_new_leader(&mut self, from: Voter, attempt: Attempt, epoch: ZabEpoch, part: Part) {
        let (now, promised) = (self.now, self.promised);
        let Some(following) = self.following(from.id, attempt) else {
            return;
        };
        // A second NEWLEADER of an epoch in step would undo what was acknowledged since the first.
        if epoch != promised || following.promised != Some(epoch) || following.synced.is_some() {
            return;
        }
        if part.offset != 0 && part.offset != self.incoming.length() {
            // Late or doubled: what was asked for is on its way.
            return;
        }
        if let Some(following) = self.following(from.id, attempt) {
            following.heard = now;
            following.asked = now;
        }
        match self.incoming.take(part) {
            Ok(None) => {
                let offset = self.incoming.length();
                self.send(from, Message::NextPart { attempt, epoch, offset });
            }
            Ok(Some(missed)) => self.adopt(from, attempt, epoch, missed),
            Err(error) => {
                log::warn!("{error}");
                self.incoming = Incoming::default();
            }
        }
    }

    fn adopt(&mut self, from: Voter, attempt: Attempt, epoch: ZabEpoch, missed: Missed) {
        let Missed { snapshot, previous, entries } = missed;
        let snapshot = snapshot.filter(|snapshot| snapshot.zxid > self.delivered);
        if snapshot.is_none() && !self.history.contains(previous) {
            let last = self.history.place_not_after(previous).unwrap_or(Zxid::ZERO);
            self.send(from, Message::Behind { attempt, epoch, previous, last });
            return;
        }
        let mut records = Vec::new();
        if let Some(snapshot) = snapshot {
            records.push(Record::Restart(snapshot.clone()));
            self.delivered = snapshot.zxid;
            self.committed = snapshot.zxid;
            self.actions.push(Action::DeliverSnapshot { zxid: snapshot.zxid, state: snapshot.state.clone() });
            self.history = History::new(snapshot);
        }
        self.take_history(previous, entries, &mut records);
        self.current = epoch;
        records.push(Record::Current(epoch));
        let last = self.history.last();
        if let Some(following) = self.following(from.id, attempt) {
            following.synced = Some(epoch);
        }
        let message = Message::AckLeader { attempt, epoch, last };
        self.persist(records, Then::Acknowledge { to: from, attempt, last, message });
    }

    /// What agrees already stays; from the first difference on, the leader's history counts.
    fn take_history(&mut self, previous: Zxid, entries: Vec<Entry>, records: &mut Vec<Record>) {
        let mut agreed = previous;
        let mut entries = entries.into_iter().peekable();
        while let Some(entry) = entries.next_if(|entry| self.history.contains(entry.zxid)) {
            agreed = entry.zxid;
        }
        if self.history.last() > agreed {
            assert!(agreed >= self.delivered, "a delivered transaction is in every later leader's history");
            self.history.truncate(agreed);
            records.push(Record::Truncate(agreed));
        }
        for entry in entries {
            records.push(Record::Append(entry.clone()));
            self.history.append(entry);
        }
    }

    pub(super) fn on_propose(
        &mut self,
        from: Voter,
        attempt: Attempt,
        epoch: ZabEpoch,
        previous: Zxid,
        entries: Vec<Entry>,
        upto: Zxid,
    ) {
        let now = self.now;
        let known = self.history.last();
        let Some(following) = self.in_step(from.id, attempt, epoch) else {
            return;
        };
        if entries.last().is_some_and(|entry| entry.zxid > known) {
            following.heard = now;
        }
        if previous > known {
            // Something was lost on the way, or comes later.
            self.ask_for_missing(from);
            return;
        }
        following.missing_asked = 0;
        let mut records = Vec::new();
        for entry in entries.into_iter().filter(|entry| entry.zxid > known) {
            records.push(Record::Append(entry.clone()));
            self.history.append(entry);
        }
        let last = self.history.last();
        let message = Message::Ack { attempt, epoch, last };
        self.persist(records, Then::Acknowledge { to: from, attempt, last, message });
        self.commit_upto(upto);
    }

    /// Asks for what comes after this history; begins anew where the leader can't give it.
    fn ask_for_missing(&mut self, leader: Voter) {
        let (now, epoch, last) = (self.now, self.current, self.history.last());
        let Role::Following(following) = &mut self.role else { return };
        if now.since(following.asked) < MISSING_EVERY {
            return;
        }
        following.asked = now;
        following.missing_asked += 1;
        if following.missing_asked > MISSING_QUESTIONS {
            self.begin_again();
            return;
        }
        let attempt = following.attempt;
        self.send(leader, Message::Missing { attempt, epoch, last });
    }

    pub(super) fn on_commit(&mut self, from: MemberId, attempt: Attempt, epoch: ZabEpoch, upto: Zxid) {
        if self.in_step(from, attempt, epoch).is_some() {
            self.commit_upto(upto);
        }
    }

    /// `ends`: how far the leader has committed, and how far it has proposed.
    pub(super) fn on_ping(&mut self, from: Voter, attempt: Attempt, epoch: ZabEpoch, stamp: u64, ends: (Zxid, Zxid)) {
        let (upto, last) = ends;
        let gone = self.gone.is_some_and(|(id, last)| id == from.id && epoch <= last);
        if matches!(self.role, Role::Looking { .. }) && epoch >= self.current && !gone {
            // The heartbeat may be an old one: what the leader says of itself now is what counts.
            let poll = self.own_poll();
            self.send(from, poll);
            return;
        }
        let now = self.now;
        let lease = self.timing.lease;
        let behind = last > self.history.last();
        if let Some(following) = self.in_step(from.id, attempt, epoch) {
            if stamp <= following.stamp {
                return;
            }
            following.stamp = stamp;
            following.heard = now;
            let durable = following.durable;
            if behind {
                self.ask_for_missing(from.clone());
            }
            self.lease_given = (from.id, now + lease);
            self.commit_upto(upto);
            self.send(from, Message::Pong { attempt, epoch, stamp, durable });
            return;
        }
        self.on_ping_out_of_step(from, attempt, epoch, stamp);
    }

    /// A heartbeat for another attempt than this one, or before the history is here.
    fn on_ping_out_of_step(&mut self, from: Voter, attempt: Attempt, epoch: ZabEpoch, stamp: u64) {
        let now = self.now;
        let Role::Following(following) = &mut self.role else { return };
        if following.leader.id != from.id || stamp <= following.stamp {
            return;
        }
        following.stamp = stamp;
        following.heard = now;
        if following.attempt == attempt {
            self.send(from, Message::Pong { attempt, epoch, stamp, durable: None });
        } else if following.synced.is_some() && now.since(following.asked) >= ASK_EVERY {
            // The leader goes by another attempt, and counts nothing of this one.
            self.begin_again();
        }
    }
}
