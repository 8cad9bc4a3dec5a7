//! The cost of copies, deliveries and restarts, counted and not timed; and the encoding on disk.

use super::state::LockRecord;
use super::{Change, History, Ledger, LogGrowth, Plan, Refusal, SlotRecord};
use borsh::{BorshDeserialize, BorshSerialize};
use interlocking::zab::{Entry, History as Log, Payload, Snapshot, TailLimits};
use std::collections::{BTreeMap, VecDeque};
use std::fmt::Write;
use std::time::Duration;
use timetable::configuration::{Configuration, Patch};
use timetable::fleet::{ConfigChange, Evacuations, FleetChange, FleetNews, FleetSnapshot, FleetState};
use timetable::packed::Packed;
use timetable::work::Work;
use trackbed::clock::Moment;
use trackbed::ids::{InstanceId, Zxid};

const ROUTE_COUNTS: [u64; 3] = [10, 600, 5_000];
const CHANGE_COUNTS: [u64; 2] = [10, 1_000];
/// Items of work for one change of one route: the same for every size.
const MOST_WORK_PER_CHANGE: u64 = 8;
/// Bytes of log that one entry counts for in the bounds asserted here.
const ENTRY_BYTES: usize = 128;
const LEAST_LOG_BYTES: usize = 256 << 10;
const HISTORY: Duration = Duration::from_secs(20);

fn now() -> Moment {
    Moment::from_micros(1_000_000)
}

fn route(index: u64, timeout: u64) -> String {
    format!(
        r#"{{"hostname":"h{}","path_prefix":"/p{index}/","route_type":"upload","timeout_s":{timeout},"service_name":"s"}}"#,
        index % 7
    )
}

