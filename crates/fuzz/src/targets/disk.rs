//! What stands on disks: the ordered state, one change, and the files of a member.

use super::Target;
use interlocking::storage::{Disk, Recovered, Storage};
use interlocking::zab::{Entry, Image, Payload, Record, Timing, Voter, Zab};
use signalbox::ledger::{Change, Ledger};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use timetable::configuration::Configuration;
use timetable::fleet::{ConfigChange, FleetChange};
use timetable::packed::Packed;
use timetable::shards::{KeyRange, ShardChange};
use trackbed::clock::Moment;
use trackbed::ids::{MemberId, ZabEpoch, Zxid};

const HISTORY: Duration = Duration::from_secs(20);

pub(super) fn targets() -> Vec<Target> {
    let payloads = changes().iter().map(|change| Packed::pack(change).into_bytes()).collect();
    vec![
        Target::new("ledger", vec![ledger().encode()], read_ledger),
        Target::new("order", payloads, read_order),
        Target::new("storage", vec![files()], read_files),
    ]
}

fn now() -> Moment {
    Moment::from_micros(1_000_000)
}

fn changes() -> Vec<Change> {
    let configuration = Configuration::parse(super::documents::CONFIGURATION.as_bytes()).unwrap_or_default();
    let configure = FleetChange::Configure { change: ConfigChange::Whole(configuration), digest: 1 };
    vec![
        Change::Fleet(configure),
        Change::Fleet(FleetChange::Register(super::wire::instance())),
        Change::Fleet(super::wire::shards(ShardChange::Grant(vec![(KeyRange::ALL, super::wire::instance().id)]))),
        Change::LockTaken { lock: "l".into(), holder: "a".into(), fence: 7, hold_millis: 100 },
        Change::LockFreed { lock: "l".into(), fence: 7 },
        Change::Number { name: "n".into(), value: 3 },
        Change::CellPut { name: "g.k".into(), value: "v".into(), revision: 1 },
    ]
}

fn ledger() -> Ledger {
    let mut ledger = Ledger::new(HISTORY);
    for (counter, change) in (1..).zip(changes()) {
        let _ = ledger.apply(Zxid::new(1, counter), change, now());
    }
    ledger
}

/// Whatever can be read goes on as a ledger does.
fn read_ledger(input: &[u8]) {
    let Ok(mut ledger) = Ledger::decode(input, HISTORY, now()) else { return };
    let mut proposed = ledger.for_proposals();
    for (counter, change) in (1..).zip(changes()) {
        let place = Zxid::new(u64::MAX >> 32, counter);
        let outcome = ledger.apply(place, change.clone(), now());
        assert_eq!(proposed.apply(place, change, now()), outcome, "both refuse the same");
    }
    drop(ledger.encode());
}

fn read_order(input: &[u8]) {
    let Ok(change) = Packed::read::<Change>(input) else { return };
    let (mut first, mut second) = (ledger(), ledger());
    let place = Zxid::new(2, 1);
    let outcome = first.apply(place, change.clone(), now());
    let delivered = second.apply_delivered(place, change, Packed::from_bytes(input.to_vec()), now());
    assert_eq!(outcome, delivered, "all members refuse the same");
    assert_eq!(first.encode(), second.encode(), "all members come to the same");
}

/// Files in memory. Copies are the same files.
#[derive(Clone, Default)]
struct Files(Rc<RefCell<BTreeMap<String, Vec<u8>>>>);

impl Disk for Files {
    fn read(&mut self, name: &str) -> io::Result<Vec<u8>> {
        Ok(self.0.borrow().get(name).cloned().unwrap_or_default())
    }

    fn write_at(&mut self, name: &str, offset: u64, bytes: &[u8]) -> io::Result<()> {
        let mut files = self.0.borrow_mut();
        let file = files.entry(name.to_owned()).or_default();
        let end = offset as usize + bytes.len();
        file.resize(file.len().max(end), 0);
        file[offset as usize..end].copy_from_slice(bytes);
        Ok(())
    }

    fn set_length(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.0.borrow_mut().entry(name.to_owned()).or_default().resize(length as usize, 0);
        Ok(())
    }

    fn sync(&mut self, _: &str) -> io::Result<()> {
        Ok(())
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Files {
    /// All files in one input: each file's name and length stand before its bytes.
    fn pack(&self) -> Vec<u8> {
        borsh::to_vec(&*self.0.borrow()).unwrap_or_default()
    }

    fn unpack(input: &[u8]) -> Option<Self> {
        borsh::from_slice(input).ok().map(|files| Self(Rc::new(RefCell::new(files))))
    }
}

fn voter() -> Voter {
    Voter { id: MemberId(1), address: ([10, 0, 0, 1], 80).into() }
}

fn files() -> Vec<u8> {
    let image = Image::empty(MemberId(1), vec![voter()]);
    let entry = |counter| Entry { zxid: Zxid::new(1, counter), payload: Payload::Change(vec![7; 40]) };
    let records = [
        Record::Promised(ZabEpoch(1), MemberId(1)),
        Record::Current(ZabEpoch(1)),
        Record::Append(entry(1)),
        Record::Append(entry(2)),
        Record::Truncate(Zxid::new(1, 1)),
        Record::Append(entry(3)),
    ];
    let records: Vec<Vec<u8>> = records.iter().filter_map(|record| borsh::to_vec(record).ok()).collect();
    let files = Files::default();
    let Ok((mut storage, _)) = Storage::recover(files.clone()) else { return Vec::new() };
    let _ = storage.write_image(&image).and_then(|()| storage.append(&records));
    files.pack()
}

/// Whatever a start finds is whole, nothing, or damaged; a member goes on with what is whole.
fn read_files(input: &[u8]) {
    let Some(files) = Files::unpack(input) else { return };
    if let Ok((_, Recovered::Whole(image))) = Storage::recover(files) {
        let mut zab = Zab::start(*image, voter(), Timing::default(), 1, now());
        drop(zab.tick(now() + Duration::from_secs(1)));
    }
}
