//! A fleet on virtual time: nodes, collectors and primaries that restart, words that are lost, late or doubled.

use super::*;
use crate::gossip::{Peer, Role};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;
use trackbed::clock::Moment;
use trackbed::ids::{Incarnation, NodeName, RegionName, ZabEpoch, ZoneName};
use trackbed::random::Random;

const STEP: Duration = Duration::from_millis(100);
const ZONES: usize = 3;

fn peer(name: String, role: Role, zone: usize) -> Peer {
    Peer {
        name: NodeName::new(&name),
        incarnation: Incarnation(1),
        role,
        address: ([10, 0, 0, 1], 1).into(),
        zone: ZoneName::new(&format!("z{zone}")),
        region: RegionName::new(if zone == 0 { "near" } else { "far" }),
    }
}

struct Gateway {
    peer: Peer,
    life: u64,
    tally: Tally,
    /// Its clock is ahead by so much.
    skew: Duration,
}

struct Core {
    peer: Peer,
    collector: Collector,
    /// Only at the primary.
    sealer: Option<Sealer>,
}

enum Word {
    Counted { from: usize, core: usize, counted: Counted },
    Answer { to: usize, core: usize, life: u64, counted: Counted, taken: CountedTaken },
    Parts { from: usize, parts: Vec<Part>, known: WindowId, windows: WindowId },
    Taken { to: usize, taken: PartsTaken },
}

/// Invariants checked at every step: one list under one number, wherever it is shown; a node's reports only move on;
/// no report tells more of a client than the client sent.
struct Fleet {
    now: Moment,
    random: Random,
    gateways: Vec<Gateway>,
    cores: Vec<Core>,
    primary: usize,
    epoch: u64,
    words: Vec<(Moment, Word)>,
    loss: f64,
    /// The zone that is cut off.
    cut: Option<usize>,
    /// What was sent in all, and in which step: the truth.
    sent: Vec<(Moment, String)>,
    lists: HashMap<WindowId, String>,
    /// Steps in which all showed the same or one window apart, and all steps.
    agreed: (u32, u32),
    shown: HashMap<(usize, u64), WindowId>,
    bytes: u64,
}

impl Fleet {
    fn new(gateways: usize, cores: usize, seed: u64) -> Self {
        let now = Moment::from_micros(10_000_000);
        let mut random = Random::seeded(seed);
        let gateways = (0..gateways)
            .map(|index| {
                let peer = peer(format!("g{index}"), Role::Gate, index % ZONES);
                let skew = Duration::from_millis(random.below(60_000));
                let first = now + skew + Duration::from_millis(random.below(5000));
                let tally = Tally::new(NodeKey::of(&peer.name, 1), TallyTiming::default(), now + skew, first);
                Gateway { peer, life: 1, tally, skew }
            })
            .collect();
        let cores = (0..cores)
            .map(|index| Core {
                peer: peer(format!("c{index}"), Role::Core, index % ZONES),
                collector: Collector::new(index as u64),
                sealer: None,
            })
            .collect();
        let mut fleet = Self {
            now,
            random,
            gateways,
            cores,
            primary: 0,
            epoch: 0,
            words: Vec::new(),
            loss: 0.0,
            cut: None,
            sent: Vec::new(),
            lists: HashMap::new(),
            agreed: (0, 0),
            shown: HashMap::new(),
            bytes: 0,
        };
        fleet.elect(0);
        fleet
    }

    fn elect(&mut self, primary: usize) {
        self.cores.iter_mut().for_each(|core| core.sealer = None);
        self.primary = primary;
        self.epoch += 1;
        let core = &mut self.cores[primary];
        let inherited = core.collector.sealed(self.now);
        core.sealer = Some(Sealer::new(ZabEpoch(self.epoch), inherited, SealerTiming::default(), self.now));
    }

    fn request(&mut self, gateway: usize, client: &str) {
        let gateway = &mut self.gateways[gateway];
        gateway.tally.at(self.now + gateway.skew).begun(client, "service", "route");
        self.sent.push((self.now, client.to_owned()));
    }

    fn restart_gateway(&mut self, index: usize) {
        let now = self.now;
        let gateway = &mut self.gateways[index];
        gateway.life += 1;
        let key = NodeKey::of(&gateway.peer.name, gateway.life);
        let local = now + gateway.skew;
        gateway.tally = Tally::new(key, TallyTiming::default(), local, local);
    }

