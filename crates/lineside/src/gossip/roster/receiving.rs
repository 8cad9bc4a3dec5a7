//! Received datagrams, and the comparison of tables that repairs what dissemination missed.

use super::Roster;
use super::dissemination::CARDS_PER_DATAGRAM;
use crate::gossip::{Card, Datagram, GossipAction, Kind, Occupancy, Standing};
use std::net::SocketAddr;
use trackbed::clock::Moment;
use trackbed::ids::{ConfigEpoch, Zxid};

impl Roster {
    /// Takes a datagram that came from the address `from`, and returns what is to be done about it.
    pub fn receive(&mut self, from: SocketAddr, datagram: Datagram, now: Moment) -> Vec<GossipAction> {
        let Datagram { from: card, fleet, configuration, roster, occupancy, kind, news } = datagram;
        if card.peer.name == self.me.peer.name {
            return Vec::new();
        }
        self.learn(card.clone(), now);
        self.record_sender(&card, (fleet, configuration), occupancy, now);
        // Whoever had the cards of a comparison as news has passed them on.
        let already_disseminated = matches!(kind, Kind::Cards) && self.is_large_fleet();
        self.learn_updates(news, already_disseminated, now);
        if fleet > self.fleet {
            self.actions.push(GossipAction::Ahead { peer: card.peer.clone() });
        }
        let differs = roster != self.digest.summary();
        let is_comparison = matches!(kind, Kind::Cards | Kind::Compare { .. });
        self.handle(from, card, kind);
        if differs && !is_comparison {
            self.compare_if_due(from, now);
        }
        std::mem::take(&mut self.actions)
    }

    /// Records that the sender is there, and what it reported of itself.
    fn record_sender(&mut self, card: &Card, progress: (Zxid, ConfigEpoch), occupancy: Option<Occupancy>, now: Moment) {
        let Some(member) = self.members.get_mut(&card.peer.name) else { return };
        member.last_seen = now;
        if member.card.peer.incarnation == card.peer.incarnation {
            member.occupancy = occupancy.map(|occupancy| (occupancy, now));
            member.progress = progress;
        }
        if (member.card.peer.incarnation, member.card.standing) > (card.peer.incarnation, card.standing) {
            // The sender does not know what is said of it, and may want to refute it.
            let newer = member.card.clone();
            self.attach_once(newer);
        }
    }

    fn learn_updates(&mut self, news: Vec<Card>, already_disseminated: bool, now: Moment) {
        for card in news {
            if already_disseminated && card.standing == Standing::Alive {
                self.merge(&card, now);
            } else {
                self.learn(card, now);
            }
        }
    }

    fn handle(&mut self, from: SocketAddr, card: Card, kind: Kind) {
        match kind {
            Kind::Ping { number } => self.send(from, Kind::Ack { number }),
            Kind::Ack { number } => self.on_ack(card, number),
            Kind::SecondOpinion { number, about } => self.relay_probe(from, number, about),
            Kind::Compare { parts } => self.send_differing_cards(from, &parts),
            Kind::Cards => {}
        }
    }

    /// Asks a node whose table differs for the cards. One comparison at a time bounds the cost, however many differ.
    fn compare_if_due(&mut self, to: SocketAddr, now: Moment) {
        if now < self.next_compare {
            return;
        }
        self.next_compare = now + self.timing.probe;
        let parts = self.digest.buckets();
        self.send(to, Kind::Compare { parts });
    }

    /// Sends the cards, those of dead members too, of the buckets in which another node's table differs.
    fn send_differing_cards(&mut self, to: SocketAddr, buckets: &[u32]) {
        let cards = self.members.values().map(|member| &member.card);
        let differing = cards.filter(|card| self.digest.differs_for(&card.peer.name, buckets));
        let differing: Vec<Card> = differing.cloned().collect();
        for chunk in differing.chunks(CARDS_PER_DATAGRAM) {
            let datagram = self.datagram(Kind::Cards, chunk.to_vec());
            self.actions.push(GossipAction::Send { to, datagram });
        }
    }
}
