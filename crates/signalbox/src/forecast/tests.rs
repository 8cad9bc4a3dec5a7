//! Weeks on virtual time: evenings of homework, deadline checks, fonts, licences, and crawlers at night.

use super::clock::{CoreTime, SlotClock};
use super::forecaster::Forecaster;
use super::plan::{Capacity, plan_hour};
use super::series::Series;
use super::*;
use crate::ledger::{Change, History, Ledger, Plan, PlannedService, SlotLine, SlotRecord};
use lineside::aggregation::{Reservation, Reservations, SealedWindow, Summary, WindowId};
use std::cell::Cell;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;
use timetable::configuration::{Configuration, Routes};
use trackbed::clock::Moment;
use trackbed::ids::{NodeName, Zxid};
use trackbed::random::Random;

const HOUR: Duration = Duration::from_millis(SLOT_MILLIS);
const FIRST: u64 = 494_000 - 494_000 % WEEK as u64;

fn moment(seconds: u64) -> Moment {
    Moment::from_micros(seconds * 1_000_000)
}

/// The shape of a route's week: requests in an hour.
fn shape(route: &str, hour: usize) -> f64 {
    let (day, hour) = (hour / 24, (hour % 24) as f64);
    let school = if day < 5 { 1.0 } else { 0.25 };
    let bump = |at: f64, wide: f64| (-((hour - at) / wide).powi(2)).exp();
    match route {
        "gradebook-read" => 4000.0 + school * 30_000.0 * bump(19.0, 1.6),
        // Sunday evening, before the deadline of Monday.
        "deadline-check" => {
            500.0 + school * 6000.0 * bump(20.0, 1.0) + if day == 6 { 20_000.0 * bump(21.0, 0.8) } else { 0.0 }
        }
        "font-fetch" => 20_000.0 + 60_000.0 * bump(7.5, 1.5) + 25_000.0 * bump(12.0, 2.0),
        "licence-lookup" => 8000.0 + 180_000.0 * bump(7.5, 1.5),
        "night-crawl" => 1000.0 + 9000.0 * bump(7.0, 3.0),
        _ => 100.0,
    }
}

const ROUTES: [(&str, &str, f64); 5] = [
    ("tareas", "gradebook-read", 0.06),
    ("materiales", "deadline-check", 0.03),
    ("glyph-cdn", "font-fetch", 0.03),
    ("foundry-store", "licence-lookup", 0.033),
    ("foundry-store", "night-crawl", 0.53),
];

fn weeks(count: usize, seed: u64, grows: f64, skipped: impl Fn(usize) -> bool) -> History {
    let mut history = History::default();
    let mut random = Random::seeded(seed);
    let mut number = 0;
    for hour in 0..count * WEEK {
        if skipped(hour) {
            continue;
        }
        number += 1;
        let week = (hour / WEEK) as f64;
        let lines = ROUTES.iter().map(|(service, route, work)| {
            let noise = 0.92 + random.below(160) as f64 / 1000.0;
            let requests = (shape(route, hour % WEEK) * (1.0 + grows * week) * noise) as u64;
            let work_millis = (requests as f64 * work * 1000.0) as u64;
            SlotLine { service: (*service).into(), route: (*route).into(), requests, work_millis }
        });
        let lines = lines.collect();
        let driver = (hour % 24 == 7).then(|| "tenant:news/crawler".to_owned());
        history.push(SlotRecord { number, label: FIRST + hour as u64, coverage: 1000, lines, driver });
    }
    history
}

fn forecasts(history: &History) -> BTreeMap<(String, String), Forecast> {
    let all = 0..history.names().len() as u16;
    let forecast = |place: u16| {
        Some((history.names()[place as usize].clone(), series_of(history, place).as_ref().and_then(foresee)?))
    };
    all.filter_map(forecast).collect()
}

