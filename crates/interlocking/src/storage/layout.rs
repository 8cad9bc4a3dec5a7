//! What stands where on the disk, and what a start makes of it.
//!
//! `slot.0` and `slot.1` hold whole images, each with a generation; `log.N` holds the records
//! after `slot.N`. A record carries the generation and up to where the log was synced when it was
//! written. So a bad record is the torn end of a write that nobody was told of, unless a later
//! record says that the place had been synced: then the disk has lost what was acknowledged, and
//! this life of it is over.

use super::disk::Disk;
use super::error::StorageError;
use super::records::{encode_batch, holds_records, read_log};
use super::slot::Slot;
use crate::zab::Image;
use borsh::BorshDeserialize;

const SLOTS: [&str; 2] = ["slot.0", "slot.1"];
const LOGS: [&str; 2] = ["log.0", "log.1"];
/// Where generations go on after a disk whose own can't be told.
const ANEW: u64 = 1 << 40;

const SLOT_LOST: &str = "the slot in use can't be read: check the disk, and replace it if this comes again";
const RECORD_LOST: &str =
    "a record that had been synced can't be read: check the disk, and replace it if this comes again";
const BOTH_SLOTS_LOST: &str =
    "neither slot can be read, and the disk was in use: check the disk, and replace it if this comes again";

/// What was found in the data folder.
#[derive(Debug)]
pub enum Recovered {
    /// Nothing was ever kept here.
    Nothing,
    /// The image with all records that follow it.
    Whole(Box<Image>),
    /// Something acknowledged is lost. The member must go on as a new one.
    Damaged {
        /// What is lost, and what to do about it.
        what: &'static str,
    },
}

/// Invariant: the log is durable up to `length`.
pub struct Storage<D> {
    disk: D,
    generation: u64,
    length: u64,
    /// The log of this generation is there, and empty behind `length`.
    log_is_ready: bool,
    /// A write of the next generation's slot failed: it may be whole on the disk all the same.
    has_unfinished_slot: bool,
}

/// All that a disk holds.
struct Content {
    slots: [Vec<u8>; 2],
    logs: [Vec<u8>; 2],
}

impl Content {
    fn read<D: Disk>(disk: &mut D) -> Result<Self, StorageError> {
        Ok(Self {
            slots: [disk.read(SLOTS[0])?, disk.read(SLOTS[1])?],
            logs: [disk.read(LOGS[0])?, disk.read(LOGS[1])?],
        })
    }

    fn newest_slot(&self) -> Result<Option<Slot>, StorageError> {
        let mut newest: Option<Slot> = None;
        for bytes in &self.slots {
            let slot = Slot::read(bytes)?;
            newest = newest.into_iter().chain(slot).max_by_key(|slot| slot.generation);
        }
        Ok(newest)
    }

    /// A first start writes the first generation's slot before anything else: with neither slot
    /// readable, nothing else may be there.
    fn is_of_a_first_start(&self) -> bool {
        self.slots[0].is_empty() && self.logs.iter().all(Vec::is_empty)
    }

    /// A generation that no record left here belongs to.
    fn unused_generation(&self) -> u64 {
        let mut hasher = crc32fast::Hasher::new();
        self.slots.iter().chain(&self.logs).for_each(|bytes| hasher.update(bytes));
        ANEW + hasher.finalize() as u64
    }
}

impl<D: Disk> Storage<D> {
    /// Reads the disk. Nothing can be appended before a whole image was found or written.
    ///
    /// # Errors
    ///
    /// [`StorageError::Io`] of the disk; [`StorageError::LaterVersion`] and [`StorageError::UnknownContent`] for what
    /// is whole and yet not known here. What is lost is no error but [`Recovered::Damaged`].
    pub fn recover(mut disk: D) -> Result<(Self, Recovered), StorageError> {
        let content = Content::read(&mut disk)?;
        let Some(slot) = content.newest_slot()? else {
            return Ok(match content.is_of_a_first_start() {
                true => (Self::before_an_image(disk, 0), Recovered::Nothing),
                false => {
                    let storage = Self::before_an_image(disk, content.unused_generation());
                    (storage, Recovered::Damaged { what: BOTH_SLOTS_LOST })
                }
            });
        };
        let generation = slot.generation;
        if holds_records(&content.logs[index_of(generation + 1)], generation + 1) {
            let storage = Self::before_an_image(disk, generation + 1);
            return Ok((storage, Recovered::Damaged { what: SLOT_LOST }));
        }
        let log = read_log(&content.logs[index_of(generation)], generation)?;
        let mut storage = Self::before_an_image(disk, generation);
        if log.is_damaged {
            return Ok((storage, Recovered::Damaged { what: RECORD_LOST }));
        }
        let mut image = slot.into_image();
        for record in log.records {
            image.replay(record);
        }
        storage.length = log.length;
        storage.make_log_ready()?;
        Ok((storage, Recovered::Whole(Box::new(image))))
    }

