//! Failure detection after SWIM (Das, Gupta and Motivala, 2002): direct probes, then indirect probes through other
//! members, then suspicion, which the suspect can refute, before a member is declared dead.

use super::Roster;
use super::dissemination::{Candidates, ENOUGH_IN_ZONE};
use super::member::Member;
use crate::gossip::{Card, GossipAction, Kind, Standing};
use std::net::SocketAddr;
use std::time::Duration;
use trackbed::clock::Moment;
use trackbed::ids::NodeName;

/// Share of probes that stay in the own zone when it has enough members.
const OWN_ZONE_SHARE: f64 = 0.67;
/// Probability that a dead member is probed in its turn: one that was partitioned off comes back.
const DEAD_PROBE_PROBABILITY: f64 = 0.2;
/// A probe fails when it is unanswered after so many times the patience.
const PROBE_FAILURE_FACTOR: u32 = 3;
/// The suspicion time is the configured one while so many bits count the other members, and grows with their number.
const SUSPICION_BASE_DOUBLINGS: u32 = 4;
/// Indirect probes that are remembered for other nodes at once.
const RELAYED_PROBES_LIMIT: usize = 64;

/// A probe that is still unanswered.
#[derive(Clone, Debug)]
pub(super) struct Probe {
    number: u64,
    target: NodeName,
    sent_at: Moment,
    /// Whether other members were asked to probe the target too.
    is_indirect: bool,
}

/// An indirect probe that this node makes for another.
pub(super) struct RelayedProbe {
    number: u64,
    requester: SocketAddr,
    /// The number of the requester's own probe.
    requester_number: u64,
}

impl Roster {
    /// That member answered just now, in whatever way.
    pub fn vouch(&mut self, name: &NodeName, now: Moment) {
        if let Some(member) = self.members.get_mut(name) {
            member.last_seen = now;
        }
    }

    /// Probes the next member whose turn it is.
    pub(super) fn probe_next(&mut self, now: Moment) {
        let own_zone = self.me.peer.zone.clone();
        let only_own_zone = self.has_enough_in_zone() && self.random.chance(OWN_ZONE_SHARE);
        for _ in 0..self.probe_order.len() {
            let Some(name) = self.probe_order.pop_front() else { return };
            let Some(member) = self.members.get(&name) else { continue };
            self.probe_order.push_back(name.clone());
            if only_own_zone && member.card.peer.zone != own_zone {
                continue;
            }
            if member.standing() == Standing::Dead && !self.random.chance(DEAD_PROBE_PROBABILITY) {
                continue;
            }
            let card = member.card.clone();
            self.probe(card, now);
            return;
        }
    }

    fn has_enough_in_zone(&self) -> bool {
        let own_zone = &self.me.peer.zone;
        let in_zone = |member: &&Member| member.card.peer.zone == *own_zone && member.standing() != Standing::Dead;
        self.is_large_fleet() && self.members.values().filter(in_zone).count() >= ENOUGH_IN_ZONE
    }

    fn probe(&mut self, card: Card, now: Moment) {
        let (target, address, standing) = (card.peer.name.clone(), card.peer.address, card.standing);
        if standing == Standing::Suspect {
            // The suspect learns of the suspicion with the probe, and can refute it.
            self.attach_once(card);
        }
        let number = self.ping(address);
        if standing != Standing::Dead {
            self.probes.push(Probe { number, target, sent_at: now, is_indirect: false });
        }
    }

    /// Takes the acknowledgement of a probe: an own one, or one made for another node.
    pub(super) fn on_ack(&mut self, from: Card, number: u64) {
        self.probes.retain(|probe| probe.number != number && probe.target != from.peer.name);
        let place = self.relayed_probes.iter().position(|relayed| relayed.number == number);
        if let Some(relayed) = place.and_then(|place| self.relayed_probes.remove(place)) {
            // The card of the member that answered goes along as an update.
            self.attach_once(from);
            self.send(relayed.requester, Kind::Ack { number: relayed.requester_number });
        }
    }

