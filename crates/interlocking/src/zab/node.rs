//! One member: what it holds, and where inputs go.

use super::actions::{Action, Record, Ticket};
use super::following::Following;
use super::history::{Entry, History, Payload, Snapshot, TailLimits, Voter};
use super::leading::Leading;
use super::messages::{Attempt, Envelope, Message, PollState};
use super::transfer::Incoming;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;
use trackbed::clock::Moment;
use trackbed::ids::{MemberId, ZabEpoch, Zxid};

/// The intervals of elections, heartbeats and leases.
#[derive(Clone, Copy, Debug, Hash)]
pub struct Timing {
    /// Between heartbeats.
    pub beat: Duration,
    /// Silence after which a leader, or a quorum, is given up.
    pub patience: Duration,
    /// For how long a follower that heard its leader takes no other. Invariant: below `patience`.
    pub lease: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            beat: Duration::from_millis(110),
            patience: Duration::from_millis(700),
            lease: Duration::from_millis(560),
        }
    }
}

/// What a member finds on its disk.
#[derive(Clone, Debug, PartialEq, Hash)]
pub struct Image {
    /// The member's identity.
    pub member: MemberId,
    /// The latest epoch that it promised.
    pub promised: ZabEpoch,
    /// The leader to which that was promised.
    pub promised_to: MemberId,
    /// The epoch whose history it last adopted.
    pub current: ZabEpoch,
    /// The snapshot that the history begins with.
    pub snapshot: Snapshot,
    /// The entries after the snapshot.
    pub entries: Vec<Entry>,
}

impl Image {
    /// The image of a member that has neither promised nor stored anything.
    pub fn empty(member: MemberId, voters: Vec<Voter>) -> Self {
        let snapshot = Snapshot { zxid: Zxid::ZERO, voters, state: Vec::new() };
        Self {
            member,
            promised: ZabEpoch(0),
            promised_to: MemberId(0),
            current: ZabEpoch(0),
            snapshot,
            entries: Vec::new(),
        }
    }

    /// Takes one more record from the log.
    pub fn replay(&mut self, record: Record) {
        match record {
            Record::Promised(epoch, leader) => {
                self.promised = epoch;
                self.promised_to = leader;
            }
            Record::Current(epoch) => self.current = epoch,
            Record::Append(entry) => self.entries.push(entry),
            Record::Truncate(zxid) => self.entries.retain(|entry| entry.zxid <= zxid),
            Record::Restart(snapshot) => {
                self.snapshot = snapshot;
                self.entries.clear();
            }
        }
    }
}

#[derive(Clone, Debug, Hash)]
pub(super) enum Role {
    Looking { since: Moment },
    Following(Following),
    Leading(Box<Leading>),
}

/// What another member said of itself in the election, and when.
#[derive(Clone, Debug, Hash)]
pub(super) struct Heard {
    pub voter: Voter,
    pub promised: ZabEpoch,
    pub current: ZabEpoch,
    pub last: Zxid,
    pub state: PollState,
    pub at: Moment,
}

/// What to do once a write is durable.
#[derive(Clone, Debug, Hash)]
pub(super) enum Then {
    Tell {
        to: Voter,
        message: Message,
    },
    /// As `Tell`; with it, everything up to the zxid is durable in that attempt.
    Acknowledge {
        to: Voter,
        attempt: Attempt,
        last: Zxid,
        message: Message,
    },
    /// The leader's own part in a quorum.
    OwnPromise(ZabEpoch),
    OwnEpoch(ZabEpoch),
    OwnAck(ZabEpoch, Zxid),
}

