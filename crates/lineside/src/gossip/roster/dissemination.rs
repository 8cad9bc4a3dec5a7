//! Dissemination: membership updates ride on every datagram, and progress of the fleet state is announced to a few
//! members.

use super::Roster;
use super::member::Member;
use crate::gossip::{Card, Datagram, GossipAction, Kind, Role, Standing};
use std::net::SocketAddr;
use std::time::Duration;
use trackbed::clock::Moment;
use trackbed::ids::Zxid;

/// Membership updates in one datagram.
pub(super) const CARDS_PER_DATAGRAM: usize = 8;
/// Members to which progress of the fleet state is announced.
const FANOUT: usize = 3;
/// Announcements at least so far apart; progress within that time is announced together.
const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_millis(40);
/// The same in a large fleet.
const ANNOUNCEMENT_INTERVAL_LARGE_FLEET: Duration = Duration::from_millis(120);
/// Number of other members from which a fleet counts as large.
const LARGE_FLEET: usize = 48;
/// Number of members in the own zone from which a node prefers them: traffic between zones is expensive.
pub(super) const ENOUGH_IN_ZONE: usize = 10;
/// Times that a node passes on in a large fleet that another is alive. Whoever misses it learns it by a comparison.
const JOIN_TRANSMISSIONS: u32 = 2;
/// Times that a node passes on any other update, beside one for each doubling of the fleet.
const BASE_TRANSMISSIONS: u32 = 3;

/// A membership update that is still to be passed on.
pub(super) struct Update {
    card: Card,
    /// Datagrams that are still to carry it.
    remaining: u32,
}

/// Members in random order, picked for a message.
pub(super) struct Candidates {
    pub(super) addresses: Vec<SocketAddr>,
    /// Whether members of the own zone come first, because there are enough of them.
    pub(super) own_zone_first: bool,
}

impl Roster {
    /// The own fleet state has advanced to `fleet`: a few members are told, at once or together with the progress that
    /// follows shortly after.
    pub fn fleet_moved(&mut self, fleet: Zxid, now: Moment) -> Vec<GossipAction> {
        if fleet > self.fleet {
            self.fleet = fleet;
            self.announcement_pending = true;
            self.announce_if_due(now);
        }
        std::mem::take(&mut self.actions)
    }

    /// Announces this node's leave: to every member, or in a large fleet to those in its zone and to the core nodes,
    /// from which the others learn it.
    pub fn leave(&mut self) -> Vec<GossipAction> {
        self.change_me(|me| me.standing = Standing::Leaving);
        self.revision += 1;
        let (is_large, zone) = (self.is_large_fleet(), self.me.peer.zone.clone());
        let is_direct = |member: &Member| member.card.peer.zone == zone || member.card.peer.role == Role::Core;
        let targets: Vec<SocketAddr> = self
            .members
            .values()
            .filter(|member| member.standing() != Standing::Dead)
            .filter(|member| !is_large || is_direct(member))
            .map(Member::address)
            .collect();
        for to in targets {
            self.ping(to);
        }
        std::mem::take(&mut self.actions)
    }

    pub(super) fn is_large_fleet(&self) -> bool {
        self.members.len() >= LARGE_FLEET
    }

    /// Announces pending progress of the fleet state unless the last announcement was only just made.
    pub(super) fn announce_if_due(&mut self, now: Moment) {
        if !self.announcement_pending || now < self.next_announcement {
            return;
        }
        self.announcement_pending = false;
        let interval = match self.is_large_fleet() {
            true => ANNOUNCEMENT_INTERVAL_LARGE_FLEET,
            false => ANNOUNCEMENT_INTERVAL,
        };
        self.next_announcement = now + interval;
        self.announce();
    }

    fn announce(&mut self) {
        let candidates = self.candidates(|member| member.standing() <= Standing::Leaving);
        let (all, own_zone_first) = (candidates.addresses, candidates.own_zone_first);
        let first = if own_zone_first { FANOUT - 1 } else { FANOUT };
        let mut targets: Vec<SocketAddr> = all.iter().copied().take(first).collect();
        if own_zone_first {
            // One goes to any other member, so that the announcement leaves the zone.
            let rest = &all[targets.len()..];
            targets.extend(rest.get(self.random.below(rest.len() as u64) as usize));
        }
        for to in targets {
            self.ping(to);
        }
    }

    /// Eligible members in random order; those of the own zone first where there are enough of them.
    pub(super) fn candidates(&mut self, is_eligible: impl Fn(&Member) -> bool) -> Candidates {
        let own_zone = self.me.peer.zone.clone();
        let eligible = self.members.values().filter(|member| is_eligible(member));
        let (mut ordered, mut remote): (Vec<&Member>, Vec<&Member>) =
            eligible.partition(|member| member.card.peer.zone == own_zone);
        self.random.shuffle(&mut ordered);
        self.random.shuffle(&mut remote);
        let own_zone_first = ordered.len() >= ENOUGH_IN_ZONE;
        ordered.append(&mut remote);
        let mut addresses: Vec<SocketAddr> = ordered.into_iter().map(Member::address).collect();
        if !own_zone_first {
            self.random.shuffle(&mut addresses);
        }
        Candidates { addresses, own_zone_first }
    }

    /// Queues a card for dissemination, in place of an older one of the same member.
    pub(super) fn disseminate(&mut self, card: Card) {
        self.updates.retain(|update| update.card.peer.name != card.peer.name);
        let is_join = card.standing == Standing::Alive && self.is_large_fleet();
        let remaining = if is_join { JOIN_TRANSMISSIONS } else { BASE_TRANSMISSIONS + self.doublings() };
        self.updates.push_front(Update { card, remaining });
    }

    /// Queues a card for the next datagram only.
    pub(super) fn attach_once(&mut self, card: Card) {
        self.updates.push_front(Update { card, remaining: 1 });
    }

    /// Bits needed to count the members: updates take that many rounds to reach them all.
    pub(super) fn doublings(&self) -> u32 {
        usize::BITS - self.members.len().leading_zeros()
    }

    /// Takes the next updates from the queue; those that are to be sent again go to its end.
    fn next_updates(&mut self) -> Vec<Card> {
        let mut news = Vec::new();
        for _ in 0..self.updates.len().min(CARDS_PER_DATAGRAM) {
            let Some(Update { card, remaining }) = self.updates.pop_front() else { break };
            if remaining > 1 {
                self.updates.push_back(Update { card: card.clone(), remaining: remaining - 1 });
            }
            news.push(card);
        }
        news
    }

    /// Sends a message with the next updates and the own occupancy.
    pub(super) fn send(&mut self, to: SocketAddr, kind: Kind) {
        let news = self.next_updates();
        let datagram = Datagram { occupancy: self.occupancy.clone(), ..self.datagram(kind, news) };
        self.actions.push(GossipAction::Send { to, datagram });
    }

    /// A datagram of this node, without its occupancy.
    pub(super) fn datagram(&self, kind: Kind, news: Vec<Card>) -> Datagram {
        Datagram {
            from: self.me.clone(),
            fleet: self.fleet,
            configuration: self.configuration,
            roster: self.digest.summary(),
            occupancy: None,
            kind,
            news,
        }
    }

    /// Sends a ping and returns its number.
    pub(super) fn ping(&mut self, to: SocketAddr) -> u64 {
        let number = self.next_number;
        self.next_number += 1;
        self.send(to, Kind::Ping { number });
        number
    }
}
