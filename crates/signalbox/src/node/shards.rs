//! The primary's duty for services that are divided by key: it gives out what nobody holds, and moves what is too
//! much for its holder. Only under its lease, and only by changes in the log.
//!
//! A hold that was revoked without a word of its end is over once the longest hold has passed since this primary
//! saw the revocation committed. Nodes renew holds only by a state that a primary vouched for under its lease, from the
//! moment they asked; so whatever was renewed after the revocation rests on a state before it, and ends in that time.

use super::fitness::{self, Survey};
use super::metrics::RangesOrdered;
use super::shard_invariant::{OverdueRange, ShardInvariant};
use super::{Signalbox, primary};
use crate::ledger::Change;
use crate::shards::{Endpoint, ServiceLoad, plan};
use lineside::call::{Ask, CallError, Reply, ShardDemand, ShardLoad, ShardRelease};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;
use timetable::configuration::GrantWay;
use timetable::fleet::FleetChange;
use timetable::shards::{Holding, KeyRange, ShardChange, ShardMap, certainly_over};
use trackbed::clock::{self, Moment};
use trackbed::ids::{InstanceId, ServiceName, Zxid};

const EVERY: Duration = Duration::from_millis(150);
/// Moves by load are looked for this often.
const MOVES_EVERY: Duration = Duration::from_millis(700);
/// The first grant waits until no further endpoint has come for so long.
const QUIET_BEFORE_FIRST: Duration = Duration::from_millis(1200);
const FORWARD_LIMIT: Duration = Duration::from_millis(400);

/// What this node knows of sharded services beyond the log. Only at the primary does it hold anything.
#[derive(Default)]
pub struct Sharding {
    loads: RefCell<BTreeMap<ServiceName, ServiceLoad>>,
    /// When each revocation was first seen committed here.
    revoked: RefCell<BTreeMap<(InstanceId, Zxid), Moment>>,
    /// The endpoints of each service without any grant, and since when they are the same.
    first: RefCell<BTreeMap<ServiceName, (BTreeSet<InstanceId>, Moment)>>,
    moved: RefCell<BTreeMap<ServiceName, Moment>>,
    /// Services of which it was said that they name no way.
    told: RefCell<BTreeSet<ServiceName>>,
    invariants: RefCell<BTreeMap<ServiceName, ShardInvariant>>,
}

impl Sharding {
    fn start_anew(&self) {
        self.loads.borrow_mut().clear();
        self.revoked.borrow_mut().clear();
        self.first.borrow_mut().clear();
        self.moved.borrow_mut().clear();
        self.invariants.borrow_mut().clear();
    }
}

pub async fn keep(node: Rc<Signalbox>) {
    loop {
        monoio::time::sleep(EVERY).await;
        let now = clock::now();
        if !node.zab.borrow().is_primary() || !primary::lease_holds(&node) {
            node.sharding.start_anew();
            node.fitness.start_anew();
            continue;
        }
        expire(&node, now);
        for service in sharded_services(&node) {
            tell_unnamed_way(&node, &service);
            count_without_holder(&node, &service);
            step(&node, &service, now);
            check_invariant(&node, &service, now);
        }
    }
}

fn sharded_services(node: &Signalbox) -> Vec<ServiceName> {
    let committed = node.committed.borrow();
    let routes = committed.fleet.routes();
    let services = routes.iter().flat_map(|routes| routes.services());
    services.filter(|(_, service)| service.sharded).map(|(name, _)| ServiceName::new(name)).collect()
}

/// Keys of a service that nobody holds, for the figures.
fn count_without_holder(node: &Signalbox, service: &ServiceName) {
    let committed = node.committed.borrow();
    let free = match committed.fleet.shards(service) {
        Some(map) => {
            let free = map.shards().iter().filter(|shard| shard.holding.owner().is_none());
            free.map(|shard| shard.range.length()).sum()
        }
        None => KeyRange::ALL.length(),
    };
    node.metrics.shards.set_without_holder(service, free);
}

/// Says once for each service that it names no way that is known.
fn tell_unnamed_way(node: &Signalbox, service: &ServiceName) {
    let is_unnamed = {
        let committed = node.committed.borrow();
        let settings = committed.fleet.routes().and_then(|routes| routes.service(service));
        settings.is_some_and(|settings| settings.grants == GrantWay::Unnamed)
    };
    if is_unnamed && node.sharding.told.borrow_mut().insert(service.clone()) {
        log::error!(
            "service {service} is divided by key and its grants names neither heartbeat nor invocation: endpoints whose \
             heartbeats list keys are answered with them, those beside a node are called otherwise"
        );
    }
}