    fn is_cut(&self, one: &Peer, other: &Peer) -> bool {
        let zone = self.cut.map(|zone| ZoneName::new(&format!("z{zone}")));
        zone.is_some_and(|zone| (one.zone == zone) != (other.zone == zone))
    }

    fn send(&mut self, from: Peer, to: Peer, word: Word) {
        if self.is_cut(&from, &to) || self.random.chance(self.loss) {
            return;
        }
        let at = self.now + Duration::from_millis(self.random.below(400));
        if let Word::Counted { from, core, counted } = &word
            && self.loss > 0.0
            && self.random.chance(0.1)
        {
            // The same word twice, the second much later.
            let again = Word::Counted { from: *from, core: *core, counted: counted.clone() };
            self.words.push((at + Duration::from_millis(self.random.below(9000)), again));
        }
        self.words.push((at, word));
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        let now = self.now;
        let due: Vec<Word> = {
            let (due, later) = std::mem::take(&mut self.words).into_iter().partition(|(at, _)| *at <= now);
            self.words = later;
            due.into_iter().map(|(_, word)| word).collect()
        };
        for word in due {
            self.deliver(word);
        }
        for index in 0..self.gateways.len() {
            let gateway = &mut self.gateways[index];
            let local = now + gateway.skew;
            if !gateway.tally.is_due(local) {
                continue;
            }
            let me = gateway.peer.clone();
            let reachable: Vec<usize> =
                (0..self.cores.len()).filter(|core| !self.is_cut(&me, &self.cores[*core].peer)).collect();
            let core = collector_for(&me, reachable.iter().map(|core| &self.cores[*core].peer));
            let core = core.and_then(|core| self.cores.iter().position(|other| other.peer.name == core.name));
            if let Some(core) = core {
                let collector = self.cores[core].peer.name.clone();
                let counted = self.gateways[index].tally.tell(&collector, false, local);
                self.bytes += borsh::to_vec(&counted).unwrap().len() as u64;
                let to = self.cores[core].peer.clone();
                self.send(me, to, Word::Counted { from: index, core, counted });
            }
        }
        for index in 0..self.cores.len() {
            let core = &mut self.cores[index];
            if !core.collector.is_due(now) {
                continue;
            }
            let parts = core.collector.hand_on(now);
            let (known, windows) = (core.collector.known(), core.collector.last_sealed());
            let (from, to) = (core.peer.clone(), self.cores[self.primary].peer.clone());
            match index == self.primary {
                true => self.deliver(Word::Parts { from: index, parts, known, windows }),
                false => self.send(from, to, Word::Parts { from: index, parts, known, windows }),
            }
        }
        let of = self.gateways.len() as u32;
        let core = &mut self.cores[self.primary];
        if let Some(sealer) = &mut core.sealer {
            let sealed = sealer.seal(now);
            if !sealed.is_empty() {
                let standing = sealer.standing(now);
                let report = sealer.report(of, Reservations::default()).expect("something was sealed");
                let told = ReportTold { report: Rc::new(report), age_millis: 0 };
                let (windows, is_whole) = sealer.sealed_after(WindowId::default());
                let not_yours = Vec::new();
                let taken = PartsTaken { standing, not_yours, report: Some(told), windows, is_whole };
                core.collector.heard(taken, now);
            }
        }
        self.check();
    }

    fn deliver(&mut self, word: Word) {
        let now = self.now;
        match word {
            Word::Counted { from, core: asked, counted } => {
                let core = &mut self.cores[asked];
                let taken = core.collector.answer(counted.clone(), now);
                let (me, to) = (core.peer.clone(), self.gateways[from].peer.clone());
                let life = self.gateways[from].life;
                self.send(me, to, Word::Answer { to: from, core: asked, life, counted, taken });
            }
            Word::Answer { to, core, life, counted, taken } => {
                let gateway = &mut self.gateways[to];
                if gateway.life == life {
                    let collector = &self.cores[core].peer.name;
                    gateway.tally.answered(collector, &counted, taken, now + gateway.skew);
                }
            }
            Word::Parts { from, parts, known, windows } => {
                let name = self.cores[from].peer.name.clone();
                let primary = self.primary;
                let Some(sealer) = &mut self.cores[primary].sealer else { return };
                let not_yours = sealer.take(&name, parts, now);
                let (standing, (windows, is_whole)) = (sealer.standing(now), sealer.sealed_after(windows));
                let report = self.cores[primary].collector.report_for(known, now);
                let taken = PartsTaken { standing, not_yours, report, windows, is_whole };
                let (me, to) = (self.cores[primary].peer.clone(), self.cores[from].peer.clone());
                match from == primary {
                    true => self.cores[from].collector.heard(taken, now),
                    false => self.send(me, to, Word::Taken { to: from, taken }),
                }
            }
            Word::Taken { to, taken } => self.cores[to].collector.heard(taken, now),
        }
    }

