//! What stands where on the disk, and what a start makes of it.
//!
//! `slot.0` and `slot.1` hold whole images, each with a generation; `log.N` holds the records
//! after `slot.N`. A record carries the generation and up to where the log was synced when it was
//! written. So a bad record is the torn end of a write that nobody was told of, unless a later
//! record says that the place had been synced: then the disk has lost what was acknowledged, and
//! this life of it is over.

use super::disk::Disk;
use crate::zab::{Entry, Frame, Image, Record};
use borsh::{BorshDeserialize, BorshSerialize};
use derive_more::{Display, Error, From};
use std::io;
use trackbed::ids::{MemberId, ZabEpoch};

const SLOTS: [&str; 2] = ["slot.0", "slot.1"];
const LOGS: [&str; 2] = ["log.0", "log.1"];
const SLOT_MARK: u64 = 0x3130_746f_6c73_6866;
/// Length, checksum, synced-up-to.
const RECORD_HEAD: usize = 16;

#[derive(Debug, Display, Error, From)]
pub enum StorageError {
    #[display("the disk refused ({_0}): it is tried again; free space or replace the disk")]
    Io(io::Error),
}

#[derive(Debug)]
pub enum Recovered {
    /// Nothing was ever kept here.
    Nothing,
    Whole(Box<Image>),
    /// Something acknowledged is lost. The member must go on as a new one.
    Damaged {
        what: &'static str,
    },
}

#[derive(BorshSerialize, BorshDeserialize)]
struct Slot {
    generation: u64,
    member: MemberId,
    promised: ZabEpoch,
    promised_to: MemberId,
    current: ZabEpoch,
    frame: Frame,
    entries: Vec<Entry>,
}

/// Invariant: `synced` ≤ `length`; below `synced` the log is durable.
pub struct Storage<D> {
    disk: D,
    generation: u64,
    length: u64,
    synced: u64,
}

impl<D: Disk> Storage<D> {
    /// Reads the disk. Nothing can be written before `begin` or after a whole image.
    pub fn recover(mut disk: D) -> Result<(Self, Recovered), StorageError> {
        let mut found: Option<Slot> = None;
        for name in SLOTS {
            let bytes = disk.read(name)?;
            if let Some(slot) = read_slot(&bytes)
                && found.as_ref().is_none_or(|found| slot.generation > found.generation)
            {
                found = Some(slot);
            }
        }
        let Some(slot) = found else {
            let storage = Self { disk, generation: 0, length: 0, synced: 0 };
            // Both slots torn can only be a first start that never came to its first sync.
            return Ok((storage, Recovered::Nothing));
        };
        let generation = slot.generation;
        let mut image = Image {
            member: slot.member,
            promised: slot.promised,
            promised_to: slot.promised_to,
            current: slot.current,
            frame: slot.frame,
            entries: slot.entries,
        };
        let later = disk.read(LOGS[((generation + 1) % 2) as usize])?;
        if record_at(&later, 0, generation + 1).is_some() {
            let storage = Self { disk, generation: generation + 1, length: 0, synced: 0 };
            return Ok((storage, Recovered::Damaged { what: "the slot in use can't be read" }));
        }
        let log = LOGS[(generation % 2) as usize];
        let bytes = disk.read(log)?;
        let (records, length, damaged) = read_log(&bytes, generation);
        let mut storage = Self { disk, generation, length, synced: length };
        if damaged {
            return Ok((storage, Recovered::Damaged { what: "a record that had been synced can't be read" }));
        }
        for record in records {
            image.replay(record);
        }
        if (bytes.len() as u64) > length {
            storage.disk.set_length(log, length)?;
        }
        storage.disk.sync(log)?;
        Ok((storage, Recovered::Whole(Box::new(image))))
    }

    /// The log's length since the last image.
    pub fn log_length(&self) -> u64 {
        self.length
    }

    /// Writes a whole image to the slot not in use, and starts an empty log after it.
    pub fn write_image(&mut self, image: &Image) -> Result<(), StorageError> {
        self.write_slot(slot_of(image))
    }

    /// The same, from an image encoded elsewhere.
    pub fn write_encoded_image(&mut self, encoded: &[u8]) -> Result<(), StorageError> {
        let slot = Slot::try_from_slice(encoded).map_err(StorageError::Io)?;
        self.write_slot(slot)
    }

    pub fn encode_image(image: &Image) -> Vec<u8> {
        borsh::to_vec(&slot_of(image)).expect("writing to memory can't fail")
    }

