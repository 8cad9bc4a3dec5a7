//! A small fleet on virtual time, with loss, kills and cuts.

use super::*;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;
use trackbed::clock::Moment;
use trackbed::ids::{Incarnation, NodeName, RegionName, ZoneName, Zxid};
use trackbed::random::Random;

struct Fleet {
    now: Moment,
    rosters: BTreeMap<SocketAddr, Roster>,
    fleet: BTreeMap<SocketAddr, Zxid>,
    flying: Vec<(Moment, SocketAddr, SocketAddr, Datagram)>,
    silenced: BTreeSet<SocketAddr>,
    /// Datagrams sent, and cards in them.
    sent: (usize, usize),
    /// Bytes of datagrams that went to another zone, and of all.
    bytes: (usize, usize),
    random: Random,
}

fn address(index: u16) -> SocketAddr {
    ([10, 0, (index >> 8) as u8, index as u8], 7000).into()
}

fn peer(index: u16) -> Peer {
    Peer {
        name: NodeName::new(&format!("n{index}")),
        incarnation: Incarnation(1),
        role: if index < 3 { Role::Core } else { Role::Beside },
        address: address(index),
        zone: ZoneName::new(&format!("z{}", index % 5)),
        region: RegionName::new("r"),
    }
}

impl Fleet {
    fn start(count: u16, seed: u64) -> Self {
        let now = Moment::from_micros(1_000_000);
        let mut fleet = Self {
            now,
            rosters: BTreeMap::new(),
            fleet: BTreeMap::new(),
            flying: Vec::new(),
            silenced: BTreeSet::new(),
            sent: (0, 0),
            bytes: (0, 0),
            random: Random::seeded(seed),
        };
        for index in 0..count {
            fleet.begin(index);
        }
        fleet
    }

    fn begin(&mut self, index: u16) {
        let seeds = (0..3).map(address).collect();
        let random = Random::seeded(self.random.draw());
        let roster = Roster::new(peer(index), seeds, RosterTiming::default(), random, self.now);
        self.rosters.insert(address(index), roster);
        self.fleet.insert(address(index), Zxid::ZERO);
    }

    fn act(&mut self, at: SocketAddr, actions: Vec<GossipAction>) {
        for action in actions {
            match action {
                GossipAction::Send { to, datagram } => {
                    self.sent.0 += 1;
                    self.sent.1 += datagram.news.len();
                    let length = borsh::to_vec(&datagram).unwrap().len();
                    let zone = |at: &SocketAddr| self.rosters.get(at).map(|roster| roster.me().zone.clone());
                    self.bytes.0 += if zone(&at) != zone(&to) { length } else { 0 };
                    self.bytes.1 += length;
                    if !self.random.chance(0.05) {
                        let due = self.now + Duration::from_micros(200 + self.random.below(3000));
                        self.flying.push((due, at, to, datagram));
                    }
                }
                GossipAction::Knock { peer } => {
                    if !self.silenced.contains(&at) && !self.silenced.contains(&peer.address) {
                        let now = self.now;
                        self.rosters.get_mut(&at).unwrap().vouch(&peer.name, now);
                    }
                }
                GossipAction::Ahead { peer } => {
                    let ahead = self.fleet[&peer.address];
                    if ahead > self.fleet[&at] {
                        self.move_on(at, ahead);
                    }
                }
            }
        }
    }

    fn move_on(&mut self, at: SocketAddr, zxid: Zxid) {
        self.fleet.insert(at, zxid);
        let actions = self.rosters.get_mut(&at).unwrap().fleet_moved(zxid, self.now);
        self.act(at, actions);
    }

    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + Duration::from_millis(5);
            let due: Vec<_> = {
                let now = self.now;
                let (due, later) = self.flying.drain(..).partition(|flight| flight.0 <= now);
                self.flying = later;
                due
            };
            for (_, from, to, datagram) in due {
                if self.silenced.contains(&from) || self.silenced.contains(&to) {
                    continue;
                }
                let now = self.now;
                if let Some(roster) = self.rosters.get_mut(&to) {
                    let actions = roster.receive(from, datagram, now);
                    self.act(to, actions);
                }
            }
            if self.now.micros().is_multiple_of(50_000) {
                for at in self.rosters.keys().copied().collect::<Vec<_>>() {
                    let now = self.now;
                    let actions = self.rosters.get_mut(&at).unwrap().tick(now);
                    self.act(at, actions);
                }
            }
        }
    }

    fn seen_by_all(&self, index: u16, standing: Standing) -> bool {
        let name = peer(index).name;
        self.rosters
            .iter()
            .filter(|(at, _)| **at != address(index) && !self.silenced.contains(*at))
            .all(|(_, roster)| roster.standing(&name) == Some(standing))
    }
}