    fn check(&mut self) {
        for (index, gateway) in self.gateways.iter().enumerate() {
            let Some(shown) = gateway.tally.shown(self.now + gateway.skew) else { continue };
            let report = &shown.told.report;
            let text = format!("{report:?}");
            let known = self.lists.entry(report.id).or_insert_with(|| text.clone());
            assert_eq!(*known, text, "two lists under {}", report.id);
            let before = self.shown.insert((index, gateway.life), report.id);
            assert!(before.is_none_or(|before| before <= report.id), "a report went back");
        }
        self.agreed.0 += self.agree() as u32;
        self.agreed.1 += 1;
    }

    fn run(&mut self, seconds: u64, mut traffic: impl FnMut(&mut Fleet)) {
        for _ in 0..seconds * 10 {
            traffic(self);
            self.step();
        }
    }

    /// Whether everybody shows the same, or one window apart.
    fn agree(&self) -> bool {
        let shown = |gateway: &Gateway| gateway.tally.shown(self.now + gateway.skew).map(|shown| shown.told.report.id);
        let known: Vec<WindowId> = self.gateways.iter().map(|gateway| shown(gateway).unwrap_or_default()).collect();
        let (least, most) = (known.iter().min().unwrap(), known.iter().max().unwrap());
        least.epoch == most.epoch && most.number - least.number <= 1
    }

    fn truth(&self, client: &str) -> u64 {
        self.sent.iter().filter(|(_, name)| name == client).count() as u64
    }

    fn newest(&self) -> Rc<Report> {
        let newest = self.gateways.iter().max_by_key(|gateway| gateway.tally.known()).unwrap();
        newest.tally.newest().unwrap().told.report.clone()
    }

    /// What clients sent while the windows of a report were open is at most what they sent in its span and the
    /// time until their nodes told.
    fn check_no_more_than_sent(&self, report: &Report) {
        for client in &report.clients {
            assert!(
                client.at_least <= self.truth(&client.name),
                "{}: {} told of {} sent",
                client.name,
                client.at_least,
                self.truth(&client.name)
            );
        }
    }
}

/// Students by the thousand, and a district that comes in a rush.
fn evening(fleet: &mut Fleet) {
    let gateways = fleet.gateways.len() as u64;
    for _ in 0..24 {
        let (gateway, student) = (fleet.random.below(gateways) as usize, fleet.random.below(5000));
        fleet.request(gateway, &format!("address:10.1.{}.{}", student / 250, student % 250));
    }
    for _ in 0..16 {
        let gateway = fleet.random.below(gateways) as usize;
        fleet.request(gateway, "tenant:district-7");
    }
    if fleet.random.chance(0.8) {
        // The crawler stays at one gateway.
        fleet.request(0, "tenant:news/crawler");
        fleet.request(0, "tenant:news/crawler");
    }
}

#[test]
fn on_a_deadline_evening_every_gateway_shows_the_same_top_clients() {
    let mut fleet = Fleet::new(30, 5, 1);
    fleet.loss = 0.02;
    fleet.run(30, evening);
    fleet.agreed = (0, 0);
    fleet.run(90, evening);
    let (agreed, steps) = fleet.agreed;
    assert!(agreed * 10 > steps * 8, "{agreed} of {steps}");
    fleet.loss = 0.0;
    fleet.run(15, evening);
    fleet.agreed = (0, 0);
    fleet.run(20, evening);
    // A word takes up to 0.4 s one way here, which is when the slowest node may be one more window behind.
    let (agreed, steps) = fleet.agreed;
    assert!(agreed * 20 >= steps * 19, "where nothing is lost or doubled all agree: {agreed} of {steps}");
    let report = fleet.newest();
    assert_eq!((report.clients[0].name.as_str(), report.clients[0].is_rank_unsure), ("tenant:district-7", false));
    assert_eq!(report.clients[1].name, "tenant:news/crawler");
    // Its first windows are of the time when words were lost, and say so; the last hold everybody.
    assert!(report.nodes_least >= 25, "{} of {}", report.nodes_least, report.of);
    assert_eq!((report.nodes, report.of), (30, 30));
    // A minute of 160 a second, within the error told, and what a few lost words leave out.
    let district = &report.clients[0];
    let expected = 9600.0;
    assert!((district.requests as f64 - expected).abs() < expected * 0.1, "{}", district.requests);
    assert!(district.at_most - district.at_least <= report.error);
    fleet.check_no_more_than_sent(&report);
}

