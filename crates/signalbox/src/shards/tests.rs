//! The planner driven over whole evenings of a service, with the map that its changes make.

use super::*;
use lineside::call::{KEYS_IN_BUCKET, ShardLoad};
use std::collections::BTreeMap;
use timetable::shards::{Holding, KeyRange, ShardChange, ShardMap};
use trackbed::clock::Moment;
use trackbed::ids::{InstanceId, ServiceName, Zxid};

const SLOTS: u32 = 6;

/// A service with endpoints of unequal speed, and a rate for each bucket of keys.
struct Service {
    map: ShardMap,
    load: ServiceLoad,
    endpoints: Vec<Endpoint>,
    seconds: BTreeMap<InstanceId, f64>,
    rates: Vec<f64>,
    now: Moment,
    counter: u64,
    /// Keys that changed hands after their first grant.
    moved: u64,
}

fn id(index: usize) -> InstanceId {
    InstanceId::new(&format!("i{index:03}"))
}

impl Service {
    fn new(seconds: &[f64], rates: Vec<f64>) -> Self {
        let endpoints = (0..seconds.len()).map(|index| Endpoint { id: id(index), slots: SLOTS }).collect();
        let seconds = seconds.iter().enumerate().map(|(index, seconds)| (id(index), *seconds)).collect();
        let (map, load, now) = (ShardMap::default(), ServiceLoad::default(), Moment::from_micros(1_000_000));
        Self { map, load, endpoints, seconds, rates, now, counter: 0, moved: 0 }
    }

    fn rate(&self, range: KeyRange) -> f64 {
        let buckets = range.first() / KEYS_IN_BUCKET..=range.last() / KEYS_IN_BUCKET;
        buckets.map(|bucket| self.rates[bucket as usize]).sum()
    }

    fn utilization(&self, owner: &InstanceId) -> f64 {
        let held = self.map.held_by(owner).map(|(range, _, _)| self.rate(range)).sum::<f64>();
        held * self.seconds[owner] / SLOTS as f64
    }

    fn utilizations(&self) -> Vec<f64> {
        self.endpoints.iter().map(|endpoint| self.utilization(&endpoint.id)).collect()
    }

    fn order(&mut self, change: ShardChange) {
        self.counter += 1;
        self.map.apply(Zxid::new(1, self.counter), &change);
    }

    /// Endpoints let go of what they were asked for, a plan is made and ordered, and their nodes report.
    fn turn(&mut self) {
        self.now = self.now + std::time::Duration::from_millis(1500);
        let releasing = self.map.shards().iter().filter_map(|shard| match &shard.holding {
            Holding::Releasing { owner, .. } => Some((shard.range, owner.clone())),
            _ => None,
        });
        for (range, owner) in releasing.collect::<Vec<_>>() {
            self.moved += range.length() as u64;
            let seen = Zxid::new(1, self.counter);
            self.order(ShardChange::Released { owner, ranges: vec![(range, "h".into())], seen });
        }
        for change in plan(&self.map, &self.load, &self.endpoints, self.now) {
            self.order(change);
        }
        for endpoint in &self.endpoints {
            let held: Vec<KeyRange> = self.map.held_by(&endpoint.id).map(|(range, _, _)| range).collect();
            let buckets = held.iter().flat_map(|range| range.first() / KEYS_IN_BUCKET..=range.last() / KEYS_IN_BUCKET);
            let report = ShardLoad {
                service: ServiceName::new("s"),
                instance: endpoint.id.clone(),
                window_millis: 2000,
                service_micros: (self.seconds[&endpoint.id] * 1e6) as u32,
                covered: held.clone(),
                requests: buckets.map(|bucket| (bucket, (self.rates[bucket as usize] * 2.0).round() as u32)).collect(),
            };
            self.load.reported(&report, self.now);
        }
    }

    fn is_held(&self) -> bool {
        self.map.shards().iter().all(|shard| matches!(shard.holding, Holding::Held { .. }))
    }
}

fn even_rates(total: f64) -> Vec<f64> {
    vec![total / 1024.0; 1024]
}

#[test]
fn the_first_grant_gives_every_endpoint_its_share_at_once() {
    let mut service = Service::new(&[0.1; 7], even_rates(0.0));
    service.turn();
    assert!(service.is_held());
    for endpoint in &service.endpoints {
        let keys: u32 = service.map.held_by(&endpoint.id).map(|(range, _, _)| range.length()).sum();
        assert!((9362..=9363).contains(&keys), "{keys}");
    }
    for _ in 0..20 {
        service.turn();
    }
    assert_eq!(service.moved, 0, "nothing is asked of the service, so nothing moves");
}

#[test]
fn slow_endpoints_give_keys_away_until_none_is_overloaded_and_then_nothing_moves() {
    let seconds: Vec<f64> = (0..36).map(|index| 0.11 / [0.5, 1.0, 1.0, 1.5][index % 4]).collect();
    let mut service = Service::new(&seconds, even_rates(1400.0));
    service.turn();
    let before = service.utilizations();
    assert!(before.iter().any(|utilization| *utilization > 1.3), "slow ones start with too much: {before:?}");
    for _ in 0..16 {
        service.turn();
    }
    let after = service.utilizations();
    assert!(after.iter().all(|utilization| *utilization < 0.95), "{after:?}");
    let moved = service.moved;
    assert!(moved < 65536 / 2, "{moved} keys moved");
    for _ in 0..40 {
        service.turn();
    }
    assert!(service.moved - moved < 2000, "no flapping: {} keys more", service.moved - moved);
    assert!(service.is_held());
}

#[test]
fn busy_keys_that_lie_together_are_spread() {
    let mut rates = even_rates(600.0);
    rates[100..130].iter_mut().for_each(|rate| *rate += 18.0);
    let mut service = Service::new(&[0.1; 24], rates);
    for _ in 0..20 {
        service.turn();
    }
    // Mean 0.79; a busy bucket, which is moved whole, comes to 0.31.
    let after = service.utilizations();
    assert!(after.iter().all(|utilization| *utilization < 0.95), "{after:?}");
}

#[test]
fn what_a_lost_endpoint_held_goes_to_several_and_a_new_one_gets_its_part() {
    let mut service = Service::new(&[0.1; 12], even_rates(450.0));
    for _ in 0..4 {
        service.turn();
    }
    let lost = service.endpoints.remove(3);
    service.map.free_all(&lost.id);
    service.turn();
    assert!(service.is_held());
    let after = service.utilizations();
    assert!(after.iter().all(|utilization| *utilization < 0.8), "{after:?}");
    service.endpoints.push(Endpoint { id: id(99), slots: SLOTS });
    service.seconds.insert(id(99), 0.1);
    for _ in 0..6 {
        service.turn();
    }
    assert!(service.utilization(&id(99)) > 0.2, "{:?}", service.utilizations());
    assert!(service.is_held());
    assert!(plan(&service.map, &service.load, &[], service.now).is_empty(), "without endpoints there is no plan");
}
