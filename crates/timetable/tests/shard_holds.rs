//! Keys that change hands among endpoints with slow clocks, nodes that freeze and are cut off, and primaries that come
//! and go: at no true moment do two endpoints hold one key. Virtual time, one step a millisecond tick.

use std::time::Duration;
use timetable::fleet::{FleetChange, FleetState, Instance};
use timetable::shards::{Holding, KeyRange, ShardChange, certainly_over, renewable_for};
use trackbed::clock::Moment;
use trackbed::ids::{InstanceId, NodeName, ServiceName, ZoneName, Zxid};
use trackbed::random::Random;

const HOLD_MAX: Duration = Duration::from_secs(10);
const ENDPOINTS: usize = 4;
const STEP: Duration = Duration::from_millis(50);
const STEPS: usize = 2400;
const EIGHTH: u16 = 8192;

/// What the primaries' log holds, and when this primary first saw each revocation.
struct Log {
    state: FleetState,
    counter: u64,
    seen: Vec<(InstanceId, Zxid, Moment)>,
}

struct Endpoint {
    id: InstanceId,
    /// True seconds that one of its seconds takes.
    slowness: f64,
    /// Ranges held, each until when in true time.
    holds: Vec<(KeyRange, Moment)>,
    released: Vec<KeyRange>,
    next_beat: Moment,
}

struct Node {
    state: FleetState,
    vouched: Option<Moment>,
    /// A word on its way: when it was asked for, and the state that it came with.
    word: Option<(Moment, FleetState, Moment)>,
    frozen_until: Moment,
    cut_until: Moment,
    next_ask: Moment,
}

struct World {
    random: Random,
    now: Moment,
    log: Log,
    endpoints: Vec<Endpoint>,
    nodes: Vec<Node>,
    safe_expiry: bool,
    overlaps: usize,
    grants: usize,
    expiries: usize,
    releases: usize,
}

fn service() -> ServiceName {
    ServiceName::new("s")
}

fn id(index: usize) -> InstanceId {
    InstanceId::new(&format!("i{index}"))
}

fn instance(index: usize) -> Instance {
    Instance {
        id: id(index),
        service: service(),
        address: ([10, 0, 0, 1], index as u16 + 1).into(),
        zone: ZoneName::new("z"),
        node: NodeName::new(&format!("n{index}")),
        beside: ([10, 0, 0, 2], index as u16 + 1).into(),
        slots: 4,
        draining: false,
    }
}

impl Log {
    fn order(&mut self, change: FleetChange) {
        self.counter += 1;
        self.state.apply(Zxid::new(1, self.counter), change);
    }
    fn shards(&mut self, change: ShardChange) {
        self.order(FleetChange::Shards { service: service(), change });
    }
}

impl World {
    fn new(seed: u64, safe_expiry: bool) -> Self {
        let now = Moment::from_micros(1_000_000);
        let mut log = Log { state: FleetState::default(), counter: 0, seen: Vec::new() };
        (0..ENDPOINTS).for_each(|index| log.order(FleetChange::Register(instance(index))));
        let endpoint = |index: usize| Endpoint {
            id: id(index),
            slowness: 1.0 + 0.02 * (index % 2) as f64,
            holds: Vec::new(),
            released: Vec::new(),
            next_beat: now,
        };
        let node = || Node {
            state: FleetState::default(),
            vouched: None,
            word: None,
            frozen_until: now,
            cut_until: now,
            next_ask: now,
        };
        let endpoints = (0..ENDPOINTS).map(endpoint).collect();
        let nodes = (0..ENDPOINTS).map(|_| node()).collect();
        let random = Random::seeded(seed);
        let (overlaps, grants, expiries, releases) = (0, 0, 0, 0);
        Self { random, now, log, endpoints, nodes, safe_expiry, overlaps, grants, expiries, releases }
    }

    fn run(mut self) -> Self {
        for _ in 0..STEPS {
            self.now = self.now + STEP;
            self.trouble();
            self.primary();
            (0..ENDPOINTS).for_each(|index| self.node(index));
            (0..ENDPOINTS).for_each(|index| self.beat(index));
            self.check();
        }
        self
    }

    fn trouble(&mut self) {
        let index = self.random.below(ENDPOINTS as u64) as usize;
        if self.random.chance(0.01) {
            self.nodes[index].frozen_until = self.now + Duration::from_millis(500 + self.random.below(14_000));
        }
        if self.random.chance(0.01) {
            self.nodes[index].cut_until = self.now + Duration::from_millis(500 + self.random.below(14_000));
        }
        if self.random.chance(0.003) {
            // Another primary: it counts every revocation anew.
            self.log.seen.clear();
        }
    }