fn routes() -> Routes {
    let route = |name: &str, service: &str, kind: &str, priority: u8, target: f64| {
        format!(
            r#""{name}":{{"hostname":"h","path_prefix":"/{name}/","route_type":"{kind}","timeout_s":4,
            "target_latency_s":{target},"priority":{priority},"service_name":"{service}"}}"#
        )
    };
    let routes = [
        route("gradebook-read", "tareas", "idempotent", 1, 0.6),
        route("deadline-check", "materiales", "idempotent", 0, 0.4),
        route("font-fetch", "glyph-cdn", "idempotent", 1, 0.6),
        route("licence-lookup", "foundry-store", "idempotent", 0, 0.12),
        route("night-crawl", "foundry-store", "idempotent", 2, 1.5),
        route("family-upload", "foundry-store", "upload", 2, 1.5),
    ];
    let services = r#""tareas":{},"materiales":{},"glyph-cdn":{},"foundry-store":{}"#;
    let text = format!(r#"{{"version":"r1","routes":{{{}}},"services":{{{services}}}}}"#, routes.join(","));
    Configuration::parse(text.as_bytes()).unwrap().typed().unwrap()
}

#[test]
fn a_jump_of_one_clock_neither_doubles_nor_skips_a_slot() {
    let members: Vec<NodeName> = (0..5).map(|index| NodeName::new(&format!("c{index}"))).collect();
    let (mut time, mut slot) = (CoreTime::default(), SlotClock::default());
    let wall_of_zero = FIRST * SLOT_MILLIS + 1_234_567;
    let mut history = History::default();
    let mut jumps = [0i64; 5];
    let mut random = Random::seeded(4);
    for second in (0..9 * 3600u64).step_by(5) {
        let now = moment(100_000 + second);
        match second {
            3600 => jumps[0] = -7_200_000,
            7200 => jumps[3] = 86_400_000,
            // The primary is another one, which knows of nothing but the history; the first one's clock is back.
            15_000 => (slot, jumps[0]) = (SlotClock::default(), 0),
            20_000 => jumps[1] = 2_700_000,
            _ => {}
        }
        for (member, jump) in members.iter().zip(jumps) {
            let skew = random.below(800) as i64 - 400;
            let wall = (wall_of_zero + second * 1000) as i64 + jump + skew;
            time.heard(member, wall as u64, now);
        }
        let wall = time.now(5, now);
        if let Some(label) = slot.step(history.last_label(), wall, now) {
            let number = history.last_number() + 1;
            history.push(SlotRecord { number, label, coverage: 1000, ..SlotRecord::default() });
        }
    }
    let labels: Vec<u64> = history.slots().map(|(label, ..)| label - FIRST).collect();
    assert_eq!(labels, (0..9).collect::<Vec<_>>());
    // Too few members: the time of day is not known, and slots go on by the steady clock.
    let later = moment(200_000);
    time.heard(&members[0], 5, later);
    assert_eq!(time.now(5, later), None);
}

#[test]
fn a_core_that_stood_still_leaves_a_gap_and_a_time_that_went_back_labels_nothing() {
    let mut slot = SlotClock::default();
    let wall = |hours: u64| Some((FIRST + hours) * SLOT_MILLIS + 60_000);
    assert_eq!(slot.step(None, wall(0), moment(0)), None);
    assert_eq!(slot.step(None, wall(5), moment(3600)), Some(FIRST));
    assert_eq!(slot.step(Some(FIRST), wall(6), moment(7200)), Some(FIRST + 5));
    let mut anew = SlotClock::default();
    assert_eq!(anew.step(Some(FIRST + 5), wall(2), moment(9000)), None);
    assert_eq!(anew.step(Some(FIRST + 5), wall(2), moment(99_000)), None, "nothing is open");
    // The last primary closed this hour a moment early: the next one is opened, and not the same again.
    assert_eq!(anew.step(Some(FIRST + 5), wall(5), moment(99_001)), None);
    assert_eq!(anew.step(Some(FIRST + 5), wall(6), moment(99_001 + 2 * 3600)), Some(FIRST + 6));
}

