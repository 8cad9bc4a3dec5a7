//! The endpoints that a request may go to, as seen from here.

use super::balance::Candidate;
use super::binding::Binding;
use super::plan::Plan;
use crate::node::{Mode, Pointsman, coordination};
use crate::platform::{Gate, Seat};
use lineside::gossip::Standing;
use std::rc::Rc;
use timetable::fleet::Instance;
use trackbed::clock::Moment;
use trackbed::config::LocalConfig;

/// Up to so many endpoints of a service all are looked at; beyond, as many drawn by chance. A
/// request's cost must not rise with the fleet.
const LOOKED_AT: usize = 16;
const NEAR_OF_MANY: usize = 8;
const FAR_OF_MANY: usize = 5;
/// What a gateway looks at besides those at home with it and its usual few: some drawn in its own zone,
/// and some anywhere.
const DRAWN_NEAR: usize = 3;
const DRAWN_ANYWHERE: usize = 2;

pub fn candidates(node: &Pointsman, plan: &Plan, binding: &Binding, now: Moment) -> Vec<Candidate> {
    match node.mode {
        Mode::Beside => beside(node, plan, binding),
        Mode::Gateway => match plan.key {
            Some(key) => gateway_holder(node, plan, key, binding, now).into_iter().collect(),
            None => gateway(node, plan, binding, now),
        },
    }
}

fn candidate(config: &LocalConfig, instance: &Instance) -> Candidate {
    Candidate {
        instance: instance.id.clone(),
        node: instance.node.clone(),
        beside: instance.beside,
        zone: instance.zone.clone(),
        slots: instance.slots,
        is_local: instance.node == config.node_name,
        same_zone: instance.zone == config.zone,
        same_region: config.zones.get(&instance.zone) == Some(&config.region),
    }
}

fn beside(node: &Pointsman, plan: &Plan, binding: &Binding) -> Vec<Candidate> {
    let config = node.live.get();
    let fleet = node.fleet.borrow();
    let roster = node.roster.borrow();
    let serving = fleet.serving(&plan.service);
    let fit = |instance: &Instance| {
        !instance.draining
            && !fleet.is_evacuated(&instance.zone)
            && instance.has_node_beside()
            && binding.permits(config.zones.get(&instance.zone))
            && (instance.node == config.node_name
                || roster.standing(&instance.node).is_none_or(|is| is <= Standing::Suspect))
    };
    if let Some(key) = plan.key {
        let owner = fleet.shards(&plan.service).and_then(|shards| shards.owner_of(key));
        let owner = owner.and_then(|owner| fleet.instance(owner)).filter(|instance| fit(instance));
        return owner.map(|instance| candidate(&config, instance)).into_iter().collect();
    }
    let mut found = match serving.len() <= LOOKED_AT {
        true => serving.iter().filter(|instance| fit(instance)).map(|instance| candidate(&config, instance)).collect(),
        false => drawn(node, &config, serving, fit),
    };
    let (seen, leaving) = coordination::provisional(node);
    found.retain(|known: &Candidate| !leaving.contains(&known.instance));
    // Seen while the core is away: the node beside it knows better than anybody whether it is there.
    for instance in seen.iter().filter(|seen| seen.service == plan.service && fit(seen)) {
        if !found.iter().any(|known| known.instance == instance.id) {
            found.push(candidate(&config, instance));
        }
    }
    found
}

/// Some of many.
fn drawn(
    node: &Pointsman,
    config: &LocalConfig,
    serving: &[Rc<Instance>],
    fit: impl Fn(&Instance) -> bool,
) -> Vec<Candidate> {
    // From a place by chance round the whole list, until there are enough of the own zone and of others.
    let mut random = node.random.borrow_mut();
    let start = random.below(serving.len() as u64) as usize;
    let (mut near, mut far) = (0, 0);
    let mut found = Vec::with_capacity(LOOKED_AT);
    let mut passed_over = 0;
    for instance in serving[start..].iter().chain(&serving[..start]) {
        let enough = match instance.zone == config.zone {
            true => near >= NEAR_OF_MANY,
            false => far >= FAR_OF_MANY,
        };
        // Neighbours in the list are not always drawn together.
        let skipped = passed_over < serving.len() - LOOKED_AT && random.chance(0.3);
        if enough || skipped || !fit(instance) {
            passed_over += 1;
            continue;
        }
        match instance.zone == config.zone {
            true => near += 1,
            false => far += 1,
        }
        found.push(candidate(config, instance));
        if near >= NEAR_OF_MANY && far >= FAR_OF_MANY {
            break;
        }
    }
    found
}

