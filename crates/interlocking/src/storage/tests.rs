use super::records::push_record;
use super::test_disk::MemoryDisk;
use super::*;
use crate::zab::{Entry, Image, Payload, Record, Snapshot};
use assert_matches::assert_matches;
use trackbed::ids::{MemberId, ZabEpoch, Zxid};
use trackbed::random::Random;

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

/// What a member of a core writes, and what must be there afterwards.
struct Writer {
    random: Random,
    /// All that was told durable.
    told: Image,
    counter: u64,
}

impl Writer {
    fn seeded(seed: u64) -> Self {
        Self { random: Random::seeded(seed), told: Image::empty(MemberId(7), Vec::new()), counter: 0 }
    }

    fn entry(&mut self) -> Record {
        self.counter += 1;
        entry(self.counter)
    }

    /// Records that belong together, as they come of a proposal or of a new leader's history.
    fn batch(&mut self) -> Vec<Record> {
        let mut batch = Vec::new();
        match self.random.below(4) {
            0 => {
                self.counter += 1;
                let zxid = Zxid::new(1, self.counter);
                batch.push(Record::Restart(Snapshot { zxid, voters: Vec::new(), state: vec![9; 70] }));
            }
            1 => batch.push(Record::Truncate(Zxid::new(1, self.counter.saturating_sub(2)))),
            _ => {}
        }
        for _ in 0..1 + self.random.below(3) {
            batch.push(self.entry());
        }
        batch.push(Record::Current(ZabEpoch(self.counter)));
        batch
    }

    /// Returns the batch that was under way, if one was.
    fn write_until_the_power_goes(&mut self, storage: &mut Storage<MemoryDisk>) -> Vec<Record> {
        loop {
            if self.random.chance(0.2) {
                if storage.write_image(&self.told).is_err() {
                    return Vec::new();
                }
                continue;
            }
            let batch = self.batch();
            if storage.append(&encoded_all(&batch)).is_err() {
                return batch;
            }
            self.told = with(&self.told, &batch);
        }
    }
}

fn with(image: &Image, records: &[Record]) -> Image {
    let mut image = image.clone();
    records.iter().cloned().for_each(|record| image.replay(record));
    image
}

fn encoded_all(records: &[Record]) -> Vec<Vec<u8>> {
    records.iter().map(encoded).collect()
}

#[test]
fn what_was_told_durable_survives_any_loss_of_power() {
    let mut partial = 0;
    for seed in 0..3000 {
        let mut writer = Writer::seeded(seed);
        let mut storage = Storage::recover(MemoryDisk::default()).unwrap().0;
        storage.disk_mut().steps_left = writer.random.below(60);
        let mut has_begun = storage.write_image(&writer.told).is_ok();
        // Several lives of the disk, each ended by a loss of power at any step.
        for life in 0..3 {
            let under_way = match has_begun {
                true => writer.write_until_the_power_goes(&mut storage),
                false => Vec::new(),
            };
            let mut disk = storage.into_disk();
            disk.lose_power(&mut writer.random);
            let (recovered, found) = Storage::recover(disk).unwrap();
            storage = recovered;
            match found {
                Recovered::Whole(image) => {
                    if *image != writer.told {
                        assert_eq!(*image, with(&writer.told, &under_way), "seed {seed}, life {life}");
                        partial += 1;
                    }
                    writer.told = *image;
                    has_begun = true;
                }
                Recovered::Nothing => {
                    assert!(!has_begun, "seed {seed}, life {life}: acknowledged, and taken for nothing");
                    has_begun = storage.write_image(&writer.told).is_ok();
                }
                Recovered::Damaged { what } => panic!("seed {seed}, life {life}: {what}"),
            }
            storage.disk_mut().steps_left = writer.random.below(60);
        }
    }
    assert!(partial > 100, "writes under way that were kept: {partial}");
}

#[test]
fn a_torn_batch_counts_as_none_of_it() {
    let restart = Record::Restart(Snapshot { zxid: Zxid::new(1, 3), voters: Vec::new(), state: vec![1; 30] });
    let batch = encoded_all(&[restart, entry(4), entry(5), Record::Current(ZabEpoch(6))]);
    let mut storage = begun();
    storage.append(&encoded_all(&[entry(1), entry(2), entry(3), entry(4), entry(5)])).unwrap();
    let before = storage.disk_reference().now["log.1"].len();
    let Recovered::Whole(told) = Storage::recover(storage.disk_copy()).unwrap().1 else { panic!("whole") };
    storage.append(&batch).unwrap();
    let whole = storage.into_disk();
    for end in before..whole.now["log.1"].len() {
        let mut disk = whole.clone();
        disk.now.get_mut("log.1").unwrap().truncate(end);
        let (mut storage, found) = Storage::recover(disk).unwrap();
        assert_matches!(found, Recovered::Whole(image) if image == told, "cut at {end}");
        storage.append(&batch).unwrap();
        let (_, found) = Storage::recover(storage.into_disk()).unwrap();
        assert_matches!(found, Recovered::Whole(image) if image.current == ZabEpoch(6) && image.entries.len() == 2);
    }
}