    fn before_an_image(disk: D, generation: u64) -> Self {
        Self { disk, generation, length: 0, log_is_ready: false, has_unfinished_slot: false }
    }

    /// The log's length since the last image, in bytes.
    pub fn log_length(&self) -> u64 {
        self.length
    }

    /// Writes a whole image to the slot not in use, and starts an empty log after it. After an error
    /// the slot and log before are still in use: the image may be given up, and records appended.
    ///
    /// # Errors
    ///
    /// [`StorageError::Io`] of the disk.
    pub fn write_image(&mut self, image: &Image) -> Result<(), StorageError> {
        self.write_slot(Slot::of(image))
    }

    /// The same, from an image encoded elsewhere.
    ///
    /// # Errors
    ///
    /// [`StorageError::Io`] of the disk, or for bytes that are no encoded image.
    pub fn write_encoded_image(&mut self, encoded: &[u8]) -> Result<(), StorageError> {
        let slot = Slot::try_from_slice(encoded).map_err(StorageError::Io)?;
        self.write_slot(slot)
    }

    /// Encodes an image for [`Storage::write_encoded_image`].
    pub fn encode_image(image: &Image) -> Vec<u8> {
        borsh::to_vec(&Slot::of(image)).expect("writing to memory can't fail")
    }

    fn write_slot(&mut self, mut slot: Slot) -> Result<(), StorageError> {
        slot.generation = self.generation + 1;
        let name = SLOTS[index_of(slot.generation)];
        let bytes = slot.encode();
        self.has_unfinished_slot = true;
        self.disk.write_at(name, 0, &bytes)?;
        self.disk.set_length(name, bytes.len() as u64)?;
        self.disk.sync(name)?;
        self.disk.sync_folder()?;
        self.has_unfinished_slot = false;
        self.generation = slot.generation;
        self.length = 0;
        self.log_is_ready = false;
        // The old records in this log have another generation, so they harm nobody until the next append
        // tries again.
        if let Err(error) = self.make_log_ready() {
            log::debug!("a log could not be emptied yet ({error}): it is tried again with the next record");
        }
        Ok(())
    }

    /// Cuts off what stands behind the log's end, and sees to it that the file exists.
    fn make_log_ready(&mut self) -> Result<(), StorageError> {
        let log = LOGS[index_of(self.generation)];
        self.disk.set_length(log, self.length)?;
        self.disk.sync(log)?;
        self.disk.sync_folder()?;
        self.log_is_ready = true;
        Ok(())
    }

    /// A slot that may be whole would be taken for the newest, without the records to come.
    fn drop_unfinished_slot(&mut self) -> Result<(), StorageError> {
        let name = SLOTS[index_of(self.generation + 1)];
        self.disk.set_length(name, 0)?;
        self.disk.sync(name)?;
        self.has_unfinished_slot = false;
        Ok(())
    }

    /// Appends encoded records and makes them durable, all or none of them. After an error the same
    /// call may be made again.
    ///
    /// # Errors
    ///
    /// [`StorageError::Io`] of the disk.
    pub fn append(&mut self, records: &[Vec<u8>]) -> Result<(), StorageError> {
        if records.is_empty() {
            return Ok(());
        }
        if self.has_unfinished_slot {
            self.drop_unfinished_slot()?;
        }
        if !self.log_is_ready {
            self.make_log_ready()?;
        }
        let bytes = encode_batch(records, self.generation, self.length);
        let log = LOGS[index_of(self.generation)];
        self.disk.write_at(log, self.length, &bytes)?;
        self.disk.sync(log)?;
        self.length += bytes.len() as u64;
        Ok(())
    }

    /// The disk, with what was written to it.
    #[cfg(test)]
    pub fn into_disk(self) -> D {
        self.disk
    }

    /// The disk, to be looked at.
    #[cfg(test)]
    pub fn disk_reference(&self) -> &D {
        &self.disk
    }

    /// The disk, to be changed or made to fail.
    #[cfg(test)]
    pub fn disk_mut(&mut self) -> &mut D {
        &mut self.disk
    }
}

fn index_of(generation: u64) -> usize {
    (generation % 2) as usize
}
