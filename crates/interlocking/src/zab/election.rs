//! The oracle that names a leader: members tell how far they are, and the furthest of a quorum leads.

use super::history::Voter;
use super::leading::Leading;
use super::messages::{Message, PollState};
use super::node::{Heard, Role, Zab};
use std::time::Duration;
use trackbed::ids::{MemberId, ZabEpoch, Zxid};

const POLL_EVERY: Duration = Duration::from_millis(90);
/// How long what a member said of itself counts.
const POLL_FRESH: Duration = Duration::from_millis(500);
/// How long a bare quorum waits for the other voters to speak.
const POLL_PAUSE: Duration = Duration::from_millis(120);

impl Zab {
    pub(super) fn own_poll(&self) -> Message {
        let state = match &self.role {
            Role::Leading(leading) if leading.is_established() => PollState::Leading,
            Role::Following(following) if following.is_in_step(self.current) => {
                PollState::Following(following.leader.clone())
            }
            Role::Leading(_) => PollState::Electing,
            _ => PollState::Looking,
        };
        Message::Poll { promised: self.promised, current: self.current, last: self.history.last(), state }
    }

    pub(super) fn on_poll(&mut self, heard: Heard, asked_by_address: bool) {
        let from = heard.voter.clone();
        self.weigh_lease(&heard);
        if self.is_leader_lost(&heard) {
            self.look();
        }
        if heard.state == PollState::Retired {
            self.polls.remove(&from.id);
            self.gone = Some((from.id, heard.promised));
            return;
        }
        // Only a member that knows a leader answers, or one asked by its address alone: an answer
        // never calls for another, or there would be no end to them.
        let poll = self.own_poll();
        let knows = matches!(poll, Message::Poll { state: PollState::Leading | PollState::Following(_), .. });
        let seeks = matches!(heard.state, PollState::Looking | PollState::Electing);
        if seeks && (knows || asked_by_address) {
            self.send(from.clone(), poll);
        }
        if !matches!(self.role, Role::Looking { .. }) {
            return;
        }
        match &heard.state {
            PollState::Leading if heard.current >= self.current => self.follow(from),
            // Whether it has a quorum is its own count to make: this member's list of voters may be old.
            PollState::Electing if (heard.current, heard.last) >= self.standing() => self.follow(from),
            PollState::Following(leader) if heard.current >= self.current && leader.id != self.me.id => {
                // Asked for itself: what it says of its state is what counts.
                let (leader, poll) = (leader.clone(), self.own_poll());
                self.send(leader, poll);
            }
            _ => {
                self.polls.insert(from.id, heard);
            }
        }
    }

    /// True when the leader that this member follows has given up, started anew, or seeks a quorum again.
    fn is_leader_lost(&self, heard: &Heard) -> bool {
        let Role::Following(following) = &self.role else { return false };
        if following.leader.id != heard.voter.id {
            return false;
        }
        match heard.state {
            PollState::Looking | PollState::Retired => true,
            // A poll of before the epoch in step bears an earlier promise.
            PollState::Electing => following.is_in_step(self.current) && heard.promised >= self.current,
            PollState::Following(_) | PollState::Leading => false,
        }
    }

    /// A lease given is void once the leader it was given to is seen not to lead any more. After a
    /// restart nobody knows whom the last life gave one: then every other voter must be seen so.
    ///
    /// A poll of before the lease is told apart by its promise, which is below the lease's epoch;
    /// one that reached this life of the process was sent after all leases of the last.
    fn weigh_lease(&mut self, heard: &Heard) {
        if !matches!(heard.state, PollState::Looking | PollState::Retired)
            || heard.promised < self.current
            || self.now >= self.lease_given.1
        {
            return;
        }
        let void = if self.lease_given.0 == MemberId(0) {
            self.seen_idle.insert(heard.voter.id);
            let me = self.me.id;
            self.voters().iter().all(|voter| voter.id == me || self.seen_idle.contains(&voter.id))
        } else {
            self.lease_given.0 == heard.voter.id
        };
        if void {
            log::info!("the promise to {} ends early: {} is {:?}", self.lease_given.0, heard.voter.id, heard.state);
            self.lease_given.1 = self.now;
        }
    }

    pub(super) fn tick_looking(&mut self) {
        let now = self.now;
        if now >= self.next_poll {
            self.next_poll = now + POLL_EVERY;
            let poll = self.own_poll();
            let voters: Vec<Voter> = self.voters().iter().filter(|voter| voter.id != self.me.id).cloned().collect();
            for voter in &voters {
                self.send(voter.clone(), poll.clone());
            }
            // Whoever seeks and is not known as a voter here may be one by a later change: a new disk at the address of
            // a lost one hears nothing that is meant for the lost.
            let me = self.me.id;
            let unknown = |other: &&Voter| other.id != me && !voters.iter().any(|voter| voter.id == other.id);
            let heard: Vec<Voter> = self.polls.values().map(|heard| &heard.voter).filter(unknown).cloned().collect();
            for other in heard {
                self.send(other, poll.clone());
            }
            for address in self.contacts.clone() {
                if address != self.me.address && !voters.iter().any(|voter| voter.address == address) {
                    self.send(Voter { id: MemberId(0), address }, poll.clone());
                }
            }
        }
        self.polls.retain(|_, heard| now.since(heard.at) < POLL_FRESH);
        let Role::Looking { since } = self.role else { return };
        if !self.is_voter() {
            return;
        }
        let mut best = (self.current, self.history.last(), self.me.id, None);
        let mut count = 1;
        let mut promised = self.promised;
        for voter in self.voters() {
            if let Some(heard) = self.polls.get(&voter.id) {
                count += 1;
                promised = promised.max(heard.promised);
                if (heard.current, heard.last, voter.id) > (best.0, best.1, best.2) {
                    best = (heard.current, heard.last, voter.id, Some(heard.voter.clone()));
                }
            }
        }
        let everyone = count == self.voters().len();
        if count < self.quorum() || (!everyone && now.since(since) < POLL_PAUSE) {
            return;
        }
        match best.3 {
            Some(leader) => self.follow(leader),
            None => self.lead(promised),
        }
    }

    pub(super) fn follow(&mut self, leader: Voter) {
        self.begin_attempt(leader);
    }

    fn lead(&mut self, promised: ZabEpoch) {
        self.role = Role::Leading(Box::new(Leading::new(self.now, promised)));
        self.try_new_epoch();
    }

    /// How far a member is, as the election compares it.
    pub(super) fn standing(&self) -> (ZabEpoch, Zxid) {
        (self.current, self.history.last())
    }
}
