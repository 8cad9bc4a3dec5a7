//! What is asked of the endpoint's keys, told to the core.

use super::CALL_LIMIT;
use crate::node::{Pointsman, core_calls};
use lineside::call::{Ask, KEYS_IN_BUCKET, ShardLoad};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use timetable::fleet::Instance;
use timetable::shards::KeyRange;
use trackbed::clock::Moment;

const REPORT_EVERY: Duration = Duration::from_millis(800);

/// Counts since the last report.
#[derive(Default)]
pub(super) struct Reports {
    /// Requests asked for, by bucket of keys.
    requests: RefCell<BTreeMap<u16, u32>>,
    /// What the endpoint held at the last report, and when that was.
    held_then: RefCell<Vec<KeyRange>>,
    reported: Cell<Moment>,
}

impl Reports {
    pub(super) fn asked_for(&self, key: u16) {
        *self.requests.borrow_mut().entry(key / KEYS_IN_BUCKET).or_default() += 1;
    }
}

/// Tells the core what was asked of the endpoint's keys, where a report is due; nobody waits for it.
pub(super) fn tell_if_due(node: &Rc<Pointsman>, instance: &Instance, now: Moment) {
    let ownership = &node.platform.ownership;
    let reports = &ownership.reports;
    if now.since(reports.reported.get()) < REPORT_EVERY {
        return;
    }
    let window = now.since(reports.reported.replace(now));
    let requests = std::mem::take(&mut *reports.requests.borrow_mut());
    let held = ownership.held_ranges();
    let held_then = reports.held_then.replace(held.clone());
    let covered = held.iter().flat_map(|range| held_then.iter().filter_map(|then| then.intersection(*range)));
    if window > REPORT_EVERY * 4 || instance.draining {
        return;
    }
    let load = ShardLoad {
        service: instance.service.clone(),
        instance: instance.id.clone(),
        window_millis: window.as_millis() as u32,
        service_micros: node.platform.admission.mean_micros(),
        covered: covered.collect(),
        requests: requests.into_iter().collect(),
    };
    let node = node.clone();
    monoio::spawn(async move {
        core_calls::ask_core(&node, Ask::ShardLoad(load), CALL_LIMIT / 3).await;
    });
}