#[test]
fn what_was_not_counted_is_a_gap_and_what_was_counted_in_part_is_scaled() {
    let mut history = History::default();
    let record = |number: u64, hour: u64, coverage: u32, requests: u64| SlotRecord {
        number,
        label: FIRST + hour,
        coverage,
        lines: vec![SlotLine { service: "s".into(), route: "r".into(), requests, work_millis: requests * 20 }],
        driver: None,
    };
    history.push(record(1, 0, 1000, 100));
    history.push(record(2, 2, 800, 80));
    history.push(record(3, 3, 200, 20));
    history.push(SlotRecord { number: 4, label: FIRST + 4, coverage: 1000, ..SlotRecord::default() });
    let series = series_of(&history, 0).unwrap();
    assert_eq!(series.requests, [Some(100.0), None, Some(100.0), None, Some(0.0)]);
    assert!((series.work_of_one - 0.02).abs() < 1e-9);
    assert!(!history.follows(&record(5, 4, 1000, 1)) && !history.follows(&record(4, 5, 1000, 1)));
}

#[test]
fn history_survives_with_everything_else_and_stays_bounded() {
    let mut ledger = Ledger::new(Duration::from_secs(20));
    let now = moment(1);
    for hour in 0..7 * WEEK as u64 {
        let line = |index: u64| SlotLine {
            service: "s".into(),
            route: format!("r{}", hour * 3 + index),
            requests: hour,
            work_millis: 5,
        };
        let record = SlotRecord {
            number: hour + 1,
            label: FIRST + hour,
            coverage: 1000,
            lines: (0..300).map(|index| line(index % 3)).collect(),
            driver: None,
        };
        ledger.apply(Zxid::new(1, hour + 1), Change::Slot(record), now).unwrap();
    }
    assert_eq!(ledger.history.slot_count(), 6 * WEEK);
    assert!(ledger.history.names().len() <= 4096, "{}", ledger.history.names().len());
    for hour in [1, 2, 3] {
        ledger.apply(Zxid::new(2, hour), Change::Plan(Plan { hour, services: Vec::new() }), now).unwrap();
    }
    let bytes = ledger.encode();
    let again = Ledger::decode(&bytes, Duration::from_secs(20), now).unwrap();
    assert_eq!((&again.history, &again.plans), (&ledger.history, &ledger.plans));
    assert_eq!(again.plans.iter().map(|plan| plan.hour).collect::<Vec<_>>(), [2, 3]);
    // As it stood on disks before there was any.
    let before = Ledger::new(Duration::from_secs(20)).encode();
    let tail = borsh::to_vec(&(History::default(), Vec::<Plan>::new())).unwrap();
    let old = Ledger::decode(&before[..before.len() - tail.len()], Duration::from_secs(20), now).unwrap();
    assert_eq!(old.history.slot_count(), 0);
    assert!(Ledger::decode(&bytes[..bytes.len() - 1], Duration::from_secs(20), now).is_err());
}

#[test]
fn next_week_is_foretold_from_weeks_and_nothing_from_days() {
    let history = weeks(1, 3, 0.0, |_| false);
    assert!(forecasts(&history).is_empty(), "not enough");
    let patchy = weeks(4, 3, 0.0, |hour| hour % 2 == 0 || hour % 3 == 0);
    assert!(forecasts(&patchy).is_empty(), "too little of it was counted");
    // Five weeks with holes: an evening lost, and a day.
    let history = weeks(5, 3, 0.0, |hour| (400..404).contains(&hour) || (500..524).contains(&hour));
    let foretold = forecasts(&history);
    assert_eq!(foretold.len(), ROUTES.len());
    let mut inside = (0, 0);
    for ((_, route), forecast) in &foretold {
        assert_eq!((forecast.first, forecast.hours.len()), (FIRST + 5 * WEEK as u64, WEEK));
        let truth: f64 = (0..WEEK).map(|hour| shape(route, hour)).sum();
        let off: f64 =
            forecast.hours.iter().enumerate().map(|(hour, told)| (told.requests - shape(route, hour)).abs()).sum();
        assert!(off < truth * 0.12 && forecast.error < 0.15, "{route}: off {:.3}, {forecast:?}", off / truth);
        for (hour, told) in forecast.hours.iter().enumerate() {
            inside.0 += (told.least..=told.most).contains(&shape(route, hour)) as u32;
            inside.1 += 1;
        }
    }
    assert!(inside.0 * 10 >= inside.1 * 8, "{inside:?} in the interval");
}