#[test]
fn all_find_each_other_and_news_reach_all_soon() {
    for seed in 0..10 {
        let mut fleet = Fleet::start(14, seed);
        fleet.run(Duration::from_secs(6));
        for index in 0..14 {
            assert!(fleet.seen_by_all(index, Standing::Alive), "seed {seed}: n{index}");
        }
        fleet.move_on(address(0), Zxid::new(1, 1));
        fleet.run(Duration::from_millis(1000));
        assert!(fleet.fleet.values().all(|zxid| *zxid == Zxid::new(1, 1)), "seed {seed}");
    }
}

#[test]
fn the_silent_are_suspected_then_dead_and_the_returned_alive() {
    for seed in 0..10 {
        let mut fleet = Fleet::start(10, seed);
        fleet.run(Duration::from_secs(4));
        fleet.silenced.insert(address(7));
        fleet.run(Duration::from_secs(12));
        assert!(fleet.seen_by_all(7, Standing::Dead), "seed {seed}");
        fleet.silenced.clear();
        // Another life of the process, that knows nothing of what was said of the last.
        fleet.begin(7);
        fleet.run(Duration::from_secs(6));
        assert!(fleet.seen_by_all(7, Standing::Alive), "seed {seed}");
    }
}

/// What a fleet's gossip comes to.
struct Traffic {
    /// Datagrams per node and second once all know each other, and while they meet.
    calm: f64,
    met: f64,
    /// How often each card is told per node and second while they meet.
    cards: f64,
    /// Bytes per node and second, and the share of them that leaves the zone, in the calm; and bytes a node to meet.
    calm_bytes: f64,
    calm_far: f64,
    met_bytes: f64,
}

fn traffic(count: u16) -> Traffic {
    let mut fleet = Fleet::start(count, 11);
    fleet.run(Duration::from_secs(8));
    let (met, met_cards) = std::mem::take(&mut fleet.sent);
    let (_, met_bytes) = std::mem::take(&mut fleet.bytes);
    fleet.run(Duration::from_secs(5));
    let (calm, _) = fleet.sent;
    let (far, calm_bytes) = fleet.bytes;
    let per = |sent: usize, seconds: f64| sent as f64 / seconds / count as f64;
    for index in 0..count {
        let name = peer(index).name;
        let others = fleet.rosters.iter().filter(|(at, _)| **at != address(index));
        let there = others.filter(|(_, roster)| roster.standing(&name).is_some_and(|is| is <= Standing::Suspect));
        assert_eq!(there.count(), count as usize - 1, "{count} nodes: n{index} is known to all");
    }
    Traffic {
        calm: per(calm, 5.0),
        met: per(met, 8.0),
        cards: per(met_cards, 8.0) / count as f64,
        calm_bytes: per(calm_bytes, 5.0),
        calm_far: far as f64 / calm_bytes as f64,
        met_bytes: per(met_bytes, 1.0),
    }
}

#[test]
fn a_node_says_no_more_in_a_large_fleet() {
    let small = traffic(10);
    for count in [80, 240] {
        let large = traffic(count);
        let Traffic { calm, met, cards, calm_bytes, calm_far, met_bytes } = large;
        assert!(calm < small.calm * 1.3, "calm: {} and {calm} datagrams a node and second", small.calm);
        assert!(calm_bytes < small.calm_bytes * 1.4, "calm: {} and {calm_bytes} bytes", small.calm_bytes);
        assert!(calm_far < 0.5, "{calm_far} of what is said leaves the zone");
        // Meeting costs what the roster's length comes to, a few times over, and not once for each peer.
        assert!(met < 40.0, "meeting: {met} datagrams a node and second");
        assert!(cards < 1.0, "meeting: each card told {cards} times a node and second");
        assert!(met_bytes < 700.0 * count as f64, "meeting: {met_bytes} bytes a node");
    }
}

#[test]
fn loss_alone_kills_nobody() {
    let mut fleet = Fleet::start(10, 3);
    fleet.run(Duration::from_secs(4));
    for _ in 0..60 {
        fleet.run(Duration::from_millis(500));
        for index in 0..10 {
            assert!(!fleet.seen_by_all(index, Standing::Dead));
        }
    }
}
