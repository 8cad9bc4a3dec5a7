//! A disk for tests: it remembers what was synced, loses power, runs full, and refuses.

use super::Disk;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use trackbed::random::Random;

/// What of a write is kept or lost by itself.
const SECTOR: usize = 16;

#[derive(Clone)]
pub enum Change {
    Write { offset: u64, bytes: Vec<u8> },
    Length(u64),
}

#[derive(Clone)]
pub struct MemoryDisk {
    pub now: BTreeMap<String, Vec<u8>>,
    durable: BTreeMap<String, Vec<u8>>,
    /// Files whose existence is durable.
    existing: BTreeSet<String>,
    unsynced: Vec<(String, Change)>,
    pub refuse: bool,
    /// Changes and syncs that are still carried out; the power goes after them.
    pub steps_left: u64,
    /// Bytes that all files together may have.
    pub capacity: usize,
}

impl Default for MemoryDisk {
    fn default() -> Self {
        Self {
            now: BTreeMap::new(),
            durable: BTreeMap::new(),
            existing: BTreeSet::new(),
            unsynced: Vec::new(),
            refuse: false,
            steps_left: u64::MAX,
            capacity: usize::MAX,
        }
    }
}

impl MemoryDisk {
    /// After a loss of power each change since a file's last sync is there, missing or torn by itself, and
    /// a file made since the folder's last sync is there or not.
    pub fn lose_power(&mut self, random: &mut Random) {
        let mut kept = self.durable.clone();
        for (name, change) in std::mem::take(&mut self.unsynced) {
            let file = kept.entry(name).or_default();
            match change {
                Change::Write { offset, bytes } => keep_some(file, offset, &bytes, random),
                Change::Length(length) if random.chance(0.5) => file.resize(length as usize, 0),
                Change::Length(_) => {}
            }
        }
        kept.retain(|name, _| self.existing.contains(name) || random.chance(0.5));
        self.existing = kept.keys().cloned().collect();
        self.now = kept.clone();
        self.durable = kept;
        self.steps_left = u64::MAX;
    }

    /// Flips a bit that had been synced.
    pub fn spoil(&mut self, name: &str, at: usize) {
        for files in [&mut self.now, &mut self.durable] {
            files.get_mut(name).expect("a file that was written")[at] ^= 1;
        }
    }

    fn step(&mut self) -> io::Result<()> {
        if self.refuse {
            return Err(io::ErrorKind::StorageFull.into());
        }
        self.steps_left = self.steps_left.checked_sub(1).ok_or(io::ErrorKind::Other)?;
        Ok(())
    }

    fn room(&self) -> usize {
        let used: usize = self.now.values().map(Vec::len).sum();
        self.capacity.saturating_sub(used)
    }
}

fn keep_some(file: &mut Vec<u8>, offset: u64, bytes: &[u8], random: &mut Random) {
    let fate = random.below(3);
    for (index, sector) in bytes.chunks(SECTOR).enumerate() {
        let is_kept = match fate {
            0 => false,
            1 => random.chance(0.5),
            _ => true,
        };
        if is_kept {
            put(file, offset + (index * SECTOR) as u64, sector);
        }
    }
}

fn put(file: &mut Vec<u8>, offset: u64, bytes: &[u8]) {
    let end = offset as usize + bytes.len();
    if !bytes.is_empty() && file.len() < end {
        file.resize(end, 0);
    }
    if !bytes.is_empty() {
        file[offset as usize..end].copy_from_slice(bytes);
    }
}

impl Disk for MemoryDisk {
    fn read(&mut self, name: &str) -> io::Result<Vec<u8>> {
        Ok(self.now.get(name).cloned().unwrap_or_default())
    }
    fn write_at(&mut self, name: &str, offset: u64, bytes: &[u8]) -> io::Result<()> {
        self.step()?;
        let room = self.room();
        let file = self.now.entry(name.to_owned()).or_default();
        let inside = file.len().saturating_sub(offset as usize);
        let fitting = &bytes[..bytes.len().min(inside + room)];
        put(file, offset, fitting);
        self.unsynced.push((name.to_owned(), Change::Write { offset, bytes: fitting.to_vec() }));
        match fitting.len() < bytes.len() {
            true => Err(io::ErrorKind::StorageFull.into()),
            false => Ok(()),
        }
    }
    fn set_length(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.step()?;
        self.now.entry(name.to_owned()).or_default().resize(length as usize, 0);
        self.unsynced.push((name.to_owned(), Change::Length(length)));
        Ok(())
    }
    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.step()?;
        self.durable.insert(name.to_owned(), self.now.get(name).cloned().unwrap_or_default());
        self.unsynced.retain(|(written, _)| written != name);
        Ok(())
    }
    fn sync_folder(&mut self) -> io::Result<()> {
        self.step()?;
        self.existing = self.now.keys().cloned().collect();
        Ok(())
    }
}