    /// Probes `target` for another node.
    pub(super) fn relay_probe(&mut self, requester: SocketAddr, requester_number: u64, target: SocketAddr) {
        let number = self.ping(target);
        self.relayed_probes.push_back(RelayedProbe { number, requester, requester_number });
        if self.relayed_probes.len() > RELAYED_PROBES_LIMIT {
            self.relayed_probes.pop_front();
        }
    }

    /// Follows up the probes that are unanswered: with indirect probes, then with a suspicion.
    pub(super) fn check_probes(&mut self, now: Moment) {
        let mut probes = std::mem::take(&mut self.probes);
        probes.retain_mut(|probe| self.is_pending(probe, now));
        self.probes.extend(probes);
    }

    /// Follows up one probe. Returns whether its answer is still awaited.
    fn is_pending(&mut self, probe: &mut Probe, now: Moment) -> bool {
        let Some(member) = self.members.get(&probe.target) else { return false };
        if member.last_seen > probe.sent_at {
            return false;
        }
        let card = member.card.clone();
        let silence = now.since(probe.sent_at);
        if !probe.is_indirect && silence >= self.timing.patience {
            probe.is_indirect = true;
            self.probe_indirectly(probe, &card);
        }
        if silence < self.timing.patience * PROBE_FAILURE_FACTOR {
            return true;
        }
        if card.standing == Standing::Alive {
            let suspicion = Card { standing: Standing::Suspect, ..card };
            self.learn(suspicion.clone(), now);
            self.notify_suspect(suspicion);
        }
        false
    }

    /// Has a silent member probed by two others, probes it once more, and asks for a probe over a stream.
    fn probe_indirectly(&mut self, probe: &Probe, card: &Card) {
        let name = probe.target.clone();
        let is_eligible = |other: &Member| other.standing() == Standing::Alive && other.card.peer.name != name;
        let Candidates { addresses, .. } = self.candidates(is_eligible);
        // One that is near, and one that may reach what no member near here does.
        let rest = addresses.get(1..).unwrap_or(&[]);
        let other = rest.get(self.random.below(rest.len() as u64) as usize).copied();
        for relay in addresses.first().copied().into_iter().chain(other) {
            self.send(relay, Kind::SecondOpinion { number: probe.number, about: card.peer.address });
        }
        self.send(card.peer.address, Kind::Ping { number: probe.number });
        self.actions.push(GossipAction::Knock { peer: card.peer.clone() });
    }

    /// Tells a member that it is suspected, so that it can refute it.
    fn notify_suspect(&mut self, suspicion: Card) {
        let to = suspicion.peer.address;
        self.attach_once(suspicion);
        self.ping(to);
    }

    /// How long a silent member is only suspected: a refutation takes longer in a large fleet.
    fn suspicion_time(&self) -> Duration {
        let doublings = self.doublings().max(SUSPICION_BASE_DOUBLINGS);
        self.timing.suspicion * doublings / SUSPICION_BASE_DOUBLINGS
    }

    /// Declares suspects dead whose time is over, and forgets members that have been dead for long.
    pub(super) fn check_suspects(&mut self, now: Moment) {
        let suspicion_time = self.suspicion_time();
        let mut dead = Vec::new();
        let mut forgotten = Vec::new();
        let mut doubtful = Vec::new();
        for member in self.members.values() {
            let elapsed = now.since(member.since);
            let was_seen = member.last_seen > member.since;
            match member.standing() {
                // A suspect that gave a sign of life here since is not declared dead from here.
                Standing::Suspect if elapsed >= suspicion_time && was_seen => doubtful.push(member.card.clone()),
                Standing::Suspect if elapsed >= suspicion_time => dead.push(member.card.clone()),
                Standing::Leaving if elapsed >= self.timing.memory => dead.push(member.card.clone()),
                Standing::Dead if elapsed >= self.timing.memory => forgotten.push(member.card.peer.name.clone()),
                _ => {}
            }
        }
        for card in doubtful {
            self.renew_suspicion(card, now);
        }
        for card in dead {
            self.learn(Card { standing: Standing::Dead, ..card }, now);
        }
        for name in forgotten {
            self.forget(&name);
        }
    }

    fn renew_suspicion(&mut self, card: Card, now: Moment) {
        if let Some(member) = self.members.get_mut(&card.peer.name) {
            member.since = now;
        }
        self.notify_suspect(card);
    }
}
