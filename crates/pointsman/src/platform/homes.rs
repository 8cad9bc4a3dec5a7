//! Where endpoints that have no node beside them are at home, among the gateways near them.
//!
//! Every gateway works the seating out from the fleet's state and the roster, so that nobody has to
//! tell it. Two gateways whose rosters differ for a moment may both hold an endpoint's slots: that
//! costs occupancy, never safety, as what may not run twice is sent once whoever holds the slots.

use super::{ColdTally, FormerSender, Life, Lines, Platform, SendShare};
use lineside::aggregation::Reservations;
use lineside::gossip::{Role, Roster, Standing};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use timetable::fleet::{FleetState, Instance};
use trackbed::clock::Moment;
use trackbed::config::Bounds;
use trackbed::ids::{InstanceId, NodeName, ServiceName, ZoneName, Zxid};
use trackbed::random::stable_hash;

/// A node turns first to always the same few, so that its connections to them stay in use.
const USUAL: usize = 5;
/// What is no longer at home here is let go when it has been idle for so long.
const LINGERS: Duration = Duration::from_secs(4);

/// A gateway as a home.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Gate {
    pub name: NodeName,
    /// Where peers call it.
    pub address: SocketAddr,
    pub zone: ZoneName,
}

/// Where one endpoint is at home, and who stands in while that home can't be reached.
#[derive(Clone, Debug)]
pub struct Seat {
    pub instance: Rc<Instance>,
    pub home: Rc<Gate>,
    pub deputy: Option<Rc<Gate>>,
    /// One of the few that this node turns to first.
    pub is_usual: bool,
}

#[derive(Debug, Default)]
pub struct Seating {
    /// Invariant: the seats of a service stand zone by zone, `own_zone` names those of this node's.
    pub seats: Vec<Seat>,
    pub own_zone: std::ops::Range<usize>,
}

pub struct Homes {
    lines: Rc<Lines>,
    made_for: Cell<Option<(Zxid, u64, u64)>>,
    by_service: RefCell<HashMap<ServiceName, Rc<Seating>>>,
    /// Of those at home here, or that this node stands in for.
    shares: RefCell<HashMap<InstanceId, SendShare>>,
    /// Invariant: by life; a platform here has a life.
    platforms: RefCell<BTreeMap<InstanceId, (Rc<Platform>, Moment)>>,
}

fn mix(one: u64, other: u64) -> u64 {
    let mut mixed = one ^ other.rotate_left(32).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// Gives every endpoint a home: the gate of its zone that ranks first for it and has room left. Room
/// is what an even share comes to, rounded up, so that no gate holds much more than another.
fn seat_zone(instances: &[&Rc<Instance>], gates: &[(u64, Rc<Gate>)]) -> Vec<Seat> {
    let room = instances.len().div_ceil(gates.len().max(1));
    let mut held = vec![0usize; gates.len()];
    let mut seats = Vec::with_capacity(instances.len());
    for instance in instances {
        let own = stable_hash(instance.id.as_str());
        let mut best: Option<(u64, usize)> = None;
        let mut deputy: Option<(u64, usize)> = None;
        for (index, (hash, _)) in gates.iter().enumerate() {
            let rank = mix(own, *hash);
            if held[index] < room && best.is_none_or(|(top, _)| rank > top) {
                deputy = best;
                best = Some((rank, index));
            } else if deputy.is_none_or(|(top, _)| rank > top) {
                deputy = Some((rank, index));
            }
        }
        if let Some((_, index)) = best {
            held[index] += 1;
            let deputy = deputy.map(|(_, index)| gates[index].1.clone());
            seats.push(Seat { instance: (*instance).clone(), home: gates[index].1.clone(), deputy, is_usual: false });
        }
    }
    seats
}

/// The seating of one service's endpoints.
pub fn seat(instances: &[Rc<Instance>], gates: &[Rc<Gate>], own_name: &NodeName, own_zone: &ZoneName) -> Seating {
    let mut zones: BTreeMap<&ZoneName, Vec<&Rc<Instance>>> = BTreeMap::new();
    for instance in instances.iter().filter(|instance| !instance.draining && !instance.has_node_beside()) {
        zones.entry(&instance.zone).or_default().push(instance);
    }
    let hashed = |gates: Vec<&Rc<Gate>>| -> Vec<(u64, Rc<Gate>)> {
        gates.into_iter().map(|gate| (stable_hash(gate.name.as_str()), gate.clone())).collect()
    };
    let mut seating = Seating::default();
    for (zone, instances) in zones {
        let mut near = hashed(gates.iter().filter(|gate| gate.zone == *zone).collect());
        if near.is_empty() {
            near = hashed(gates.iter().collect());
        }
        let begin = seating.seats.len();
        seating.seats.extend(seat_zone(&instances, &near));
        if zone == own_zone {
            seating.own_zone = begin..seating.seats.len();
        }
    }
    let own = stable_hash(own_name.as_str());
    let range = seating.own_zone.clone();
    let mut near: Vec<(u64, &mut Seat)> =
        seating.seats[range].iter_mut().map(|seat| (mix(own, stable_hash(seat.instance.id.as_str())), seat)).collect();
    near.sort_by_key(|(rank, _)| std::cmp::Reverse(*rank));
    near.into_iter().take(USUAL).for_each(|(_, seat)| seat.is_usual = true);
    seating
}

/// What a node may send to each endpoint that may be cold: its home the whole, and who stands in for that the rest, so that
/// both together stay below the bound.
fn shares<'a>(seatings: impl Iterator<Item = &'a Seating>, me: &NodeName) -> HashMap<InstanceId, SendShare> {
    let is_me = |gate: &Rc<Gate>| gate.name == *me;
    let share = |seat: &Seat| match seat {
        Seat { home, .. } if is_me(home) => Some(SendShare::Whole),
        Seat { deputy: Some(deputy), .. } if is_me(deputy) => Some(SendShare::Rest),
        _ => None,
    };
    let seats = seatings.flat_map(|seating| &seating.seats);
    seats.filter_map(|seat| Some((seat.instance.id.clone(), share(seat)?))).collect()
}