/// One member's protocol state.
#[derive(Clone, Debug, Hash)]
pub struct Zab {
    pub(super) me: Voter,
    pub(super) timing: Timing,
    /// f.p: no message of an earlier epoch is acknowledged any more. Durable before it is told.
    pub(super) promised: ZabEpoch,
    /// Whose epoch that is.
    pub(super) promised_to: MemberId,
    /// f.a: the last epoch whose history was adopted. Invariant: current ≤ promised.
    pub(super) current: ZabEpoch,
    pub(super) history: History,
    /// Invariant: delivered ≤ committed ≤ history.last().
    pub(super) committed: Zxid,
    pub(super) delivered: Zxid,
    pub(super) role: Role,
    pub(super) polls: BTreeMap<MemberId, Heard>,
    pub(super) next_poll: Moment,
    /// Until then no other leader's epoch is promised: the lease of the one last heard may run.
    pub(super) lease_given: (MemberId, Moment),
    /// Who retired last, and in which epoch at most: heartbeats of before mean nothing.
    pub(super) gone: Option<(MemberId, ZabEpoch)>,
    /// This process is about to end: it takes no part any more.
    pub(super) retired: bool,
    /// Voters seen idle in this life of the process.
    pub(super) seen_idle: BTreeSet<MemberId>,
    /// Where to ask when no voter is known or reachable.
    pub(super) contacts: Vec<std::net::SocketAddr>,
    pub(super) waiting: VecDeque<(Ticket, Then)>,
    /// The last attempt to follow anybody.
    pub(super) attempt: Attempt,
    /// What was gathered of a history so far. It outlives the attempt, so that the next one goes on from there.
    pub(super) incoming: Incoming,
    next_ticket: u64,
    pub(super) actions: Vec<Action>,
    pub(super) now: Moment,
}

impl Zab {
    /// `life` is drawn at random at each start of the process.
    pub fn start(image: Image, me: Voter, timing: Timing, life: u64, now: Moment) -> Self {
        let fresh = image.promised == ZabEpoch(0) && image.entries.is_empty();
        let mut history = History::new(image.snapshot);
        for entry in image.entries {
            history.append(entry);
        }
        let delivered = history.snapshot.zxid;
        let held_until = if fresh { now } else { now + timing.lease };
        Self {
            me,
            timing,
            promised: image.promised,
            promised_to: image.promised_to,
            current: image.current,
            history,
            committed: delivered,
            delivered,
            role: Role::Looking { since: now },
            polls: BTreeMap::new(),
            next_poll: now,
            lease_given: (MemberId(0), held_until),
            gone: None,
            retired: false,
            seen_idle: BTreeSet::new(),
            contacts: Vec::new(),
            waiting: VecDeque::new(),
            attempt: Attempt { life, number: 0 },
            incoming: Incoming::default(),
            next_ticket: 0,
            actions: Vec::new(),
            now,
        }
    }

    /// This member.
    pub fn me(&self) -> &Voter {
        &self.me
    }
    /// Sets the addresses that are asked when no voter is known or reachable.
    pub fn set_contacts(&mut self, contacts: Vec<std::net::SocketAddr>) {
        self.contacts = contacts;
    }
    /// The voters in force at the end of the history, committed or not.
    pub fn voters(&self) -> &Vec<Voter> {
        self.history.voters()
    }
    /// Whether this member is among the voters.
    pub fn is_voter(&self) -> bool {
        self.voters().iter().any(|voter| voter.id == self.me.id)
    }
    /// The history that this member holds.
    pub fn history(&self) -> &History {
        &self.history
    }
    /// The last transaction that was delivered.
    pub fn delivered(&self) -> Zxid {
        self.delivered
    }
    /// f.a of the paper: the epoch whose history was last adopted.
    pub fn epoch(&self) -> ZabEpoch {
        self.current
    }
    /// f.p of the paper: the latest epoch that was promised.
    pub fn promised(&self) -> ZabEpoch {
        self.promised
    }

    /// The image that a slot on disk is to hold.
    pub fn image(&self) -> Image {
        Image {
            member: self.me.id,
            promised: self.promised,
            promised_to: self.promised_to,
            current: self.current,
            snapshot: self.history.snapshot.clone(),
            entries: self.history.after(self.history.snapshot.zxid).cloned().collect(),
        }
    }

