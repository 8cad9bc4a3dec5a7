//! Slots given out to other gateways. A home says who may go to its endpoints and when; the gateway at
//! which a request began takes it there itself, so that its bytes cross narrow ways once.

use super::{Platform, Sign, Slot, TurnedAway};
use crate::dispatch::Binding;
use crate::node::Pointsman;
use lineside::call::{Permit, Reply};
use lineside::gossip::Occupancy;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use trackbed::clock::{self, Moment};
use trackbed::random::Random;

/// How long past its horizon a request's slot is kept, for the word that it ended.
const LAST_WORD: Duration = Duration::from_millis(50);

struct Given {
    platform: Rc<Platform>,
    sort: u64,
    until: Moment,
    slot: Slot,
}

/// Invariant: a slot given out comes back by its release, or when its request's horizon has passed. Numbers
/// begin anywhere, so that a late word for an earlier process, or for another node at this address, names none.
pub struct Permits {
    given: RefCell<BTreeMap<u64, Given>>,
    next: Cell<u64>,
}

impl Default for Permits {
    fn default() -> Self {
        Self { given: RefCell::default(), next: Cell::new(Random::from_system().draw() >> 1) }
    }
}

impl Permits {
    /// Answers another gateway that asks for a slot.
    pub async fn ask(&self, node: &Pointsman, permit: Permit) -> Reply {
        let now = clock::now();
        let not_taken = |gone: bool, free_in: Duration, occupancy: Option<Occupancy>| Reply::NotTaken {
            gone,
            stale: false,
            free_in_millis: free_in.as_millis() as u32,
            occupancy,
        };
        let outside = permit.regions.as_deref().map(Binding::read);
        if outside.is_some_and(|binding| !binding.permits(Some(&node.live.get().region))) {
            return not_taken(true, Duration::from_millis(100), None);
        }
        let Some(platform) = node.platform_of(&permit.instance) else {
            return not_taken(true, Duration::from_millis(50), None);
        };
        let routes = node.fleet.borrow().routes().cloned();
        let service = platform.life.borrow().as_ref().map(|life| life.instance.service.clone());
        if let (Some(routes), Some(service)) = (routes, service) {
            let found = routes.find(&permit.hostname, &permit.prefix);
            if node.contradicts(&permit.planned, &routes, found.map(|route| &**route), &service) {
                return Reply::NotTaken { gone: false, stale: true, free_in_millis: 20, occupancy: None };
            }
        }
        if !platform.takes(&permit.instance, now) {
            return not_taken(true, Duration::from_millis(50), platform.occupancy(now));
        }
        platform.learn_warmth(now);
        let claim = super::Claim {
            priority: permit.priority,
            sort: permit.sort,
            horizon: now + Duration::from_millis(permit.horizon_millis as u64),
            target: now + Duration::from_millis(permit.target_millis as u64),
            patience: Duration::from_millis(permit.patience_millis as u64),
        };
        let slot = match platform.admission.admit(&claim, now).await {
            Ok(slot) => slot,
            Err(TurnedAway { free_in, .. }) => return not_taken(false, free_in, platform.occupancy(clock::now())),
        };
        let now = clock::now();
        // The life may have gone while the claim stood in the queue.
        if !platform.takes_on(&permit.instance, now) {
            return not_taken(true, Duration::from_millis(20), platform.occupancy(now));
        }
        slot.give_away();
        let number = self.next.get();
        self.next.set(number + 1);
        let occupancy = platform.occupancy(now);
        let given = Given { platform, sort: claim.sort, until: claim.horizon + LAST_WORD, slot };
        self.given.borrow_mut().insert(number, given);
        Reply::Permitted { number, occupancy }
    }

    /// The request that a slot was given for is here; nothing where the slot is given back by now.
    pub fn redeem(&self, number: u64, platform: &Rc<Platform>) -> Option<Slot> {
        let mut given = self.given.borrow_mut();
        let is_here = given.get(&number).is_some_and(|given| Rc::ptr_eq(&given.platform, platform));
        let slot = given.remove(&number).filter(|_| is_here).map(|given| given.slot);
        slot.inspect(Slot::take_back)
    }

    /// The request that a slot was given for has ended.
    pub fn release(&self, number: u64, sign: Option<Sign>, span: Duration) {
        let given = self.given.borrow_mut().remove(&number);
        if let Some(given) = given {
            given.platform.learn(given.sort, sign, span, clock::now());
        }
    }

    /// Takes back what was not released in time.
    pub fn tidy(&self, now: Moment) {
        let late: Vec<u64> =
            self.given.borrow().iter().filter(|(_, given)| given.until < now).map(|(number, _)| *number).collect();
        for number in late {
            let given = self.given.borrow_mut().remove(&number);
            drop(given);
        }
    }
}

/// A sign as it goes between own nodes.
pub fn word_of_sign(sign: Option<Sign>) -> u8 {
    match sign {
        None => 0,
        Some(Sign::Well) => 1,
        Some(Sign::Declined) => 2,
        Some(Sign::Broken) => 3,
        Some(Sign::Unreachable) => 4,
    }
}

pub fn sign_of_word(word: u8) -> Option<Sign> {
    match word {
        1 => Some(Sign::Well),
        2 => Some(Sign::Declined),
        3 => Some(Sign::Broken),
        4 => Some(Sign::Unreachable),
        _ => None,
    }
}