/// Has a platform follow what the list says of its endpoint; false where that isn't listed. One that was taken off the list
/// for its silence may be taken back in the same life, and has a new platform then.
fn follow_list(platform: &Platform, instance: Option<&Instance>) -> bool {
    match instance {
        Some(instance) if !instance.draining => platform.admission.set_slots(instance.slots),
        // Nothing new goes to it from here, whatever was on its way.
        _ => platform.leave_life(),
    }
    instance.is_some()
}

impl Homes {
    pub fn new(lines: Rc<Lines>) -> Self {
        Self {
            lines,
            made_for: Cell::new(None),
            by_service: RefCell::default(),
            shares: RefCell::default(),
            platforms: RefCell::default(),
        }
    }

    /// Whether what is ordered is heard here.
    pub fn note_touch(&self, hears_orders: bool) {
        self.platforms.borrow().values().for_each(|(platform, _)| platform.set_in_touch(hears_orders));
    }

    /// Works the seating out anew where fleet or roster moved on.
    /// `gone`: whom a coordinator counts as gone, in place of what the roster says.
    pub fn refresh(
        &self,
        fleet: &FleetState,
        roster: &Roster,
        gone: Option<&[NodeName]>,
        bounds: &Bounds,
        now: Moment,
    ) {
        let ordered = gone.map(|gone| gone.iter().fold(1, |sum, name| mix(sum, stable_hash(name.as_str()))));
        let key = (fleet.zxid(), roster.revision(), ordered.unwrap_or_default());
        if self.made_for.replace(Some(key)) == Some(key) {
            return;
        }
        let me = roster.me();
        let gate = |name: &NodeName, address: SocketAddr, zone: &ZoneName| {
            Rc::new(Gate { name: name.clone(), address, zone: zone.clone() })
        };
        let mut gates: Vec<Rc<Gate>> = roster
            .cards()
            .filter(|card| card.peer.role == Role::Gate)
            .filter(|card| match gone {
                Some(gone) => !gone.contains(&card.peer.name),
                None => card.standing == Standing::Alive,
            })
            .map(|card| gate(&card.peer.name, card.peer.address, &card.peer.zone))
            .collect();
        if !roster.is_leaving() {
            gates.push(gate(&me.name, me.address, &me.zone));
        }
        gates.sort_by(|one, other| one.name.cmp(&other.name));
        let mut by_service = self.by_service.borrow_mut();
        by_service.clear();
        for (service, instances) in fleet.services() {
            let open: Vec<Rc<Instance>> =
                instances.iter().filter(|instance| !fleet.is_evacuated(&instance.zone)).cloned().collect();
            by_service.insert(service.clone(), Rc::new(seat(&open, &gates, &me.name, &me.zone)));
        }
        *self.shares.borrow_mut() = shares(by_service.values().map(Rc::as_ref), &me.name);
        let here = by_service.values().flat_map(|seating| &seating.seats).filter(|seat| seat.home.name == me.name);
        let here: Vec<Rc<Instance>> = here.map(|seat| seat.instance.clone()).collect();
        drop(by_service);
        for instance in &here {
            self.hold(instance, fleet, bounds, now);
        }
        self.platforms.borrow_mut().retain(|id, (platform, _)| {
            platform.await_fleet();
            platform.follow(fleet, bounds, now);
            let share = self.share(id);
            platform.admission.change_cold(|cold| cold.set_share(share));
            follow_list(platform, fleet.instance(id))
        });
    }

