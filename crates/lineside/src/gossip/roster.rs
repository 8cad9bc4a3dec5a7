//! The roster: a pure state machine over datagrams and ticks.

use super::cards::{Card, Datagram, Kind, Occupancy, Peer, Role, Standing};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;
use trackbed::clock::Moment;
use trackbed::ids::{ConfigEpoch, Incarnation, NodeName, Zxid};
use trackbed::random::{Random, stable_hash};

const CARDS_IN_A_DATAGRAM: usize = 8;
const FANOUT: usize = 3;
/// A roster is compared in so many parts.
const PARTS: usize = 32;
/// News that follow on each other within this time are told together; in a fleet of many, within the second.
const TELL_EVERY: Duration = Duration::from_millis(40);
const TELL_EVERY_OF_MANY: Duration = Duration::from_millis(120);
/// From so many nodes on a fleet counts as one of many.
const MANY: usize = 48;
/// From so many peers of its own zone on a node turns to them for most of what it says: ways between zones are dear.
const ENOUGH_NEAR: usize = 10;
/// The share of probes that stay in the zone then.
const NEAR_SHARE: f64 = 0.67;
/// How often a node passes on that another is there, in a fleet of many. Comparisons bring it to whoever it misses.
const PASSED_ON: u32 = 2;

#[derive(Clone, Copy, Debug)]
pub struct RosterTiming {
    pub probe: Duration,
    /// Silence after which second opinions are asked for.
    pub patience: Duration,
    /// For how long a silent node is only suspected.
    pub suspicion: Duration,
    /// How long a dead node stays on the roster.
    pub memory: Duration,
}

impl Default for RosterTiming {
    fn default() -> Self {
        Self {
            probe: Duration::from_millis(500),
            patience: Duration::from_millis(200),
            suspicion: Duration::from_millis(1500),
            memory: Duration::from_secs(60),
        }
    }
}

#[derive(Clone, Debug, PartialEq)]
pub enum GossipAction {
    Send {
        to: SocketAddr,
        datagram: Datagram,
    },
    /// Datagrams to that peer stay unanswered: they are the first to be lost where a way is full. It
    /// is to be called over a stream, and vouched for if it answers.
    Knock {
        peer: Peer,
    },
    /// That peer's fleet state is ahead.
    Ahead {
        peer: Peer,
    },
}

#[derive(Clone, Debug)]
struct Known {
    card: Card,
    since: Moment,
    /// When there was last a sign of life from the node itself: a datagram, or an answer over a stream.
    heard: Moment,
    occupancy: Option<(Occupancy, Moment)>,
    /// How far its fleet state was when it last spoke.
    told: (Zxid, ConfigEpoch),
}

#[derive(Clone, Debug)]
struct Probe {
    number: u64,
    name: NodeName,
    at: Moment,
    asked_others: bool,
}

pub struct Roster {
    me: Card,
    fleet: Zxid,
    configuration: ConfigEpoch,
    occupancy: Option<Occupancy>,
    timing: RosterTiming,
    /// Invariant: never holds this node itself.
    known: BTreeMap<NodeName, Known>,
    /// The order of the next probes.
    turn: VecDeque<NodeName>,
    probes: Vec<Probe>,
    /// Probes made for others: our number, whom to tell, their number.
    errands: VecDeque<(u64, SocketAddr, u64)>,
    /// What is still to be passed on, and how often.
    rumours: VecDeque<(Card, u32)>,
    /// What the cards of each part come to. Invariant: of all in `known`, and of `me`.
    parts: [u32; PARTS],
    /// The next moment at which a peer may be asked for what differs.
    next_compare: Moment,
    /// The next moment at which peers are told that the fleet moved on, and whether they are to be.
    next_tell: Moment,
    to_tell: bool,
    seeds: Vec<SocketAddr>,
    next_probe: Moment,
    next_seed: Moment,
    next_number: u64,
    random: Random,
    /// Rises whenever a card changes that says who is there.
    revision: u64,
    actions: Vec<GossipAction>,
}

/// The part of a roster in which a node's card counts.
fn part_of(name: &NodeName) -> usize {
    (stable_hash(name.as_str()) % PARTS as u64) as usize
}

/// What a card adds to its part. The dead add nothing: nodes forget them at different times, and who
/// still has a dead node alive differs all the same.
fn worth_of(card: &Card) -> u32 {
    if card.standing == Standing::Dead {
        return 0;
    }
    let facts = card.peer.incarnation.0.wrapping_mul(8).wrapping_add(card.standing as u64 + 1);
    let mixed = stable_hash(card.peer.name.as_str()) ^ facts.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (mixed.wrapping_mul(0xbf58_476d_1ce4_e5b9) >> 32) as u32
}

