//! Which endpoint next: by what is known and observed of each.

use lineside::gossip::Occupancy;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use trackbed::clock::Moment;
use trackbed::ids::{InstanceId, NodeName, ServiceName, ZoneName};
use trackbed::random::Random;

/// One endpoint that a request may go to.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    pub instance: InstanceId,
    pub node: NodeName,
    pub beside: SocketAddr,
    pub zone: ZoneName,
    pub slots: u32,
    pub is_local: bool,
    pub same_zone: bool,
    pub same_region: bool,
}

#[derive(Clone, Debug)]
struct View {
    occupancy: Occupancy,
    at: Moment,
    /// Own errands there when that was told.
    own_then: u32,
}

#[derive(Default)]
struct Watched {
    view: Option<View>,
    /// Own errands there now.
    own: u32,
    /// Kept out until then: it could not be reached, or keeps failing.
    shunned_until: Moment,
    failures: u32,
}

/// What a sender knows of endpoints. Invariant: `own` counts exactly the errands under way.
#[derive(Default)]
pub struct Balance {
    watched: HashMap<InstanceId, Watched>,
    nodes: HashMap<NodeName, Way>,
    /// By service: how often of late a look for a free slot found none.
    full: HashMap<ServiceName, f64>,
}

/// The way to a node.
#[derive(Default)]
struct Way {
    /// It could not be reached, and is kept out until then.
    shunned_until: Moment,
    /// What short requests took beyond the time that the node had them, in microseconds, and when last.
    took: f64,
    at: Moment,
}

/// The way to another region and back, in microseconds, on top of what any far zone costs.
const OTHER_REGION: f64 = 80_000.0;
const ASSUMED_SERVICE: f64 = 60_000.0;
/// After this long an occupancy told says nothing any more.
const VIEW_LASTS: Duration = Duration::from_secs(2);

/// Ways remembered at most.
const MOST_WAYS: usize = 4096;
/// What a way took fades by half in this time, so that it is tried again.
const WAY_FADES: f64 = 700_000.0;

impl Way {
    fn took_by(&self, now: Moment) -> f64 {
        self.took * 0.5f64.powf(now.since(self.at).as_micros() as f64 / WAY_FADES)
    }
}

impl Balance {
    fn entry(&mut self, instance: &InstanceId) -> &mut Watched {
        if !self.watched.contains_key(instance) {
            self.watched.insert(instance.clone(), Watched::default());
        }
        self.watched.get_mut(instance).expect("inserted just now")
    }

    pub fn told(&mut self, occupancy: &Occupancy, at: Moment) {
        let watched = self.entry(&occupancy.instance);
        if watched.view.as_ref().is_none_or(|view| view.at <= at) {
            watched.view = Some(View { occupancy: occupancy.clone(), at, own_then: watched.own });
        }
    }

    pub fn begin(&mut self, instance: &InstanceId) {
        self.entry(instance).own += 1;
    }

    pub fn end(&mut self, instance: &InstanceId) {
        let watched = self.entry(instance);
        debug_assert!(watched.own > 0);
        watched.own = watched.own.saturating_sub(1);
    }

    pub fn went_well(&mut self, instance: &InstanceId) {
        let watched = self.entry(instance);
        watched.failures = 0;
        watched.shunned_until = Moment::default();
    }

    /// Keeps an endpoint out for a while, longer each time.
    pub fn shun(&mut self, instance: &InstanceId, now: Moment, span: Duration) {
        let watched = self.entry(instance);
        watched.failures = (watched.failures + 1).min(4);
        watched.shunned_until = now + span * (1 << (watched.failures - 1));
    }

    pub fn shun_node(&mut self, node: &NodeName, now: Moment, span: Duration) {
        self.way(node).shunned_until = now + span;
    }

    pub fn is_node_shunned(&self, node: &NodeName, now: Moment) -> bool {
        self.nodes.get(node).is_some_and(|way| now < way.shunned_until)
    }

    /// Whether a look for a free slot found one.
    pub fn looked(&mut self, service: &ServiceName, free: bool) {
        let full = self.full.entry(service.clone()).or_insert(0.0);
        *full = *full * 0.95 + if free { 0.0 } else { 0.05 };
    }

    /// How many looks are worth their way: none where nearly all find nothing, but one now and then, so
    /// that it is noticed when that ends.
    pub fn looks_worth_it(&self, service: &ServiceName, most: u32) -> u32 {
        match self.full.get(service).copied().unwrap_or(0.0) {
            full if full < 0.35 => most,
            full if full < 0.6 => 1,
            _ => 0,
        }
    }

    fn way(&mut self, node: &NodeName) -> &mut Way {
        if !self.nodes.contains_key(node) {
            if self.nodes.len() > MOST_WAYS {
                self.nodes.clear();
            }
            self.nodes.insert(node.clone(), Way::default());
        }
        self.nodes.get_mut(node).expect("inserted just now")
    }

    /// A full link, a lossy one or a node short of processor time shows in this and nowhere else.
    pub fn way_took(&mut self, node: &NodeName, span: Duration, now: Moment) {
        let way = self.way(node);
        way.took = way.took_by(now) * 0.7 + span.as_micros() as f64 * 0.3;
        way.at = now;
    }

