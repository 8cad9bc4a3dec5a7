//! The only place where the model touches the state machine: one `Zab` with its disk and its application.

use crate::scenario::{FOUNDERS, Fault};
use interlocking::zab::{Action, Envelope, Image, Message, Record, Ticket, Timing, Voter, Zab};
use std::collections::VecDeque;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use trackbed::clock::Moment;
use trackbed::ids::{MemberId, Zxid};

/// A machine of the cluster: it keeps its address when its disk is replaced.
pub type Host = u8;
/// A change of the application's state. Every proposal has its own.
pub type Change = u8;

pub fn address(host: Host) -> SocketAddr {
    ([10, 0, 0, host + 1], 7000).into()
}

pub fn voter(host: Host) -> Voter {
    Voter { id: MemberId(u64::from(host) + 1), address: address(host) }
}

/// A write that is not durable yet.
#[derive(Clone, Hash)]
struct PendingWrite {
    ticket: Ticket,
    records: Vec<Record>,
    /// The state machine believes that it is durable: only a fault of the disk does that.
    reported: bool,
}

/// What a member is started with, whatever its disk holds.
#[derive(Clone)]
pub struct Setup {
    pub host: Host,
    pub hosts: Host,
    pub timing: Timing,
}

/// One process with its disk.
#[derive(Clone)]
pub struct Member {
    zab: Zab,
    /// What is durable.
    image: Image,
    pending: VecDeque<PendingWrite>,
    /// The application's state: every change delivered in this life of the process.
    pub delivered: Vec<Change>,
    /// Counts the processes that ran on this machine.
    life: u64,
    fingerprint: u64,
}

impl Member {
    /// `life`: how many processes ran on this machine before.
    pub fn start(setup: &Setup, image: Image, life: u64, now: Moment) -> Self {
        let me = Voter { id: image.member, address: address(setup.host) };
        let mut zab = Zab::start(image.clone(), me, setup.timing, life, now);
        zab.set_contacts((0..setup.hosts).map(address).collect());
        let delivered = image.snapshot.state.clone();
        let mut member = Self { zab, image, pending: VecDeque::new(), delivered, life, fingerprint: 0 };
        member.refresh_fingerprint();
        member
    }

    /// The process ends, and starts at once. The first `kept` writes had reached the disk.
    pub fn restart(&self, setup: &Setup, kept: usize, now: Moment) -> Self {
        let mut image = self.image.clone();
        for write in self.pending.iter().take(kept) {
            write.records.iter().for_each(|record| image.replay(record.clone()));
        }
        Self::start(setup, image, self.life + 1, now)
    }

    /// The machine starts again on another disk.
    pub fn replace_disk(&self, setup: &Setup, image: Image, now: Moment) -> Self {
        Self::start(setup, image, self.life + 1, now)
    }

    pub fn handle(&mut self, envelope: Envelope, now: Moment) -> Vec<Action> {
        self.zab.handle(envelope, now)
    }

    pub fn tick(&mut self, now: Moment) -> Vec<Action> {
        self.zab.tick(now)
    }

    pub fn propose(&mut self, change: Change, now: Moment) -> Option<(Zxid, Vec<Action>)> {
        self.zab.propose(vec![vec![change]], now)
    }

    /// Replaces a voter whose machine has a new disk, or adds a learner that has caught up.
    pub fn change_voters(&mut self, now: Moment) -> Option<Vec<Action>> {
        let wanted = self.wanted_voters()?;
        self.zab.propose_voters(wanted, now)
    }

    pub fn wanted_voters(&self) -> Option<Vec<Voter>> {
        if !self.zab.is_primary() || self.zab.voters_change_pending() {
            return None;
        }
        let voters = self.zab.voters();
        let learners = self.zab.caught_up_learners();
        let replaced = voters.iter().find(|voter| learners.iter().any(|learner| learner.address == voter.address));
        if let Some(replaced) = replaced {
            return Some(voters.iter().filter(|voter| *voter != replaced).cloned().collect());
        }
        let learner = learners.first()?;
        Some(voters.iter().chain([learner]).cloned().collect())
    }

    pub fn queue_write(&mut self, ticket: Ticket, records: Vec<Record>) {
        self.pending.push_back(PendingWrite { ticket, records, reported: false });
    }

    /// Tells the state machine that the newest write is durable while it is not.
    pub fn report_newest_write(&mut self, now: Moment) -> Vec<Action> {
        let Some(write) = self.pending.back_mut() else { return Vec::new() };
        write.reported = true;
        let ticket = write.ticket;
        self.zab.durable(ticket, now)
    }

    /// The oldest pending write becomes durable.
    pub fn complete_write(&mut self, now: Moment) -> Vec<Action> {
        let Some(write) = self.pending.pop_front() else { return Vec::new() };
        write.records.into_iter().for_each(|record| self.image.replay(record));
        if write.reported { Vec::new() } else { self.zab.durable(write.ticket, now) }
    }

    pub fn pending_writes(&self) -> usize {
        self.pending.len()
    }

    pub fn me(&self) -> &Voter {
        self.zab.me()
    }

    pub fn is_primary(&self) -> bool {
        self.zab.is_primary()
    }

    pub fn is_primary_of(&self, zxid: Zxid) -> bool {
        self.zab.is_primary() && self.zab.epoch() == zxid.epoch
    }

    pub fn lease_holds(&self, now: Moment) -> bool {
        self.zab.lease_holds(now)
    }

    pub fn counts_new_voter(&self) -> bool {
        let founded = |voter: &Voter| (0..FOUNDERS).any(|host| self::voter(host) == *voter);
        self.zab.is_primary() && !self.zab.voters_change_pending() && !self.zab.voters().iter().all(founded)
    }

    pub fn has_caught_up_learner(&self) -> bool {
        !self.zab.caught_up_learners().is_empty()
    }

    /// True when the transaction outlives a crash of the process.
    pub fn holds_durably(&self, zxid: Zxid) -> bool {
        zxid <= self.image.snapshot.zxid || self.image.entries.iter().any(|entry| entry.zxid == zxid)
    }

    pub fn refresh_fingerprint(&mut self) {
        let mut hasher = DefaultHasher::new();
        (&self.zab, &self.image, &self.pending, &self.delivered).hash(&mut hasher);
        self.fingerprint = hasher.finish();
    }

    pub fn fingerprint(&self) -> u64 {
        self.fingerprint
    }
}

/// An empty disk. A replaced one gets a new identity, unless the model has the fault that it does not.
pub fn blank_image(host: Host, wipes: u8, fault: Fault) -> Image {
    let id = match fault {
        Fault::WipedDiskKeepsIdentity => voter(host).id,
        _ => MemberId(100 * u64::from(wipes) + u64::from(host) + 1),
    };
    Image::empty(id, Vec::new())
}

pub fn is_poll(message: &Message) -> bool {
    matches!(message, Message::Poll { .. })
}

pub fn transfers_history(message: &Message) -> bool {
    matches!(message, Message::NewLeader { .. })
}
