//! Who goes to the endpoint when: its slots, and a short queue by rank and length of work.

use futures_channel::oneshot;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;
use trackbed::clock::{self, Moment};

const FIRST_GUESS_MICROS: f64 = 50_000.0;
/// A queue holds at most this many times the slots.
const QUEUE_FACTOR: usize = 6;
/// How many times its own length work stands back. Short work overtakes long: what waits for it
/// elsewhere holds a slot there meanwhile, and it frees its own soon. The long is not overtaken for ever.
const STANDS_BACK: f64 = 5.0;

/// Who is let in first: rank, then arrival put back by the work's own length.
type Place = (u8, Moment, u64);

struct Waiter {
    place: Place,
    sort: u64,
    expected: f64,
    horizon: Moment,
    sender: oneshot::Sender<Slot>,
}

/// A request that has a slot.
struct Begun {
    number: u64,
    at: Moment,
    sort: u64,
}

/// Invariants: `running` ≤ `slots`, counting slots held by errands; nobody waits while a slot is free, but for routes
/// that can wait and have all that is theirs while room is kept.
pub struct Admission {
    slots: Cell<u32>,
    running: Cell<u32>,
    queue: RefCell<Vec<Waiter>>,
    next_order: Cell<u64>,
    /// Measured time of one request at the endpoint, over all routes and by route.
    service: Cell<f64>,
    /// The same, of late: what is told to others, so that a slow one is soon known.
    recent: Cell<f64>,
    /// When those that run began. Invariant: as many as `running`.
    begun: RefCell<VecDeque<Begun>>,
    /// Room kept for urgent routes: which routes can wait, and how many slots they may take together.
    /// Invariant: one at least.
    reserved: RefCell<Option<(Vec<u64>, u32)>>,
    by_sort: RefCell<HashMap<u64, f64>>,
}

impl Default for Admission {
    fn default() -> Self {
        Self {
            slots: Cell::new(1),
            running: Cell::new(0),
            queue: RefCell::default(),
            next_order: Cell::new(0),
            service: Cell::new(FIRST_GUESS_MICROS),
            recent: Cell::new(FIRST_GUESS_MICROS),
            begun: RefCell::default(),
            reserved: RefCell::default(),
            by_sort: RefCell::default(),
        }
    }
}

/// The right to one of the endpoint's slots, given back on drop.
pub struct Slot(Rc<Admission>, u64);

impl Drop for Slot {
    fn drop(&mut self) {
        let admission = self.0.clone();
        admission.begun.borrow_mut().retain(|begun| begun.number != self.1);
        admission.running.set(admission.running.get() - 1);
        Admission::let_in(&admission);
    }
}

/// What the right to a slot is asked by.
#[derive(Clone, Copy, Debug)]
pub struct Claim {
    pub priority: u8,
    /// Names the route, for what is measured of it.
    pub sort: u64,
    pub horizon: Moment,
    pub target: Moment,
    /// How long it may stand in a queue, as far as that can be told beforehand.
    pub patience: Duration,
}

pub struct TurnedAway {
    /// Its time ran out in the queue.
    pub late: bool,
    pub free_in: Duration,
}

fn micros(span: f64) -> Duration {
    Duration::from_micros(span.max(0.0) as u64)
}

impl Admission {
    pub fn set_slots(self: &Rc<Self>, slots: u32) {
        self.slots.set(slots.max(1));
        Self::let_in(self);
    }

    pub fn counts(&self) -> (u32, u32) {
        (self.running.get(), self.queue.borrow().len() as u32)
    }

    /// What a request takes here, by those of late and by the one that has been at it longest.
    pub fn service_micros(&self, now: Moment) -> u32 {
        let longest = self.begun.borrow().front().map(|begun| now.since(begun.at).as_micros() as f64);
        self.recent.get().max(longest.unwrap_or(0.0) / 2.0).min(u32::MAX as f64) as u32
    }

    /// What a request of a kind usually takes here.
    pub fn usual(&self, sort: u64) -> Duration {
        micros(self.by_sort.borrow().get(&sort).copied().unwrap_or(self.service.get()).max(20_000.0))
    }

