//! An endpoint that is cold, sent to by many, on virtual time: its queue keeps to the bound, whoever asks how often.

use super::queue::{AdmissionQueue, Claim, Decision, Offer, Ticket};
use crate::platform::coldness::{ColdLimits, FormerSender};
use std::collections::BinaryHeap;
use std::time::Duration;
use trackbed::clock::Moment;
use trackbed::random::Random;

const SENDERS: [u64; 3] = [3, 80, 1000];
const STEP: Duration = Duration::from_millis(1);
const RUNS_FOR: Duration = Duration::from_secs(20);
const HEARTBEAT: Duration = Duration::from_millis(1500);
const COLD_FOR: Duration = Duration::from_secs(3);
/// Each sender asks so often in a second.
const ASKS: f64 = 20.0;
const SLOTS: u32 = 6;
const URGENT: u8 = 1;
const DEFERRABLE: u8 = 2;

#[derive(Default)]
struct Played {
    /// Requests that went out while the endpoint was cold, and while it was warm.
    cold: Vec<Moment>,
    warm: usize,
}

struct World {
    queue: AdmissionQueue,
    random: Random,
    now: Moment,
    /// When each request that runs goes out and ends. Invariant: the next on top.
    ends: BinaryHeap<std::cmp::Reverse<(Moment, Ticket)>>,
    goes_out: Vec<(Moment, Ticket)>,
}

impl World {
    fn begin(&mut self, ticket: Ticket) {
        let goes_out = self.now + Duration::from_millis(self.random.below(20));
        let ends = goes_out + Duration::from_millis(40 + self.random.below(120));
        self.goes_out.push((goes_out, ticket));
        self.ends.push(std::cmp::Reverse((ends, ticket)));
    }

    fn ask(&mut self) {
        let priority = if self.random.chance(0.3) { URGENT } else { DEFERRABLE };
        let target = self.now + Duration::from_millis(400);
        let patience = Duration::from_millis(self.random.below(2) * 300);
        let claim =
            Claim { priority, sort: priority as u64, horizon: target + Duration::from_secs(1), target, patience };
        if let Offer::Start(ticket) = self.queue.offer(&claim, self.now) {
            self.begin(ticket);
        }
    }

    /// Sends what is due, ends what is over, and lets in who waits. Gives how many went out.
    fn carry_on(&mut self) -> usize {
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.goes_out).into_iter().partition(|(at, _)| *at <= now);
        self.goes_out = later;
        due.iter().for_each(|(_, ticket)| self.queue.goes_out(*ticket, now));
        while self.ends.peek().is_some_and(|end| end.0.0 <= now) {
            let ticket = self.ends.pop().expect("looked at just now").0.1;
            self.queue.finish(ticket, now);
        }
        while let Some(decision) = self.queue.next(now) {
            if let Decision::Start(ticket) = decision {
                self.begin(ticket);
            }
        }
        due.len()
    }
}

/// A life that is cold from its start, of which each second heartbeat is lost.
fn play(senders: u64, seed: u64) -> Played {
    let begun = Moment::from_micros(5_000_000);
    let mut queue = AdmissionQueue::default();
    queue.set_slots(SLOTS);
    queue.cold_mut().set_limits(Some(limits()), false);
    queue.cold_mut().begin_life(FormerSender::Nobody, begun);
    queue.cold_mut().introduced(COLD_FOR, begun);
    let random = Random::seeded(seed);
    let mut world = World { queue, random, now: begun, ends: BinaryHeap::new(), goes_out: Vec::new() };
    let mut played = Played::default();
    let mut next_heartbeat = begun + HEARTBEAT;
    let mut due = 0.0;
    while world.now < begun + RUNS_FOR {
        world.now = world.now + STEP;
        let remaining = world.now.until(begun + COLD_FOR);
        if world.now >= next_heartbeat {
            next_heartbeat = next_heartbeat + HEARTBEAT;
            if world.random.chance(0.5) {
                let now = world.now;
                world.queue.cold_mut().heard(remaining, now);
            }
        }
        due += senders as f64 * ASKS * STEP.as_secs_f64();
        while due >= 1.0 {
            due -= 1.0;
            world.ask();
        }
        let sent = world.carry_on();
        match remaining.is_zero() {
            true => played.warm += sent,
            false => played.cold.extend(std::iter::repeat_n(world.now, sent)),
        }
    }
    played
}

fn limits() -> ColdLimits {
    ColdLimits::new(9.8, 1.5, 8.0)
}

#[test]
fn many_senders_together_keep_to_what_a_cold_endpoint_bears() {
    for senders in SENDERS {
        for seed in 0..5 {
            let played = play(senders, seed);
            let second = Duration::from_secs(1);
            let within =
                |from: &Moment| played.cold.iter().filter(|at| **at >= *from && at.since(*from) <= second).count();
            let busiest = played.cold.iter().map(within).max().unwrap_or(0);
            println!(
                "{senders} senders, seed {seed}: {busiest} in the busiest cold second, bound 22; {} warm",
                played.warm
            );
            assert!(busiest <= limits().requests, "{senders} senders, seed {seed}: {busiest}");
            assert!(played.cold.len() >= 20, "{senders} senders, seed {seed}: only {} while cold", played.cold.len());
            assert!(played.warm > 600, "{senders} senders, seed {seed}: only {} once it was warm", played.warm);
        }
    }
}
