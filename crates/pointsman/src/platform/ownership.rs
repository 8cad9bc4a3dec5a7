//! The keys that the endpoint beside this node holds: what it is told in answers to its heartbeats, what it has let go,
//! and what is asked of its keys.
//!
//! A hold is renewed only by a state that a primary vouched for, counted from the moment this node asked for that word.
//! A node that is cut off, or frozen, therefore stops renewing in time without being told.

use super::Life;
use crate::node::{Pointsman, core_calls, learn};
use lineside::call::{Ask, KEYS_IN_BUCKET, Reply, ShardLoad, ShardRelease};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use timetable::configuration::GrantWay;
use timetable::fleet::{Beat, Instance};
use timetable::shards::{KeyRange, renewable_for};
use trackbed::clock::{self, Moment};
use trackbed::ids::{ServiceName, Zxid};
use trackbed::logs::escape;

const FRESHEN_EVERY: Duration = Duration::from_millis(900);
const REPORT_EVERY: Duration = Duration::from_millis(2000);
const LOOK_EVERY: Duration = Duration::from_millis(100);
const CALL_LIMIT: Duration = Duration::from_millis(1500);
/// Rows in one answer, which holds 4 KiB at most.
const MOST_ROWS: usize = 48;

/// One range in an answer.
struct Row {
    range: KeyRange,
    fence: u64,
    handover: String,
}

/// Invariant: says nothing of keys unless the endpoint's service is divided by key.
#[derive(Default)]
pub struct Ownership {
    /// The endpoint's service is divided by key.
    is_divided: Cell<bool>,
    /// When this node asked for the word by which its state is known to be all.
    vouched: Cell<Option<Moment>>,
    /// What the endpoint was told last that it holds, and until when; nothing before the first answer of this process.
    granted: RefCell<Option<(Vec<KeyRange>, Moment)>>,
    /// What the endpoint has let go and the core has not taken yet.
    released: RefCell<Vec<ShardRelease>>,
    /// Requests asked for since the last report, by bucket of keys.
    requests: RefCell<BTreeMap<u16, u32>>,
    /// What the endpoint held at the last report, and when that was.
    held_then: RefCell<Vec<KeyRange>>,
    reported: Cell<Moment>,
    freshened: Cell<Moment>,
    telling: Cell<bool>,
}

impl Ownership {
    /// Whether the endpoint holds a key, as far as this process knows.
    pub fn may_hold(&self, key: u16, now: Moment) -> bool {
        if !self.is_divided.get() {
            return true;
        }
        let granted = self.granted.borrow();
        granted.as_ref().is_none_or(|(ranges, until)| now < *until && ranges.iter().any(|range| range.contains(key)))
    }

    pub fn asked_for(&self, key: u16) {
        *self.requests.borrow_mut().entry(key / KEYS_IN_BUCKET).or_default() += 1;
    }

    /// Another life begins at the endpoint's address: it holds nothing.
    pub fn start_anew(&self) {
        *self.granted.borrow_mut() = Some((Vec::new(), Moment::default()));
        self.released.borrow_mut().clear();
    }
}

/// Whether a service's keys have holders, which are told in answers to heartbeats.
fn is_granted_by_heartbeat(node: &Pointsman, service: &ServiceName) -> bool {
    let fleet = node.fleet.borrow();
    let service = fleet.routes().and_then(|routes| routes.service(service));
    service.is_some_and(|service| service.sharded && service.grants == GrantWay::Heartbeat)
}

/// The body of the answer to a heartbeat: what the endpoint is to hold, where that is known for sure.
pub fn answer_to(node: &Rc<Pointsman>, beat: &Beat, arrived: Moment) -> String {
    if !is_granted_by_heartbeat(node, &beat.instance.service) {
        return "{}".into();
    }
    let ownership = &node.platform.ownership;
    note_released(node, beat);
    let longest = node.live.get().bounds.hold_max();
    // The endpoint counts from when it sent the beat, which was before it arrived here.
    let hold = ownership.vouched.get().and_then(|vouched| renewable_for(vouched, arrived, longest));
    let Some(hold) = hold else { return "{}".into() };
    let rows = rows_for(node, beat);
    let ranges = rows.iter().map(|row| row.range).collect();
    *ownership.granted.borrow_mut() = Some((ranges, arrived + hold));
    let rows: Vec<String> = rows.iter().map(written).collect();
    format!("{{\"holds\":[{}],\"hold_s\":{:.3}}}", rows.join(","), hold.as_secs_f64())
}

fn written(row: &Row) -> String {
    let Row { range, fence, handover } = row;
    format!("[{},{},{fence},\"{}\"]", range.first(), range.last(), escape(handover))
}

