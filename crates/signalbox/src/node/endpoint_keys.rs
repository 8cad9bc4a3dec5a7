//! Keys of endpoints that have no node beside them: told by this node in answers to their heartbeats, or by the primary
//! in calls to their address.
//!
//! Heartbeats of one endpoint may reach different core nodes, and some of those may be behind. So an answer names keys only
//! by a word of the primary that was asked for after the heartbeat arrived: no later answer rests on an earlier state.

use super::{Signalbox, primary, shards};
use lineside::call::ShardRelease;
use lineside::holds::{EndpointRelease, HeartbeatRows, HoldDriver, HoldMetrics, HoldSource, HoldTerms};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;
use timetable::configuration::GrantWay;
use timetable::fleet::{Beat, FleetState, Instance};
use timetable::shards::{Assignment, renewable_for};
use trackbed::clock::{self, Moment};
use trackbed::ids::{InstanceId, ServiceName, Zxid};

const STEP_EVERY: Duration = Duration::from_millis(50);
/// An endpoint gives a heartbeat up after a second.
const WORD_LIMIT: Duration = Duration::from_millis(600);
const WORD_LOOK_EVERY: Duration = Duration::from_millis(4);

/// What this node knows of the keys of endpoints that have no node beside them.
#[derive(Default)]
pub struct EndpointKeys {
    /// The newest word of the primary: when it was asked for, and how far its state goes.
    word: Cell<Option<(Moment, Zxid)>>,
    is_asking: Cell<bool>,
    /// The last heartbeat of each endpoint that was answered here with its keys, and the state that the answer rests on.
    told: RefCell<HashMap<InstanceId, (u64, Zxid)>>,
    /// Calls to endpoints; only at the primary.
    drivers: RefCell<BTreeMap<InstanceId, EndpointCalls>>,
}

struct EndpointCalls {
    source: Rc<PrimarySource>,
    driver: Rc<HoldDriver>,
}

/// The body of the answer to a heartbeat that arrived at a moment.
pub async fn answer_to(node: &Rc<Signalbox>, beat: &Beat, arrived: Moment) -> String {
    if !is_told_by_heartbeat(&node.committed.borrow().fleet, beat) {
        return "{}".into();
    }
    note_released(node, beat);
    let is_known = match word_since(node, arrived).await {
        Some(upto) => primary::wait_until_known(node, upto).await,
        None => false,
    };
    let longest = node.live.get().bounds.hold_max();
    // The endpoint counts from when it sent the heartbeat, which was before it arrived here.
    let hold = renewable_for(arrived, clock::now(), longest).filter(|_| is_known);
    let Some(hold) = hold else { return "{}".into() };
    let committed = node.committed.borrow();
    let rows = HeartbeatRows::of(committed.fleet.shards(&beat.instance.service).map(Rc::as_ref), beat);
    let told = (beat.sequence, committed.fleet.zxid());
    node.endpoint_keys.told.borrow_mut().insert(beat.instance.id.clone(), told);
    let target = match node.live.get().listen.control_plane {
        // What the endpoint lets go by this answer is believed here only.
        Some(address) => format!("\"heartbeat_target\":\"{address}\","),
        None => String::new(),
    };
    format!("{{{target}{}}}", rows.written(hold))
}

fn is_told_by_heartbeat(fleet: &FleetState, beat: &Beat) -> bool {
    let service = fleet.routes().and_then(|routes| routes.service(&beat.instance.service));
    service.is_some_and(|service| service.sharded && service.grants.is_by_heartbeat(beat.lists_keys))
}

/// Takes what the endpoint says that it has let go, as of the last answer that this node gave it. A heartbeat that is late
/// can't free what was granted and revoked since.
fn note_released(node: &Rc<Signalbox>, beat: &Beat) {
    let told = node.endpoint_keys.told.borrow().get(&beat.instance.id).copied();
    let Some((_, seen)) = told.filter(|(sequence, _)| *sequence < beat.sequence && !beat.released.is_empty()) else {
        return;
    };
    let release = ShardRelease {
        service: beat.instance.service.clone(),
        owner: beat.instance.id.clone(),
        ranges: beat.released.clone(),
        seen,
    };
    let node = node.clone();
    monoio::spawn(async move {
        shards::release(&node, release).await;
    });
}