    pub fn measured(&self, sort: u64, span: Duration) {
        let micros = span.as_micros() as f64;
        self.service.set(self.service.get() * 0.95 + micros * 0.05);
        self.recent.set(self.recent.get() * 0.85 + micros * 0.15);
        let mut by_sort = self.by_sort.borrow_mut();
        if by_sort.len() > 4096 {
            by_sort.clear();
        }
        let known = by_sort.entry(sort).or_insert(micros);
        *known = *known * 0.93 + micros * 0.07;
    }

    /// What is not known yet counts as short: it is measured by being let in.
    fn expected(&self, sort: u64) -> f64 {
        self.by_sort.borrow().get(&sort).copied().unwrap_or(0.0)
    }

    /// How long someone at this place is likely to wait.
    fn wait_at(&self, place: Place) -> Duration {
        let queue = self.queue.borrow();
        let ahead: f64 = queue.iter().filter(|waiter| waiter.place < place).map(|waiter| waiter.expected).sum();
        // One of those running ends after its share of a turn.
        micros((ahead + self.service.get()) / self.slots.get() as f64)
    }

    /// A slot now, a slot after a wait that leaves time enough, or a word at once that there is none.
    pub async fn admit(self: &Rc<Self>, claim: &Claim, now: Moment) -> Result<Slot, TurnedAway> {
        if self.is_held_back(claim.sort) {
            return Err(TurnedAway { late: false, free_in: micros(self.service.get()) });
        }
        if self.running.get() < self.slots.get() {
            return Ok(self.take_slot(claim.sort));
        }
        let expected = self.expected(claim.sort);
        let order = self.next_order.get();
        self.next_order.set(order + 1);
        let place = (claim.priority, now + micros(expected * STANDS_BACK), order);
        let wait = self.wait_at(place);
        let full = self.queue.borrow().len() >= self.slots.get() as usize * QUEUE_FACTOR;
        if full || wait > claim.patience || now + wait + micros(expected) > claim.target {
            return Err(TurnedAway { late: false, free_in: wait });
        }
        let (sender, receiver) = oneshot::channel();
        self.queue.borrow_mut().push(Waiter { place, sort: claim.sort, expected, horizon: claim.horizon, sender });
        // The last moment at which starting is still of use.
        let last_start = claim.horizon - micros(expected).min(now.until(claim.horizon) / 2);
        match monoio::time::timeout(now.until(last_start), receiver).await {
            Ok(Ok(slot)) => Ok(slot),
            _ => {
                self.queue.borrow_mut().retain(|waiter| waiter.place != place);
                Err(TurnedAway { late: true, free_in: micros(self.service.get()) })
            }
        }
    }

    /// Keeps room for urgent routes, or ends that.
    pub fn reserve(self: &Rc<Self>, bound: Option<(Vec<u64>, u32)>) {
        *self.reserved.borrow_mut() = bound.map(|(sorts, slots)| (sorts, slots.max(1)));
        Self::let_in(self);
    }

    /// Whether a route can wait, and has all the slots that it may take now.
    fn is_held_back(&self, sort: u64) -> bool {
        let reserved = self.reserved.borrow();
        let Some((deferrable, slots)) = reserved.as_ref().filter(|(sorts, _)| sorts.contains(&sort)) else {
            return false;
        };
        self.begun.borrow().iter().filter(|begun| deferrable.contains(&begun.sort)).count() as u32 >= *slots
    }

    fn take_slot(self: &Rc<Self>, sort: u64) -> Slot {
        self.running.set(self.running.get() + 1);
        let number = self.next_order.get();
        self.next_order.set(number + 1);
        self.begun.borrow_mut().push_back(Begun { number, at: clock::now(), sort });
        Slot(self.clone(), number)
    }

    /// Gives free slots to those who wait.
    fn let_in(admission: &Rc<Self>) {
        while admission.running.get() < admission.slots.get() {
            let next = {
                let mut queue = admission.queue.borrow_mut();
                let free = (0..queue.len()).filter(|index| !admission.is_held_back(queue[*index].sort));
                let best = free.min_by_key(|index| queue[*index].place);
                match best {
                    Some(index) => queue.swap_remove(index),
                    None => return,
                }
            };
            if clock::now() >= next.horizon {
                continue;
            }
            // Whoever gave up meanwhile gives the slot back.
            let slot = admission.take_slot(next.sort);
            if let Err(slot) = next.sender.send(slot) {
                admission.begun.borrow_mut().retain(|begun| begun.number != slot.1);
                std::mem::forget(slot);
                admission.running.set(admission.running.get() - 1);
            }
        }
    }
}
