//! Members that come and go: the primary tends the voters, machines are added, and members leave in order.

use crate::world::{Event, Host, World};
use interlocking::zab::{Image, Timing, Voter};
use signalbox::replica::membership::{
    Departing, Departure, DepartureStep, HAND_OVER_PAUSE, HandOver, HandOverStep, TEND_EVERY, next_voters,
};
use std::collections::BTreeMap;
use std::time::Duration;
use trackbed::ids::{MemberId, Zxid};

/// Between the last words of a member that leaves and the end of its process.
const LAST_WORDS: Duration = Duration::from_millis(60);
/// Silence after which the rule of before let a voter go.
const DROPPED_AFTER: Duration = Duration::from_secs(4);

/// Which voters the primary proposes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum VoterRule {
    /// Those in force, whatever happens.
    #[default]
    Fixed,
    /// What the node decides.
    AsDecided,
    /// As decided, and besides a voter silent for 4 s is let go: the rule of before.
    DropSilent,
    /// Broken: newcomers join, and no silent voter is let go for them.
    KeepLost,
    /// Broken: a member that was let go is a newcomer again until its process ends.
    ForgetLeavers,
}

/// How a member leaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LeaveRule {
    #[default]
    HandOver,
    /// Broken: it ends at once.
    AtOnce,
}

/// How a member's hand-over ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HandOverEnd {
    /// The primary released it.
    Released,
    /// It had no vote, or ended without a hand-over.
    NotNeeded,
    GaveUp,
}

/// A member's own hand-over under way.
pub struct Leaving {
    hand_over: HandOver,
    /// Counts the asks, so that a late answer is told from the one waited for.
    asked: u64,
}

/// Whom the primary tells that a member may end.
#[derive(Clone, Copy)]
pub struct Leaver {
    pub host: Host,
    pub life: u32,
    pub member: MemberId,
    pub asked: u64,
}

/// Hand-overs that a primary sees to.
#[derive(Default)]
pub struct Departures {
    under_way: BTreeMap<u64, (Departure, Leaver)>,
}

impl World {
    /// Adds a machine with an empty disk at an address of its own, and starts a member there.
    pub fn add_machine(&mut self) -> Host {
        let id = MemberId(self.random.draw() | 1);
        let host = self.push_member(Image::empty(id, Vec::new()), Timing::default());
        self.refresh_contacts();
        for client in &mut self.clients {
            client.reach_also(host);
        }
        self.start(host);
        host
    }

    /// Power and disk are lost, and nobody starts here again.
    pub fn lose_for_good(&mut self, host: Host) {
        self.wipe(host);
        for client in &mut self.clients {
            client.reach_no_more(host);
        }
    }

    /// Broken: power and disk are lost, and whoever starts here next has the id and the vote of before.
    pub fn forget(&mut self, host: Host) {
        let (member, voters) = (self.image(host).member, self.image(host).snapshot.voters.clone());
        self.wipe(host);
        self.set_image(host, Image::empty(member, voters));
    }

    /// The committed voters at the primary, by their machines; empty while there is none, or a change is under way.
    pub fn voting_hosts(&self) -> Vec<Host> {
        let Some(primary) = self.primary() else { return Vec::new() };
        let zab = self.replica(primary).zab().borrow();
        match zab.voters_change_pending() {
            true => Vec::new(),
            false => (0..self.member_count()).filter(|host| self.is_voter_in(*host, zab.voters())).collect(),
        }
    }

    /// Whether the committed voters at the primary are the members on these machines and nobody else.
    pub fn voters_are(&self, hosts: &[Host]) -> bool {
        let Some(primary) = self.primary() else { return false };
        let zab = self.replica(primary).zab().borrow();
        let are_voters = hosts.iter().all(|host| self.is_voter_in(*host, zab.voters()));
        !zab.voters_change_pending() && zab.voters().len() == hosts.len() && are_voters
    }

    /// The last transaction that a member's disk holds.
    pub fn last_durable(&self, host: Host) -> Zxid {
        let image = self.image(host);
        image.entries.last().map_or(image.snapshot.zxid, |entry| entry.zxid)
    }

    /// The last transaction committed at a member that is up.
    pub fn last_committed(&self, host: Host) -> Zxid {
        self.replica(host).zab().borrow().delivered()
    }

    /// Tells a member to end in order.
    pub fn leave(&mut self, host: Host) {
        if self.leave_rule == LeaveRule::AtOnce {
            return self.retire(host, HandOverEnd::NotNeeded);
        }
        let member = self.image(host).member;
        let hand_over = HandOver::begin(member, self.clock(host));
        *self.leaving(host) = Some(Leaving { hand_over, asked: 0 });
        self.step_hand_over(host);
    }

    /// Makes the next change of the voters at a primary, where one is due.
    pub fn tend_voters(&mut self, host: Host) {
        let now = self.clock(host);
        if self.voter_rule == VoterRule::Fixed || now < *self.next_tend(host) {
            return;
        }
        *self.next_tend(host) = now + TEND_EVERY;
        if let Some(wanted) = self.wanted_voters(host) {
            self.change_voters(host, wanted);
        }
    }

