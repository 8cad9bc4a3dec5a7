//! The slots of an endpoint, given to the requests of the queue's choice.

#[cfg(test)]
mod cold_tests;
#[cfg(test)]
mod overload;
mod queue;
mod work;

use crate::platform::coldness::ColdBound;
use futures_channel::oneshot;
pub use queue::Claim;
use queue::{AdmissionQueue, Decision, Offer, Ticket};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use trackbed::clock::{self, Moment};

/// Share of the time that the longest running request has taken, from which the endpoint counts as slower.
const OF_LONGEST: f64 = 0.5;

/// Invariant: every waiting ticket of `queue` has its sender in `waiting`.
#[derive(Default)]
pub struct Admission {
    queue: RefCell<AdmissionQueue>,
    waiting: RefCell<HashMap<Ticket, oneshot::Sender<Slot>>>,
    /// Whoever waits is looked at again when the endpoint may get more.
    is_to_look_again: Cell<bool>,
}

/// The right to one of the endpoint's slots, given back on drop.
pub struct Slot(Rc<Admission>, Ticket);

impl Slot {
    /// The request that has this slot goes out to the endpoint now.
    pub fn goes_out(&self) {
        self.0.queue.borrow_mut().goes_out(self.1, clock::now());
    }

    /// Another node sends the request, at a time not known here.
    pub fn give_away(&self) {
        self.0.queue.borrow_mut().give_away(self.1);
    }

    /// That node has passed the request on to this one.
    pub fn take_back(&self) {
        self.0.queue.borrow_mut().take_back(self.1);
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.queue.borrow_mut().finish(self.1, clock::now());
        Admission::let_in(&self.0);
    }
}

/// Why a request got no slot.
pub struct TurnedAway {
    /// Its time ran out in the queue.
    pub late: bool,
    pub free_in: Duration,
}

impl Admission {
    pub fn set_slots(self: &Rc<Self>, slots: u32) {
        self.queue.borrow_mut().set_slots(slots);
        Self::let_in(self);
    }

    /// Looks at what the endpoint may get while it may be cold.
    pub fn cold<T>(&self, look: impl FnOnce(&ColdBound) -> T) -> T {
        look(self.queue.borrow().cold())
    }

    /// Takes in what concerns that, and lets in whoever may go now.
    pub fn change_cold<T>(self: &Rc<Self>, change: impl FnOnce(&mut ColdBound) -> T) -> T {
        let changed = change(self.queue.borrow_mut().cold_mut());
        Self::let_in(self);
        changed
    }

    /// Requests running and waiting.
    pub fn counts(&self) -> (u32, u32) {
        self.queue.borrow().counts()
    }

    /// What a request takes here, by those of late and by the one that has been at it longest.
    pub fn service_micros(&self, now: Moment) -> u32 {
        let queue = self.queue.borrow();
        let longest = queue.longest_running(now).as_micros() as f64 * OF_LONGEST;
        queue.work().recent_micros().max(longest).min(u32::MAX as f64) as u32
    }

    /// Mean time of a request here, over all routes.
    pub fn mean_micros(&self) -> u32 {
        self.queue.borrow().work().mean().as_micros().min(u32::MAX as u128) as u32
    }

    /// What a request of a route usually takes here.
    pub fn usual(&self, sort: u64) -> Duration {
        self.queue.borrow().work().usual(sort)
    }

    pub fn measured(&self, sort: u64, took: Duration) {
        self.queue.borrow_mut().work_mut().measured(sort, took);
    }

    /// A slot now, a slot after a wait that leaves time enough, or a word at once that there is none.
    pub async fn admit(self: &Rc<Self>, claim: &Claim, now: Moment) -> Result<Slot, TurnedAway> {
        let offer = self.queue.borrow_mut().offer(claim, now);
        match offer {
            Offer::Start(ticket) => Ok(Slot(self.clone(), ticket)),
            Offer::TurnAway { free_in } => Err(TurnedAway { late: false, free_in }),
            Offer::Wait { ticket, start_by } => {
                Self::look_again_later(self);
                self.wait(ticket, now.until(start_by)).await
            }
        }
    }

    async fn wait(self: &Rc<Self>, ticket: Ticket, longest: Duration) -> Result<Slot, TurnedAway> {
        let (sender, receiver) = oneshot::channel();
        self.waiting.borrow_mut().insert(ticket, sender);
        if let Ok(Ok(slot)) = monoio::time::timeout(longest, receiver).await {
            return Ok(slot);
        }
        self.waiting.borrow_mut().remove(&ticket);
        self.queue.borrow_mut().withdraw(ticket);
        Err(TurnedAway { late: true, free_in: self.queue.borrow().work().mean() })
    }

    /// Keeps room for urgent routes, or ends that.
    pub fn reserve(self: &Rc<Self>, bound: Option<(Vec<u64>, u32)>) {
        self.queue.borrow_mut().reserve(bound);
        Self::let_in(self);
    }

    /// Gives free slots to those who wait.
    fn let_in(admission: &Rc<Self>) {
        loop {
            let decision = admission.queue.borrow_mut().next(clock::now());
            match decision {
                None => return Self::look_again_later(admission),
                // A sender that is dropped tells its request that it is turned away.
                Some(Decision::TurnAway(ticket)) => drop(admission.waiting.borrow_mut().remove(&ticket)),
                Some(Decision::Start(ticket)) => admission.hand_over(ticket),
            }
        }
    }

    /// Those who wait for nothing but an endpoint that may be cold are looked at when it may get more.
    fn look_again_later(admission: &Rc<Self>) {
        let Some(wait) = admission.queue.borrow().held_back_for(clock::now()) else { return };
        if admission.is_to_look_again.replace(true) {
            return;
        }
        let admission = admission.clone();
        monoio::spawn(async move {
            monoio::time::sleep(wait).await;
            admission.is_to_look_again.set(false);
            Self::let_in(&admission);
        });
    }

    fn hand_over(self: &Rc<Self>, ticket: Ticket) {
        let sender = self.waiting.borrow_mut().remove(&ticket);
        let refused = match sender {
            Some(sender) => sender.send(Slot(self.clone(), ticket)).err(),
            None => Some(Slot(self.clone(), ticket)),
        };
        // Whoever gave up meanwhile gives the slot back, without another round of choices within this one.
        if let Some(slot) = refused {
            self.queue.borrow_mut().finish(ticket, clock::now());
            std::mem::forget(slot);
        }
    }
}
