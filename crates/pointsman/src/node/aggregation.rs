//! What requests begin and end here, counted for the fleet; and the fleet's counts, shown.
//!
//! A request never waits for any of it.

use super::Pointsman;
use crate::dispatch::Plan;
use lineside::aggregation::{
    NodeKey, ReportTold, Reservations, Summary, Tally, TallyTiming, WindowId, client_name, collector_for, shown_json,
};
use lineside::call::{Ask, Reply};
use lineside::gossip::{Peer, Role};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use timetable::configuration::{Observation, Routes};
use trackbed::clock::{self, Moment};
use trackbed::http::{Request, Return};
use trackbed::ids::{ConfigEpoch, NodeName, ServiceName};
use trackbed::random::{Random, stable_hash};

const TELL_LIMIT: Duration = Duration::from_millis(900);
/// The first word goes out by chance within this time after the start.
const FIRST_WITHIN_MILLIS: u64 = 4000;

/// Routes by what requests name them by.
#[derive(Default)]
struct Names {
    epoch: ConfigEpoch,
    by_sort: HashMap<u64, String>,
}

/// What this node counts, and what it knows of the fleet's counts.
pub struct Counting {
    tally: RefCell<Tally>,
    names: RefCell<Names>,
    telling: Cell<bool>,
    /// The window whose reservations are in force at the endpoints here.
    reserved_by: Cell<Option<WindowId>>,
}

impl Counting {
    pub fn new(node: &NodeName, life: u64, random: &mut Random, now: Moment) -> Self {
        let first = now + Duration::from_millis(random.below(FIRST_WITHIN_MILLIS));
        Self {
            tally: RefCell::new(Tally::new(NodeKey::of(node, life), TallyTiming::default(), now, first)),
            names: RefCell::default(),
            telling: Cell::new(false),
            reserved_by: Cell::new(None),
        }
    }

    /// Whether the fleet's counts are known here, and fresh.
    pub fn has_report(&self) -> bool {
        self.tally.borrow().newest().is_some_and(|newest| !newest.is_stale(clock::now()))
    }

    pub fn report_for(&self, known: WindowId) -> Option<ReportTold> {
        self.tally.borrow().report_for(known, clock::now())
    }
}

/// Whose request this is.
fn client_of(node: &Pointsman, request: &Request, observation: &Observation, tenant: Option<&str>) -> String {
    let header = observation.client_header.as_deref();
    let count = header.map(|header| request.headers.get_all(header).iter().count()).unwrap_or(0);
    // What stands twice, or can't be read, is somebody's all the same.
    let within = header.filter(|_| count > 0).map(|header| request.header(header).unwrap_or(""));
    let address = request.from.filter(|_| node.mode == super::Mode::Gateway).map(|from| from.to_string());
    let config = node.live.get();
    client_name(tenant, within, address.as_deref(), config.service_name.as_ref().map(ServiceName::as_str))
}

/// A try of a client begins here.
pub fn begun(node: &Pointsman, request: &Request, plan: &Plan, routes: &Routes, tenant: Option<&str>) {
    let client = client_of(node, request, &routes.observation, tenant);
    let mut tally = node.counting.tally.borrow_mut();
    tally.at(clock::now()).begun(&client, plan.service.as_str(), &plan.route.name);
}

/// And has its answer.
pub fn ended(node: &Pointsman, service: &ServiceName, route: &str, answer: &Return) {
    if matches!(answer.status, 429 | 503) {
        node.counting.tally.borrow_mut().at(clock::now()).refused(service.as_str(), route);
    }
}

/// Takes in what the endpoints here were at since it was last asked.
fn gather_work(node: &Pointsman, summary: &mut Summary) {
    let mut work = node.homes.take_work();
    work.extend(node.platform.take_work());
    if work.is_empty() {
        return;
    }
    let routes = node.fleet.borrow().routes().cloned();
    let Some(routes) = routes else { return };
    let mut names = node.counting.names.borrow_mut();
    if names.epoch != routes.epoch {
        names.epoch = routes.epoch;
        names.by_sort = routes.each().map(|route| (stable_hash(&route.name), route.name.clone())).collect();
    }
    for (service, sort, served, micros) in work {
        let route = names.by_sort.get(&sort).map(String::as_str).unwrap_or("");
        summary.worked(service.as_str(), route, served, micros);
    }
}

/// One look, a few times a second.
pub fn step(node: &Rc<Pointsman>, now: Moment) {
    reserve(node, now);
    if node.counting.tally.borrow().is_due(now) && !node.counting.telling.replace(true) {
        let node = node.clone();
        monoio::spawn(async move {
            tell(&node, false).await;
            node.counting.telling.set(false);
        });
    }
}

/// Holds the endpoints here to what the newest report reserves; nothing once it is stale.
fn reserve(node: &Pointsman, now: Moment) {
    let counting = &node.counting;
    let tally = counting.tally.borrow();
    let newest = tally.newest().filter(|shown| shown.reservations(now).is_some());
    let id = newest.map(|shown| shown.told.report.id);
    if counting.reserved_by.get() == id {
        return;
    }
    counting.reserved_by.set(id);
    let none = Reservations::default();
    let reservations = newest.and_then(|shown| shown.reservations(now)).unwrap_or(&none);
    node.platform.reserve(reservations);
    node.homes.reserve(reservations);
}

/// Tells the collector what was counted, and learns how the fleet's counts stand.
pub async fn tell(node: &Rc<Pointsman>, is_leaving: bool) {
    let now = clock::now();
    let collector: Option<Peer> = {
        let roster = node.roster.borrow();
        collector_for(roster.me(), roster.alive(Role::Core)).cloned()
    };
    let counting = &node.counting;
    {
        let mut tally = counting.tally.borrow_mut();
        gather_work(node, tally.at(now));
    }
    let name = collector.as_ref().map(|collector| collector.name.clone()).unwrap_or_else(|| NodeName::new(""));
    let counted = counting.tally.borrow_mut().tell(&name, is_leaving, now);
    let reply = match &collector {
        Some(collector) => {
            node.caller.call_lightly(collector.address, Ask::Counted(counted.clone()), TELL_LIMIT).await.ok()
        }
        None => None,
    };
    if let Some(Reply::Counted(taken)) = reply {
        counting.tally.borrow_mut().answered(&name, &counted, taken, clock::now());
        return;
    }
    let known = counting.tally.borrow().known();
    let behind = counting.tally.borrow().newest().is_none_or(|shown| shown.is_stale(clock::now()));
    if behind && !is_leaving {
        ask_a_peer(node, known).await;
    }
}

/// Whoever cannot reach a core node may hear the report from a peer of its region.
async fn ask_a_peer(node: &Rc<Pointsman>, known: WindowId) {
    let peer = {
        let roster = node.roster.borrow();
        let region = &roster.me().region;
        let near: Vec<&Peer> = roster.alive(node.mode.role()).filter(|peer| peer.region == *region).collect();
        match near.len() {
            0 => None,
            count => Some(near[node.random.borrow_mut().below(count as u64) as usize].address),
        }
    };
    let Some(peer) = peer else { return };
    if let Ok(Reply::Report(Some(told))) = node.caller.call_lightly(peer, Ask::Report { known }, TELL_LIMIT).await {
        node.counting.tally.borrow_mut().take_report(told, clock::now());
    }
}

/// `GET /v1/clients`.
pub fn view(node: &Pointsman) -> String {
    let now = clock::now();
    let tally = node.counting.tally.borrow();
    let shown = tally.shown(now);
    let sealing = tally.newest().is_some_and(|newest| !newest.is_stale(now));
    shown_json(shown, sealing, now)
}