#[test]
fn a_series_that_grows_or_breaks_off_is_told_with_its_error() {
    let flat = |value: f64, count: usize| vec![Some(value); count];
    let told = |requests: Vec<Option<f64>>| foresee(&Series { first: FIRST, requests, work_of_one: 0.1 }).unwrap();
    let steady = told(flat(50.0, 3 * WEEK));
    assert!(steady.error < 0.01 && (steady.hours[9].requests - 50.0).abs() < 1.0, "{:?}", steady.hours[9]);
    let mut ends = flat(50.0, 3 * WEEK);
    ends[2 * WEEK..].iter_mut().for_each(|value| *value = Some(0.0));
    assert!(told(ends).error > 1.0, "what was foretold and did not come shows in the error");
    let silent = told(flat(0.0, 3 * WEEK));
    assert!(silent.hours.iter().all(|hour| hour.requests == 0.0 && hour.most.is_finite()));
}

/// The endpoints of one service: slots, a queue by rank, and the room that is kept.
struct Pool {
    slots: u32,
    deferrable_slots: u32,
    /// Ends of what runs, and whether it can wait.
    running: BinaryHeap<std::cmp::Reverse<(u64, bool)>>,
    urgent: std::collections::VecDeque<u64>,
    /// Waits of urgent requests in microseconds, by the second in which they came.
    waits: Vec<(u64, u64)>,
    crawled: u64,
    refused: u64,
    ends: Vec<u64>,
}

/// Crawlers that come back until they are served, and lookups whose rush begins at `rush`; one endpoint, in microseconds.
fn evening(reservation: Option<&Reservation>, slots: u32, rush: u64, in_rush: f64, seed: u64) -> Pool {
    let deferrable_slots = reservation.map(|reservation| reservation.slots(slots)).unwrap_or(slots);
    let mut pool = Pool {
        slots,
        deferrable_slots,
        running: BinaryHeap::new(),
        urgent: Default::default(),
        waits: Vec::new(),
        crawled: 0,
        refused: 0,
        ends: Vec::new(),
    };
    let mut random = Random::seeded(seed);
    let exponential =
        |random: &mut Random, mean: f64| (-(1.0 - random.below(1_000_000) as f64 / 1e6).max(1e-6).ln() * mean) as u64;
    let (mut next_lookup, mut next_crawl) = (0u64, 0u64);
    let end = rush + 60_000_000;
    loop {
        let first_end = pool.running.peek().map(|end| end.0.0).unwrap_or(u64::MAX);
        let now = next_lookup.min(next_crawl).min(first_end);
        if now >= end {
            return pool;
        }
        if now == first_end {
            let waits = pool.running.pop().unwrap().0.1;
            pool.crawled += waits as u64;
            pool.ends.push(now);
            if let Some(came) = pool.urgent.pop_front() {
                pool.waits.push((came, now - came));
                let work = exponential(&mut random, 33_000.0);
                pool.running.push(std::cmp::Reverse((now + work, false)));
            }
        } else if now == next_lookup {
            let rate = if now >= rush { in_rush } else { in_rush / 8.0 };
            next_lookup = now + exponential(&mut random, 1e6 / rate).max(1);
            if (pool.running.len() as u32) < pool.slots {
                pool.waits.push((now, 0));
                let work = exponential(&mut random, 33_000.0);
                pool.running.push(std::cmp::Reverse((now + work, false)));
            } else {
                pool.urgent.push_back(now);
            }
        } else {
            // As many crawlers as there are slots for and more.
            next_crawl = now + exponential(&mut random, 30_000.0).max(1);
            let crawls = pool.running.iter().filter(|end| end.0.1).count() as u32;
            if (pool.running.len() as u32) < pool.slots && crawls < pool.deferrable_slots && pool.urgent.is_empty() {
                let work = exponential(&mut random, 530_000.0);
                pool.running.push(std::cmp::Reverse((now + work, true)));
            } else {
                pool.refused += 1;
            }
        }
    }
}

