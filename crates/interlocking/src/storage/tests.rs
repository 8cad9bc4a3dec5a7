use super::*;
use crate::zab::{Entry, Image, Payload, Record};
use assert_matches::assert_matches;
use std::collections::BTreeMap;
use std::io;
use trackbed::ids::{MemberId, ZabEpoch, Zxid};
use trackbed::random::Random;

/// A disk that remembers what was synced, and loses power on request.
#[derive(Clone, Default)]
struct MemoryDisk {
    now: BTreeMap<String, Vec<u8>>,
    durable: BTreeMap<String, Vec<u8>>,
    writes: Vec<(String, u64, Vec<u8>)>,
    refuse: bool,
}

impl MemoryDisk {
    /// After a loss of power each write since the last sync is there, missing or torn.
    fn lose_power(&mut self, random: &mut Random) {
        let mut kept = self.durable.clone();
        for (name, offset, bytes) in std::mem::take(&mut self.writes) {
            let length = match random.below(3) {
                0 => 0,
                1 => random.below(bytes.len() as u64 + 1) as usize,
                _ => bytes.len(),
            };
            put(kept.entry(name).or_default(), offset, &bytes[..length]);
        }
        self.now = kept.clone();
        self.durable = kept;
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
        if self.refuse {
            return Err(io::ErrorKind::StorageFull.into());
        }
        put(self.now.entry(name.to_owned()).or_default(), offset, bytes);
        self.writes.push((name.to_owned(), offset, bytes.to_vec()));
        Ok(())
    }
    fn set_length(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.now.entry(name.to_owned()).or_default().resize(length as usize, 0);
        Ok(())
    }
    fn sync(&mut self, name: &str) -> io::Result<()> {
        if self.refuse {
            return Err(io::ErrorKind::StorageFull.into());
        }
        self.durable.insert(name.to_owned(), self.now.get(name).cloned().unwrap_or_default());
        self.writes.retain(|(written, _, _)| written != name);
        Ok(())
    }
}

fn entry(counter: u64) -> Record {
    Record::Append(Entry { zxid: Zxid::new(1, counter), payload: Payload::Change(vec![counter as u8; 40]) })
}

fn encoded(record: &Record) -> Vec<u8> {
    borsh::to_vec(record).unwrap()
}

fn begun() -> Storage<MemoryDisk> {
    let (mut storage, found) = Storage::recover(MemoryDisk::default()).unwrap();
    assert_matches!(found, Recovered::Nothing);
    storage.write_image(&Image::empty(MemberId(7), Vec::new())).unwrap();
    storage
}

#[test]
fn what_was_told_durable_survives_any_loss_of_power() {
    for seed in 0..300 {
        let mut random = Random::seeded(seed);
        let mut storage = begun();
        let mut told = 0;
        let mut written = 0;
        for _ in 0..random.below(30) {
            if random.chance(0.15) {
                let (_, found) = Storage::recover(storage.disk_copy()).unwrap();
                let Recovered::Whole(image) = found else { panic!("whole") };
                storage.write_image(&image).unwrap();
            } else {
                written += 1;
                storage.append(&[encoded(&entry(written)), encoded(&Record::Current(ZabEpoch(written)))]).unwrap();
                told = written;
            }
        }
        // One more write is under way when the power goes.
        let mut disk = storage.into_disk();
        let mut under_way = Storage::recover(disk.clone()).unwrap().0;
        let durable = disk.durable.clone();
        if random.chance(0.5) {
            under_way.append(&[encoded(&entry(written + 1)), encoded(&entry(written + 2))]).unwrap();
        } else {
            under_way.write_image(&Image::empty(MemberId(7), Vec::new())).unwrap();
        }
        let after = under_way.into_disk();
        for (name, bytes) in &after.now {
            let before = durable.get(name).cloned().unwrap_or_default();
            if *bytes != before && name.starts_with("log") {
                disk.writes.push((name.clone(), before.len() as u64, bytes[before.len().min(bytes.len())..].to_vec()));
            }
        }
        disk.lose_power(&mut random);
        let (_, found) = Storage::recover(disk).unwrap();
        let Recovered::Whole(image) = found else { panic!("seed {seed}: {found:?}") };
        assert!(image.entries.len() as u64 >= told, "seed {seed}: {} of {told}", image.entries.len());
        assert!(image.entries.len() as u64 <= written + 2);
        assert!(image.entries.windows(2).all(|pair| pair[0].zxid < pair[1].zxid));
        assert!(image.current.0 >= told);
    }
}

impl Storage<MemoryDisk> {
    fn disk_copy(&self) -> MemoryDisk {
        self.disk_reference().clone()
    }
}

#[test]
fn corruption_under_a_synced_record_ends_this_life_of_the_disk() {
    let mut storage = begun();
    for counter in 1..=5 {
        storage.append(&[encoded(&entry(counter))]).unwrap();
    }
    let whole = storage.into_disk();
    let log = "log.1";
    let length = whole.now[log].len();
    let record = length / 5;
    for at in 0..record * 4 {
        let mut disk = whole.clone();
        disk.now.get_mut(log).unwrap()[at] ^= 0x55;
        let (_, found) = Storage::recover(disk).unwrap();
        assert_matches!(found, Recovered::Damaged { .. }, "byte {at}");
    }
    // The last record can't be told from one that was torn before anyone heard of it.
    let mut disk = whole.clone();
    disk.now.get_mut(log).unwrap()[length - 1] ^= 1;
    assert_matches!(Storage::recover(disk).unwrap().1, Recovered::Whole(image) if image.entries.len() == 4);
}

#[test]
fn a_refused_write_can_be_made_again() {
    let mut storage = begun();
    storage.append(&[encoded(&entry(1))]).unwrap();
    let mut disk = storage.into_disk();
    disk.refuse = true;
    let mut storage = reopened(disk);
    assert_matches!(storage.append(&[encoded(&entry(2))]), Err(StorageError::Io(_)));
    storage.disk_mut().refuse = false;
    storage.append(&[encoded(&entry(2))]).unwrap();
    let (_, found) = Storage::recover(storage.into_disk()).unwrap();
    assert_matches!(found, Recovered::Whole(image) if image.entries.len() == 2);
}

fn reopened(mut disk: MemoryDisk) -> Storage<MemoryDisk> {
    let refuse = std::mem::replace(&mut disk.refuse, false);
    let mut storage = Storage::recover(disk).unwrap().0;
    storage.disk_mut().refuse = refuse;
    storage
}

#[test]
fn a_spoilt_slot_with_records_after_it_is_not_passed_over_for_the_older_one() {
    let mut storage = begun();
    storage.append(&[encoded(&entry(1))]).unwrap();
    let (_, found) = Storage::recover(storage.disk_copy()).unwrap();
    let Recovered::Whole(image) = found else { panic!("whole") };
    storage.write_image(&image).unwrap();
    storage.append(&[encoded(&entry(2))]).unwrap();
    let mut disk = storage.into_disk();
    disk.now.get_mut("slot.0").unwrap()[30] ^= 1;
    assert_matches!(Storage::recover(disk).unwrap().1, Recovered::Damaged { .. });
}
