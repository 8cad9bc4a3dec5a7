//! The roster: SWIM-style membership as a pure state machine. Datagrams and ticks go in, actions come out.

mod digest;
mod dissemination;
mod failure_detection;
mod member;
mod membership;
mod receiving;

use super::cards::{Card, Datagram, Occupancy, Peer, Role, Standing};
use digest::Digest;
use dissemination::Update;
use failure_detection::{Probe, RelayedProbe};
use member::Member;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;
use trackbed::clock::Moment;
use trackbed::ids::{ConfigEpoch, NodeName, Zxid};
use trackbed::random::Random;

/// Seeds are contacted once in so many probe intervals, while a core node is known to be alive.
const SEED_INTERVAL_FACTOR: u32 = 8;

/// The intervals of failure detection.
#[derive(Clone, Copy, Debug)]
pub struct RosterTiming {
    /// Time between two probes.
    pub probe: Duration,
    /// Silence after which indirect probes are asked for.
    pub patience: Duration,
    /// How long a silent node is only suspected, in a fleet of up to 15 other nodes.
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

/// What the caller is to do for the roster.
#[derive(Clone, Debug, PartialEq)]
pub enum GossipAction {
    /// Send a datagram.
    Send {
        /// The receiver's address.
        to: SocketAddr,
        /// What to send.
        datagram: Datagram,
    },
    /// Probe a peer over a stream, and [`Roster::vouch`] for it if it replies. It leaves datagrams unanswered, which
    /// are the first to be lost on a congested link.
    Knock {
        /// The silent peer.
        peer: Peer,
    },
    /// A peer's fleet state is ahead of the own.
    Ahead {
        /// The peer that is ahead.
        peer: Peer,
    },
}

/// The members of the fleet as this node knows them.
pub struct Roster {
    me: Card,
    /// The own fleet state.
    fleet: Zxid,
    /// The own configuration.
    configuration: ConfigEpoch,
    /// The occupancy of the endpoint beside this node.
    occupancy: Option<Occupancy>,
    timing: RosterTiming,
    /// Invariant: never holds this node itself.
    members: BTreeMap<NodeName, Member>,
    /// Members in the order of the next probes.
    probe_order: VecDeque<NodeName>,
    probes: Vec<Probe>,
    relayed_probes: VecDeque<RelayedProbe>,
    /// Membership updates that are still to be passed on, the next one first.
    updates: VecDeque<Update>,
    /// Invariant: of all cards in `members`, and of `me`.
    digest: Digest,
    /// The next moment at which a peer may be asked for what differs.
    next_compare: Moment,
    /// The next moment at which progress of the fleet state may be announced.
    next_announcement: Moment,
    announcement_pending: bool,
    seeds: Vec<SocketAddr>,
    next_probe: Moment,
    next_seed: Moment,
    /// The number of the next ping.
    next_number: u64,
    random: Random,
    revision: u64,
    /// Actions not returned yet.
    actions: Vec<GossipAction>,
}

impl Roster {
    /// A roster that knows of no other node than `me`, and finds the first ones at the seeds.
    pub fn new(me: Peer, seeds: Vec<SocketAddr>, timing: RosterTiming, random: Random, now: Moment) -> Self {
        let me = Card { peer: me, standing: Standing::Alive };
        let mut digest = Digest::new();
        digest.toggle(&me);
        Self {
            me,
            fleet: Zxid::ZERO,
            configuration: ConfigEpoch::default(),
            occupancy: None,
            timing,
            members: BTreeMap::new(),
            probe_order: VecDeque::new(),
            probes: Vec::new(),
            relayed_probes: VecDeque::new(),
            updates: VecDeque::new(),
            digest,
            next_compare: now,
            next_announcement: now,
            announcement_pending: false,
            seeds,
            next_probe: now,
            next_seed: now,
            next_number: 1,
            random,
            revision: 0,
            actions: Vec::new(),
        }
    }

    /// Replaces the addresses at which first members are looked for.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
    }

    /// Sets the occupancy that is reported of the endpoint beside this node.
    pub fn set_occupancy(&mut self, occupancy: Option<Occupancy>) {
        self.occupancy = occupancy;
    }

    /// Sets the configuration that is reported to be in force here.
    pub fn set_configuration(&mut self, configuration: ConfigEpoch) {
        self.configuration = configuration;
    }

    /// The fleet state and the configuration that a member last reported.
    pub fn told_by(&self, name: &NodeName) -> Option<(Zxid, ConfigEpoch)> {
        self.members.get(name).map(|member| member.progress)
    }

    /// A number that rises whenever the roster changes.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Whether this node announced its leave.
    pub fn is_leaving(&self) -> bool {
        self.me.standing == Standing::Leaving
    }

    /// This node.
    pub fn me(&self) -> &Peer {
        &self.me.peer
    }

    /// The cards of all members that are not forgotten yet, the dead among them.
    pub fn cards(&self) -> impl Iterator<Item = &Card> {
        self.members.values().map(|member| &member.card)
    }

    /// The standing of a member.
    pub fn standing(&self, name: &NodeName) -> Option<Standing> {
        self.members.get(name).map(Member::standing)
    }

    /// The address of a member.
    pub fn address_of(&self, name: &NodeName) -> Option<SocketAddr> {
        self.members.get(name).map(Member::address)
    }

    /// The occupancy that a member last reported of its endpoint, and when.
    pub fn occupancy_of(&self, name: &NodeName) -> Option<&(Occupancy, Moment)> {
        self.members.get(name)?.occupancy.as_ref()
    }

    /// The members of a role that are alive, those merely suspected among them.
    pub fn alive(&self, role: Role) -> impl Iterator<Item = &Peer> {
        self.cards()
            .filter(move |card| card.peer.role == role && card.standing <= Standing::Suspect)
            .map(|card| &card.peer)
    }

    /// Does what is due at `now`. To be called several times in each of the intervals of [`RosterTiming`].
    pub fn tick(&mut self, now: Moment) -> Vec<GossipAction> {
        self.check_probes(now);
        self.check_suspects(now);
        self.announce_if_due(now);
        if now >= self.next_seed {
            self.contact_seeds(now);
        }
        if now >= self.next_probe {
            self.next_probe = now + self.timing.probe;
            self.probe_next(now);
        }
        std::mem::take(&mut self.actions)
    }

    /// Pings the seeds that are not known to be alive: more often while no core node is.
    fn contact_seeds(&mut self, now: Moment) {
        let has_core = self.alive(Role::Core).next().is_some();
        let interval = if has_core { self.timing.probe * SEED_INTERVAL_FACTOR } else { self.timing.probe };
        self.next_seed = now + interval;
        let alive = self.members.values().filter(|member| member.standing() == Standing::Alive);
        let known: Vec<SocketAddr> = alive.map(Member::address).collect();
        for seed in self.seeds.clone() {
            if seed != self.me.peer.address && !known.contains(&seed) {
                self.ping(seed);
            }
        }
    }
}
