//! The lease: a pure state machine over asks, answers and the steady clock.

use super::messages::{Fence, Grant, GrantAsk};
use std::collections::BTreeSet;
use std::time::Duration;
use timetable::fleet::{Charter, Member};
use trackbed::clock::Moment;
use trackbed::ids::NodeName;

#[derive(Clone, Copy, Debug)]
pub struct CouncilTiming {
    /// Silence of the core after which a region may choose a coordinator.
    pub out_of_touch: Duration,
    /// How long a grant binds the member that gave it.
    pub lease: Duration,
    /// How much earlier the holder stops, for clocks that run apart.
    pub margin: Duration,
    /// Pause of a member after an ask in vain, longer for those further down the council.
    pub pause: Duration,
}

impl Default for CouncilTiming {
    fn default() -> Self {
        Self {
            out_of_touch: Duration::from_secs(5),
            lease: Duration::from_secs(3),
            margin: Duration::from_millis(500),
            pause: Duration::from_millis(700),
        }
    }
}

#[derive(Clone, Debug)]
struct Given {
    to: Member,
    until: Moment,
}

#[derive(Clone, Debug)]
struct Asking {
    term: u64,
    /// Invariant: from before the first ask was sent; the lease counts from here.
    since: Moment,
    given: BTreeSet<NodeName>,
}

#[derive(Clone, Debug, PartialEq)]
pub enum CouncilAction {
    Ask { to: Member, ask: GrantAsk },
    Began { fence: Fence },
    Ended { fence: Fence, why: &'static str },
}

/// A rule taken out, so that tests can show that it is needed.
#[cfg(test)]
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Broken {
    pub majority: bool,
    pub life: bool,
    pub lease: bool,
}

/// One node's part in its region's council.
///
/// Invariants: a member binds itself to one holder at a time, for `lease` from when it said so; a
/// holder stops `margin` before the earliest of its majority's bonds ends; a life that is not in the
/// charter neither asks nor grants.
pub struct Council {
    me: Member,
    timing: CouncilTiming,
    charter: Option<Charter>,
    core_heard: Moment,
    given: Option<Given>,
    highest_term: u64,
    asking: Option<Asking>,
    /// Term, and until when.
    holding: Option<(Fence, Moment)>,
    /// Another's coordinator was heard of then.
    other_heard: Option<Moment>,
    next_ask: Moment,
    #[cfg(test)]
    pub broken: Broken,
}

impl Council {
    pub fn new(me: Member, timing: CouncilTiming, now: Moment) -> Self {
        Self {
            me,
            timing,
            charter: None,
            core_heard: now,
            given: None,
            highest_term: 0,
            asking: None,
            holding: None,
            other_heard: None,
            next_ask: now,
            #[cfg(test)]
            broken: Broken::default(),
        }
    }

    pub fn charter(&self) -> Option<&Charter> {
        self.charter.as_ref()
    }

    /// The council as the core ordered it last. Invariant: charters only move on.
    pub fn take_charter(&mut self, charter: &Charter) {
        if self.charter.as_ref().is_none_or(|known| known.zxid < charter.zxid) {
            self.charter = Some(charter.clone());
            self.asking = None;
        }
    }

    /// A core node that a majority backs answered just now.
    pub fn core_spoke(&mut self, now: Moment) {
        self.core_heard = now;
    }

    pub fn is_in_touch(&self, now: Moment) -> bool {
        now.since(self.core_heard) < self.timing.out_of_touch
    }

    pub fn core_heard(&self) -> Moment {
        self.core_heard
    }

    /// Somebody else's order was taken here.
    pub fn other_spoke(&mut self, now: Moment) {
        self.other_heard = Some(now);
    }

    /// By which right this node is in charge now; nothing once the lease has lapsed, however late it is asked.
    pub fn holds(&self, now: Moment) -> Option<Fence> {
        self.holding.filter(|(_, until)| now < *until && !self.is_in_touch(now)).map(|(fence, _)| fence)
    }

    fn is_member(&self, member: &Member) -> bool {
        #[cfg(test)]
        if self.broken.life {
            let mut members = self.charter.iter().flat_map(|charter| &charter.members);
            return members.any(|known| known.node == member.node);
        }
        self.charter.as_ref().is_some_and(|charter| charter.members.contains(member))
    }

