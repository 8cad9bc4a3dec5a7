//! A queue in the order of arrival that takes whatever could just make its target, and runs it however late.

use super::super::queue::{Claim, Decision, Offer, Ticket};
use super::super::work::WorkTimes;
use super::world::EndpointQueue;
use std::collections::VecDeque;
use std::time::Duration;
use trackbed::clock::Moment;

#[derive(Default)]
pub struct PlainQueue {
    slots: usize,
    running: Vec<Ticket>,
    waiting: VecDeque<(Ticket, Claim, Duration)>,
    work: WorkTimes,
    next: u64,
}

impl EndpointQueue for PlainQueue {
    fn with_slots(slots: u32) -> Self {
        Self { slots: slots as usize, ..Self::default() }
    }

    fn offer(&mut self, claim: &Claim, now: Moment) -> Offer {
        self.next += 1;
        let ticket = Ticket(self.next);
        if self.running.len() < self.slots {
            self.running.push(ticket);
            return Offer::Start(ticket);
        }
        let expected = self.work.expected(claim.sort);
        let ahead: Duration = self.waiting.iter().map(|(_, _, expected)| *expected).sum();
        let wait = (ahead + self.work.mean()) / self.slots as u32;
        if now + wait + expected > claim.target {
            return Offer::TurnAway { free_in: wait };
        }
        self.waiting.push_back((ticket, *claim, expected));
        Offer::Wait { ticket, start_by: claim.horizon }
    }

    fn withdraw(&mut self, ticket: Ticket) {
        self.waiting.retain(|(waiting, _, _)| *waiting != ticket);
    }

    fn finish(&mut self, ticket: Ticket, _: Moment) {
        self.running.retain(|running| *running != ticket);
    }

    fn next(&mut self, _: Moment) -> Option<Decision> {
        if self.running.len() >= self.slots {
            return None;
        }
        let (ticket, _, _) = self.waiting.pop_front()?;
        self.running.push(ticket);
        Some(Decision::Start(ticket))
    }

    fn measured(&mut self, sort: u64, took: Duration) {
        self.work.measured(sort, took);
    }

    fn counts(&self) -> (u32, u32) {
        (self.running.len() as u32, self.waiting.len() as u32)
    }

    fn service_micros(&self) -> u32 {
        self.work.recent_micros() as u32
    }
}
