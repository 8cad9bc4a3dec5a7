//! A history on its way to a follower: parts that go on after a break, so that heartbeats are never held up.

use super::history::{Entry, Snapshot, rise_after};
use borsh::{BorshDeserialize, BorshSerialize};
use derive_more::{Display, Error};
use std::sync::Arc;
use trackbed::ids::Zxid;

/// Bytes of history in one message. One part is under way at a time, and heartbeats go between two parts.
pub const PART_BYTES: usize = 16 << 10;
/// Longest transfer that a follower takes, in bytes.
const LONGEST_TRANSFER: u64 = 1 << 30;

/// The history that a follower lacks: all after `previous`, and the snapshot at `previous` where the leader no
/// longer has the entries that lead there.
#[derive(Clone, Debug, PartialEq, Hash, BorshSerialize, BorshDeserialize)]
pub struct Missed {
    pub snapshot: Option<Snapshot>,
    pub previous: Zxid,
    pub entries: Vec<Entry>,
}

/// What a follower still holds of a transfer that broke off.
#[derive(Clone, Copy, Debug, Default, PartialEq, Hash, BorshSerialize, BorshDeserialize)]
pub struct Held {
    /// Bytes from the start of the transfer.
    pub bytes: u64,
    /// CRC-32 of these bytes: the transfer goes on only where the leader's begins with the very same.
    pub checksum: u32,
}

/// One part of a transfer.
#[derive(Clone, Debug, PartialEq, Hash, BorshSerialize, BorshDeserialize)]
pub struct Part {
    /// Where the part begins, in bytes from the start of the transfer.
    pub offset: u64,
    /// Bytes of the whole transfer, and their CRC-32.
    pub total: u64,
    /// CRC-32 of the whole transfer.
    pub checksum: u32,
    /// The bytes of this part.
    pub bytes: Vec<u8>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum TransferError {
    #[display("a part does not follow those before it: the transfer is asked for again")]
    OutOfOrder,
    #[display("a transfer fails its checksum: it is asked for again")]
    Checksum,
    #[display("a transfer can't be read: run the leader's version on this member")]
    Unreadable,
}

/// A transfer as the leader holds it.
#[derive(Clone, Debug, Hash)]
pub struct Outgoing {
    pub previous: Zxid,
    pub last: Zxid,
    pub has_snapshot: bool,
    bytes: Arc<Vec<u8>>,
    checksum: u32,
}

impl Outgoing {
    pub fn new(missed: &Missed) -> Self {
        let bytes = borsh::to_vec(missed).expect("writing to memory can't fail");
        let last = missed.entries.last().map(|entry| entry.zxid).unwrap_or(missed.previous);
        let (previous, has_snapshot) = (missed.previous, missed.snapshot.is_some());
        Self { previous, last, has_snapshot, checksum: crc32fast::hash(&bytes), bytes: Arc::new(bytes) }
    }

    /// Where to go on: after what the follower holds, if that is how this transfer begins.
    pub fn resume_at(&self, held: Held) -> u64 {
        let begins = self.bytes.get(..held.bytes as usize).is_some_and(|start| crc32fast::hash(start) == held.checksum);
        if begins { held.bytes } else { 0 }
    }

    /// The part at an offset; `None` past the end.
    pub fn part(&self, offset: u64) -> Option<Part> {
        let rest = self.bytes.get(offset as usize..)?;
        let bytes = rest[..rest.len().min(PART_BYTES)].to_vec();
        Some(Part { offset, total: self.bytes.len() as u64, checksum: self.checksum, bytes })
    }
}

/// A transfer as the follower gathers it.
#[derive(Clone, Debug, Default, Hash)]
pub struct Incoming {
    bytes: Vec<u8>,
}

impl Incoming {
    pub fn held(&self) -> Held {
        Held { bytes: self.bytes.len() as u64, checksum: crc32fast::hash(&self.bytes) }
    }

    /// Bytes gathered so far.
    pub fn length(&self) -> u64 {
        self.bytes.len() as u64
    }

    /// Takes the next part; the whole once it is complete. After an error all is asked for anew.
    pub fn take(&mut self, part: Part) -> Result<Option<Missed>, TransferError> {
        if part.offset == 0 {
            self.bytes.clear();
        }
        let end = part.offset.saturating_add(part.bytes.len() as u64);
        if part.offset != self.length() || end > part.total || part.total > LONGEST_TRANSFER {
            return Err(TransferError::OutOfOrder);
        }
        self.bytes.extend_from_slice(&part.bytes);
        if self.length() < part.total {
            return Ok(None);
        }
        let whole = std::mem::take(&mut self.bytes);
        if crc32fast::hash(&whole) != part.checksum {
            return Err(TransferError::Checksum);
        }
        let missed = Missed::try_from_slice(&whole).map_err(|_| TransferError::Unreadable)?;
        match rise_after(missed.previous, &missed.entries) {
            true => Ok(Some(missed)),
            false => Err(TransferError::Unreadable),
        }
    }
}