    fn wanted_voters(&self, host: Host) -> Option<Vec<Voter>> {
        let now = self.clock(host);
        let zab = self.replica(host).zab().borrow();
        if !zab.is_primary() || zab.voters_change_pending() {
            return None;
        }
        let voters = zab.voters();
        let without = |gone: &Voter| voters.iter().filter(|voter| *voter != gone).cloned().collect();
        match self.voter_rule {
            VoterRule::DropSilent if voters.len() > 3 => {
                let dropped = zab.silent_voters(DROPPED_AFTER).first().map(without);
                dropped.or_else(|| self.replica(host).next_voters(self.needed_voters, now))
            }
            VoterRule::KeepLost => {
                let newcomer = zab.caught_up_learners().into_iter().next()?;
                Some(voters.iter().cloned().chain([newcomer]).collect())
            }
            VoterRule::ForgetLeavers => next_voters(&zab, &Departing::default(), self.needed_voters, now),
            _ => self.replica(host).next_voters(self.needed_voters, now),
        }
    }

    fn change_voters(&mut self, host: Host, voters: Vec<Voter>) {
        self.advance(host, |replica, now| {
            let actions = replica.zab().borrow_mut().propose_voters(voters, now);
            replica.advance(actions.unwrap_or_default(), now)
        });
    }

    /// The next step of a member's own hand-over.
    pub fn step_hand_over(&mut self, host: Host) {
        let now = self.clock(host);
        let (primary, is_voter) = {
            let zab = self.replica(host).zab().borrow();
            (zab.primary(), zab.is_voter())
        };
        let (life, member) = (self.life(host), self.image(host).member);
        let Some(leaving) = self.leaving(host) else { return };
        leaving.asked += 1;
        let leaver = Leaver { host, life, member, asked: leaving.asked };
        match leaving.hand_over.next(primary, is_voter, now) {
            HandOverStep::ReleaseHere { limit } => self.begin_departure(host, leaver, limit),
            HandOverStep::AskPrimary { primary, limit } => self.ask_for_release(leaver, &primary, limit),
            HandOverStep::Wait => self.schedule(HAND_OVER_PAUSE, Event::HandOverStep { host, life }),
            HandOverStep::NotNeeded => self.retire(host, HandOverEnd::NotNeeded),
            HandOverStep::GiveUp => self.retire(host, HandOverEnd::GaveUp),
        }
    }

    fn ask_for_release(&mut self, leaver: Leaver, primary: &Voter, limit: Duration) {
        if let Some(to) = self.host_at(primary.address) {
            self.send(leaver.host, to, Event::ReleaseAsked { host: to, leaver, limit });
        }
        self.schedule(limit, Event::ReleaseAnswered { leaver, is_released: false });
    }

    /// At the primary: begins to see to a member's departure.
    pub fn begin_departure(&mut self, host: Host, leaver: Leaver, limit: Duration) {
        let now = self.clock(host);
        let departure = self.replica_mut(host).begin_departure(leaver.member, limit, now);
        let number = self.next_place();
        self.departures(host).under_way.insert(number, (departure, leaver));
        self.step_departure(host, number);
    }

    /// The next step of what the primary does about a member's departure.
    pub fn step_departure(&mut self, host: Host, number: u64) {
        let now = self.clock(host);
        let needed = self.needed_voters;
        let Some((departure, leaver)) = self.departures(host).under_way.remove(&number) else { return };
        let step = departure.next(&self.replica(host).zab().borrow(), needed, now);
        let is_released = match step {
            DepartureStep::Released => true,
            DepartureStep::NotReleased => false,
            DepartureStep::ChangeVoters(_) | DepartureStep::Wait => {
                self.departures(host).under_way.insert(number, (departure, leaver));
                if let DepartureStep::ChangeVoters(voters) = step {
                    self.change_voters(host, voters);
                }
                let life = self.life(host);
                return self.schedule(HAND_OVER_PAUSE, Event::DepartureStep { host, life, number });
            }
        };
        let answer = Event::ReleaseAnswered { leaver, is_released };
        match leaver.host == host {
            true => self.schedule(Duration::ZERO, answer),
            false => {
                self.send(host, leaver.host, answer);
            }
        }
    }

    /// The primary's answer came to a member that leaves, or the wait for it ended.
    pub fn release_answered(&mut self, leaver: Leaver, is_released: bool) {
        let Leaver { host, life, asked, .. } = leaver;
        if self.leaving(host).as_ref().is_none_or(|leaving| leaving.asked != asked) {
            return;
        }
        match is_released {
            true => self.retire(host, HandOverEnd::Released),
            false => self.schedule(HAND_OVER_PAUSE, Event::HandOverStep { host, life }),
        }
    }

    fn retire(&mut self, host: Host, end: HandOverEnd) {
        *self.leaving(host) = None;
        self.hand_over_ends.insert(host, end);
        self.advance(host, |replica, now| {
            let actions = replica.zab().borrow_mut().retire(now);
            replica.advance(actions, now)
        });
        let life = self.life(host);
        self.schedule(LAST_WORDS, Event::ProcessEnds { host, life });
    }

    fn is_voter_in(&self, host: Host, voters: &[Voter]) -> bool {
        let member = self.image(host).member;
        voters.iter().any(|voter| voter.id == member)
    }
}