impl Roster {
    pub fn new(me: Peer, seeds: Vec<SocketAddr>, timing: RosterTiming, random: Random, now: Moment) -> Self {
        let me = Card { peer: me, standing: Standing::Alive };
        let mut parts = [0; PARTS];
        parts[part_of(&me.peer.name)] ^= worth_of(&me);
        Self {
            me,
            fleet: Zxid::ZERO,
            configuration: ConfigEpoch::default(),
            occupancy: None,
            timing,
            known: BTreeMap::new(),
            turn: VecDeque::new(),
            probes: Vec::new(),
            errands: VecDeque::new(),
            rumours: VecDeque::new(),
            parts,
            next_compare: now,
            next_tell: now,
            to_tell: false,
            seeds,
            next_probe: now,
            next_seed: now,
            next_number: 1,
            random,
            revision: 0,
            actions: Vec::new(),
        }
    }

    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
    }
    pub fn set_occupancy(&mut self, occupancy: Option<Occupancy>) {
        self.occupancy = occupancy;
    }
    pub fn set_configuration(&mut self, configuration: ConfigEpoch) {
        self.configuration = configuration;
    }
    /// How far a node's fleet state was when it last spoke, and the configuration in force there.
    pub fn told_by(&self, name: &NodeName) -> Option<(Zxid, ConfigEpoch)> {
        self.known.get(name).map(|known| known.told)
    }
    /// Rises whenever the roster changes.
    pub fn revision(&self) -> u64 {
        self.revision
    }
    pub fn is_leaving(&self) -> bool {
        self.me.standing == Standing::Leaving
    }
    pub fn me(&self) -> &Peer {
        &self.me.peer
    }
    /// Every node heard of and not yet forgotten, the dead among them.
    pub fn cards(&self) -> impl Iterator<Item = &Card> {
        self.known.values().map(|known| &known.card)
    }
    pub fn standing(&self, name: &NodeName) -> Option<Standing> {
        self.known.get(name).map(|known| known.card.standing)
    }
    pub fn address_of(&self, name: &NodeName) -> Option<SocketAddr> {
        self.known.get(name).map(|known| known.card.peer.address)
    }
    pub fn occupancy_of(&self, name: &NodeName) -> Option<&(Occupancy, Moment)> {
        self.known.get(name)?.occupancy.as_ref()
    }
    pub fn alive(&self, role: Role) -> impl Iterator<Item = &Peer> {
        self.known
            .values()
            .filter(move |known| known.card.peer.role == role && known.card.standing <= Standing::Suspect)
            .map(|known| &known.card.peer)
    }

    /// The own fleet state moved on: a few are told, at once or together with what follows right after.
    pub fn fleet_moved(&mut self, fleet: Zxid, now: Moment) -> Vec<GossipAction> {
        if fleet > self.fleet {
            self.fleet = fleet;
            self.to_tell = true;
            self.tell_if_due(now);
        }
        std::mem::take(&mut self.actions)
    }

    fn tell_if_due(&mut self, now: Moment) {
        if self.to_tell && now >= self.next_tell {
            self.to_tell = false;
            self.next_tell = now + if self.is_of_many() { TELL_EVERY_OF_MANY } else { TELL_EVERY };
            self.tell_a_few();
        }
    }

    /// That node answered just now, in whatever way.
    pub fn vouch(&mut self, name: &NodeName, now: Moment) {
        if let Some(known) = self.known.get_mut(name) {
            known.heard = now;
        }
    }

    /// For how long a silent node is only suspected: news need longer in a large fleet.
    fn suspicion(&self) -> Duration {
        let steps = (usize::BITS - self.known.len().leading_zeros()).max(4);
        self.timing.suspicion * steps / 4
    }

    /// This node is about to end.
    pub fn leave(&mut self) -> Vec<GossipAction> {
        self.change_me(|me| me.standing = Standing::Leaving);
        self.revision += 1;
        let (of_many, zone) = (self.is_of_many(), self.me.peer.zone.clone());
        let first = |known: &Known| known.card.peer.zone == zone || known.card.peer.role == Role::Core;
        let there = |known: &&Known| known.card.standing != Standing::Dead;
        // In a fleet of many the others hear it as news.
        let targets: Vec<SocketAddr> = self
            .known
            .values()
            .filter(there)
            .filter(|known| !of_many || first(known))
            .map(|known| known.card.peer.address)
            .collect();
        for to in targets {
            self.ping(to);
        }
        std::mem::take(&mut self.actions)
    }

    fn is_of_many(&self) -> bool {
        self.known.len() >= MANY
    }

    /// Peers that may be told something, in an order by chance; those of the own zone first where there are enough.
    fn some(&mut self, may: impl Fn(&Known) -> bool) -> (Vec<SocketAddr>, bool) {
        let own = self.me.peer.zone.clone();
        let fit = self.known.values().filter(|known| may(known));
        let (mut near, mut far): (Vec<&Known>, Vec<&Known>) = fit.partition(|known| known.card.peer.zone == own);
        self.random.shuffle(&mut near);
        self.random.shuffle(&mut far);
        let enough = near.len() >= ENOUGH_NEAR;
        near.append(&mut far);
        let mut some: Vec<SocketAddr> = near.into_iter().map(|known| known.card.peer.address).collect();
        if !enough {
            self.random.shuffle(&mut some);
        }
        (some, enough)
    }

    fn tell_a_few(&mut self) {
        let (targets, near) = self.some(|known| known.card.standing <= Standing::Leaving);
        // One goes to anybody, so that news leave the zone.
        let mut told: Vec<SocketAddr> = targets.iter().copied().take(if near { FANOUT - 1 } else { FANOUT }).collect();
        if near {
            let rest = &targets[told.len()..];
            told.extend(rest.get(self.random.below(rest.len() as u64) as usize));
        }
        for to in told {
            self.ping(to);
        }
    }

    fn digest(&self) -> u64 {
        self.parts
            .iter()
            .fold(0, |digest: u64, part| digest.rotate_left(5).wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ *part as u64)
    }

    fn change_me(&mut self, change: impl FnOnce(&mut Card)) {
        let before = worth_of(&self.me);
        change(&mut self.me);
        self.parts[part_of(&self.me.peer.name)] ^= before ^ worth_of(&self.me);
    }

    fn datagram(&mut self, kind: Kind) -> Datagram {
        let mut news = Vec::new();
        for _ in 0..self.rumours.len().min(CARDS_IN_A_DATAGRAM) {
            if let Some((card, left)) = self.rumours.pop_front() {
                if left > 1 {
                    self.rumours.push_back((card.clone(), left - 1));
                }
                news.push(card);
            }
        }
        Datagram {
            from: self.me.clone(),
            fleet: self.fleet,
            configuration: self.configuration,
            roster: self.digest(),
            occupancy: self.occupancy.clone(),
            kind,
            news,
        }
    }

    fn send(&mut self, to: SocketAddr, kind: Kind) {
        let datagram = self.datagram(kind);
        self.actions.push(GossipAction::Send { to, datagram });
    }

    fn ping(&mut self, to: SocketAddr) -> u64 {
        let number = self.next_number;
        self.next_number += 1;
        self.send(to, Kind::Ping { number });
        number
    }

    fn spread(&mut self, card: Card) {
        self.rumours.retain(|(rumour, _)| rumour.peer.name != card.peer.name);
        let joins = card.standing == Standing::Alive && self.is_of_many();
        let times = if joins { PASSED_ON } else { 3 + (usize::BITS - self.known.len().leading_zeros()) };
        self.rumours.push_front((card, times));
    }

    /// Weighs a card against what is known, and passes it on where it is news. Returns true when it was.
    fn learn(&mut self, card: Card, now: Moment) -> bool {
        let news = self.take_in(&card, now);
        if news {
            self.spread(card);
        }
        news
    }

    fn take_in(&mut self, card: &Card, now: Moment) -> bool {
        if card.peer.name == self.me.peer.name {
            let own = self.me.peer.incarnation;
            let heard = (card.peer.incarnation, card.standing);
            if heard > (own, self.me.standing) {
                // Somebody holds an earlier life, or a false report: this life speaks up.
                let next = Incarnation(card.peer.incarnation.0.max(own.0) + 1);
                self.change_me(|me| me.peer.incarnation = next);
                let me = self.me.clone();
                self.spread(me);
            }
            return false;
        }
        let name = card.peer.name.clone();
        if let Some(known) = self.known.get_mut(&name) {
            let before = (known.card.peer.incarnation, known.card.standing);
            if (card.peer.incarnation, card.standing) <= before {
                return false;
            }
            if known.card.standing != card.standing {
                known.since = now;
            }
            if known.card.peer.incarnation != card.peer.incarnation {
                known.occupancy = None;
            }
            self.parts[part_of(&name)] ^= worth_of(&known.card) ^ worth_of(card);
            known.card = card.clone();
        } else {
            if card.standing == Standing::Dead {
                return false;
            }
            self.parts[part_of(&name)] ^= worth_of(card);
            self.known.insert(
                name.clone(),
                Known { card: card.clone(), since: now, heard: now, occupancy: None, told: Default::default() },
            );
            let place = self.random.below(self.turn.len() as u64 + 1) as usize;
            self.turn.insert(place, name);
        }
        self.revision += 1;
        true
    }

    pub fn receive(&mut self, from: SocketAddr, datagram: Datagram, now: Moment) -> Vec<GossipAction> {
        let Datagram { from: card, fleet, configuration, roster, occupancy, kind, news } = datagram;
        if card.peer.name == self.me.peer.name {
            return Vec::new();
        }
        let name = card.peer.name.clone();
        self.learn(card.clone(), now);
        if let Some(known) = self.known.get_mut(&name) {
            known.heard = now;
            if known.card.peer.incarnation == card.peer.incarnation {
                known.occupancy = occupancy.map(|occupancy| (occupancy, now));
                known.told = (fleet, configuration);
            }
            if (known.card.peer.incarnation, known.card.standing) > (card.peer.incarnation, card.standing) {
                // It doesn't know what is said of it.
                let report = known.card.clone();
                self.rumours.push_front((report, 1));
            }
        }
        // What came as the answer to a comparison has been passed on by those who had it as news.
        let passed_on = matches!(kind, Kind::Cards) && self.is_of_many();
        for card in news {
            if passed_on && card.standing == Standing::Alive {
                self.take_in(&card, now);
            } else {
                self.learn(card, now);
            }
        }
        if fleet > self.fleet {
            self.actions.push(GossipAction::Ahead { peer: card.peer.clone() });
        }
        let differs = roster != self.digest();
        let answers = matches!(kind, Kind::Cards | Kind::Compare { .. });
        match kind {
            Kind::Ping { number } => self.send(from, Kind::Ack { number }),
            Kind::Ack { number } => {
                let name = &name;
                self.probes.retain(|probe| probe.number != number && probe.name != *name);
                if let Some(at) = self.errands.iter().position(|(own, _, _)| *own == number)
                    && let Some((_, to, theirs)) = self.errands.remove(at)
                {
                    // The card of the node asked about goes along as news.
                    self.rumours.push_front((card, 1));
                    self.send(to, Kind::Ack { number: theirs });
                }
            }
            Kind::SecondOpinion { number, about } => {
                let own = self.ping(about);
                self.errands.push_back((own, from, number));
                if self.errands.len() > 64 {
                    self.errands.pop_front();
                }
            }
            Kind::Compare { parts } => self.tell_parts(from, &parts),
            Kind::Cards => {}
        }
        if differs && !answers && now >= self.next_compare {
            // One at a time: a roster takes the same whether few or many peers differ.
            self.next_compare = now + self.timing.probe;
            let parts = self.parts.to_vec();
            self.send(from, Kind::Compare { parts });
        }
        std::mem::take(&mut self.actions)
    }

    /// Tells the cards of the parts in which another roster differs, the dead among them.
    fn tell_parts(&mut self, to: SocketAddr, theirs: &[u32]) {
        let differs = |name: &NodeName| {
            let part = part_of(name);
            theirs.get(part) != Some(&self.parts[part])
        };
        let known = self.known.values().map(|known| &known.card);
        let cards: Vec<Card> = known.filter(|card| differs(&card.peer.name)).cloned().collect();
        for chunk in cards.chunks(CARDS_IN_A_DATAGRAM) {
            let datagram = Datagram {
                from: self.me.clone(),
                fleet: self.fleet,
                configuration: self.configuration,
                roster: self.digest(),
                occupancy: None,
                kind: Kind::Cards,
                news: chunk.to_vec(),
            };
            self.actions.push(GossipAction::Send { to, datagram });
        }
    }

    pub fn tick(&mut self, now: Moment) -> Vec<GossipAction> {
        self.judge_probes(now);
        self.judge_suspects(now);
        self.tell_if_due(now);
        if now >= self.next_seed {
            let lonely = self.alive(Role::Core).next().is_none();
            self.next_seed = now + if lonely { self.timing.probe } else { self.timing.probe * 8 };
            let known: Vec<SocketAddr> = self
                .known
                .values()
                .filter(|known| known.card.standing == Standing::Alive)
                .map(|known| known.card.peer.address)
                .collect();
            for seed in self.seeds.clone() {
                if seed != self.me.peer.address && !known.contains(&seed) {
                    self.ping(seed);
                }
            }
        }
        if now >= self.next_probe {
            self.next_probe = now + self.timing.probe;
            self.probe_next(now);
        }
        std::mem::take(&mut self.actions)
    }

    fn probe_next(&mut self, now: Moment) {
        let own = self.me.peer.zone.clone();
        let near = |known: &&Known| known.card.peer.zone == own && known.card.standing != Standing::Dead;
        let enough = self.is_of_many() && self.known.values().filter(near).count() >= ENOUGH_NEAR;
        let only_near = enough && self.random.chance(NEAR_SHARE);
        for _ in 0..self.turn.len() {
            let Some(name) = self.turn.pop_front() else { return };
            let Some(known) = self.known.get(&name) else { continue };
            if only_near && known.card.peer.zone != own {
                self.turn.push_back(name);
                continue;
            }
            let (address, standing) = (known.card.peer.address, known.card.standing);
            let dead = standing == Standing::Dead;
            self.turn.push_back(name.clone());
            // The dead are asked now and then: what was cut off comes back.
            if dead && !self.random.chance(0.2) {
                continue;
            }
            if standing == Standing::Suspect {
                // It is told what is said of it.
                let card = known.card.clone();
                self.rumours.push_front((card, 1));
            }
            let number = self.ping(address);
            if !dead {
                self.probes.push(Probe { number, name, at: now, asked_others: false });
            }
            return;
        }
    }

    fn judge_probes(&mut self, now: Moment) {
        let mut probes = std::mem::take(&mut self.probes);
        probes.retain_mut(|probe| {
            let Some(known) = self.known.get(&probe.name) else {
                return false;
            };
            if known.heard > probe.at {
                return false;
            }
            let card = known.card.clone();
            if !probe.asked_others && now.since(probe.at) >= self.timing.patience {
                probe.asked_others = true;
                let name = probe.name.clone();
                let may = |other: &Known| other.card.standing == Standing::Alive && other.card.peer.name != name;
                let (others, _) = self.some(may);
                // One that is near, and one that may see what nobody here does.
                let far = others.get(1..).unwrap_or(&[]);
                let far = far.get(self.random.below(far.len() as u64) as usize).copied();
                for other in others.first().copied().into_iter().chain(far) {
                    self.send(other, Kind::SecondOpinion { number: probe.number, about: card.peer.address });
                }
                self.send(card.peer.address, Kind::Ping { number: probe.number });
                self.actions.push(GossipAction::Knock { peer: card.peer.clone() });
            }
            if now.since(probe.at) < self.timing.patience * 3 {
                return true;
            }
            if card.standing == Standing::Alive {
                let accusation = Card { standing: Standing::Suspect, ..card };
                self.learn(accusation.clone(), now);
                self.confront(accusation);
            }
            false
        });
        self.probes.extend(probes);
    }

    /// Tells a node what is said of it, so that it can speak up.
    fn confront(&mut self, accusation: Card) {
        let to = accusation.peer.address;
        self.rumours.push_front((accusation, 1));
        self.ping(to);
    }

    fn judge_suspects(&mut self, now: Moment) {
        let suspicion = self.suspicion();
        let mut due = Vec::new();
        let mut forgotten = Vec::new();
        let mut confronted = Vec::new();
        for known in self.known.values() {
            let silent = now.since(known.since);
            match known.card.standing {
                // Whoever spoke here since it was suspected is not buried from here.
                Standing::Suspect if silent >= suspicion && known.heard <= known.since => due.push(known.card.clone()),
                Standing::Suspect if silent >= suspicion => confronted.push(known.card.clone()),
                Standing::Leaving if silent >= self.timing.memory => due.push(known.card.clone()),
                Standing::Dead if silent >= self.timing.memory => forgotten.push(known.card.peer.name.clone()),
                _ => {}
            }
        }
        for card in confronted {
            if let Some(known) = self.known.get_mut(&card.peer.name) {
                known.since = now;
            }
            self.confront(card);
        }
        for card in due {
            self.learn(Card { standing: Standing::Dead, ..card }, now);
        }
        for name in forgotten {
            if let Some(known) = self.known.remove(&name) {
                self.parts[part_of(&name)] ^= worth_of(&known.card);
            }
            self.revision += 1;
            self.turn.retain(|other| *other != name);
        }
    }
}