#[test]
fn restarts_of_a_gateway_a_collector_and_the_primary_count_nothing_twice() {
    for seed in 0..12 {
        let mut fleet = Fleet::new(18, 5, 100 + seed);
        fleet.loss = 0.05;
        // All of it within one span of a report, so that a double count would show.
        let mut asked = 0u64;
        fleet.run(20, |_| {});
        for round in 0..35u64 {
            fleet.run(1, |fleet| {
                let gateway = fleet.random.below(18) as usize;
                fleet.request(gateway, "tenant:district-7");
                asked += 1;
            });
            match round {
                6 => fleet.restart_gateway(seed as usize % 18),
                12 => {
                    let collector = (seed as usize + 1) % 5;
                    fleet.cores[collector].collector = Collector::new(99 + seed);
                }
                18 => fleet.elect((seed as usize + 2) % 5),
                25 => fleet.elect((seed as usize + 3) % 5),
                _ => {}
            }
            if fleet.gateways.iter().any(|gateway| gateway.tally.newest().is_some()) {
                let report = fleet.newest();
                fleet.check_no_more_than_sent(&report);
            }
        }
        fleet.loss = 0.0;
        fleet.run(20, |_| {});
        assert!(fleet.agree(), "seed {seed}");
        let report = fleet.newest();
        fleet.check_no_more_than_sent(&report);
        let told = report.clients.first().map(|client| client.requests).unwrap_or(0);
        assert!(told * 10 >= asked * 6, "seed {seed}: {told} told of {asked}");
    }
}

#[test]
fn a_zone_that_is_cut_off_shows_the_last_list_as_stale_and_comes_back() {
    let mut fleet = Fleet::new(18, 3, 7);
    fleet.run(60, evening);
    let before = fleet.gateways[1].tally.known();
    fleet.cut = Some(1);
    fleet.run(90, evening);
    let (now, skew) = (fleet.now, fleet.gateways[1].skew);
    let shown = fleet.gateways[1].tally.shown(fleet.now + fleet.gateways[1].skew).unwrap();
    assert!(shown.is_stale(now + skew), "it says that it is old");
    assert!(shown.told.report.id.number <= before.number + 3, "nothing is made up");
    assert!(shown.reservations(now + skew).is_none(), "what is stale reserves nothing");
    let report = fleet.newest();
    assert!(report.nodes < report.of, "the others say that a zone is missing: {} of {}", report.nodes, report.of);
    fleet.cut = None;
    fleet.run(40, evening);
    assert!(fleet.agree());
    assert!(!fleet.gateways[1].tally.shown(fleet.now + fleet.gateways[1].skew).unwrap().is_stale(fleet.now + skew));
    fleet.check_no_more_than_sent(&fleet.newest());
}

#[test]
fn a_node_says_no_more_in_a_large_fleet_nor_of_many_clients() {
    let mut per_node = BTreeMap::new();
    for nodes in [10usize, 300, 1000] {
        let mut fleet = Fleet::new(nodes, 6, 3);
        let traffic = |fleet: &mut Fleet| {
            // As many requests a node, whatever the fleet's size; each from another client.
            for gateway in 0..fleet.gateways.len() {
                let client = format!("header:{}-{}", "x".repeat(40), fleet.random.draw());
                let gateway = &mut fleet.gateways[gateway];
                gateway.tally.at(fleet.now + gateway.skew).begun(&client, "service", "route");
            }
        };
        fleet.run(15, traffic);
        fleet.bytes = 0;
        fleet.run(30, traffic);
        per_node.insert(nodes, fleet.bytes as f64 / nodes as f64 / 30.0);
    }
    let most = per_node.values().cloned().fold(0.0, f64::max);
    let least = per_node.values().cloned().fold(f64::MAX, f64::min);
    assert!(most < least * 1.3, "{per_node:?}");
    // 3 KB a second is what a node may say for all of control.
    assert!(most < 2200.0, "{per_node:?}");
}

