//! Decides which request goes to an endpoint when. It has no clock and no tasks of its own: the caller
//! passes the time in and carries the decisions out, so that the same code runs in a simulation.
//!
//! A slot that serves a request after its target earns next to nothing and costs as much as one in time. So a
//! request is let into the queue only if it is likely to make its target with the spread of its work counted in,
//! and one that can't make it any more gives way when its turn comes. The queue is thus never longer than the
//! slack of what waits in it, and is empty again as soon as the load is back below the capacity.

use super::work::WorkTimes;
use crate::platform::coldness::ColdBound;
use std::time::Duration;
use trackbed::clock::Moment;

/// A queue holds at most this many times the slots.
const QUEUE_FACTOR: usize = 6;
/// Mean deviations of a request's work that are kept free before its target.
const MARGIN: f64 = 2.0;
/// Work that takes less than this share of what usually occupies a slot counts as short.
const SHORT: f64 = 1.0 / 3.0;
/// A slot is kept free of longer work where short work fills at least this many slots on average.
const KEPT_FREE_FROM: f64 = 1.0;
/// How many times its own length work stands back: of two with the same target the shorter goes first.
const STANDS_BACK: f64 = 2.0;
/// The most that work which overtakes is taken to prolong a wait.
const MOST_OVERTAKEN: f64 = 4.0;

/// What the right to a slot is asked by.
#[derive(Clone, Copy, Debug)]
pub struct Claim {
    /// Rank of the route; 0 goes first.
    pub priority: u8,
    /// Hash of the route's name, for what is measured of it.
    pub sort: u64,
    /// Nobody waits for the answer after this.
    pub horizon: Moment,
    /// An answer by then earns its full worth.
    pub target: Moment,
    /// The longest wait in the queue that the sender accepts.
    pub patience: Duration,
}

/// Names a request that waits or runs. Invariant: never given twice by one queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// Answer to a request that asks for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offer {
    /// It has a slot now.
    Start(Ticket),
    /// It waits, until `start_by` at most.
    Wait { ticket: Ticket, start_by: Moment },
    /// It can't be run in time; a slot may be free for it after this time.
    TurnAway { free_in: Duration },
}

/// What becomes of a request that waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    Start(Ticket),
    /// It can't make its target any more, and others can.
    TurnAway(Ticket),
}

/// Who is let in first: rank, then the target put back by the work's own length, then arrival.
type Place = (u8, Moment, Ticket);

struct Waiting {
    place: Place,
    claim: Claim,
    expected: Duration,
}

/// Where a request is whose slot is taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    /// It has not gone out.
    LetIn,
    /// Another node sends it, at a time not known here.
    WithAnother,
    /// It went out.
    GoneOut,
}

struct Running {
    ticket: Ticket,
    begun: Moment,
    sort: u64,
    expected: Duration,
    progress: Progress,
}

/// Invariants: as many run as hold slots, `slots` at most unless slots were taken away meanwhile; nobody waits while
/// a slot is free, but for routes that keep room for others.
pub struct AdmissionQueue {
    slots: u32,
    running: Vec<Running>,
    waiting: Vec<Waiting>,
    /// Routes that can be deferred, and the slots that they may take together.
    reserved: Option<(Vec<u64>, u32)>,
    work: WorkTimes,
    /// What the endpoint may get while it may be cold.
    cold: ColdBound,
    next_ticket: u64,
}

impl Default for AdmissionQueue {
    fn default() -> Self {
        Self {
            slots: 1,
            running: Vec::new(),
            waiting: Vec::new(),
            reserved: None,
            work: WorkTimes::default(),
            cold: ColdBound::default(),
            next_ticket: 0,
        }
    }
}