/// The ranges that the ordered state gives to the endpoint; a handover only while the endpoint has not taken it.
fn rows_for(node: &Pointsman, beat: &Beat) -> Vec<Row> {
    let fleet = node.fleet.borrow();
    let Some(shards) = fleet.shards(&beat.instance.service) else { return Vec::new() };
    if beat.instance.draining {
        return Vec::new();
    }
    let has = |range: KeyRange, fence: u64| beat.holds.iter().any(|(held, by)| *by == fence && held.covers(range));
    let held = shards.held_by(&beat.instance.id).take(MOST_ROWS);
    held.map(|(range, fence, handover)| {
        let handover = if has(range, fence) { String::new() } else { handover.to_owned() };
        Row { range, fence, handover }
    })
    .collect()
}

/// Keeps what the endpoint says that it has let go, until the core has taken it.
fn note_released(node: &Rc<Pointsman>, beat: &Beat) {
    if beat.released.is_empty() {
        return;
    }
    let release = ShardRelease {
        service: beat.instance.service.clone(),
        owner: beat.instance.id.clone(),
        ranges: beat.released.clone(),
        seen: node.fleet.borrow().zxid(),
    };
    node.platform.ownership.released.borrow_mut().push(release);
    tell_released(node);
}

/// Tells the core what was let go. One word at a time, again until it is taken.
fn tell_released(node: &Rc<Pointsman>) {
    let ownership = &node.platform.ownership;
    if ownership.telling.replace(true) {
        return;
    }
    let node = node.clone();
    monoio::spawn(async move {
        let ownership = &node.platform.ownership;
        loop {
            let Some(next) = ownership.released.borrow().first().cloned() else { break };
            let taken = core_calls::ask_core(&node, Ask::ShardRelease(next.clone()), CALL_LIMIT).await;
            if taken != Some(Reply::Done) {
                break;
            }
            ownership.released.borrow_mut().retain(|release| *release != next);
        }
        ownership.telling.set(false);
    });
}

/// Keeps the endpoint's assignment known to be all there is, and tells what is asked of its keys.
pub async fn keep(node: Rc<Pointsman>) {
    loop {
        monoio::time::sleep(LOOK_EVERY).await;
        let instance = node.platform.life.borrow().as_ref().map(|life: &Life| life.instance.clone());
        let ownership = &node.platform.ownership;
        let instance = instance.filter(|instance| is_granted_by_heartbeat(&node, &instance.service));
        ownership.is_divided.set(instance.is_some());
        let Some(instance) = instance else { continue };
        let now = clock::now();
        if !ownership.released.borrow().is_empty() {
            tell_released(&node);
        }
        if now.since(ownership.reported.get()) >= REPORT_EVERY {
            report(&node, &instance, now);
        }
        if now.since(ownership.freshened.get()) >= FRESHEN_EVERY {
            ownership.freshened.set(now);
            freshen(&node).await;
        }
    }
}

/// Asks for a primary's word of how far its state goes, and for what is missing here.
async fn freshen(node: &Rc<Pointsman>) {
    let since = node.fleet.borrow().zxid();
    // Each core node is asked anew: the word counts from the ask that was answered.
    for core in core_calls::cores(node) {
        let asked = clock::now();
        let reply = node.caller.call_for_much(core, Ask::FreshNews { since }, CALL_LIMIT / 3).await;
        if let Ok(Reply::FreshNews { news, zxid, age_millis }) = reply {
            learn::take(node, since, news);
            vouch(node, asked - Duration::from_millis(age_millis as u64), zxid);
            return;
        }
        if clock::now().since(node.platform.ownership.freshened.get()) > CALL_LIMIT {
            return;
        }
    }
}

fn vouch(node: &Pointsman, at: Moment, zxid: Zxid) {
    let vouched = &node.platform.ownership.vouched;
    if node.fleet.borrow().zxid() >= zxid && vouched.get().is_none_or(|before| before < at) {
        vouched.set(Some(at));
    }
}

/// Tells the core what was asked of the endpoint's keys; nobody waits for it.
fn report(node: &Rc<Pointsman>, instance: &Instance, now: Moment) {
    let ownership = &node.platform.ownership;
    let window = now.since(ownership.reported.replace(now));
    let requests = std::mem::take(&mut *ownership.requests.borrow_mut());
    let held = ownership.granted.borrow().as_ref().map(|(ranges, _)| ranges.clone()).unwrap_or_default();
    let held_then = ownership.held_then.replace(held.clone());
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

#[cfg(test)]
#[path = "ownership_tests.rs"]
mod tests;