    /// The state delivered so far becomes the snapshot.
    pub fn compact(&mut self, state: Vec<u8>, tail: TailLimits) {
        self.history.compact(self.delivered, state, tail);
    }

    /// True when this node is an established primary.
    pub fn is_primary(&self) -> bool {
        matches!(&self.role, Role::Leading(leading) if leading.is_established())
    }

    /// True while a majority stands behind this member: it is the primary under its lease, or follows one in step.
    pub fn has_majority(&self, now: Moment) -> bool {
        match &self.role {
            Role::Leading(_) => self.lease_holds(now),
            Role::Following(following) => {
                following.is_in_step(self.current) && now.since(following.heard) < self.timing.patience
            }
            Role::Looking { .. } => false,
        }
    }

    /// The established primary as far as known: this node, or the one it is in step with.
    pub fn primary(&self) -> Option<Voter> {
        match &self.role {
            Role::Leading(leading) if leading.is_established() => Some(self.me.clone()),
            Role::Following(following) if following.is_in_step(self.current) => Some(following.leader.clone()),
            _ => None,
        }
    }

    /// Takes a message that arrived at `now`, and returns what is to be done.
    pub fn handle(&mut self, envelope: Envelope, now: Moment) -> Vec<Action> {
        self.now = now;
        let Envelope { from, to, message } = envelope;
        if self.retired || from.id == self.me.id || (to != self.me.id && to != MemberId(0)) {
            return Vec::new();
        }
        match message {
            Message::Poll { promised, current, last, state } => {
                self.on_poll(Heard { voter: from, promised, current, last, state, at: now }, to == MemberId(0))
            }
            Message::CurrentEpoch { attempt, promised, promised_to } => {
                self.on_current_epoch(from, attempt, promised, promised_to)
            }
            Message::NewEpoch { attempt, epoch } => self.on_new_epoch(from, attempt, epoch),
            Message::AckEpoch { attempt, epoch, current, last, held } => {
                self.on_ack_epoch(from.id, attempt, epoch, (current, last), held)
            }
            Message::NewLeader { attempt, epoch, part } => self.on_new_leader(from, attempt, epoch, part),
            Message::NextPart { attempt, epoch, offset } => self.on_next_part(from.id, attempt, epoch, offset),
            Message::Behind { attempt, epoch, previous, last } => {
                self.on_behind(from.id, attempt, epoch, previous, last)
            }
            Message::AckLeader { attempt, epoch, last } => self.on_ack(from.id, attempt, epoch, last),
            Message::Propose { attempt, epoch, previous, entries, upto } => {
                self.on_propose(from, attempt, epoch, previous, entries, upto)
            }
            Message::Missing { attempt, epoch, last } => self.on_missing(from.id, attempt, epoch, last),
            Message::Ack { attempt, epoch, last } => self.on_ack(from.id, attempt, epoch, last),
            Message::Commit { attempt, epoch, upto } => self.on_commit(from.id, attempt, epoch, upto),
            Message::Ping { attempt, epoch, stamp, upto, last } => {
                self.on_ping(from, attempt, epoch, stamp, (upto, last))
            }
            Message::Pong { attempt, epoch, stamp, durable } => self.on_pong(from.id, attempt, epoch, stamp, durable),
        }
        self.finish()
    }

    /// Does what is due at `now`, and returns what is to be done. To be called several times a heartbeat.
    pub fn tick(&mut self, now: Moment) -> Vec<Action> {
        self.now = now;
        if self.retired {
            return Vec::new();
        }
        match &self.role {
            Role::Looking { .. } => self.tick_looking(),
            Role::Following(_) => self.tick_following(),
            Role::Leading(_) => self.tick_leading(),
        }
        self.finish()
    }

    /// Ends this member's part in order. A primary says so, and with that its lease is over: the
    /// others need not wait for its silence.
    pub fn retire(&mut self, now: Moment) -> Vec<Action> {
        self.now = now;
        if matches!(self.role, Role::Leading(_)) {
            self.look();
            let (promised, current, last) = (self.promised, self.current, self.history.last());
            let poll = Message::Poll { promised, current, last, state: PollState::Retired };
            let others: Vec<Voter> = self.voters().iter().filter(|voter| voter.id != self.me.id).cloned().collect();
            others.into_iter().for_each(|voter| self.send(voter, poll.clone()));
        }
        self.retired = true;
        self.finish()
    }