impl AdmissionQueue {
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots.max(1);
    }

    /// Keeps room for urgent routes, or ends that. At least one slot stays with the deferrable ones.
    pub fn reserve(&mut self, bound: Option<(Vec<u64>, u32)>) {
        self.reserved = bound.map(|(sorts, slots)| (sorts, slots.max(1)));
    }

    /// Requests running and waiting.
    pub fn counts(&self) -> (u32, u32) {
        (self.running.len() as u32, self.waiting.len() as u32)
    }

    pub fn work(&self) -> &WorkTimes {
        &self.work
    }

    pub fn work_mut(&mut self) -> &mut WorkTimes {
        &mut self.work
    }

    pub fn cold(&self) -> &ColdBound {
        &self.cold
    }

    pub fn cold_mut(&mut self) -> &mut ColdBound {
        &mut self.cold
    }

    /// How long those who wait are held back though a slot is free; nothing where that isn't so.
    pub fn held_back_for(&self, now: Moment) -> Option<Duration> {
        let is_held_back =
            !self.waiting.is_empty() && self.running.len() < self.slots as usize && !self.cold.admits(now);
        is_held_back.then(|| self.cold.wait(0, now))
    }

    /// How long the request that has run longest has been at it.
    pub fn longest_running(&self, now: Moment) -> Duration {
        self.running.iter().map(|running| now.since(running.begun)).max().unwrap_or_default()
    }

    /// A slot now, a place in the queue, or a word at once that there is neither.
    pub fn offer(&mut self, claim: &Claim, now: Moment) -> Offer {
        self.work.arrived(claim.sort, now);
        if self.is_deferred(claim.sort) {
            return Offer::TurnAway { free_in: self.work.mean() };
        }
        if self.has_slot_for(claim.sort, now) {
            return Offer::Start(self.start(claim.sort, now));
        }
        if self.running.len() < self.slots as usize && !self.cold.admits(now) {
            self.cold.held_back();
        }
        let expected = self.work.expected(claim.sort);
        let ticket = self.next_ticket();
        let place = (claim.priority, claim.target + expected.mul_f64(STANDS_BACK), ticket);
        let wait = self.wait_at(place, claim.sort, now).max(self.cold_wait_at(place, now));
        let full = self.waiting.len() >= self.slots as usize * QUEUE_FACTOR;
        let end_by = if self.is_short(expected) { claim.horizon } else { claim.target };
        let margin = self.work.spread(claim.sort).mul_f64(MARGIN);
        let in_time = now + wait + expected + margin <= end_by;
        if full || wait > claim.patience || !in_time {
            return Offer::TurnAway { free_in: wait };
        }
        self.waiting.push(Waiting { place, claim: *claim, expected });
        Offer::Wait { ticket, start_by: self.last_start(claim, expected, now) }
    }

    /// A waiting request is given up by its sender.
    pub fn withdraw(&mut self, ticket: Ticket) {
        self.waiting.retain(|waiting| waiting.place.2 != ticket);
    }

    /// A request that was let in goes out to the endpoint now.
    pub fn goes_out(&mut self, ticket: Ticket, now: Moment) {
        if let Some(running) = self.running.iter_mut().find(|running| running.ticket == ticket)
            && running.progress != Progress::GoneOut
        {
            running.progress = Progress::GoneOut;
            self.cold.goes_out(now);
        }
    }

    /// Another node sends a request that was let in.
    pub fn give_away(&mut self, ticket: Ticket) {
        self.set_progress(ticket, Progress::WithAnother);
    }

    /// That node has passed the request on: it goes out from here.
    pub fn take_back(&mut self, ticket: Ticket) {
        self.set_progress(ticket, Progress::LetIn);
    }

    fn set_progress(&mut self, ticket: Ticket, progress: Progress) {
        if let Some(running) = self.running.iter_mut().find(|running| running.ticket == ticket) {
            running.progress = progress;
        }
    }

    /// A running request has ended; its slot is free.
    pub fn finish(&mut self, ticket: Ticket, now: Moment) {
        let Some(place) = self.running.iter().position(|running| running.ticket == ticket) else { return };
        match self.running.remove(place).progress {
            Progress::LetIn => self.cold.withdraw(),
            Progress::WithAnother => self.cold.goes_out(now),
            Progress::GoneOut => {}
        }
    }

    /// What becomes of the next in the queue; nothing when all slots are taken or nobody waits who may have one.
    pub fn next(&mut self, now: Moment) -> Option<Decision> {
        if self.running.len() >= self.slots as usize {
            return None;
        }
        let open = (0..self.waiting.len()).filter(|index| {
            let sort = self.waiting[*index].claim.sort;
            !self.is_deferred(sort) && self.has_slot_for(sort, now)
        });
        let best = open.min_by_key(|index| self.waiting[*index].place)?;
        let next = self.waiting.swap_remove(best);
        let ticket = next.place.2;
        if self.is_lost(&next, now) {
            return Some(Decision::TurnAway(ticket));
        }
        self.begin(ticket, next.claim.sort, now);
        Some(Decision::Start(ticket))
    }

    /// Whether running it would be of no use.
    fn is_lost(&self, waiting: &Waiting, now: Moment) -> bool {
        if now >= waiting.claim.horizon {
            return true;
        }
        !self.is_short(waiting.expected) && now + waiting.expected > waiting.claim.target
    }

    /// Whether work is short beside what usually occupies a slot. It is of use until its horizon: turning it away frees
    /// almost nothing, and it may be a call that something longer waits for, in a slot of its own.
    fn is_short(&self, expected: Duration) -> bool {
        expected < self.work.occupying().mul_f64(SHORT)
    }

    fn last_start(&self, claim: &Claim, expected: Duration, now: Moment) -> Moment {
        claim.horizon - expected.min(now.until(claim.horizon) / 2)
    }

    /// How long someone at this place is likely to wait.
    fn wait_at(&self, place: Place, sort: u64, now: Moment) -> Duration {
        let ahead: Duration =
            self.waiting.iter().filter(|waiting| waiting.place < place).map(|waiting| waiting.expected).sum();
        let running: Duration = self.running.iter().map(|running| remaining(running, now)).sum();
        let wait = (ahead + running / self.slots) / self.slots;
        // Short work that comes in meanwhile goes first.
        let slots = self.slots as f64;
        let overtaking = (self.work.load_of_shorter(sort, SHORT, now) / slots).min(1.0 - 1.0 / MOST_OVERTAKEN);
        wait.div_f64(1.0 - overtaking)
    }

    /// How long someone at this place waits until an endpoint that may be cold gets one more.
    fn cold_wait_at(&self, place: Place, now: Moment) -> Duration {
        let ahead = self.waiting.iter().filter(|waiting| waiting.place < place).count();
        self.cold.wait(ahead, now)
    }

    /// Whether a route can be deferred, and has all the slots that it may take now.
    fn is_deferred(&self, sort: u64) -> bool {
        let Some((deferrable, slots)) = self.reserved.as_ref().filter(|(sorts, _)| sorts.contains(&sort)) else {
            return false;
        };
        self.running.iter().filter(|running| deferrable.contains(&running.sort)).count() as u32 >= *slots
    }

    /// Whether a request of this route may start now. Long work leaves one slot free where much short work comes in:
    /// that would else wait for the end of something long, with whoever called it.
    fn has_slot_for(&self, sort: u64, now: Moment) -> bool {
        let free = (self.slots as usize).saturating_sub(self.running.len());
        match free {
            0 => false,
            _ if !self.cold.admits(now) => false,
            1 if self.slots > 1 => self.work.load_of_shorter(sort, SHORT, now) < KEPT_FREE_FROM,
            _ => true,
        }
    }

    fn next_ticket(&mut self) -> Ticket {
        self.next_ticket += 1;
        Ticket(self.next_ticket)
    }

    fn start(&mut self, sort: u64, now: Moment) -> Ticket {
        let ticket = self.next_ticket();
        self.begin(ticket, sort, now);
        ticket
    }

    fn begin(&mut self, ticket: Ticket, sort: u64, now: Moment) {
        let expected = self.work.known(sort).unwrap_or(self.work.mean());
        self.cold.let_in();
        self.running.push(Running { ticket, begun: now, sort, expected, progress: Progress::LetIn });
    }
}

/// What a running request still takes. One that is over its usual time is taken to need half of it again.
fn remaining(running: &Running, now: Moment) -> Duration {
    let spent = now.since(running.begun);
    running.expected.saturating_sub(spent).max(running.expected / 2)
}