    /// Revokes at random, grants what is free, and lets silent holds run out.
    fn primary(&mut self) {
        let Some(map) = self.log.state.shards(&service()).cloned() else {
            return self.log.shards(ShardChange::Grant(vec![(KeyRange::ALL, id(0))]));
        };
        let wait = if self.safe_expiry { certainly_over(HOLD_MAX) } else { HOLD_MAX / 2 };
        for shard in map.shards() {
            let random_owner = id(self.random.below(ENDPOINTS as u64) as usize);
            match &shard.holding {
                Holding::Free { .. } => {
                    self.grants += 1;
                    self.log.shards(ShardChange::Grant(vec![(shard.range, random_owner)]));
                }
                Holding::Held { owner, .. } if self.random.chance(0.02) => {
                    // Cut at eighths of all keys, so that the shards stay few.
                    let first = shard.range.first();
                    let eighth = first / EIGHTH + self.random.below(8) as u16;
                    let last = (eighth.min(7) * EIGHTH + (EIGHTH - 1)).min(shard.range.last());
                    let part = KeyRange::new(first, last).unwrap();
                    self.log.shards(ShardChange::Revoke(vec![(part, owner.clone())]));
                }
                Holding::Held { .. } => {}
                Holding::Releasing { owner, revoked, .. } => {
                    let key = (owner.clone(), *revoked);
                    let known = self.log.seen.iter().find(|seen| (seen.0.clone(), seen.1) == key);
                    match known.map(|seen| seen.2) {
                        None => self.log.seen.push((key.0, key.1, self.now)),
                        Some(since) if self.now.since(since) > wait => {
                            self.expiries += 1;
                            self.log.shards(ShardChange::Expired { owner: key.0, revoked: key.1 });
                        }
                        Some(_) => {}
                    }
                }
            }
        }
    }

    /// A node asks for a primary's word, which comes with the state of that moment, some time later.
    fn node(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        if self.now < node.frozen_until {
            return;
        }
        if let Some((asked, state, arrives)) = node.word.take() {
            match self.now >= arrives {
                true => {
                    node.state = state;
                    node.vouched = Some(asked);
                }
                false => node.word = Some((asked, state, arrives)),
            }
        }
        if self.now >= node.next_ask && self.now >= node.cut_until && node.word.is_none() {
            let way = Duration::from_millis(self.random.below(400));
            node.word = Some((self.now, self.log.state.clone(), self.now + way));
            node.next_ask = self.now + Duration::from_millis(900);
        }
    }

    /// An endpoint beats, and takes the node's answer for all that it is to hold.
    fn beat(&mut self, index: usize) {
        let (node, endpoint) = (&self.nodes[index], &mut self.endpoints[index]);
        let now = self.now;
        endpoint.holds.retain(|(_, until)| now < *until);
        if now < endpoint.next_beat || now < node.frozen_until {
            return;
        }
        // The answer may come late; the time of the hold runs from when the beat was sent.
        let sent = now;
        endpoint.next_beat = now + Duration::from_millis(1500);
        if !endpoint.released.is_empty() && now >= node.cut_until {
            let ranges = endpoint.released.drain(..).map(|range| (range, "h".to_owned())).collect();
            let release = ShardChange::Released { owner: endpoint.id.clone(), ranges, seen: node.state.zxid() };
            self.releases += 1;
            self.log.shards(release);
        }
        let Some(hold) = node.vouched.and_then(|vouched| renewable_for(vouched, now, HOLD_MAX)) else { return };
        let shards = node.state.shards(&service());
        let rows: Vec<KeyRange> =
            shards.iter().flat_map(|map| map.held_by(&endpoint.id)).map(|(range, _, _)| range).collect();
        let until = sent + hold.mul_f64(endpoint.slowness);
        let kept = |held: KeyRange| rows.iter().any(|row| row.covers(held));
        let let_go = endpoint.holds.iter().map(|(range, _)| *range).filter(|range| !kept(*range));
        endpoint.released.extend(let_go);
        endpoint.holds = rows.iter().map(|range| (*range, until)).collect();
        if !endpoint.released.is_empty() {
            endpoint.next_beat = now + Duration::from_millis(100);
        }
    }

    fn check(&mut self) {
        for one in 0..ENDPOINTS {
            for other in one + 1..ENDPOINTS {
                let (one, other) = (&self.endpoints[one], &self.endpoints[other]);
                let now = self.now;
                let both = one.holds.iter().flat_map(|(range, until)| {
                    other.holds.iter().map(move |(second, other_until)| (range, until, second, other_until))
                });
                let held = both.filter(|(_, until, _, other)| now < **until && now < **other);
                self.overlaps += held.filter(|(range, _, second, _)| range.intersection(**second).is_some()).count();
            }
        }
    }
}

#[test]
fn no_two_endpoints_hold_a_key_at_once() {
    let (mut expiries, mut releases, mut grants) = (0, 0, 0);
    for seed in 0..96 {
        let world = World::new(seed, true).run();
        assert_eq!(world.overlaps, 0, "seed {seed}: two endpoints held one key");
        expiries += world.expiries;
        releases += world.releases;
        grants += world.grants;
    }
    assert!(
        expiries > 50 && releases > 500 && grants > 1000,
        "{expiries} expiries, {releases} releases, {grants} grants"
    );
}

#[test]
fn a_primary_that_does_not_wait_for_the_longest_hold_is_caught() {
    let overlaps: usize = (0..8).map(|seed| World::new(seed, false).run().overlaps).sum();
    assert!(overlaps > 0, "half the longest hold is not enough, and the check sees it");
}