/// The share of lookups that had their answer in time, of those that came in the rush's first minute.
fn in_time(pool: &Pool, rush: u64) -> f64 {
    let first_minute: Vec<u64> = pool.waits.iter().filter(|(came, _)| *came >= rush).map(|(_, wait)| *wait).collect();
    let in_time = first_minute.iter().filter(|wait| **wait + 33_000 < 120_000).count();
    in_time as f64 / first_minute.len() as f64
}

#[test]
fn in_a_heavy_week_what_cannot_be_late_has_room_from_the_first_minute_and_crawlers_wait() {
    // The news group grows by a tenth a week; the endpoints hold the quiet hours easily.
    let history = weeks(5, 8, 0.1, |_| false);
    let foretold = forecasts(&history);
    let rush = foretold.values().next().unwrap().first + 7;
    // One endpoint of six slots.
    let capacity: Capacity = [("foundry-store".to_owned(), 6.0 * 3600.0)].into();
    let plan = plan_hour(rush, &routes(), &foretold, &capacity);
    let planned = &plan.services[0];
    assert_eq!((plan.services.len(), planned.reservation.service.as_str()), (1, "foundry-store"));
    assert_eq!(planned.reservation.deferrable, ["night-crawl"], "an upload does not wait, nor does a lookup");
    assert!(planned.reservation.slots(6) >= 1 && planned.reservation.slots(6) < 6);
    let quiet = plan_hour(rush - 4, &routes(), &foretold, &[("foundry-store".to_owned(), 1e9)].into());
    assert!(quiet.services.is_empty(), "where all fits nothing is kept");
    let at = 20_000_000;
    let lookups = foretold[&("foundry-store".to_owned(), "licence-lookup".to_owned())].hours[7].requests / 3600.0;
    let with = evening(Some(&planned.reservation), 6, at, lookups, 5);
    let without = evening(None, 6, at, lookups, 5);
    let (kept, open) = (in_time(&with, at), in_time(&without, at));
    println!("simulated: {lookups:.1} lookups a second, room {:.2}", 1.0 - planned.reservation.deferrable_share);
    println!("simulated: lookups in time in the rush's first minute: {kept:.3} with the plan, {open:.3} without");
    println!("simulated: crawls ended: {} with the plan, {} without", with.crawled, without.crawled);
    assert!(kept > 0.97 && open < 0.9, "{kept} and {open}");
    assert!(with.crawled * 8 > without.crawled, "crawlers go on: {} and {}", with.crawled, without.crawled);
    assert!(with.crawled < without.crawled, "and end later");
}

fn window(number: u64, urgent: u64) -> SealedWindow {
    let mut summary = Summary::merged();
    (0..urgent).for_each(|_| summary.begun("tenant:news", "foundry-store", "licence-lookup"));
    summary.begun("tenant:news/crawler", "foundry-store", "night-crawl");
    SealedWindow { id: WindowId::new(1, number), nodes: 4, summary }
}

/// A primary that seals a window every five seconds.
struct Core {
    forecaster: Forecaster,
    history: History,
    plans: Vec<Plan>,
    now: Moment,
    wall: u64,
    number: u64,
}

impl Core {
    fn seal(&mut self, urgent: u64) -> Reservations {
        self.number += 1;
        self.now = self.now + Duration::from_secs(5);
        self.wall += 5000;
        for index in 0..3 {
            self.forecaster.time.heard(&NodeName::new(&format!("c{index}")), self.wall, self.now);
        }
        let windows = [window(self.number, urgent)];
        if let Some(record) = self.forecaster.sealed(&windows, 5000, 4, &self.history, 3, self.now) {
            self.history.push(record);
        }
        self.forecaster.in_force(&self.plans, 5000, 3, self.now)
    }
}