    pub fn forget_all_but(&mut self, known: impl Fn(&InstanceId) -> bool) {
        self.watched.retain(|instance, watched| watched.own > 0 || known(instance));
    }

    pub fn is_shunned(&self, instance: &InstanceId, now: Moment) -> bool {
        self.watched.get(instance).is_some_and(|watched| now < watched.shunned_until)
    }

    /// How long a request sent there now is likely to take, in microseconds; nothing when it is closed.
    fn expected(&self, candidate: &Candidate, now: Moment) -> Option<f64> {
        let slots = candidate.slots.max(1) as f64;
        let watched = self.watched.get(&candidate.instance);
        let (own, view) = match watched {
            Some(watched) => (watched.own, watched.view.as_ref()),
            None => (0, None),
        };
        let (busy, service) = match view.filter(|view| now.since(view.at) < VIEW_LASTS) {
            Some(view) if view.occupancy.closed => return None,
            Some(view) => {
                let told = (view.occupancy.running + view.occupancy.queued) as f64;
                let since = own as f64 - view.own_then as f64;
                ((told + since).max(own as f64).max(0.0), view.occupancy.service_micros as f64)
            }
            None => {
                let service = view.map(|view| view.occupancy.service_micros as f64).unwrap_or(0.0);
                (own as f64 * 3.0, service)
            }
        };
        let service = if service > 0.0 { service } else { ASSUMED_SERVICE };
        // Filling up slows before the slots are full: prefer the emptier of equals.
        let filled = (busy + 1.0) / slots;
        let waiting = (filled - 1.0).max(0.0);
        Some(service * (1.0 + 0.5 * filled + 2.0 * waiting))
    }

    /// The best of the candidates; a little chance among near equals keeps senders apart.
    pub fn choose<'a>(
        &self,
        candidates: impl Iterator<Item = &'a Candidate>,
        now: Moment,
        far_cost: f64,
        way_cost: f64,
        random: &mut Random,
    ) -> Option<&'a Candidate> {
        let mut best: Option<(f64, &Candidate)> = None;
        for candidate in candidates {
            let Some(expected) = self.expected(candidate, now) else {
                continue;
            };
            let mut cost = expected * (0.8 + random.below(1000) as f64 / 1500.0);
            if !candidate.is_local {
                cost += way_cost;
            }
            if !candidate.is_local
                && let Some(way) = self.nodes.get(&candidate.node)
            {
                cost += way.took_by(now);
            }
            if !candidate.same_region {
                cost += far_cost + OTHER_REGION;
            } else if !candidate.same_zone {
                cost += far_cost;
            } else if candidate.is_local {
                cost -= 1500.0;
            }
            if self.is_shunned(&candidate.instance, now) {
                cost += 1e9;
            }
            if best.as_ref().is_none_or(|(least, _)| cost < *least) {
                best = Some((cost, candidate));
            }
        }
        best.map(|(_, candidate)| candidate)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn candidate(name: &str) -> Candidate {
        Candidate {
            instance: InstanceId::new(name),
            node: NodeName::new(name),
            beside: ([10, 0, 0, 1], 1).into(),
            zone: ZoneName::new("z"),
            slots: 4,
            is_local: false,
            same_zone: true,
            same_region: true,
        }
    }

    fn occupancy(name: &str, running: u32, service_micros: u32) -> Occupancy {
        Occupancy { instance: InstanceId::new(name), running, queued: 0, slots: 4, service_micros, closed: false }
    }

    #[test]
    fn the_free_the_fast_and_the_well_come_first() {
        let now = Moment::from_micros(5_000_000);
        let (a, b) = (candidate("a"), candidate("b"));
        let both = [a.clone(), b.clone()];
        let mut random = Random::seeded(1);
        let mut balance = Balance::default();
        balance.told(&occupancy("a", 4, 10_000), now);
        balance.told(&occupancy("b", 0, 10_000), now);
        assert_eq!(balance.choose(both.iter(), now, 0.0, 0.0, &mut random), Some(&b));
        balance.shun(&b.instance, now, Duration::from_secs(1));
        assert_eq!(balance.choose(both.iter(), now, 0.0, 0.0, &mut random), Some(&a));
        balance.went_well(&b.instance);
        balance.told(&occupancy("b", 0, 90_000), now);
        assert_eq!(balance.choose(both.iter(), now, 0.0, 0.0, &mut random), Some(&a));
        balance.told(&Occupancy { closed: true, ..occupancy("a", 0, 10) }, now);
        assert_eq!(balance.choose(both.iter(), now, 0.0, 0.0, &mut random), Some(&b));
    }

    #[test]
    fn own_errands_since_the_last_word_count() {
        let now = Moment::from_micros(5_000_000);
        let both = [candidate("a"), candidate("b")];
        let mut random = Random::seeded(2);
        let mut balance = Balance::default();
        balance.told(&occupancy("a", 0, 10_000), now);
        balance.told(&occupancy("b", 0, 10_000), now);
        let mut given = [0, 0];
        for _ in 0..8 {
            let chosen = balance.choose(both.iter(), now, 0.0, 0.0, &mut random).unwrap().clone();
            balance.begin(&chosen.instance);
            given[(chosen.instance.as_str() == "b") as usize] += 1;
        }
        assert_eq!(given, [4, 4]);
    }
}
