//! Callers that use locks as applications do: for a moment or for long, over and over, with one name for all holds.

use super::history::{FenceGiven, Hold};
use crate::endpoint::events::shared_micros;
use http::Method;
use sonic_rs::{JsonValueTrait, Value};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use trackbed::http::{Client, Request, Return};
use trackbed::random::Random;

/// A caller moves on after so much silence.
const PATIENCE: Duration = Duration::from_secs(1);
/// Share of calls whose answer is lost: the caller gives the connection up right after sending.
const LOST_SHARE: f64 = 0.03;
const LOST_AFTER: Duration = Duration::from_millis(3);
/// Calls of one attempt to take a lock.
const MOST_TRIES: usize = 12;
const SHORTEST_HOLD_MILLIS: u64 = 400;
const LONGEST_HOLD_MILLIS: u64 = 3500;
/// Share of holds after which the caller goes on with the same lock.
const SAME_LOCK_SHARE: f64 = 0.3;
/// The same where the release got no answer.
const SAME_LOCK_AFTER_SILENCE_SHARE: f64 = 0.8;
/// Share of releases without an answer that are sent to another node.
const RELEASE_AGAIN_SHARE: f64 = 0.3;

/// What all callers of a run share.
pub struct Callers {
    cores: Vec<SocketAddr>,
    locks: u64,
    stopped: Cell<bool>,
    holds: RefCell<Vec<Hold>>,
    calls: Cell<u64>,
    unanswered: Cell<u64>,
}

impl Callers {
    /// Callers of these core nodes, which share so many locks.
    pub fn new(cores: Vec<SocketAddr>, locks: u64) -> Rc<Self> {
        Rc::new(Self {
            cores,
            locks,
            stopped: Cell::new(false),
            holds: RefCell::default(),
            calls: Cell::new(0),
            unanswered: Cell::new(0),
        })
    }

    /// Starts so many callers, whose choices follow from the seed.
    pub fn start(self: &Rc<Self>, count: u64, seed: u64) {
        for number in 0..count {
            let caller = Caller {
                shared: self.clone(),
                name: format!("a{number}.1"),
                random: Random::seeded(seed.wrapping_mul(1009) ^ number),
                clients: self.cores.iter().map(|core| Client::new(*core)).collect(),
                core: number as usize % self.cores.len(),
                next_lock: None,
            };
            monoio::spawn(caller.run());
        }
    }

    /// No further holds begin.
    pub fn stop(&self) {
        self.stopped.set(true);
    }

    /// All holds that have ended.
    pub fn holds(&self) -> Vec<Hold> {
        self.holds.borrow().clone()
    }

    /// Calls sent, and those of them without an answer.
    pub fn calls(&self) -> (u64, u64) {
        (self.calls.get(), self.unanswered.get())
    }
}

/// How a caller uses a lock that it was given.
#[derive(Clone, Copy, Debug)]
enum Usage {
    /// Gives it back after a moment.
    Moment,
    /// Renews it some times, and gives it back.
    Long { renewals: u64 },
    /// Asks for it again in place of a renewal.
    TakeAgain,
    /// Dies while it holds.
    Die,
    /// Sleeps past its time and renews then.
    Oversleep,
}

struct Caller {
    shared: Rc<Callers>,
    name: String,
    random: Random,
    clients: Vec<Client>,
    core: usize,
    /// The lock that it goes on with.
    next_lock: Option<String>,
}

/// An answer, and when its call was sent and answered.
struct Answered {
    sent: u64,
    at: u64,
    answer: Return,
}

impl Caller {
    async fn run(mut self) {
        while !self.shared.stopped.get() {
            let lock = self.next_lock.take().unwrap_or_else(|| self.draw_lock());
            let hold_millis = SHORTEST_HOLD_MILLIS + self.random.below(LONGEST_HOLD_MILLIS - SHORTEST_HOLD_MILLIS);
            match self.take(&lock, hold_millis).await {
                Some(hold) => self.use_lock(hold, hold_millis).await,
                None => self.sleep(50, 400).await,
            }
        }
    }

    fn draw_lock(&mut self) -> String {
        format!("lock-{}", self.random.below(self.shared.locks))
    }

    async fn sleep(&mut self, least: u64, most: u64) {
        let millis = least + self.random.below(most.saturating_sub(least).max(1));
        monoio::time::sleep(Duration::from_millis(millis)).await;
    }

    /// Sends a call to the present core node; moves on to the next one where no clear answer comes.
    async fn call(&mut self, method: Method, lock: &str, body: String) -> Option<Answered> {
        let request = Request::json(method, format!("/v1/locks/{lock}"), body);
        let limit = if self.random.chance(LOST_SHARE) { LOST_AFTER } else { PATIENCE };
        self.shared.calls.set(self.shared.calls.get() + 1);
        let sent = shared_micros();
        let outcome = self.clients[self.core].call(&request, limit).await;
        let at = shared_micros();
        match outcome {
            Ok(answer) if answer.status < 500 && answer.status != 429 => Some(Answered { sent, at, answer }),
            outcome => {
                self.shared.unanswered.set(self.shared.unanswered.get() + outcome.is_err() as u64);
                self.core = (self.core + 1) % self.clients.len();
                None
            }
        }
    }