    fn majority(&self) -> usize {
        let members = self.charter.as_ref().map(|charter| charter.members.len()).unwrap_or(0);
        #[cfg(test)]
        if self.broken.majority {
            return 1;
        }
        members / 2 + 1
    }

    /// Answers an ask.
    pub fn asked(&mut self, ask: &GrantAsk, now: Moment) -> Grant {
        let withheld = Grant::Withheld { term: self.highest_term };
        let charter = self.charter.as_ref().map(|charter| charter.zxid);
        let right =
            charter == Some(ask.fence.charter) && self.is_member(&self.me.clone()) && self.is_member(&ask.asker);
        let meant = ask.asked == self.me;
        #[cfg(test)]
        let meant = meant || self.broken.life;
        if !right || !meant || self.is_in_touch(now) || ask.fence.term < self.highest_term {
            return withheld;
        }
        let bound = self.given.as_ref().filter(|given| now < given.until);
        #[cfg(test)]
        let bound = bound.filter(|_| !self.broken.lease);
        if bound.is_some_and(|given| given.to != ask.asker) {
            return withheld;
        }
        self.highest_term = ask.fence.term;
        self.given = Some(Given { to: ask.asker.clone(), until: now + self.timing.lease });
        Grant::Given
    }

    /// Takes an answer to an ask of that term.
    pub fn answered(&mut self, from: &NodeName, fence: Fence, grant: Grant, now: Moment) -> Vec<CouncilAction> {
        let mut actions = Vec::new();
        match grant {
            Grant::Withheld { term } => self.highest_term = self.highest_term.max(term),
            Grant::Given => {
                let charter = self.charter.as_ref().map(|charter| charter.zxid);
                let Some(asking) = &mut self.asking else { return actions };
                if asking.term != fence.term || charter != Some(fence.charter) {
                    return actions;
                }
                asking.given.insert(from.clone());
                let (given, until) = (asking.given.len(), asking.since + (self.timing.lease - self.timing.margin));
                if given >= self.majority() && now < until && !self.is_in_touch(now) {
                    if self.holding.is_none() {
                        actions.push(CouncilAction::Began { fence });
                    }
                    self.holding = Some((fence, until));
                }
            }
        }
        actions
    }

    pub fn tick(&mut self, now: Moment) -> Vec<CouncilAction> {
        let mut actions = Vec::new();
        if let Some((fence, until)) = self.holding {
            let why = match (self.is_in_touch(now), now >= until) {
                (true, _) => Some("the core is back"),
                (_, true) => Some("the lease lapsed"),
                _ => None,
            };
            if let Some(why) = why {
                self.holding = None;
                self.asking = None;
                actions.push(CouncilAction::Ended { fence, why });
            }
        }
        let me = self.me.clone();
        let place = self.charter.as_ref().and_then(|charter| charter.members.iter().position(|known| *known == me));
        let wait = self.timing.pause * place.unwrap_or(0) as u32;
        if self.is_in_touch(now) || !self.is_member(&me) {
            self.asking = None;
            // One after the other, so that members don't bind themselves to themselves all at once.
            self.next_ask = self.core_heard + self.timing.out_of_touch + wait;
            return actions;
        }
        let bound = self.given.as_ref().is_some_and(|given| now < given.until && given.to != me);
        let other = self.other_heard.is_some_and(|at| now.since(at) < self.timing.lease);
        if now < self.next_ask || ((other || bound) && self.holding.is_none()) {
            return actions;
        }
        let Some(charter) = self.charter.clone() else { return actions };
        let term = self.holding.map(|(fence, _)| fence.term).unwrap_or(self.highest_term + 1);
        let fence = Fence { charter: charter.zxid, term };
        self.next_ask = match self.holding {
            Some(_) => now + self.timing.lease / 3,
            // Whoever granted this in vain is free again by then.
            None => now + self.timing.lease + wait,
        };
        self.asking = Some(Asking { term, since: now, given: BTreeSet::new() });
        let ask = |member: &Member| GrantAsk { fence, asker: me.clone(), asked: member.clone() };
        let own = self.asked(&ask(&me), now);
        actions.extend(self.answered(&me.node, fence, own, now));
        let others = charter.members.into_iter().filter(|member| member.node != me.node);
        actions.extend(others.map(|to| CouncilAction::Ask { ask: ask(&to), to }));
        actions
    }
}
