//! Who goes to the endpoint when: its slots, and a short queue by priority.

use crate::dispatch::Errand;
use futures_channel::oneshot;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use trackbed::clock::{self, Moment};

const FIRST_GUESS_MICROS: f64 = 50_000.0;
/// A queue holds at most this many times the slots.
const QUEUE_FACTOR: usize = 4;

struct Waiter {
    priority: u8,
    order: u64,
    horizon: Moment,
    sender: oneshot::Sender<Slot>,
}

/// Invariants: `running` ≤ `slots`, counting slots held by errands; nobody waits while a slot is free.
pub struct Admission {
    slots: Cell<u32>,
    running: Cell<u32>,
    queue: RefCell<Vec<Waiter>>,
    next_order: Cell<u64>,
    /// Measured time of one request at the endpoint.
    service: Cell<f64>,
}

impl Default for Admission {
    fn default() -> Self {
        Self {
            slots: Cell::new(1),
            running: Cell::new(0),
            queue: RefCell::default(),
            next_order: Cell::new(0),
            service: Cell::new(FIRST_GUESS_MICROS),
        }
    }
}

/// The right to one of the endpoint's slots, given back on drop.
pub struct Slot(Rc<Admission>);

impl Drop for Slot {
    fn drop(&mut self) {
        let admission = self.0.clone();
        admission.running.set(admission.running.get() - 1);
        Admission::let_in(&admission);
    }
}

pub struct TurnedAway {
    /// Its time ran out in the queue.
    pub late: bool,
    pub free_in: Duration,
}

impl Admission {
    pub fn set_slots(self: &Rc<Self>, slots: u32) {
        self.slots.set(slots.max(1));
        Self::let_in(self);
    }

    pub fn counts(&self) -> (u32, u32) {
        (self.running.get(), self.queue.borrow().len() as u32)
    }

    pub fn service_micros(&self) -> u32 {
        self.service.get() as u32
    }

    pub fn measured(&self, span: Duration) {
        let micros = span.as_micros() as f64;
        self.service.set(self.service.get() * 0.95 + micros * 0.05);
    }

    fn wait_behind(&self, ahead: usize) -> Duration {
        let turns = (ahead + 1) as f64 / self.slots.get() as f64;
        Duration::from_micros((self.service.get() * turns) as u64)
    }

    /// A slot now, a slot after a wait that leaves time enough, or a word at once that there is none.
    pub async fn admit(self: &Rc<Self>, errand: &Errand, now: Moment) -> Result<Slot, TurnedAway> {
        if self.running.get() < self.slots.get() {
            return Ok(self.take_slot());
        }
        let (ahead, queued) = {
            let queue = self.queue.borrow();
            (
                queue.iter().filter(|waiter| waiter.priority <= errand.priority).count(),
                queue.len(),
            )
        };
        let wait = self.wait_behind(ahead);
        let service = Duration::from_micros(self.service.get() as u64);
        if now + wait + service > errand.target || queued >= self.slots.get() as usize * QUEUE_FACTOR {
            return Err(TurnedAway {
                late: false,
                free_in: wait,
            });
        }
        let (sender, receiver) = oneshot::channel();
        let order = self.next_order.get();
        self.next_order.set(order + 1);
        self.queue.borrow_mut().push(Waiter {
            priority: errand.priority,
            order,
            horizon: errand.horizon,
            sender,
        });
        // The last moment at which starting is still of use.
        let last_start = errand.horizon - service.min(errand.left(now) / 2);
        match monoio::time::timeout(now.until(last_start), receiver).await {
            Ok(Ok(slot)) => Ok(slot),
            _ => {
                self.queue.borrow_mut().retain(|waiter| waiter.order != order);
                Err(TurnedAway {
                    late: true,
                    free_in: self.wait_behind(0),
                })
            }
        }
    }

    fn take_slot(self: &Rc<Self>) -> Slot {
        self.running.set(self.running.get() + 1);
        Slot(self.clone())
    }

    /// Gives free slots to those who wait: first by rank, then by turn.
    fn let_in(admission: &Rc<Self>) {
        while admission.running.get() < admission.slots.get() {
            let next = {
                let mut queue = admission.queue.borrow_mut();
                let best = (0..queue.len()).min_by_key(|index| (queue[*index].priority, queue[*index].order));
                match best {
                    Some(index) => queue.remove(index),
                    None => return,
                }
            };
            if clock::now() >= next.horizon {
                continue;
            }
            // Whoever gave up meanwhile gives the slot back by dropping it.
            let slot = admission.take_slot();
            if let Err(slot) = next.sender.send(slot) {
                std::mem::forget(slot);
                admission.running.set(admission.running.get() - 1);
            }
        }
    }
}
