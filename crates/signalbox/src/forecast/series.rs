//! What a slot is made of, and what a series of slots comes to.

use super::{REST, WEEK};
use crate::ledger::{History, MOST_SERIES, SlotLine, SlotRecord};
use lineside::aggregation::{Demand, SealedWindow};
use std::collections::BTreeMap;

/// Slots of which less was counted are a gap.
const LEAST_COVERAGE: u32 = 500;
/// A client stands out with so much of all requests.
const DRIVES: f64 = 0.2;

/// What the windows of the open slot came to.
#[derive(Default)]
pub struct Gathered {
    demand: BTreeMap<(String, String), Demand>,
    clients: BTreeMap<String, u64>,
    requests: u64,
    /// Sum over windows of the share of nodes that told.
    told: f64,
}

/// Names held while a slot is open.
const MOST_HELD: usize = 2048;

impl Gathered {
    pub fn add(&mut self, window: &SealedWindow, of: u32) {
        self.told += (window.nodes as f64 / of.max(1) as f64).min(1.0);
        self.requests += window.summary.requests();
        for (service, route, demand) in window.summary.routes() {
            let key = (service.to_owned(), route.to_owned());
            let key = match self.demand.len() < MOST_HELD || self.demand.contains_key(&key) {
                true => key,
                false => (service.to_owned(), REST.to_owned()),
            };
            self.demand.entry(key).or_default().add(demand);
        }
        for (client, requests, _, _) in window.summary.clients().into_iter().take(8) {
            if self.clients.len() < MOST_HELD || self.clients.contains_key(&client) {
                *self.clients.entry(client).or_default() += requests;
            }
        }
    }

    /// The slot's record. The busiest routes are told by name, the rest by service. `windows`: how many a whole slot has.
    pub fn record(self, number: u64, label: u64, windows: u32) -> SlotRecord {
        let coverage = (self.told / windows.max(1) as f64 * 1000.0).round().min(1000.0) as u32;
        let work = |demand: &Demand| match demand.served {
            0 => 0,
            served => (demand.requests as f64 * demand.work_micros as f64 / served as f64 / 1000.0) as u64,
        };
        let mut all: Vec<((String, String), Demand)> = self.demand.into_iter().collect();
        all.sort_by(|one, other| other.1.requests.cmp(&one.1.requests).then_with(|| one.0.cmp(&other.0)));
        let mut lines: Vec<SlotLine> = Vec::new();
        let mut rest: BTreeMap<String, (u64, u64)> = BTreeMap::new();
        for ((service, route), demand) in all {
            let (requests, work_millis) = (demand.requests, work(&demand));
            if route != REST && lines.len() < MOST_SERIES / 2 {
                lines.push(SlotLine { service, route, requests, work_millis });
            } else {
                let sum = rest.entry(service).or_default();
                *sum = (sum.0 + requests, sum.1 + work_millis);
            }
        }
        let mut rest: Vec<_> = rest.into_iter().collect();
        rest.sort_by(|one, other| other.1.0.cmp(&one.1.0).then_with(|| one.0.cmp(&other.0)));
        let room = MOST_SERIES - lines.len();
        for (service, (requests, work_millis)) in rest.into_iter().take(room) {
            lines.push(SlotLine { service, route: REST.to_owned(), requests, work_millis });
        }
        let first = self.clients.into_iter().max_by_key(|(_, requests)| *requests);
        let stands_out = |requests: u64| requests as f64 > self.requests as f64 * DRIVES;
        let driver = first.filter(|(_, requests)| stands_out(*requests)).map(|(client, _)| client);
        SlotRecord { number, label, coverage, lines, driver }
    }
}

/// One series over its labels. Invariant: what was not counted well enough is a gap, never zero.
#[derive(Clone, Debug, PartialEq)]
pub struct Series {
    /// The label of the first.
    pub first: u64,
    pub requests: Vec<Option<f64>>,
    /// Of one request, in seconds, over the last week in which it was asked for.
    pub work_of_one: f64,
}

/// The series at a place among the history's names.
pub fn series_of(history: &History, place: u16) -> Option<Series> {
    let (first, last) = (history.slots().next()?.0, history.last_label()?);
    let length = (last - first + 1).min(8 * WEEK as u64) as usize;
    let first = last + 1 - length as u64;
    let mut requests = vec![None; length];
    let (mut asked, mut work) = (0.0, 0.0);
    for (label, coverage, lines) in history.slots() {
        let Some(at) = label.checked_sub(first).filter(|_| coverage >= LEAST_COVERAGE) else { continue };
        let line = lines.iter().find(|(other, _, _)| *other == place);
        let scale = 1000.0 / coverage as f64;
        let (own, own_work) = line.map(|(_, requests, work)| (*requests as f64, *work as f64)).unwrap_or((0.0, 0.0));
        requests[at as usize] = Some(own * scale);
        if last - label < WEEK as u64 && own_work > 0.0 {
            asked += own;
            work += own_work / 1000.0;
        }
    }
    let work_of_one = if asked > 0.0 { work / asked } else { 0.0 };
    Some(Series { first, requests, work_of_one })
}
