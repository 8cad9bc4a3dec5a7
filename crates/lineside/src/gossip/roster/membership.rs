//! Merging of cards into the membership table, by incarnation and standing.

use super::Roster;
use super::member::Member;
use crate::gossip::{Card, Standing};
use trackbed::clock::Moment;
use trackbed::ids::{Incarnation, NodeName};

impl Roster {
    /// Merges a card and, where it was news, disseminates it. Returns whether it was.
    pub(super) fn learn(&mut self, card: Card, now: Moment) -> bool {
        let is_news = self.merge(&card, now);
        if is_news {
            self.disseminate(card);
        }
        is_news
    }

    /// Merges a card into the table. Returns whether it was news: of two cards of a member the one with the higher
    /// incarnation counts, then the one with the later standing.
    pub(super) fn merge(&mut self, card: &Card, now: Moment) -> bool {
        if card.peer.name == self.me.peer.name {
            self.refute(card);
            return false;
        }
        let is_news = match self.members.contains_key(&card.peer.name) {
            true => self.update_member(card, now),
            false => self.add_member(card, now),
        };
        if is_news {
            self.revision += 1;
        }
        is_news
    }

    /// Raises the own incarnation above that of a card which says otherwise of this node than this node does: a card
    /// of an earlier life, or a false suspicion.
    fn refute(&mut self, card: &Card) {
        let own = self.me.peer.incarnation;
        if (card.peer.incarnation, card.standing) <= (own, self.me.standing) {
            return;
        }
        let next = Incarnation(card.peer.incarnation.0.max(own.0) + 1);
        self.change_me(|me| me.peer.incarnation = next);
        self.disseminate(self.me.clone());
    }

    fn update_member(&mut self, card: &Card, now: Moment) -> bool {
        let Some(member) = self.members.get_mut(&card.peer.name) else { return false };
        let known = (member.card.peer.incarnation, member.card.standing);
        if (card.peer.incarnation, card.standing) <= known {
            return false;
        }
        if member.card.standing != card.standing {
            member.since = now;
        }
        if member.card.peer.incarnation != card.peer.incarnation {
            member.occupancy = None;
        }
        self.digest.toggle(&member.card);
        self.digest.toggle(card);
        member.card = card.clone();
        true
    }

    /// Adds a member that is not dead, at a random place in the order of probes.
    fn add_member(&mut self, card: &Card, now: Moment) -> bool {
        if card.standing == Standing::Dead {
            return false;
        }
        let name = card.peer.name.clone();
        self.digest.toggle(card);
        self.members.insert(name.clone(), Member::new(card.clone(), now));
        let place = self.random.below(self.probe_order.len() as u64 + 1) as usize;
        self.probe_order.insert(place, name);
        true
    }

    /// Removes a member from the table.
    pub(super) fn forget(&mut self, name: &NodeName) {
        if let Some(member) = self.members.remove(name) {
            self.digest.toggle(&member.card);
        }
        self.revision += 1;
        self.probe_order.retain(|other| other != name);
    }

    /// Changes the own card and the digest with it.
    pub(super) fn change_me(&mut self, change: impl FnOnce(&mut Card)) {
        self.digest.toggle(&self.me);
        change(&mut self.me);
        self.digest.toggle(&self.me);
    }
}