    /// What this node may send to an endpoint that may be cold.
    fn share(&self, id: &InstanceId) -> SendShare {
        self.shares.borrow().get(id).copied().unwrap_or(SendShare::Nothing)
    }

    /// Takes up an endpoint's slots here.
    fn hold(&self, instance: &Rc<Instance>, fleet: &FleetState, bounds: &Bounds, now: Moment) -> Rc<Platform> {
        let mut platforms = self.platforms.borrow_mut();
        let (platform, held) = platforms.entry(instance.id.clone()).or_insert_with(|| {
            let platform = Platform::new(Some(instance.address), self.lines.clone());
            platform.admission.set_slots(instance.slots);
            *platform.life.borrow_mut() = Some(Life {
                instance: (**instance).clone(),
                sequence: 0,
                heard: now,
                leaving: instance.draining,
                lists_keys: false,
            });
            platform.follow(fleet, bounds, now);
            let share = self.share(&instance.id);
            platform.admission.change_cold(|cold| {
                cold.set_share(share);
                cold.begin_life(FormerSender::Another, now);
            });
            (Rc::new(platform), now)
        });
        *held = now;
        platform.clone()
    }

    pub fn seating(&self, service: &ServiceName) -> Option<Rc<Seating>> {
        self.by_service.borrow().get(service).cloned()
    }

    /// The platform of a life. A peer that passes something on for a life held elsewhere sees another
    /// roster, or could not reach the home: it is served here meanwhile.
    pub fn platform(&self, id: &InstanceId, fleet: &FleetState, bounds: &Bounds, now: Moment) -> Option<Rc<Platform>> {
        if let Some((platform, held)) = self.platforms.borrow_mut().get_mut(id) {
            *held = now;
            return Some(platform.clone());
        }
        let instance = fleet.instance(id).filter(|instance| !instance.draining && !instance.has_node_beside())?;
        Some(self.hold(&Rc::new(instance.clone()), fleet, bounds, now))
    }

    /// What the endpoints here were at since this was last asked.
    pub fn take_work(&self) -> Vec<(ServiceName, u64, u64, u64)> {
        self.platforms.borrow().values().flat_map(|(platform, _)| platform.take_work()).collect()
    }

    /// Mean time of one request at each endpoint of a service that is at home here.
    pub fn mean_micros(&self, service: &ServiceName) -> Vec<(InstanceId, u32)> {
        let platforms = self.platforms.borrow();
        let of_service = platforms.iter().filter(|(_, (platform, _))| {
            platform.life.borrow().as_ref().is_some_and(|life| life.instance.service == *service)
        });
        let known = of_service.map(|(id, (platform, _))| (id.clone(), platform.admission.mean_micros()));
        known.filter(|(_, micros)| *micros > 0).collect()
    }

    /// What went out to the endpoints here since this was last taken, by what was known of each.
    pub fn take_cold_tallies(&self) -> Vec<ColdTally> {
        self.platforms.borrow().values().map(|(platform, _)| platform.take_cold_tally()).collect()
    }

    pub fn reserve(&self, reservations: &Reservations) {
        self.platforms.borrow().values().for_each(|(platform, _)| platform.reserve(reservations));
    }

