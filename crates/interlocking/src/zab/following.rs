//! Phases 1 to 3 as a follower sees them.

use super::actions::{Action, Record};
use super::history::{Entry, Frame, History, Voter};
use super::messages::Message;
use super::node::{Role, Then, Zab};
use std::time::Duration;
use trackbed::clock::Moment;
use trackbed::ids::{MemberId, ZabEpoch, Zxid};

const ASK_EVERY: Duration = Duration::from_millis(150);

#[derive(Clone, Debug, Hash)]
pub(super) struct Following {
    pub leader: Voter,
    /// The epoch promised to this very leader in this very attempt.
    pub promised: Option<ZabEpoch>,
    /// The epoch whose history was adopted from this leader.
    pub synced: Option<ZabEpoch>,
    pub heard: Moment,
    pub asked: Moment,
}

impl Following {
    pub fn new(leader: Voter, now: Moment) -> Self {
        Self { leader, promised: None, synced: None, heard: now, asked: now }
    }

    pub fn is_in_step(&self, current: ZabEpoch) -> bool {
        self.synced == Some(current)
    }
}

impl Zab {
    /// CEPOCH.
    pub(super) fn ask_to_follow(&mut self) {
        let now = self.now;
        let (promised, promised_to) = (self.promised, self.promised_to);
        if let Role::Following(following) = &mut self.role {
            following.asked = now;
            following.synced = None;
            let leader = following.leader.clone();
            self.send(leader, Message::CurrentEpoch { promised, promised_to });
        }
    }

    pub(super) fn tick_following(&mut self) {
        let (now, patience) = (self.now, self.timing.patience);
        let Role::Following(following) = &self.role else { return };
        if now.since(following.heard) >= patience {
            self.look();
            self.tick_looking();
        } else if following.synced.is_none()
            && now.since(following.asked) >= if following.promised.is_some() { ASK_EVERY * 4 } else { ASK_EVERY }
        {
            self.ask_to_follow();
        }
    }

    fn following(&mut self, from: MemberId) -> Option<&mut Following> {
        match &mut self.role {
            Role::Following(following) if following.leader.id == from => Some(following),
            _ => None,
        }
    }

    pub(super) fn on_new_epoch(&mut self, from: Voter, epoch: ZabEpoch) {
        let (now, promised, promised_to, held) = (self.now, self.promised, self.promised_to, self.lease_given);
        let (current, last) = self.standing();
        let Some(following) = self.following(from.id) else {
            return;
        };
        following.heard = now;
        if epoch > promised {
            if held.0 != from.id && now < held.1 {
                // The lease of the leader last heard may still run. The new one asks again.
                return;
            }
            following.promised = Some(epoch);
            following.synced = None;
            self.promised = epoch;
            self.promised_to = from.id;
            let records = vec![Record::Promised(epoch, from.id)];
            self.persist(records, Then::Tell { to: from, message: Message::AckEpoch { epoch, current, last } });
        } else if epoch == promised && promised_to == from.id && following.synced.is_none() {
            following.promised = Some(epoch);
            // Behind the first write in the order of the disk, so never before it is durable.
            self.persist(Vec::new(), Then::Tell { to: from, message: Message::AckEpoch { epoch, current, last } });
        }
    }

    pub(super) fn on_new_leader(
        &mut self,
        from: Voter,
        epoch: ZabEpoch,
        previous: Zxid,
        entries: Vec<Entry>,
        frame: Option<Frame>,
    ) {
        let now = self.now;
        if epoch != self.promised {
            return;
        }
        let Some(following) = self.following(from.id) else {
            return;
        };
        if following.promised != Some(epoch) {
            return;
        }
        following.heard = now;
        let mut records = Vec::new();
        if let Some(frame) = frame.filter(|frame| frame.zxid > self.delivered) {
            records.push(Record::Restart(frame.clone()));
            self.delivered = frame.zxid;
            self.committed = frame.zxid;
            self.actions.push(Action::DeliverFrame { zxid: frame.zxid, state: frame.state.clone() });
            self.history = History::new(frame);
        }
        if !self.history.contains(previous) {
            let last = self.history.place_not_after(previous).unwrap_or(Zxid::ZERO);
            self.send(from, Message::Behind { epoch, last });
            if records.is_empty() {
                return;
            }
            self.persist(records, Then::Nothing);
            return;
        }
        // What agrees already stays; from the first difference on, the leader's history counts.
        let mut agreed = previous;
        let mut entries = entries.into_iter().peekable();
        while let Some(entry) = entries.peek() {
            if !self.history.contains(entry.zxid) {
                break;
            }
            agreed = entry.zxid;
            entries.next();
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
        self.current = epoch;
        records.push(Record::Current(epoch));
        let last = self.history.last();
        if let Some(following) = self.following(from.id) {
            following.synced = Some(epoch);
        }
        self.persist(records, Then::Tell { to: from, message: Message::AckLeader { epoch, last } });
    }

    pub(super) fn on_propose(&mut self, from: Voter, epoch: ZabEpoch, previous: Zxid, entries: Vec<Entry>, upto: Zxid) {
        let (now, current, promised) = (self.now, self.current, self.promised);
        let Some(following) = self.following(from.id) else {
            return;
        };
        if !following.is_in_step(current) || epoch != current || promised != current {
            return;
        }
        following.heard = now;
        let known = self.history.last();
        if previous > known {
            // Something was lost on the way: the leader brings this follower into step again.
            if let Some(following) = self.following(from.id)
                && now.since(following.asked) >= ASK_EVERY
            {
                self.ask_to_follow();
            }
            return;
        }
        let mut records = Vec::new();
        for entry in entries.into_iter().filter(|entry| entry.zxid > known) {
            records.push(Record::Append(entry.clone()));
            self.history.append(entry);
        }
        let last = self.history.last();
        self.persist(records, Then::Tell { to: from, message: Message::Ack { epoch, last } });
        self.commit_upto(upto);
    }

    pub(super) fn on_commit(&mut self, from: MemberId, epoch: ZabEpoch, upto: Zxid) {
        let (now, current) = (self.now, self.current);
        let Some(following) = self.following(from) else { return };
        if following.is_in_step(current) && epoch == current {
            following.heard = now;
            self.commit_upto(upto);
        }
    }

    pub(super) fn on_ping(&mut self, from: Voter, epoch: ZabEpoch, stamp: u64, upto: Zxid) {
        let (now, current, promised) = (self.now, self.current, self.promised);
        let gone = self.gone.is_some_and(|(id, last)| id == from.id && epoch <= last);
        if matches!(self.role, Role::Looking { .. }) && epoch >= current && !gone {
            self.follow(from);
            return;
        }
        let lease = self.timing.lease;
        let behind = upto > self.history.last();
        let Some(following) = self.following(from.id) else {
            return;
        };
        following.heard = now;
        if following.is_in_step(current) && epoch == current && promised == current {
            if behind && now.since(following.asked) >= ASK_EVERY * 2 {
                self.ask_to_follow();
            }
            self.lease_given = (from.id, now + lease);
            self.commit_upto(upto);
            self.send(from, Message::Pong { epoch, stamp });
        }
    }
}