fn order(node: &Signalbox, service: &ServiceName, change: ShardChange) {
    let ranges = match &change {
        ShardChange::Grant(ranges) => Some(RangesOrdered::Granted(ranges.len())),
        ShardChange::Revoke(ranges) => Some(RangesOrdered::Revoked(ranges.len())),
        ShardChange::Expired { .. } => Some(RangesOrdered::Expired(1)),
        ShardChange::Released { .. } => None,
    };
    if let Some(ranges) = ranges {
        node.metrics.shards.ordered(service, ranges);
    }
    primary::order_change(node, Change::Fleet(FleetChange::Shards { service: service.clone(), change }));
}

/// Frees what was revoked for longer than any hold can last.
fn expire(node: &Signalbox, now: Moment) {
    let longest = certainly_over(node.live.get().bounds.hold_max());
    let mut due: Vec<(ServiceName, InstanceId, Zxid)> = Vec::new();
    {
        let committed = node.committed.borrow();
        let mut seen = node.sharding.revoked.borrow_mut();
        let mut there = BTreeSet::new();
        for (service, map) in committed.fleet.sharded() {
            for (owner, revoked) in revocations(map) {
                let key = (owner.clone(), revoked);
                let since = *seen.entry(key.clone()).or_insert(now);
                if there.insert(key) && now.since(since) > longest {
                    due.push((service.clone(), owner.clone(), revoked));
                }
            }
        }
        seen.retain(|key, _| there.contains(key));
    }
    for (service, owner, revoked) in due {
        log::warn!("keys of {service} that {owner} was to let go are free: its hold has run out");
        order(node, &service, ShardChange::Expired { owner, revoked });
    }
}

fn revocations(map: &ShardMap) -> impl Iterator<Item = (&InstanceId, Zxid)> {
    map.shards().iter().filter_map(|shard| match &shard.holding {
        Holding::Releasing { owner, revoked, .. } => Some((owner, *revoked)),
        _ => None,
    })
}

/// A step of a service's assignment.
enum DueStep {
    /// Holders are gone: what they hold is revoked at once.
    RevokeLost(ShardChange),
    /// What the planner wants; moves by load have a pace of their own.
    Planned(Vec<ShardChange>),
}

/// Orders the next step of a service's assignment, if one is due.
fn step(node: &Signalbox, service: &ServiceName, now: Moment) {
    match due_step(node, service, now) {
        Some(DueStep::RevokeLost(change)) => {
            log::warn!("keys of {service}: {}, as their holders are gone", described(&change));
            order(node, service, change);
        }
        Some(DueStep::Planned(changes)) => {
            for change in changes {
                if matches!(change, ShardChange::Revoke(_)) && !may_move(node, service, now) {
                    continue;
                }
                log::info!("keys of {service}: {}", described(&change));
                order(node, service, change);
            }
        }
        None => {}
    }
}

/// Counts and logs ranges that have been without a holder for too long.
fn check_invariant(node: &Signalbox, service: &ServiceName, now: Moment) {
    let overdue = {
        let committed = node.committed.borrow();
        let survey = fitness::survey(node, &committed.fleet, service, now);
        let nobody = Rc::new(ShardMap::default());
        let map = committed.fleet.shards(service).unwrap_or(&nobody);
        let mut invariants = node.sharding.invariants.borrow_mut();
        let invariant = invariants.entry(service.clone()).or_default();
        invariant.look(map, !survey.fit.is_empty(), node.live.get().bounds.hold_max(), now)
    };
    for OverdueRange { range, limit } in overdue {
        node.metrics.shards.overdue(service);
        log::error!("keys {range} of {service} have been without a holder for over {:.1} s", limit.as_secs_f64());
    }
}

fn due_step(node: &Signalbox, service: &ServiceName, now: Moment) -> Option<DueStep> {
    let proposed = node.proposed.borrow();
    let fleet = &proposed.as_ref()?.fleet;
    let survey = fitness::survey(node, fleet, service, now);
    let map = fleet.shards(service).map(Rc::as_ref);
    if map.is_none() && !is_quiet(node, service, &survey.fit, now) {
        return None;
    }
    if let Some(change) = map.and_then(|map| revoke_lost(map, &survey)) {
        return Some(DueStep::RevokeLost(change));
    }
    let mut loads = node.sharding.loads.borrow_mut();
    let load = loads.entry(service.clone()).or_default();
    load.retain(|instance| survey.fit.iter().any(|endpoint| endpoint.id == *instance));
    let nobody = ShardMap::default();
    Some(DueStep::Planned(plan(map.unwrap_or(&nobody), load, &survey.fit, now)))
}