#[test]
fn a_log_written_before_there_were_batches_still_reads() {
    let mut storage = begun();
    let mut log = Vec::new();
    for batch in 0..4 {
        let synced = log.len() as u64;
        push_record(&mut log, &encoded(&entry(batch * 2 + 1)), 1, synced);
        push_record(&mut log, &encoded(&entry(batch * 2 + 2)), 1, synced);
    }
    storage.disk_mut().now.insert("log.1".into(), log);
    let (mut storage, found) = Storage::recover(storage.into_disk()).unwrap();
    assert_matches!(found, Recovered::Whole(image) if image.entries.len() == 8);
    storage.append(&encoded_all(&[entry(9), entry(10)])).unwrap();
    let (_, found) = Storage::recover(storage.into_disk()).unwrap();
    assert_matches!(found, Recovered::Whole(image) if image.entries.len() == 10);
}

#[test]
fn a_shorter_batch_over_a_refused_longer_one_brings_nothing_of_it_back() {
    let mut storage = begun();
    // Whole on the disk, and refused at the sync.
    storage.disk_mut().steps_left = 1;
    assert_matches!(storage.append(&encoded_all(&[entry(1), entry(2)])), Err(StorageError::Io(_)));
    storage.disk_mut().steps_left = u64::MAX;
    storage.append(&[encoded(&entry(1))]).unwrap();
    let (_, found) = Storage::recover(storage.into_disk()).unwrap();
    assert_matches!(found, Recovered::Whole(image) if image.entries.len() == 1);
}

#[test]
fn an_image_given_up_at_any_step_loses_nothing_appended_after_it() {
    for (seed, steps) in (0..8).flat_map(|seed| (0..8).map(move |steps| (seed, steps))) {
        let mut storage = begun();
        storage.append(&[encoded(&entry(1))]).unwrap();
        let Recovered::Whole(mut image) = Storage::recover(storage.disk_copy()).unwrap().1 else { panic!("whole") };
        image.snapshot.state = vec![3; 400];
        storage.disk_mut().steps_left = steps;
        let is_written = storage.write_image(&image).is_ok();
        storage.disk_mut().steps_left = u64::MAX;
        storage.append(&[encoded(&entry(2))]).unwrap();
        let mut disk = storage.into_disk();
        disk.lose_power(&mut Random::seeded(seed));
        let (_, found) = Storage::recover(disk).unwrap();
        let Recovered::Whole(found) = found else { panic!("after {steps}: {found:?}") };
        assert_eq!(found.entries.len(), 2, "after {steps}, written: {is_written}");
    }
}

#[test]
fn an_image_that_does_not_fit_leaves_room_for_appends_that_do() {
    let mut storage = begun();
    storage.append(&[encoded(&entry(1))]).unwrap();
    let Recovered::Whole(mut image) = Storage::recover(storage.disk_copy()).unwrap().1 else { panic!("whole") };
    image.snapshot.state = vec![3; 4000];
    storage.disk_mut().capacity = 2000;
    assert_matches!(storage.write_image(&image), Err(StorageError::Io(_)));
    storage.append(&[encoded(&entry(2))]).unwrap();
    storage.disk_mut().capacity = usize::MAX;
    storage.write_image(&image).unwrap();
    let (_, found) = Storage::recover(storage.into_disk()).unwrap();
    assert_matches!(found, Recovered::Whole(image) if image.snapshot.state.len() == 4000);
}

#[test]
fn a_disk_that_runs_full_at_any_step_loses_nothing_told() {
    for seed in 0..500 {
        let mut writer = Writer::seeded(seed);
        let mut storage = begun();
        for _ in 0..30 {
            let used: usize = storage.disk_reference().now.values().map(Vec::len).sum();
            storage.disk_mut().capacity = used + writer.random.below(500) as usize;
            if writer.random.chance(0.3) {
                // Given up where it doesn't fit.
                let _ = storage.write_image(&writer.told);
                continue;
            }
            let batch = writer.batch();
            while storage.append(&encoded_all(&batch)).is_err() {
                storage.disk_mut().capacity += 100;
            }
            writer.told = with(&writer.told, &batch);
            let mut disk = storage.disk_copy();
            disk.lose_power(&mut writer.random);
            assert_matches!(Storage::recover(disk).unwrap().1, Recovered::Whole(image) if *image == writer.told);
        }
    }
}