    /// A write and all before it are durable.
    pub fn durable(&mut self, ticket: Ticket, now: Moment) -> Vec<Action> {
        self.now = now;
        while self.waiting.front().is_some_and(|(waiting, _)| *waiting <= ticket) {
            let (_, then) = self.waiting.pop_front().expect("looked at just now");
            match then {
                Then::Tell { to, message } => self.send(to, message),
                Then::Acknowledge { to, attempt, last, message } => {
                    self.note_durable(attempt, last);
                    self.send(to, message);
                }
                Then::OwnPromise(epoch) => self.own_promise(epoch),
                Then::OwnEpoch(epoch) => self.own_ack(epoch, self.history.last().min(self.own_sync_point(epoch))),
                Then::OwnAck(epoch, last) => self.own_ack(epoch, last),
            }
        }
        self.finish()
    }

    /// Broadcasts changes in order; `None` unless this node is the established primary.
    pub fn propose(&mut self, changes: Vec<Vec<u8>>, now: Moment) -> Option<(Zxid, Vec<Action>)> {
        self.now = now;
        let last = self.broadcast(changes.into_iter().map(Payload::Change).collect())?;
        Some((last, self.finish()))
    }

    /// Proposes one voter more or one less. One change at a time: refused until the last is committed.
    pub fn propose_voters(&mut self, voters: Vec<Voter>, now: Moment) -> Option<Vec<Action>> {
        self.now = now;
        if !self.is_primary() || self.voters_change_pending() {
            return None;
        }
        let before = self.voters().clone();
        let gone = before.iter().filter(|voter| !voters.contains(voter)).count();
        let come = voters.iter().filter(|voter| !before.contains(voter)).count();
        if gone + come != 1 || voters.is_empty() {
            return None;
        }
        self.broadcast(vec![Payload::Voters(voters)])?;
        Some(self.finish())
    }

    /// True while a change of the voters is not yet committed.
    pub fn voters_change_pending(&self) -> bool {
        self.history.after(self.committed).any(|entry| matches!(entry.payload, Payload::Voters(_)))
    }

    pub(super) fn quorum(&self) -> usize {
        self.voters().len() / 2 + 1
    }

    pub(super) fn send(&mut self, to: Voter, message: Message) {
        self.actions.push(Action::Send { to, message });
    }

    pub(super) fn persist(&mut self, records: Vec<Record>, then: Then) {
        self.next_ticket += 1;
        let ticket = Ticket(self.next_ticket);
        self.waiting.push_back((ticket, then));
        self.actions.push(Action::Persist { ticket, records });
    }

    pub(super) fn look(&mut self) {
        if matches!(&self.role, Role::Leading(leading) if leading.is_established()) {
            self.actions.push(Action::Deposed);
        }
        self.role = Role::Looking { since: self.now };
        self.polls.clear();
        self.next_poll = self.now;
    }

    pub(super) fn commit_upto(&mut self, upto: Zxid) {
        let upto = upto.min(self.history.last());
        if upto <= self.committed {
            return;
        }
        self.committed = upto;
        let mut delivered = Vec::new();
        for entry in self.history.after(self.delivered) {
            if entry.zxid > upto {
                break;
            }
            self.delivered = entry.zxid;
            if let Payload::Change(payload) = &entry.payload {
                delivered.push(Action::Deliver { zxid: entry.zxid, payload: payload.clone() });
            }
        }
        self.actions.extend(delivered);
    }

    fn finish(&mut self) -> Vec<Action> {
        debug_assert!(self.current <= self.promised);
        debug_assert!(self.delivered <= self.committed && self.committed <= self.history.last());
        std::mem::take(&mut self.actions)
    }
}
