//! The keys that the endpoint beside this node holds: what it is told, what it has let go, and what is asked of its keys.
//!
//! A hold is granted only by a state that a primary vouched for, counted from the moment this node asked for that word.
//! A node that is cut off, or frozen, therefore stops granting in time without being told.

mod by_calls;
mod by_heartbeat;
mod overdue;
mod releases;
mod reports;
mod silence;
#[cfg(test)]
mod tests;

pub use by_heartbeat::answer_to;

use crate::node::{Pointsman, core_calls, learn};
use by_calls::EndpointCalls;
use lineside::call::{Ask, Reply, ShardRelease};
use overdue::Overdue;
use reports::Reports;
use silence::Silence;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use timetable::shards::KeyRange;
use trackbed::clock::{self, Moment};
use trackbed::ids::{ServiceName, Zxid};

const FRESHEN_EVERY: Duration = Duration::from_millis(900);
const LOOK_EVERY: Duration = Duration::from_millis(100);
const CALL_LIMIT: Duration = Duration::from_millis(1500);

/// Invariant: says nothing of keys unless the endpoint's service is divided by key.
#[derive(Default)]
pub struct Ownership {
    /// The endpoint's service is divided by key.
    is_divided: Cell<bool>,
    /// When this node asked for the word by which its state is known to be all.
    vouched: Cell<Option<Moment>>,
    /// What the endpoint holds as far as this process told it, each until when; nothing before the first telling.
    granted: RefCell<Option<Vec<(KeyRange, Moment)>>>,
    /// What the endpoint has let go and the core has not taken yet.
    released: RefCell<Vec<ShardRelease>>,
    is_telling_releases: Cell<bool>,
    /// Calls to the endpoint, where it is told by them.
    calls: RefCell<Option<EndpointCalls>>,
    reports: Reports,
    overdue: RefCell<Overdue>,
    silence: Silence,
    freshened: Cell<Moment>,
}

impl Ownership {
    /// Whether the endpoint holds a key, as far as this process knows.
    pub fn may_hold(&self, key: u16, now: Moment) -> bool {
        if !self.is_divided.get() {
            return true;
        }
        let granted = self.granted.borrow();
        let holds =
            |held: &Vec<(KeyRange, Moment)>| held.iter().any(|(range, until)| now < *until && range.contains(key));
        granted.as_ref().is_none_or(holds)
    }

    /// A request for a key was asked of the endpoint.
    pub fn asked_for(&self, key: u16) {
        self.reports.asked_for(key);
    }

    /// Another life begins at the endpoint's address: it holds nothing.
    pub fn start_anew(&self) {
        *self.granted.borrow_mut() = Some(Vec::new());
        self.released.borrow_mut().clear();
        *self.calls.borrow_mut() = None;
        *self.overdue.borrow_mut() = Overdue::default();
    }

    /// Lets go of connections for calls that the endpoint has closed.
    fn drop_closed_calls(&self) {
        if let Some(calls) = self.calls.borrow().as_ref() {
            calls.drop_closed();
        }
    }

    fn held_ranges(&self) -> Vec<KeyRange> {
        let granted = self.granted.borrow();
        granted.iter().flatten().map(|(range, _)| *range).collect()
    }
}

/// How an endpoint is told which keys it holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Telling {
    /// In answers to its heartbeats.
    ByHeartbeat,
    /// By calls to its address.
    ByCalls,
}

/// How the endpoints of a service are told; nothing where the service is not divided by key.
fn telling(node: &Pointsman, service: &ServiceName, lists_keys: bool) -> Option<Telling> {
    let fleet = node.fleet.borrow();
    let service = fleet.routes()?.service(service).filter(|service| service.sharded)?;
    Some(match service.grants.is_by_heartbeat(lists_keys) {
        true => Telling::ByHeartbeat,
        false => Telling::ByCalls,
    })
}

/// Keeps the endpoint's assignment known to be all there is, has it told, and tells what is asked of its keys.
pub async fn keep(node: Rc<Pointsman>) {
    loop {
        monoio::time::sleep(LOOK_EVERY).await;
        let life = node.platform.life.borrow().clone();
        let ownership = &node.platform.ownership;
        let telling = life.as_ref().and_then(|life| telling(&node, &life.instance.service, life.lists_keys));
        ownership.is_divided.set(telling.is_some());
        let (Some(life), Some(telling)) = (life, telling) else { continue };
        let now = clock::now();
        releases::tell(&node);
        if telling == Telling::ByCalls {
            by_calls::step(&node, &life.instance);
        }
        reports::tell_if_due(&node, &life.instance, now);
        overdue::watch(&node, &life, now);
        silence::watch(&node, &life, now);
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