/// Has what lost endpoints hold revoked, at once.
fn revoke_lost(map: &ShardMap, survey: &Survey) -> Option<ShardChange> {
    let held = map.shards().iter().filter_map(|shard| match &shard.holding {
        Holding::Held { owner, .. } if survey.lost.contains(owner) => Some((shard.range, owner.clone())),
        _ => None,
    });
    let held: Vec<(KeyRange, InstanceId)> = held.collect();
    (!held.is_empty()).then_some(ShardChange::Revoke(held))
}

/// Whether the endpoints of a service that starts from nothing have been the same for a while.
fn is_quiet(node: &Signalbox, service: &ServiceName, endpoints: &[Endpoint], now: Moment) -> bool {
    let ids: BTreeSet<InstanceId> = endpoints.iter().map(|endpoint| endpoint.id.clone()).collect();
    let mut first = node.sharding.first.borrow_mut();
    let known = first.entry(service.clone()).or_insert((BTreeSet::new(), now));
    if known.0 != ids {
        *known = (ids, now);
    }
    !endpoints.is_empty() && now.since(known.1) >= QUIET_BEFORE_FIRST
}

fn may_move(node: &Signalbox, service: &ServiceName, now: Moment) -> bool {
    let mut moved = node.sharding.moved.borrow_mut();
    let last = moved.entry(service.clone()).or_insert(now);
    if now.since(*last) < MOVES_EVERY {
        return false;
    }
    *last = now;
    true
}

fn described(change: &ShardChange) -> String {
    let list = |ranges: &[(KeyRange, InstanceId)]| {
        let shown: Vec<String> = ranges.iter().take(4).map(|(range, owner)| format!("{range} {owner}")).collect();
        let more = ranges.len().saturating_sub(shown.len());
        format!("{}{}", shown.join(", "), if more > 0 { format!(" and {more} more") } else { String::new() })
    };
    match change {
        ShardChange::Grant(ranges) => format!("granted {}", list(ranges)),
        ShardChange::Revoke(ranges) => format!("to be let go {}", list(ranges)),
        ShardChange::Released { owner, ranges, .. } => format!("{owner} let go of {} ranges", ranges.len()),
        ShardChange::Expired { owner, .. } => format!("the hold of {owner} has run out"),
    }
}

/// An endpoint has let go of keys, as the node beside it says.
pub async fn release(node: &Signalbox, release: ShardRelease) -> Reply {
    let ask = Ask::ShardRelease(release.clone());
    primary::order_fleet(node, ask, |fleet| {
        let ShardRelease { service, owner, ranges, seen } = release;
        let change = ShardChange::Released { owner, ranges, seen };
        let mut after = ShardMap::clone(fleet.shards(&service)?);
        after.apply(fleet.zxid(), &change);
        // What was told before changes nothing.
        (fleet.shards(&service).map(Rc::as_ref) != Some(&after)).then_some(FleetChange::Shards { service, change })
    })
    .await
}

/// What an endpoint's node measured: for the primary.
pub async fn report(node: &Signalbox, report: ShardLoad) -> Reply {
    if let Some(reply) = forwarded(node, Ask::ShardLoad(report.clone())).await {
        return reply;
    }
    let mut loads = node.sharding.loads.borrow_mut();
    loads.entry(report.service.clone()).or_default().reported(&report, clock::now());
    Reply::Done
}

/// What a gateway saw: for the primary.
pub async fn demand(node: &Signalbox, demand: ShardDemand) -> Reply {
    if let Some(reply) = forwarded(node, Ask::ShardDemand(demand.clone())).await {
        return reply;
    }
    let mut loads = node.sharding.loads.borrow_mut();
    loads.entry(demand.service.clone()).or_default().demanded(&demand, clock::now());
    Reply::Done
}

/// The node beside an endpoint says that it is silent: for the primary.
pub async fn endpoint_silent(node: &Signalbox, endpoint: InstanceId) -> Reply {
    if let Some(reply) = forwarded(node, Ask::EndpointSilent(endpoint.clone())).await {
        return reply;
    }
    node.fitness.told_silent(endpoint, clock::now());
    Reply::Done
}

/// The primary's reply to an ask that only it answers; nothing where this node is the primary.
async fn forwarded(node: &Signalbox, ask: Ask) -> Option<Reply> {
    let Some(primary) = node.zab.borrow().primary() else {
        return Some(Reply::NotNow("no primary just now".into()));
    };
    if primary.id == node.zab.borrow().me().id {
        return None;
    }
    Some(match node.caller.call(primary.address, ask, FORWARD_LIMIT).await {
        Ok(reply) => reply,
        Err(CallError::NotSent | CallError::NoReply) => Reply::NotNow("the primary can't be reached".into()),
    })
}