    fn write_slot(&mut self, mut slot: Slot) -> Result<(), StorageError> {
        let generation = self.generation + 1;
        slot.generation = generation;
        let body = borsh::to_vec(&slot).expect("writing to memory can't fail");
        let mut bytes = Vec::with_capacity(body.len() + 20);
        bytes.extend_from_slice(&SLOT_MARK.to_le_bytes());
        bytes.extend_from_slice(&(body.len() as u64).to_le_bytes());
        bytes.extend_from_slice(&crc32fast::hash(&body).to_le_bytes());
        bytes.extend_from_slice(&body);
        let index = (generation % 2) as usize;
        // The log is emptied first: its records belong to a generation two before, which this slot replaces.
        self.disk.set_length(LOGS[index], 0)?;
        self.disk.sync(LOGS[index])?;
        self.disk.write_at(SLOTS[index], 0, &bytes)?;
        self.disk.set_length(SLOTS[index], bytes.len() as u64)?;
        self.disk.sync(SLOTS[index])?;
        self.generation = generation;
        self.length = 0;
        self.synced = 0;
        Ok(())
    }

    /// Appends encoded records and makes them durable. After an error the same call may be made again.
    pub fn append(&mut self, records: &[Vec<u8>]) -> Result<(), StorageError> {
        if records.is_empty() {
            return Ok(());
        }
        let mut bytes = Vec::new();
        for record in records {
            push_record(&mut bytes, record, self.generation, self.synced);
        }
        let log = LOGS[(self.generation % 2) as usize];
        self.disk.write_at(log, self.length, &bytes)?;
        self.disk.sync(log)?;
        self.length += bytes.len() as u64;
        self.synced = self.length;
        Ok(())
    }

    #[cfg(test)]
    pub fn into_disk(self) -> D {
        self.disk
    }

    #[cfg(test)]
    pub fn disk_reference(&self) -> &D {
        &self.disk
    }

    #[cfg(test)]
    pub fn disk_mut(&mut self) -> &mut D {
        &mut self.disk
    }
}

fn slot_of(image: &Image) -> Slot {
    Slot {
        generation: 0,
        member: image.member,
        promised: image.promised,
        promised_to: image.promised_to,
        current: image.current,
        frame: image.frame.clone(),
        entries: image.entries.clone(),
    }
}

fn checksum(record: &[u8], generation: u64, synced: u64) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&generation.to_le_bytes());
    hasher.update(&synced.to_le_bytes());
    hasher.update(record);
    hasher.finalize()
}

fn push_record(bytes: &mut Vec<u8>, record: &[u8], generation: u64, synced: u64) {
    bytes.extend_from_slice(&(record.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&checksum(record, generation, synced).to_le_bytes());
    bytes.extend_from_slice(&synced.to_le_bytes());
    bytes.extend_from_slice(record);
}

fn read_slot(bytes: &[u8]) -> Option<Slot> {
    let mark = u64::from_le_bytes(bytes.get(..8)?.try_into().ok()?);
    let length = u64::from_le_bytes(bytes.get(8..16)?.try_into().ok()?) as usize;
    let sum = u32::from_le_bytes(bytes.get(16..20)?.try_into().ok()?);
    let body = bytes.get(20..20usize.checked_add(length)?)?;
    if mark != SLOT_MARK || crc32fast::hash(body) != sum {
        return None;
    }
    Slot::try_from_slice(body).ok()
}

/// The record at a place, with where the log was synced to when it was written, and its end.
fn record_at(bytes: &[u8], at: usize, generation: u64) -> Option<(Record, u64, usize)> {
    let head = bytes.get(at..at + RECORD_HEAD)?;
    let length = u32::from_le_bytes(head[..4].try_into().ok()?) as usize;
    let sum = u32::from_le_bytes(head[4..8].try_into().ok()?);
    let synced = u64::from_le_bytes(head[8..16].try_into().ok()?);
    let end = (at + RECORD_HEAD).checked_add(length)?;
    let body = bytes.get(at + RECORD_HEAD..end)?;
    if length == 0 || checksum(body, generation, synced) != sum {
        return None;
    }
    Some((Record::try_from_slice(body).ok()?, synced, end))
}

/// The records that stand one after the other from the start, their end, and whether a later one
/// tells that more had been synced.
fn read_log(bytes: &[u8], generation: u64) -> (Vec<Record>, u64, bool) {
    let mut records = Vec::new();
    let mut at = 0;
    while let Some((record, _, end)) = record_at(bytes, at, generation) {
        records.push(record);
        at = end;
    }
    let lost = (at + 1..bytes.len().saturating_sub(RECORD_HEAD))
        .any(|later| record_at(bytes, later, generation).is_some_and(|(_, synced, _)| synced > at as u64));
    (records, at as u64, lost)
}
