//! A member's history: a snapshot, and the transactions after it.

use borsh::{BorshDeserialize, BorshSerialize};
use std::collections::VecDeque;
use std::net::SocketAddr;
use trackbed::ids::{MemberId, Zxid};

/// A member that votes, or may come to vote.
#[derive(Clone, Debug, PartialEq, Eq, Hash, BorshSerialize, BorshDeserialize)]
pub struct Voter {
    /// Its identity, which ends with its disk.
    pub id: MemberId,
    /// Where it takes messages.
    pub address: SocketAddr,
}

/// What a transaction holds.
#[derive(Clone, Debug, PartialEq, Hash, BorshSerialize, BorshDeserialize)]
pub enum Payload {
    /// A change of the application's state.
    Change(Vec<u8>),
    /// The voters from here on. Invariant: differs from those before by one voter at most.
    Voters(Vec<Voter>),
}

impl Payload {
    pub(super) fn weight(&self) -> usize {
        match self {
            Payload::Change(bytes) => bytes.len(),
            Payload::Voters(voters) => voters.len() * 32,
        }
    }
}

/// One transaction of a history.
#[derive(Clone, Debug, PartialEq, Hash, BorshSerialize, BorshDeserialize)]
pub struct Entry {
    /// Its place in the order: the epoch it was proposed in, and its counter there.
    pub zxid: Zxid,
    /// What it holds.
    pub payload: Payload,
}

/// Whether entries follow on a place in the order of their zxids.
pub fn rise_after(previous: Zxid, entries: &[Entry]) -> bool {
    let mut last = previous;
    entries.iter().all(|entry| std::mem::replace(&mut last, entry.zxid) < entry.zxid)
}

/// A snapshot of the state, which stands for all transactions up to a place.
#[derive(Clone, Debug, PartialEq, Hash, BorshSerialize, BorshDeserialize)]
pub struct Snapshot {
    /// The last transaction that the snapshot holds.
    pub zxid: Zxid,
    /// The voters in force at that place.
    pub voters: Vec<Voter>,
    /// The application's state.
    pub state: Vec<u8>,
}

/// What is kept of the transactions that a snapshot stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TailLimits {
    /// The newest entries, at most.
    pub entries: usize,
    /// Their size in bytes, at most.
    pub bytes: usize,
}

/// The transactions that a member holds: a snapshot, and the entries after it.
///
/// Invariants: entries rise by zxid; the first comes right after `base`; `base` ≤ the snapshot's zxid;
/// everything up to the snapshot is committed.
#[derive(Clone, Debug, PartialEq, Hash)]
pub struct History {
    /// The newest snapshot.
    pub snapshot: Snapshot,
    base: Zxid,
    entries: VecDeque<Entry>,
    weight: usize,
    /// Invariant: the voters in force at the history's end, committed or not.
    voters: Vec<Voter>,
}

impl History {
    /// A history of a snapshot and no transactions after it.
    pub fn new(snapshot: Snapshot) -> Self {
        let voters = snapshot.voters.clone();
        Self { base: snapshot.zxid, snapshot, entries: VecDeque::new(), weight: 0, voters }
    }

    /// The last transaction, or the place where the history begins.
    pub fn last(&self) -> Zxid {
        self.entries.back().map(|entry| entry.zxid).unwrap_or(self.base).max(self.base)
    }

    /// The size of the entries in bytes, with an allowance for each.
    pub fn weight(&self) -> usize {
        self.weight
    }

    /// Number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn index_after(&self, zxid: Zxid) -> usize {
        self.entries.partition_point(|entry| entry.zxid <= zxid)
    }

    /// True when the transaction is in this history, or is where it begins.
    pub fn contains(&self, zxid: Zxid) -> bool {
        if zxid == self.base {
            return true;
        }
        let index = self.index_after(zxid);
        index > 0 && self.entries[index - 1].zxid == zxid
    }

    /// The latest place not after `zxid` from which entries can be given; `None` when only the snapshot helps.
    pub fn place_not_after(&self, zxid: Zxid) -> Option<Zxid> {
        if zxid < self.base {
            return None;
        }
        let index = self.index_after(zxid);
        Some(if index == 0 { self.base } else { self.entries[index - 1].zxid })
    }

    /// The entries after a place, in order.
    pub fn after(&self, zxid: Zxid) -> impl Iterator<Item = &Entry> {
        self.entries.iter().skip(self.index_after(zxid))
    }

    /// Adds an entry at the end.
    ///
    /// # Panics
    ///
    /// When the entry does not follow the last one in the order of zxids.
    pub fn append(&mut self, entry: Entry) {
        assert!(entry.zxid > self.last(), "a history only grows upwards");
        self.weight += entry.payload.weight() + 32;
        if let Payload::Voters(voters) = &entry.payload {
            self.voters = voters.clone();
        }
        self.entries.push_back(entry);
    }

    /// Drops what comes after `zxid`.
    pub fn truncate(&mut self, zxid: Zxid) {
        assert!(zxid >= self.snapshot.zxid, "what a snapshot holds is committed and never dropped");
        while self.entries.back().is_some_and(|entry| entry.zxid > zxid) {
            let entry = self.entries.pop_back().expect("looked at just now");
            self.weight -= entry.payload.weight() + 32;
        }
        self.voters = self.voters_at(zxid).clone();
    }

    /// The voters in force at the end.
    pub fn voters(&self) -> &Vec<Voter> {
        &self.voters
    }

    /// The voters in force at a place: those of the last change up to it.
    pub fn voters_at(&self, zxid: Zxid) -> &Vec<Voter> {
        self.entries
            .iter()
            .rev()
            .filter(|entry| entry.zxid <= zxid && entry.zxid > self.snapshot.zxid)
            .find_map(|entry| match &entry.payload {
                Payload::Voters(voters) => Some(voters),
                Payload::Change(_) => None,
            })
            .unwrap_or(&self.snapshot.voters)
    }

    /// Takes a new snapshot, and keeps a short tail before it for those a little behind.
    ///
    /// # Panics
    ///
    /// When the snapshot is older than the present one.
    pub fn compact(&mut self, zxid: Zxid, state: Vec<u8>, tail: TailLimits) {
        assert!(zxid >= self.snapshot.zxid, "snapshots only move on");
        let voters = self.voters_at(zxid).clone();
        self.snapshot = Snapshot { zxid, voters, state };
        let mut folded = self.index_after(zxid);
        let mut folded_bytes: usize = self.entries.iter().take(folded).map(|entry| entry.payload.weight()).sum();
        while folded > tail.entries || folded_bytes > tail.bytes {
            let Some(entry) = self.entries.pop_front() else { return };
            self.base = entry.zxid;
            self.weight -= entry.payload.weight() + 32;
            folded_bytes -= entry.payload.weight();
            folded -= 1;
        }
    }
}