#[test]
fn endless_variety_stays_bounded_and_the_heavy_are_found() {
    let mut merged = Summary::merged();
    let mut random = Random::seeded(5);
    let mut truth: HashMap<String, u64> = HashMap::new();
    for _ in 0..40 {
        let mut node = Summary::of_a_node();
        for _ in 0..3000 {
            let client = match random.below(10) {
                0..=2 => "tenant:a".to_owned(),
                3 => "tenant:b".to_owned(),
                _ => format!("header:{:x}", random.draw()),
            };
            *truth.entry(client.clone()).or_default() += 1;
            let route = format!("r{}", random.below(900));
            node.begun(&client, "s", &route);
        }
        assert!(node.routes().count() <= MOST_ROUTES + 1);
        merged.merge(&node);
    }
    assert_eq!(merged.requests(), 120_000);
    assert_eq!(merged.routes().map(|(_, _, demand)| demand.requests).sum::<u64>(), 120_000);
    let rows = merged.clients();
    assert!(rows.len() <= 192 && rows[0].0 == "tenant:a" && rows[1].0 == "tenant:b", "{:?}", &rows[..2]);
    for (name, _, least, most) in &rows {
        let truth = truth[name];
        assert!((*least..=*most).contains(&truth), "{name}: {truth} not in {least}..{most}");
    }
    let copy: Summary = borsh::from_slice(&borsh::to_vec(&merged).unwrap()).unwrap();
    assert_eq!(copy.clients(), rows);
    assert!(borsh::from_slice::<Summary>(&[1, 2, 3]).is_err());
}

#[test]
fn two_collectors_that_tell_of_one_node_count_it_once() {
    let (one, other) = (NodeName::new("c1"), NodeName::new("c2"));
    let now = Moment::from_micros(1_000_000);
    let mut sealer = Sealer::new(ZabEpoch(3), std::iter::empty(), SealerTiming::default(), now);
    let window = sealer.standing(now).open;
    let part = |revision: u32, keys: &[u64]| {
        let mut summary = Summary::merged();
        keys.iter().for_each(|_| summary.begun("tenant:a", "s", "r"));
        Part { window, revision, keys: keys.iter().map(|key| NodeKey(*key)).collect(), summary }
    };
    assert!(sealer.take(&one, vec![part(1, &[1, 2])], now).is_empty());
    assert_eq!(sealer.take(&other, vec![part(1, &[2, 3])], now), vec![(window, vec![NodeKey(2)])]);
    assert!(sealer.take(&other, vec![part(2, &[3])], now).is_empty());
    assert!(sealer.take(&one, vec![part(1, &[1, 2])], now).is_empty(), "a repeat");
    let later = now + Duration::from_secs(13);
    let sealed = sealer.seal(later);
    assert_eq!((sealed[0].nodes, sealed[0].summary.requests()), (3, 3));
    assert!(sealer.seal(later).is_empty(), "once");
    assert!(sealer.take(&other, vec![part(9, &[3])], later).is_empty());
    assert_eq!(sealer.report(9, Reservations::default()).unwrap().requests, 3, "what is late changes nothing");
}

#[test]
fn names_are_bounded_and_say_what_they_are() {
    assert_eq!(client_name(Some("d7"), None, Some("10.0.0.1"), None), "tenant:d7");
    assert_eq!(client_name(Some("d7"), Some("school 4"), None, None), "tenant:d7/school 4");
    assert_eq!(client_name(Some("d7"), Some(&"x".repeat(9000)), None, None), "tenant:d7/other");
    assert_eq!(client_name(None, None, Some("10.0.0.1"), Some("s")), "address:10.0.0.1");
    assert_eq!(client_name(None, None, None, Some("tareas")), "service:tareas");
    assert_eq!(client_name(None, None, None, None), OTHER);
    let report = |names: &[&str]| Report {
        id: WindowId::new(1, 1),
        windows: 1,
        window_millis: 5000,
        nodes: 1,
        nodes_least: 1,
        of: 1,
        requests: 9,
        error: 0,
        clients: names
            .iter()
            .map(|name| ClientLine {
                name: (*name).to_owned(),
                requests: 1,
                at_least: 1,
                at_most: 1,
                is_rank_unsure: true,
            })
            .collect(),
        reservations: Reservations::default(),
    };
    let changes = client_changes(Some(&report(&["a", "b"])), &report(&["b", "c\"\n"]));
    assert_eq!(changes, ["client c\\\"\\n is among the top", "client a is no longer among the top"]);
    let shown = Shown::of(ReportTold { report: Rc::new(report(&["\"x"])), age_millis: 500 }, Moment::default());
    let text = shown_json(Some(&shown), true, Moment::from_micros(1_000_000));
    assert!(text.starts_with("{\"report\":\"1.1\",\"age_s\":1.5,\"stale\":false") && text.contains("\\\"x"), "{text}");
}
