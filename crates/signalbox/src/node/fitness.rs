//! Which endpoints of a divided service may hold keys, and which have held theirs for too long without being there.
//!
//! Nobody serves the keys of an endpoint that is gone, and nobody else may, until its holds are revoked. So this is looked
//! for soon: the node beside an endpoint says when it is silent; where no node is beside it, its heartbeats to the core
//! count; and a node that is dead itself says nothing any more.

use super::Signalbox;
use crate::shards::Endpoint;
use lineside::gossip::Standing;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;
use timetable::fleet::{FleetState, Instance};
use trackbed::clock::Moment;
use trackbed::ids::{InstanceId, ServiceName};

/// Heartbeats missed until an endpoint without a node beside it counts as silent; and the shortest such silence.
const HEARTBEATS_MISSED: u32 = 4;
const SHORTEST_SILENCE: Duration = Duration::from_secs(2);
/// How long a node's word that its endpoint is silent counts.
const WORD_LASTS: Duration = Duration::from_millis(2500);
/// How long a node may be dead until its endpoint's keys are revoked: most come back sooner, and a hold of which nothing
/// is heard must run out before anybody else gets its keys.
const DEAD_NODE_FOR: Duration = Duration::from_secs(5);
/// Where more than this share of a service's endpoints seems to be gone at once, this node can't see well.
const MOST_LOST_AT_ONCE: f64 = 0.5;

/// What the primary knows of endpoints that aren't there.
#[derive(Default)]
pub struct Fitness {
    /// Endpoints that the nodes beside them said to be silent, and when they last did.
    told_silent: RefCell<BTreeMap<InstanceId, Moment>>,
    /// Endpoints whose node is dead, and since when it was seen so here.
    node_dead: RefCell<BTreeMap<InstanceId, Moment>>,
}

/// How an endpoint stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Presence {
    /// It may hold keys.
    There,
    /// It gets none, and keeps what it has for now.
    Doubted,
    /// What it holds is to be revoked.
    Lost,
}

/// The endpoints of one service.
#[derive(Debug, Default)]
pub struct Survey {
    /// Those that may hold keys.
    pub fit: Vec<Endpoint>,
    /// Those whose keys are to be revoked.
    pub lost: BTreeSet<InstanceId>,
}

impl Fitness {
    /// A new primary has seen nothing yet.
    pub fn start_anew(&self) {
        self.told_silent.borrow_mut().clear();
        self.node_dead.borrow_mut().clear();
    }

    /// The node beside an endpoint says that it is silent.
    pub fn told_silent(&self, endpoint: InstanceId, now: Moment) {
        let mut told = self.told_silent.borrow_mut();
        told.retain(|_, at| now.since(*at) < WORD_LASTS);
        told.insert(endpoint, now);
    }

    fn is_told_silent(&self, endpoint: &InstanceId, now: Moment) -> bool {
        self.told_silent.borrow().get(endpoint).is_some_and(|at| now.since(*at) < WORD_LASTS)
    }

    /// How long the node beside an endpoint has been dead.
    fn dead_for(&self, endpoint: &InstanceId, is_dead: bool, now: Moment) -> Duration {
        let mut dead = self.node_dead.borrow_mut();
        if !is_dead {
            dead.remove(endpoint);
            return Duration::ZERO;
        }
        now.since(*dead.entry(endpoint.clone()).or_insert(now))
    }
}

fn presence(node: &Signalbox, instance: &Instance, now: Moment) -> Presence {
    if !instance.has_node_beside() {
        let longest = (node.live.get().heartbeat * HEARTBEATS_MISSED).max(SHORTEST_SILENCE);
        let silence = node.heartbeats.borrow().silence_of(&instance.id, node.zab.borrow().voters().len(), now);
        return if silence.is_some_and(|silence| silence > longest) { Presence::Lost } else { Presence::There };
    }
    let standing = node.roster.borrow().standing(&instance.node);
    let dead_for = node.fitness.dead_for(&instance.id, standing == Some(Standing::Dead), now);
    if node.fitness.is_told_silent(&instance.id, now) || dead_for >= DEAD_NODE_FOR {
        return Presence::Lost;
    }
    match standing {
        None | Some(Standing::Dead) => Presence::Doubted,
        Some(_) => Presence::There,
    }
}

/// Looks at all endpoints of a service.
pub fn survey(node: &Signalbox, fleet: &FleetState, service: &ServiceName, now: Moment) -> Survey {
    let serving = fleet.serving(service);
    let mut survey = Survey::default();
    let may_hold = |instance: &&Rc<Instance>| !instance.draining && !fleet.is_evacuated(&instance.zone);
    for instance in serving.iter().filter(may_hold) {
        match presence(node, instance, now) {
            Presence::There => survey.fit.push(Endpoint { id: instance.id.clone(), slots: instance.slots }),
            Presence::Doubted => {}
            Presence::Lost => drop(survey.lost.insert(instance.id.clone())),
        }
    }
    if survey.lost.len() as f64 > (serving.len() as f64 * MOST_LOST_AT_ONCE).max(1.0) {
        log::warn!(
            "{} of {} endpoints of {service} seem to be gone at once: none of their keys is revoked",
            survey.lost.len(),
            serving.len()
        );
        survey.lost.clear();
    }
    survey
}