    /// Asks for a lock until it is given, or a while has passed.
    async fn take(&mut self, lock: &str, hold_millis: u64) -> Option<Hold> {
        for attempt in 0..MOST_TRIES {
            if let Some(answered) = self.post(lock, hold_millis).await {
                match fence_of(&answered.answer) {
                    Some(fence) => return Some(self.new_hold(lock, &answered, fence, hold_millis)),
                    None => self.sleep(30, 200).await,
                }
            } else {
                self.sleep(10, 40 + 40 * attempt as u64).await;
            }
        }
        None
    }

    async fn post(&mut self, lock: &str, hold_millis: u64) -> Option<Answered> {
        let body = format!("{{\"holder\":\"{}\",\"hold_s\":{}}}", self.name, seconds(hold_millis));
        self.call(Method::POST, lock, body).await
    }

    fn new_hold(&self, lock: &str, answered: &Answered, fence: u64, hold_millis: u64) -> Hold {
        Hold {
            lock: lock.to_owned(),
            holder: self.name.clone(),
            fences: vec![FenceGiven { sent: answered.sent, answered: answered.at, fence }],
            from: answered.at,
            until: answered.sent + hold_millis * 1000,
        }
    }

    async fn use_lock(&mut self, mut hold: Hold, hold_millis: u64) {
        match self.draw_usage() {
            Usage::Moment => self.sleep(1, 300).await,
            Usage::Long { renewals } => {
                for _ in 0..renewals {
                    self.sleep(hold_millis / 6, hold_millis / 2).await;
                    if !self.renew(&mut hold, hold_millis).await {
                        return self.close(hold);
                    }
                }
            }
            Usage::TakeAgain => {
                self.sleep(hold_millis / 6, hold_millis / 2).await;
                self.take_again(&mut hold, hold_millis).await;
            }
            Usage::Die => {
                self.sleep(1, hold_millis).await;
                hold.until = hold.until.min(shared_micros());
                self.close(hold);
                self.clients = self.shared.cores.iter().map(|core| Client::new(*core)).collect();
                return self.sleep(200, 3000).await;
            }
            Usage::Oversleep => {
                self.sleep(hold_millis, hold_millis * 3 / 2).await;
                if !self.renew(&mut hold, hold_millis).await {
                    return self.close(hold);
                }
            }
        }
        self.release(hold).await;
    }

    fn draw_usage(&mut self) -> Usage {
        match self.random.below(20) {
            0..=14 => Usage::Moment,
            15 | 16 => Usage::Long { renewals: 1 + self.random.below(5) },
            17 => Usage::TakeAgain,
            18 => Usage::Die,
            _ => Usage::Oversleep,
        }
    }

    /// Asks for more time until a clear answer comes. False where the lock is lost; its time has run out then, or it is
    /// given up.
    async fn renew(&mut self, hold: &mut Hold, hold_millis: u64) -> bool {
        let fence = hold.fences.last().map_or(0, |given| given.fence);
        let body =
            format!("{{\"holder\":\"{}\",\"fence_token\":{fence},\"hold_s\":{}}}", self.name, seconds(hold_millis));
        loop {
            let answered = self.call(Method::PUT, &hold.lock.clone(), body.clone()).await;
            let now = shared_micros();
            if now >= hold.until {
                return false;
            }
            match answered {
                Some(answered) if answered.answer.status == 200 => {
                    hold.until = answered.sent + hold_millis * 1000;
                    return hold.until > now;
                }
                Some(_) => {
                    hold.until = now;
                    return false;
                }
                None => self.sleep(5, 50).await,
            }
        }
    }

    /// Asks for the lock that it holds once more.
    async fn take_again(&mut self, hold: &mut Hold, hold_millis: u64) {
        let Some(answered) = self.post(&hold.lock.clone(), hold_millis).await else { return };
        if let Some(fence) = fence_of(&answered.answer).filter(|_| answered.at < hold.until) {
            hold.fences.push(FenceGiven { sent: answered.sent, answered: answered.at, fence });
            hold.until = answered.sent + hold_millis * 1000;
        }
    }

    /// Gives a lock back. The caller stops counting itself holder before it sends the call.
    async fn release(&mut self, mut hold: Hold) {
        hold.until = hold.until.min(shared_micros());
        let fence = hold.fences.last().map_or(0, |given| given.fence);
        let body = format!("{{\"holder\":\"{}\",\"fence_token\":{fence}}}", self.name);
        let lock = hold.lock.clone();
        self.close(hold);
        loop {
            let is_answered = self.call(Method::DELETE, &lock, body.clone()).await.is_some();
            if is_answered || !self.random.chance(RELEASE_AGAIN_SHARE) {
                let share = if is_answered { SAME_LOCK_SHARE } else { SAME_LOCK_AFTER_SILENCE_SHARE };
                self.next_lock = self.random.chance(share).then_some(lock);
                return;
            }
            self.sleep(5, 50).await;
        }
    }

    fn close(&self, hold: Hold) {
        if hold.until > hold.from {
            self.shared.holds.borrow_mut().push(hold);
        }
    }
}

fn seconds(millis: u64) -> f64 {
    millis as f64 / 1000.0
}

fn fence_of(answer: &Return) -> Option<u64> {
    if answer.status != 200 {
        return None;
    }
    let body: Value = sonic_rs::from_slice(&answer.body).ok()?;
    body.get("fence_token").and_then(|fence| fence.as_u64())
}
