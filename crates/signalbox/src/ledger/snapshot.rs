//! When the log is folded into a new snapshot.
//!
//! A snapshot is written once the log has grown by `max(LEAST_GROWTH, S)` since the last one, where `S` is the
//! size of the state in the last one, and each entry counts as its payload and `ENTRY_COST`.
//!
//! * Restart: the snapshot is read, and at most `max(LEAST_GROWTH, S)` of log replayed, with what came between
//!   two looks at it. Replaying a patch costs O(its size · log n), and a whole configuration one read of it. So
//!   a restart takes time in proportion to the state, and not to the number of changes that made it.
//! * Writing: growth of `G` bytes pays for one snapshot of about `max(G, S)` bytes, so that in a steady state
//!   no more snapshot is written than log was counted. Payloads of a few hundred bytes are thus written
//!   about twice in all. Short ones cost `ENTRY_COST` more, which is less than the disk block that a sync
//!   of their own record writes.

use interlocking::zab::{History, Payload};
use trackbed::ids::Zxid;

/// Growth of the log below which no snapshot is written.
const LEAST_GROWTH: usize = 256 << 10;
/// What one entry counts beside its payload, for the work that any entry takes in a replay.
const ENTRY_COST: usize = 128;

/// What a log holds beyond its snapshot.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LogGrowth {
    pub bytes: usize,
    pub entries: usize,
}

impl LogGrowth {
    /// What a snapshot of the state delivered so far would fold. Entries after it are not counted: a snapshot
    /// leaves them in the log, and must not be written over and over while they wait for a quorum.
    pub fn of(history: &History, delivered: Zxid) -> Self {
        let entries = history.after(history.snapshot.zxid).take_while(|entry| entry.zxid <= delivered);
        entries.fold(Self::default(), |growth, entry| growth.with(payload_bytes(&entry.payload)))
    }

    /// Adds one entry.
    pub fn with(self, payload_bytes: usize) -> Self {
        Self { bytes: self.bytes + payload_bytes, entries: self.entries + 1 }
    }

    /// Whether a new snapshot is due after one of so many bytes.
    pub fn wants_snapshot(&self, last_snapshot_bytes: usize) -> bool {
        self.bytes + self.entries * ENTRY_COST >= LEAST_GROWTH.max(last_snapshot_bytes)
    }
}

fn payload_bytes(payload: &Payload) -> usize {
    match payload {
        Payload::Change(bytes) => bytes.len(),
        Payload::Voters(_) => 0,
    }
}