/// The holder of a key, by way of its home or of who stands in for it.
fn gateway_holder(node: &Pointsman, plan: &Plan, key: u16, binding: &Binding, now: Moment) -> Option<Candidate> {
    let config = node.live.get();
    let seating = node.homes.seating(&plan.service)?;
    let holder = node.fleet.borrow().shards(&plan.service)?.owner_of(key)?.clone();
    let seat = seating.seats.iter().find(|seat| seat.instance.id == holder)?;
    let is_shunned = node.balance.borrow().is_node_shunned(&seat.home.name, now);
    let gate = seat.deputy.as_ref().filter(|_| is_shunned).unwrap_or(&seat.home);
    let permitted =
        binding.permits(config.zones.get(&seat.instance.zone)) && binding.permits(config.zones.get(&gate.zone));
    let is_local = gate.name == config.node_name;
    let (node, beside) = (gate.name.clone(), gate.address);
    permitted.then(|| Candidate { node, beside, is_local, ..candidate(&config, &seat.instance) })
}

/// Those at home here, and a few at home elsewhere.
fn gateway(node: &Pointsman, plan: &Plan, binding: &Binding, now: Moment) -> Vec<Candidate> {
    let config = node.live.get();
    let Some(seating) = node.homes.seating(&plan.service) else {
        return Vec::new();
    };
    let permitted = |seat: &&Seat| binding.permits(config.zones.get(&seat.instance.zone));
    let mut balance = node.balance.borrow_mut();
    let mut found: Vec<Candidate> = Vec::with_capacity(LOOKED_AT);
    let near = &seating.seats[seating.own_zone.clone()];
    let at_home = |gate: &Gate| gate.name == config.node_name;
    for seat in near.iter().filter(|seat| at_home(&seat.home)).filter(permitted) {
        if let Some(platform) = node.homes.platform(&seat.instance.id, &node.fleet.borrow(), &config.bounds, now) {
            if let Some(occupancy) = platform.occupancy(now) {
                balance.told(&occupancy, now);
            }
            found.push(Candidate { is_local: true, ..candidate(&config, &seat.instance) });
        }
    }
    let mut random = node.random.borrow_mut();
    let mut take = |seat: &Seat| {
        let gate = match &seat.deputy {
            Some(deputy) if balance.is_node_shunned(&seat.home.name, now) => deputy,
            _ => &seat.home,
        };
        let known = found.iter().any(|known| known.instance == seat.instance.id);
        let permits_home = binding.permits(config.zones.get(&gate.zone));
        if !known && permitted(&seat) && permits_home && !at_home(&seat.home) {
            let is_local = at_home(gate);
            let (node, beside) = (gate.name.clone(), gate.address);
            found.push(Candidate { node, beside, is_local, ..candidate(&config, &seat.instance) });
        }
    };
    near.iter().filter(|seat| seat.is_usual).for_each(&mut take);
    let mut draw = |among: &[Seat], most: usize| {
        if among.len() <= most {
            among.iter().for_each(&mut take);
            return;
        }
        // From a place by chance in steps by chance; one met twice counts once.
        let start = random.below(among.len() as u64) as usize;
        let stride = 1 + random.below(among.len() as u64 - 1) as usize;
        let mut at = start;
        for _ in 0..most {
            take(&among[at]);
            at = (at + stride) % among.len();
        }
    };
    draw(near, DRAWN_NEAR);
    draw(&seating.seats, DRAWN_ANYWHERE);
    found
}