#[test]
fn a_flipped_bit_anywhere_is_noticed_or_harmless() {
    let mut storage = begun();
    for round in 0..2 {
        for counter in 1..=3 {
            storage.append(&encoded_all(&[entry(round * 10 + counter), Record::Current(ZabEpoch(counter))])).unwrap();
        }
        let Recovered::Whole(image) = Storage::recover(storage.disk_copy()).unwrap().1 else { panic!("whole") };
        storage.write_image(&image).unwrap();
    }
    storage.append(&[encoded(&entry(31))]).unwrap();
    let last_batch = storage.disk_reference().now["log.1"].len();
    storage.append(&[encoded(&entry(32))]).unwrap();
    let whole = storage.into_disk();
    let Recovered::Whole(told) = Storage::recover(whole.clone()).unwrap().1 else { panic!("whole") };
    for (name, bytes) in &whole.now {
        for bit in 0..bytes.len() * 8 {
            let mut disk = whole.clone();
            disk.now.get_mut(name).unwrap()[bit / 8] ^= 1 << (bit % 8);
            match Storage::recover(disk).unwrap().1 {
                // The last batch can't be told from one that was torn before anyone heard of it.
                Recovered::Whole(_) if name == "log.1" && bit / 8 >= last_batch => {}
                Recovered::Whole(image) => assert_eq!(image, told, "{name}, bit {bit}"),
                Recovered::Damaged { what } => assert!(what.contains("check the disk"), "{what}"),
                Recovered::Nothing => panic!("{name}, bit {bit}: taken for nothing"),
            }
        }
    }
}

#[test]
fn two_unreadable_slots_on_a_disk_that_was_in_use_are_damage_until_a_new_image_stands() {
    for was_folded in [false, true] {
        let mut storage = begun();
        storage.append(&[encoded(&entry(1))]).unwrap();
        if was_folded {
            storage.write_image(&Image::empty(MemberId(7), Vec::new())).unwrap();
        }
        let mut spoilt = storage.into_disk();
        spoilt.spoil("slot.1", 30);
        if was_folded {
            spoilt.spoil("slot.0", 30);
        }
        for steps in 0..12 {
            let (mut storage, found) = Storage::recover(spoilt.clone()).unwrap();
            assert_matches!(found, Recovered::Damaged { .. });
            storage.disk_mut().steps_left = steps;
            let is_written = storage.write_image(&Image::empty(MemberId(8), Vec::new())).is_ok();
            let mut disk = storage.into_disk();
            disk.lose_power(&mut Random::seeded(steps));
            match Storage::recover(disk).unwrap().1 {
                Recovered::Whole(image) => assert_eq!(*image, Image::empty(MemberId(8), Vec::new())),
                Recovered::Damaged { .. } => assert!(!is_written),
                Recovered::Nothing => panic!("after {steps}: taken for nothing"),
            }
        }
    }
}

#[test]
fn what_a_later_version_wrote_is_refused_with_what_to_do_and_left_alone() {
    let mut storage = begun();
    storage.append(&[encoded(&entry(1))]).unwrap();
    let own = storage.into_disk();
    for slot in ["slot.0", "slot.1"] {
        let mut disk = own.clone();
        disk.now.insert(slot.into(), b"fhslot02 whatever it may hold".to_vec());
        let before = disk.now.clone();
        let Err(error) = Storage::recover(disk.clone()) else { panic!("{slot}: not refused") };
        assert_matches!(error, StorageError::LaterVersion { version: 2 });
        assert!(error.to_string().contains("run the newer version"));
        assert_eq!(disk.now, before);
    }
    // A record of a kind that isn't known, with the right checksum.
    let mut disk = own.clone();
    let log = disk.now.get_mut("log.1").unwrap();
    let end = log.len() as u64;
    push_record(log, &[200, 1, 2, 3], 1, end);
    let Err(error) = Storage::recover(disk) else { panic!("a record of a later version was dropped") };
    assert_matches!(error, StorageError::UnknownContent);
    assert!(error.to_string().contains("run the newer version"));
}

#[test]
fn a_folder_is_made_with_those_above_it_and_read_again() {
    let top = std::env::temp_dir().join(format!("ferryhinge-storage-{}", std::process::id()));
    let folder = top.join("a/b");
    let (mut storage, found) = Storage::recover(FileDisk::open(&folder).unwrap()).unwrap();
    assert_matches!(found, Recovered::Nothing);
    storage.write_image(&Image::empty(MemberId(7), Vec::new())).unwrap();
    storage.append(&[encoded(&entry(1))]).unwrap();
    drop(storage);
    let (_, found) = Storage::recover(FileDisk::open(&folder).unwrap()).unwrap();
    assert_matches!(found, Recovered::Whole(image) if image.entries.len() == 1);
    std::fs::remove_dir_all(top).unwrap();
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

#[test]
fn a_data_folder_that_another_process_uses_is_refused() {
    let folder = tempfile::tempdir().unwrap();
    let first = FileDisk::open(folder.path()).unwrap();
    assert_matches!(FileDisk::open(folder.path()).map(drop), Err(StorageError::InUse));
    drop(first);
    assert_matches!(FileDisk::open(folder.path()).map(drop), Ok(()));
}