    /// Lets go of what is at home elsewhere now.
    pub fn tidy(&self, own: &NodeName, now: Moment) {
        let by_service = self.by_service.borrow();
        let seats = by_service.values().flat_map(|seating| &seating.seats);
        let here: std::collections::BTreeSet<&InstanceId> =
            seats.filter(|seat| seat.home.name == *own).map(|seat| &seat.instance.id).collect();
        self.platforms.borrow_mut().retain(|id, (platform, held)| {
            here.contains(id) || platform.admission.counts() != (0, 0) || now.since(*held) < LINGERS
        });
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use lineside::gossip::{Peer, RosterTiming};
    use timetable::configuration::Configuration;
    use timetable::fleet::{ConfigChange, FleetChange};
    use trackbed::ids::{Incarnation, RegionName};
    use trackbed::random::Random;

    fn instances(count: usize) -> Vec<Rc<Instance>> {
        let instance = |index: usize| Instance {
            id: InstanceId::new(&format!("i-{index:04}")),
            service: ServiceName::new("s"),
            address: ([10, 1, (index / 250) as u8, (index % 250) as u8], 80).into(),
            zone: ZoneName::new(["a", "b", "c"][index % 3]),
            node: Instance::nobody(),
            beside: ([10, 0, 0, 1], 80).into(),
            slots: 2,
            draining: false,
        };
        (0..count).map(|index| Rc::new(instance(index))).collect()
    }

    fn gates(count: usize) -> Vec<Rc<Gate>> {
        let gate = |index: usize| Gate {
            name: NodeName::new(&format!("gate-{index}")),
            address: ([10, 0, 0, index as u8], 9).into(),
            zone: ZoneName::new(["a", "b", "c"][index % 3]),
        };
        (0..count).map(|index| Rc::new(gate(index))).collect()
    }

    fn held(seating: &Seating) -> BTreeMap<NodeName, usize> {
        let mut held = BTreeMap::new();
        for seat in &seating.seats {
            *held.entry(seat.home.name.clone()).or_default() += 1;
        }
        held
    }

    #[test]
    fn every_endpoint_has_one_home_near_it_and_shares_are_even() {
        let (instances, gates) = (instances(240), gates(90));
        let seating = seat(&instances, &gates, &NodeName::new("gate-1"), &ZoneName::new("b"));
        assert_eq!(seating.seats.len(), instances.len());
        assert!(seating.seats.iter().all(|seat| seat.home.zone == seat.instance.zone));
        assert!(seating.seats.iter().all(|seat| seat.deputy.as_ref().is_some_and(|deputy| *deputy != seat.home)));
        assert!(seating.seats[seating.own_zone.clone()].iter().all(|seat| seat.instance.zone.as_str() == "b"));
        assert_eq!(seating.own_zone.len(), 80);
        assert_eq!(seating.seats.iter().filter(|seat| seat.is_usual).count(), USUAL);
        assert!(held(&seating).values().all(|count| *count <= 3), "{:?}", held(&seating));
    }

    #[test]
    fn an_endpoint_that_is_taken_back_on_the_list_is_served_again() {
        let instance = instances(1).remove(0);
        let register = || FleetChange::Register((*instance).clone());
        let mut fleet = FleetState::default();
        let whole = Configuration::parse(br#"{"version":"r1","routes":{},"services":{}}"#).unwrap();
        let configure = FleetChange::Configure { change: ConfigChange::Whole(whole), digest: 1 };
        fleet.apply(Zxid::new(0, 1), configure);
        fleet.apply(Zxid::new(1, 1), register());
        let me = Peer {
            name: NodeName::new("gate-0"),
            incarnation: Incarnation(1),
            role: Role::Gate,
            address: ([10, 0, 0, 1], 9).into(),
            zone: ZoneName::new("a"),
            region: RegionName::new("r"),
        };
        let now = Moment::from_micros(1_000_000);
        let roster = Roster::new(me, Vec::new(), RosterTiming::default(), Random::seeded(1), now);
        let homes = Homes::new(Rc::default());
        homes.refresh(&fleet, &roster, None, &Bounds::default(), now);
        let takes = |fleet: &FleetState| {
            homes
                .platform(&instance.id, fleet, &Bounds::default(), now)
                .is_some_and(|platform| platform.takes(&instance.id, now))
        };
        assert!(takes(&fleet));
        fleet.apply(Zxid::new(1, 2), FleetChange::Lost(instance.id.clone()));
        homes.refresh(&fleet, &roster, None, &Bounds::default(), now);
        assert!(!takes(&fleet), "it is off the list");
        fleet.apply(Zxid::new(1, 3), register());
        homes.refresh(&fleet, &roster, None, &Bounds::default(), now);
        assert!(takes(&fleet), "it has spoken again");
    }

    #[test]
    fn a_lost_home_moves_few_and_a_zone_without_gates_is_served_from_others() {
        let (instances, gates) = (instances(240), gates(90));
        let (own, zone) = (NodeName::new("gate-0"), ZoneName::new("a"));
        let before = seat(&instances, &gates, &own, &zone);
        let fewer: Vec<_> = gates.iter().filter(|gate| gate.name.as_str() != "gate-3").cloned().collect();
        let after = seat(&instances, &fewer, &own, &zone);
        let moved =
            before.seats.iter().zip(&after.seats).filter(|(before, after)| before.home.name != after.home.name).count();
        assert!((1..=16).contains(&moved), "{moved} homes moved");
        let far: Vec<_> = gates.iter().filter(|gate| gate.zone.as_str() != "a").cloned().collect();
        assert_eq!(seat(&instances, &far, &own, &zone).seats.len(), instances.len());
        assert!(seat(&instances, &[], &own, &zone).seats.is_empty());
    }
}