/// How far the primary's committed state goes, by a word that was asked for at `since` or later. One ask is under way at a
/// time, and serves all that wait for it.
async fn word_since(node: &Rc<Signalbox>, since: Moment) -> Option<Zxid> {
    let keys = &node.endpoint_keys;
    let end = since + WORD_LIMIT;
    loop {
        if let Some((_, upto)) = keys.word.get().filter(|(asked, _)| *asked >= since) {
            return Some(upto);
        }
        let asked = clock::now();
        if asked >= end {
            return None;
        }
        if keys.is_asking.replace(true) {
            monoio::time::sleep(WORD_LOOK_EVERY).await;
            continue;
        }
        let word = primary::ask_how_far(node).await;
        keys.is_asking.set(false);
        match word {
            Ok(upto) => keys.word.set(Some((asked, upto))),
            Err(_) => monoio::time::sleep(WORD_LOOK_EVERY).await,
        }
    }
}

/// What the primary's calls to the endpoints of a service go by.
struct PrimarySource {
    node: Rc<Signalbox>,
    service: ServiceName,
}

impl HoldSource for PrimarySource {
    fn assignment(&self, endpoint: &InstanceId) -> Assignment {
        let committed = self.node.committed.borrow();
        committed.fleet.shards(&self.service).map(|shards| shards.assignment_of(endpoint)).unwrap_or_default()
    }

    fn terms(&self) -> HoldTerms {
        // The committed state is all there is while this node is the primary under its lease.
        let is_primary = self.node.zab.borrow().is_primary() && primary::lease_holds(&self.node);
        HoldTerms {
            vouched: is_primary.then(clock::now),
            hold_max: self.node.live.get().bounds.hold_max(),
            known: self.node.committed.borrow().fleet.zxid(),
        }
    }

    fn released(&self, endpoint: &InstanceId, release: EndpointRelease) {
        let EndpointRelease { range, handover, seen } = release;
        let (service, owner) = (self.service.clone(), endpoint.clone());
        let release = ShardRelease { service, owner, ranges: vec![(range, handover)], seen };
        let node = self.node.clone();
        monoio::spawn(async move {
            shards::release(&node, release).await;
        });
    }

    fn metrics(&self) -> &HoldMetrics {
        &self.node.metrics.holds
    }
}

/// Calls the endpoints that are due a call, while this node is the primary.
pub async fn keep(node: Rc<Signalbox>) {
    loop {
        monoio::time::sleep(STEP_EVERY).await;
        if !node.zab.borrow().is_primary() || !primary::lease_holds(&node) {
            node.endpoint_keys.drivers.borrow_mut().clear();
            continue;
        }
        let called = called_endpoints(&node.committed.borrow().fleet);
        let mut drivers = node.endpoint_keys.drivers.borrow_mut();
        drivers.retain(|id, _| called.iter().any(|instance| instance.id == *id));
        for Instance { id, address, service, .. } in called {
            let calls = drivers.entry(id.clone()).or_insert_with(|| EndpointCalls {
                source: Rc::new(PrimarySource { node: node.clone(), service }),
                driver: HoldDriver::new(id, address, Rc::default()),
            });
            calls.driver.step(&calls.source);
        }
        forget_the_gone(&node);
    }
}

/// Endpoints without a node beside them whose service wants calls.
fn called_endpoints(fleet: &FleetState) -> Vec<Instance> {
    let Some(routes) = fleet.routes() else { return Vec::new() };
    let services = routes.services().filter(|(_, service)| service.sharded && service.grants == GrantWay::Call);
    let endpoints = services.flat_map(|(name, _)| fleet.serving(&ServiceName::new(name)));
    endpoints.filter(|instance| !instance.has_node_beside()).map(|instance| (**instance).clone()).collect()
}

fn forget_the_gone(node: &Signalbox) {
    let committed = node.committed.borrow();
    node.endpoint_keys.told.borrow_mut().retain(|id, _| committed.fleet.instance(id).is_some());
}