#[test]
fn a_plan_is_in_force_shortly_before_its_hour_ends_by_itself_and_gives_back_what_nobody_asks_for() {
    let hour = FIRST + 7;
    let reservation =
        Reservation { service: "foundry-store".into(), deferrable_share: 0.3, deferrable: vec!["night-crawl".into()] };
    // At least 20 requests in five seconds are foretold.
    let plans = vec![Plan { hour, services: vec![PlannedService { reservation, urgent_least: 14_400 }] }];
    let wall = hour * SLOT_MILLIS - 600_000;
    let mut core = Core {
        forecaster: Forecaster::default(),
        history: History::default(),
        plans,
        now: moment(1000),
        wall,
        number: 0,
    };
    let mut kept = Vec::new();
    for step in 0..1000u64 {
        // Nobody comes for the first five minutes of the hour, then the rush is there.
        let into = (core.wall + 5000) as i64 - (hour * SLOT_MILLIS) as i64;
        let urgent = if into < 300_000 { 1 } else { 25 };
        kept.push((into / 1000, !core.seal(urgent).services.is_empty()));
        assert!(step < 10 || core.number == step + 1);
    }
    let at = |second: i64| kept.iter().find(|(at, _)| *at >= second).unwrap().1;
    assert!(!at(-400) && at(-290) && at(10), "from five minutes before");
    assert!(!at(85) && !at(250), "far fewer than foretold: given back within half a minute of being judged");
    assert!(at(330), "kept again soon after they come");
    assert!(at(3500) && !at(3610), "it ends by itself");
    // A primary that lost sight of most of the core keeps nothing.
    assert!(core.forecaster.in_force(&core.plans, 5000, 9, core.now).services.is_empty());
}

#[test]
fn slots_are_gathered_from_windows_and_told_with_their_coverage_and_their_driver() {
    let mut core = Core {
        forecaster: Forecaster::default(),
        history: History::default(),
        plans: Vec::new(),
        now: moment(1000),
        wall: FIRST * SLOT_MILLIS + SLOT_MILLIS / 2,
        number: 0,
    };
    for _ in 0..(2 * HOUR.as_secs() / 5 + 10) {
        core.seal(9);
    }
    let slots: Vec<_> = core.history.slots().map(|(label, coverage, lines)| (label, coverage, lines.len())).collect();
    assert_eq!(slots.len(), 2);
    assert_eq!((slots[0].0, slots[1].0), (FIRST, FIRST + 1));
    assert!((480..=520).contains(&slots[0].1), "half of the first hour was counted: {slots:?}");
    assert!(slots[1].1 >= 990 && slots[1].2 == 2, "{slots:?}");
    assert_eq!(core.history.driver_at(FIRST + 1), Some("tenant:news"));
    assert_eq!(core.history.last_number(), 2);
}

#[test]
fn series_are_fitted_one_at_a_time_and_the_whole_is_told() {
    let history = weeks(4, 2, 0.05, |_| false);
    let mut forecaster = Forecaster::default();
    let ticks = Cell::new(0u64);
    let clock = || Duration::from_micros(ticks.replace(ticks.get() + 100));
    let capacity: Capacity = [("foundry-store".to_owned(), 3600.0), ("tareas".to_owned(), 1e7)].into();
    assert!(forecaster.told(&history, &[], &capacity, None).contains("\"enough\":false"));
    for _ in 0..history.names().len() {
        forecaster.fit_one(&history, clock);
    }
    assert_eq!((forecaster.fits, forecaster.longest_fit), (ROUTES.len() as u64, Duration::from_micros(100)));
    forecaster.fit_one(&history, clock);
    assert_eq!(forecaster.fits, ROUTES.len() as u64, "nothing is fitted twice");
    let told = forecaster.told(&history, &[], &capacity, None);
    let value: sonic_rs::Value = sonic_rs::from_str(&told).unwrap();
    use sonic_rs::{JsonContainerTrait, JsonValueTrait};
    let services = value.pointer(["services"].iter()).unwrap().as_array().unwrap();
    assert_eq!(services.len(), 4);
    let foundry = services.iter().find(|of| of.pointer(["service"].iter()).unwrap().as_str() == Some("foundry-store"));
    let over = foundry.unwrap().pointer(["over"].iter()).unwrap().as_array().unwrap();
    assert!(!over.is_empty(), "an hour of work for one slot does not hold the crawlers' morning");
    let drivers = over.iter().filter(|hour| hour.pointer(["driven_by"].iter()).unwrap().is_str()).count();
    assert!(drivers > 0, "{told}");
    let only = forecaster.told(&history, &[], &capacity, Some("tareas"));
    assert!(only.contains("gradebook-read") && !only.contains("night-crawl"));
}