fn whole(routes: u64) -> Change {
    let mut text = r#"{"version":"r1","services":{"s":{}},"routes":{"#.to_owned();
    for index in 0..routes {
        let comma = if index > 0 { "," } else { "" };
        write!(text, r#"{comma}"r{index}":{}"#, route(index, 1)).unwrap();
    }
    text.push_str("}}");
    let configuration = Configuration::parse(text.as_bytes()).unwrap();
    Change::Fleet(FleetChange::Configure { change: ConfigChange::Whole(configuration), digest: 1 })
}

fn patch(routes: u64, version: u64) -> Change {
    let index = version % routes;
    let text = format!(r#"{{"version":"r{version}","upserts":{{"routes":{{"r{index}":{}}}}}}}"#, route(index, version));
    let patch = Patch::parse(text.as_bytes()).unwrap();
    Change::Fleet(FleetChange::Configure { change: ConfigChange::Patch(patch), digest: version as u128 })
}

fn payload(change: &Change) -> Vec<u8> {
    Packed::pack(change).into_bytes()
}

fn deliver(ledger: &mut Ledger, zxid: Zxid, payload: &[u8]) {
    let change = Packed::read::<Change>(payload).unwrap();
    ledger.apply_delivered(zxid, change, Packed::from_bytes(payload.to_vec()), now()).unwrap();
}

fn total(work: Work) -> u64 {
    work.items_parsed + work.items_copied + work.routes_placed + work.routes_digested + work.values_packed
}

/// A member's disk: the last snapshot and the log after it.
#[derive(Default)]
struct Disk {
    snapshot: Vec<u8>,
    log: Vec<(Zxid, Vec<u8>)>,
    growth: LogGrowth,
    snapshot_bytes_written: usize,
    log_bytes_written: usize,
}

impl Disk {
    fn append(&mut self, zxid: Zxid, payload: Vec<u8>) {
        self.growth = self.growth.with(payload.len());
        self.log_bytes_written += payload.len() + ENTRY_BYTES;
        self.log.push((zxid, payload));
    }

    fn fold(&mut self, ledger: &Ledger) {
        if !self.growth.wants_snapshot(self.snapshot.len()) {
            return;
        }
        self.snapshot = ledger.encode();
        self.snapshot_bytes_written += self.snapshot.len();
        self.growth = LogGrowth::default();
        self.log.clear();
    }

    fn restart(&self) -> Ledger {
        let mut ledger = Ledger::decode(&self.snapshot, HISTORY, now()).unwrap();
        for (zxid, payload) in &self.log {
            deliver(&mut ledger, *zxid, payload);
        }
        ledger
    }
}

#[test]
fn a_restart_replays_a_bounded_log_however_many_changes_there_were() {
    for routes in ROUTE_COUNTS {
        for changes in CHANGE_COUNTS {
            let mut ledger = Ledger::new(HISTORY);
            let mut disk = Disk::default();
            let first = payload(&whole(routes));
            let first_bytes = first.len();
            deliver(&mut ledger, Zxid::new(1, 1), &first);
            disk.append(Zxid::new(1, 1), first);
            for version in 2..changes + 2 {
                let payload = payload(&patch(routes, version));
                let before = Work::so_far();
                deliver(&mut ledger, Zxid::new(1, version), &payload);
                assert!(total(Work::since(before)) <= MOST_WORK_PER_CHANGE * 2, "one change of {routes} routes");
                disk.append(Zxid::new(1, version), payload);
                disk.fold(&ledger);
            }
            let before = Work::so_far();
            let again = disk.restart();
            let work = Work::since(before);
            assert_eq!(again.encode(), ledger.encode());
            let state_bytes = ledger.encode().len();
            let replayed: usize = disk.log.iter().map(|(_, payload)| payload.len() + ENTRY_BYTES).sum();
            let what = format!("{changes} changes of {routes} routes: {replayed} bytes replayed, {work:?}");
            // The look at the log comes after each change here: it ends below the bound.
            assert!(replayed < LEAST_LOG_BYTES.max(state_bytes), "{what}");
            let reading = 5 * (routes + 1);
            assert!(total(work) <= reading + MOST_WORK_PER_CHANGE * 2 * disk.log.len() as u64, "{what}");
            // What was counted as log pays for every snapshot, but for the growth of the first change's state.
            let paid = disk.log_bytes_written + state_bytes.saturating_sub(first_bytes);
            assert!(disk.snapshot_bytes_written <= paid, "{what}: {} written", disk.snapshot_bytes_written);
        }
    }
}

#[test]
fn a_copy_for_proposals_costs_the_same_whatever_the_ledger_holds() {
    for routes in ROUTE_COUNTS {
        let mut ledger = Ledger::new(HISTORY);
        ledger.apply(Zxid::new(1, 1), whole(routes), now()).unwrap();
        let before = Work::so_far();
        let mut ahead = ledger.for_proposals();
        ahead.apply(Zxid::new(1, 2), patch(routes, 2), now()).unwrap();
        let work = Work::since(before);
        assert!(total(work) <= MOST_WORK_PER_CHANGE * 2, "{routes} routes: {work:?}");
        assert_eq!(work.values_packed, 0, "nobody asks it for news");
        assert_eq!((ahead.fleet.epoch().0, ledger.fleet.epoch().0), (2, 1), "copies change apart");
    }
}

#[test]
fn news_of_delivered_changes_are_those_of_changes_applied_one_by_one() {
    let mut delivered = Ledger::new(HISTORY);
    let mut applied = FleetState::default();
    let long = "x".repeat(3_000);
    for version in 1..40 {
        let change = match version {
            1 => whole(600),
            _ if version % 5 == 0 => Change::Fleet(FleetChange::End(InstanceId::new(&format!("{long}{version}")))),
            _ => patch(600, version),
        };
        let zxid = Zxid::new(1, version);
        let before = Work::so_far();
        let bytes = payload(&change);
        assert_eq!(Work::since(before).values_packed, 1);
        deliver(&mut delivered, zxid, &bytes);
        assert_eq!(Work::since(before).values_packed, 1, "a delivery packs nothing");
        let Change::Fleet(change) = change else { unreachable!("only such are made here") };
        applied.apply(zxid, change);
    }
    for since in [1, 2, 20, 38] {
        let news = delivered.fleet.news_since(Zxid::new(1, since)).unwrap();
        assert_eq!(Some(&news), applied.news_since(Zxid::new(1, since)).as_ref());
        assert!(matches!(&news, FleetNews::Changes(changes) if changes.len() as u64 == 39 - since));
    }
    let before = Work::so_far();
    delivered.fleet.news_since(Zxid::new(1, 1));
    assert_eq!(Work::since(before).values_packed, 0, "what was asked for once is kept");
}

#[test]
fn what_waits_for_a_quorum_asks_for_no_snapshot() {
    let entry = |counter| Entry { zxid: Zxid::new(1, counter), payload: Payload::Change(vec![0; 10_000]) };
    let mut log = Log::new(Snapshot { zxid: Zxid::ZERO, voters: Vec::new(), state: Vec::new() });
    (1..=100).for_each(|counter| log.append(entry(counter)));
    assert!(!LogGrowth::of(&log, Zxid::ZERO).wants_snapshot(0));
    assert_eq!(LogGrowth::of(&log, Zxid::new(1, 30)), LogGrowth { bytes: 300_000, entries: 30 });
    assert!(LogGrowth::of(&log, Zxid::new(1, 30)).wants_snapshot(0));
    assert!(!LogGrowth::of(&log, Zxid::new(1, 30)).wants_snapshot(400_000), "a large state is written less often");
    log.compact(Zxid::new(1, 30), vec![0; 10], TailLimits { entries: 10, bytes: usize::MAX });
    assert_eq!(LogGrowth::of(&log, Zxid::new(1, 30)), LogGrowth::default());
    assert_eq!(LogGrowth::of(&log, Zxid::new(1, 31)).entries, 1);
}

/// A group of keys as its fields were derived before.
#[derive(BorshSerialize, BorshDeserialize)]
struct PlainGroup {
    revision: u64,
    floor: u64,
    cells: BTreeMap<String, (String, u64)>,
    events: VecDeque<(String, String, u64)>,
}

/// A ledger as its fields were derived before.
#[derive(BorshSerialize, BorshDeserialize)]
struct PlainLedger {
    fleet: FleetSnapshot,
    locks: BTreeMap<String, LockRecord>,
    last_fence: u64,
    numbers: BTreeMap<String, u64>,
    groups: BTreeMap<String, PlainGroup>,
    history: History,
    plans: Vec<Plan>,
}

#[test]
fn a_ledger_is_encoded_as_maps_and_queues() {
    let mut ledger = Ledger::new(HISTORY);
    let locked = |lock: &str, fence| Change::LockTaken { lock: lock.into(), holder: "x".into(), fence, hold_millis: 9 };
    let number = |name: &str, value| Change::Number { name: name.into(), value };
    let put =
        |name: &str, value: u64, revision| Change::CellPut { name: name.into(), value: value.to_string(), revision };
    let mut changes = vec![locked("b", 1), locked("a", 2), number("n", 4), number("m", 5), number("n", 6), whole(3)];
    changes.extend((1..=30).map(|revision| put(["g.b", "g.a", "g.c"][revision as usize % 3], revision, revision)));
    changes.push(put("alone", 1, 1));
    let mut time = now();
    for (counter, change) in (1..).zip(changes) {
        time = time + HISTORY / 8;
        ledger.apply(Zxid::new(1, counter), change, time).unwrap();
    }
    let bytes = ledger.encode();
    let plain: PlainLedger = borsh::from_slice(&bytes).unwrap();
    assert_eq!(borsh::to_vec(&plain).unwrap(), bytes);
    assert_eq!(plain.numbers, BTreeMap::from([("m".to_owned(), 5), ("n".to_owned(), 6)]));
    let group = &plain.groups["g."];
    assert_eq!((group.revision, group.cells["g.a"].clone()), (30, ("28".to_owned(), 28)));
    let revisions: Vec<u64> = group.events.iter().map(|(_, _, revision)| *revision).collect();
    assert!(group.floor > 0 && revisions == (group.floor + 1..=30).collect::<Vec<_>>(), "old events are forgotten");
    let again = Ledger::decode(&bytes, HISTORY, time).unwrap();
    assert_eq!(again.encode(), bytes);
    let events = again.groups.get("g.").unwrap().after(group.floor + 2).unwrap();
    assert_eq!(events.map(|event| event.revision).collect::<Vec<_>>(), revisions[2..]);
}

/// Guards against evacuations, configuration and all else that are lost when a program of now reads an older disk.
#[test]
fn a_ledger_from_before_there_were_evacuations_is_read_whole() {
    let mut ledger = Ledger::new(HISTORY);
    let locked = Change::LockTaken { lock: "l".into(), holder: "x".into(), fence: 7, hold_millis: 9 };
    let number = Change::Number { name: "n".into(), value: 4 };
    for (counter, change) in (1..).zip([whole(3), locked, number]) {
        ledger.apply(Zxid::new(1, counter), change, now()).unwrap();
    }
    for ledger in [Ledger::new(HISTORY), ledger] {
        let bytes = ledger.encode();
        let fleet_end = borsh::to_vec(ledger.fleet.snapshot()).unwrap().len();
        let no_evacuations = fleet_end - borsh::to_vec(&Evacuations::default()).unwrap().len()..fleet_end;
        let mut before = bytes.clone();
        before.drain(no_evacuations);
        assert_eq!(Ledger::decode(&before, HISTORY, now()).unwrap().encode(), bytes);
    }
}

#[test]
fn a_change_that_does_not_fit_is_refused_and_changes_nothing() {
    let mut ledger = Ledger::new(HISTORY);
    let taken = |fence| {
        let (lock, holder) = ("l".to_owned(), "a".to_owned());
        Change::LockTaken { lock, holder, fence, hold_millis: 1 }
    };
    let number = |value| Change::Number { name: "n".into(), value };
    let cell = |revision| Change::CellPut { name: "g.k".into(), value: "v".into(), revision };
    let hour = |number| Change::Slot(SlotRecord { number, label: number, ..SlotRecord::default() });
    let ended = || Change::Fleet(FleetChange::End(InstanceId::new("i")));
    for (counter, change) in [taken(5), number(3), cell(1), hour(1), ended()].into_iter().enumerate() {
        assert_eq!(ledger.apply(Zxid::new(1, counter as u64 + 1), change, now()), Ok(()));
    }
    let before = ledger.encode();
    let absurd = [
        (taken(4), Refusal::Fence),
        (taken(0), Refusal::Fence),
        (number(3), Refusal::Number),
        (number(0), Refusal::Number),
        (cell(1), Refusal::Revision),
        (cell(u64::MAX), Refusal::Revision),
        (hour(1), Refusal::Slot),
        (hour(u64::MAX), Refusal::Slot),
    ];
    for (change, refusal) in absurd {
        assert_eq!(ledger.check(&change), Err(refusal));
        assert_eq!(ledger.apply(Zxid::new(1, 9), change, now()), Err(refusal));
    }
    let bytes = payload(&ended());
    let (change, packed) = (Packed::read::<Change>(&bytes).unwrap(), Packed::from_bytes(bytes));
    assert_eq!(ledger.apply_delivered(Zxid::new(1, 5), change, packed, now()), Err(Refusal::Place));
    assert_eq!(ledger.encode(), before);
}
