//! The records after a slot, in batches. A batch is what one append wrote: it counts as a whole or
//! not at all.
//!
//! A record's head tells its length, a checksum, and up to where the log was synced when the record
//! was written, which is where its batch begins. Two bits beside that say how the batch goes on.
//! Records written before there were batches have neither bit.

use super::error::StorageError;
use crate::zab::Record;
use borsh::BorshDeserialize;

/// Length, checksum, synced-up-to with flags.
pub(super) const RECORD_HEAD: usize = 16;
/// More records of the same batch follow.
const MORE: u64 = 1 << 63;
/// Written in batches.
const BATCHED: u64 = 1 << 62;
const FLAGS: u64 = MORE | BATCHED;

/// What a log's bytes come to.
#[derive(Default)]
pub(super) struct LogContent {
    /// Those of whole batches, from the start on.
    pub records: Vec<Record>,
    /// Where the last whole batch ends.
    pub length: u64,
    /// A record behind that end says that more had been synced.
    pub is_damaged: bool,
}

/// The bytes of one batch, in a log that ends at `synced`.
pub(super) fn encode_batch(records: &[Vec<u8>], generation: u64, synced: u64) -> Vec<u8> {
    let mut bytes = Vec::new();
    for (index, record) in records.iter().enumerate() {
        let more = if index + 1 < records.len() { MORE } else { 0 };
        push_record(&mut bytes, record, generation, synced | BATCHED | more);
    }
    bytes
}

pub(super) fn push_record(bytes: &mut Vec<u8>, record: &[u8], generation: u64, place: u64) {
    bytes.extend_from_slice(&(record.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&checksum(record, generation, place).to_le_bytes());
    bytes.extend_from_slice(&place.to_le_bytes());
    bytes.extend_from_slice(record);
}

fn checksum(record: &[u8], generation: u64, place: u64) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&generation.to_le_bytes());
    hasher.update(&place.to_le_bytes());
    hasher.update(record);
    hasher.finalize()
}

/// One record whose checksum is right.
struct Found<'a> {
    body: &'a [u8],
    /// Where its batch begins.
    synced: u64,
    flags: u64,
    end: usize,
}

impl Found<'_> {
    /// Whether a record after this one may belong to the same batch.
    fn may_go_on(&self) -> bool {
        self.flags != BATCHED
    }

    fn ends_batch(&self) -> bool {
        self.flags & MORE == 0
    }
}

fn record_at(bytes: &[u8], at: usize, generation: u64) -> Option<Found<'_>> {
    let head = bytes.get(at..at + RECORD_HEAD)?;
    let length = u32::from_le_bytes(head[..4].try_into().ok()?) as usize;
    let sum = u32::from_le_bytes(head[4..8].try_into().ok()?);
    let place = u64::from_le_bytes(head[8..16].try_into().ok()?);
    // Cheap, and true of every record: few other places in the bytes come as far as the checksum.
    if length == 0 || place & !FLAGS > at as u64 {
        return None;
    }
    let end = (at + RECORD_HEAD).checked_add(length)?;
    let body = bytes.get(at + RECORD_HEAD..end)?;
    let found = Found { body, synced: place & !FLAGS, flags: place & FLAGS, end };
    (checksum(body, generation, place) == sum).then_some(found)
}

/// Reads a log up to the end of its last whole batch.
pub(super) fn read_log(bytes: &[u8], generation: u64) -> Result<LogContent, StorageError> {
    let mut content = LogContent::default();
    let mut pending = Vec::new();
    let mut at = 0;
    let mut batch = 0;
    let mut goes_on = false;
    while let Some(found) = record_at(bytes, at, generation) {
        let begins = found.synced == at as u64;
        let belongs = begins || (goes_on && found.synced == batch);
        if !belongs {
            break;
        }
        if begins {
            pending.clear();
            batch = found.synced;
        }
        pending.push(Record::try_from_slice(found.body).map_err(|_| StorageError::UnknownContent)?);
        at = found.end;
        goes_on = found.may_go_on();
        if found.ends_batch() {
            content.records.append(&mut pending);
            content.length = at as u64;
        }
    }
    content.is_damaged = tells_of_more(bytes, content.length, generation);
    Ok(content)
}

/// Whether a record behind a place tells that more than up to there had been synced.
fn tells_of_more(bytes: &[u8], length: u64, generation: u64) -> bool {
    let last = bytes.len().saturating_sub(RECORD_HEAD);
    (length as usize + 1..last)
        .any(|later| synced_at(bytes, later) > length && record_at(bytes, later, generation).is_some())
}

fn synced_at(bytes: &[u8], at: usize) -> u64 {
    let place = bytes[at + 8..at + RECORD_HEAD].try_into().expect("eight bytes");
    u64::from_le_bytes(place) & !FLAGS
}

/// Whether any record of that generation can be read.
pub(super) fn holds_records(bytes: &[u8], generation: u64) -> bool {
    let last = bytes.len().saturating_sub(RECORD_HEAD);
    (0..last).any(|at| record_at(bytes, at, generation).is_some())
}
