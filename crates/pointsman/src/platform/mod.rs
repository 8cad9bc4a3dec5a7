//! The endpoints whose slots this node holds, and all that is true of them: the one beside it, or
//! those at home here.

mod admission;
mod beats;
#[cfg(test)]
mod cold_tests;
mod coldness;
mod exchange;
#[cfg(test)]
mod exchange_tests;
mod health;
mod homes;
pub mod ownership;
mod permits;
mod process_end;
#[cfg(test)]
mod tests;
mod way_out;

pub use admission::{Admission, Claim, Slot, TurnedAway};
pub use beats::BeatsDoor;
pub use coldness::{ColdLimits, ColdTally, FormerSender, SendShare};
pub use exchange::{Lines, RightToSend, at_endpoint};
pub use health::{Health, Sign};
pub use homes::{Gate, Homes, Seat};
pub use ownership::Ownership;
pub use permits::{Permits, sign_of_word, word_of_sign};
pub use process_end::ProcessEnd;
pub use way_out::WayOut;

use crate::dispatch::{Binding, Errand, GoResult, Outcome, Passed};
use lineside::aggregation::Reservations;
use lineside::gossip::Occupancy;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use timetable::fleet::{FleetState, Instance};
use trackbed::clock::{self, Moment};
use trackbed::config::Bounds;
use trackbed::http::{Guard, Return};
use trackbed::ids::{InstanceId, ServiceName, ZoneName};

/// For how long a failed call excuses the endpoint's own failures.
const EXCUSED: Duration = Duration::from_millis(700);

/// When a request for a key that the endpoint doesn't hold may be tried again.
const KEY_ELSEWHERE: Duration = Duration::from_millis(350);

/// What an outcome tells of the endpoint's health; nothing where it may be the request's own fault.
pub fn sign_of(outcome: &Outcome, span: Duration, usual: Duration) -> Option<Sign> {
    match outcome {
        Outcome::Answered(answer) if answer.status < 500 => Some(Sign::Well),
        Outcome::Answered(_) | Outcome::NotExecuted => Some(Sign::Declined),
        Outcome::Failed(_) => Some(Sign::Broken),
        Outcome::OverHorizon => (span > usual * 3).then_some(Sign::Broken),
        Outcome::NotSent => Some(Sign::Unreachable),
        Outcome::NotTaken { .. } | Outcome::Misdirected => None,
    }
}

/// One life of the endpoint, as this node knows it.
#[derive(Clone, Debug)]
pub struct Life {
    pub instance: Instance,
    /// The highest sequence heard. Invariant: a beat below it changes nothing.
    pub sequence: u64,
    pub heard: Moment,
    /// It says so, or has signed off: nothing new goes to it. Invariant: never taken back in one life.
    pub leaving: bool,
    /// Its heartbeats list the keys that it holds.
    pub lists_keys: bool,
}

pub struct Platform {
    pub address: Option<SocketAddr>,
    pub life: RefCell<Option<Life>>,
    /// Lives that signed off, so that a late beat revives none.
    pub ended: RefCell<Vec<InstanceId>>,
    pub admission: Rc<Admission>,
    pub lines: Rc<Lines>,
    pub health: Health,
    pub way_out: WayOut,
    /// Whether the endpoint's process is over, by its connections. Meaningless where other machines reach it too.
    pub process_end: ProcessEnd,
    /// The keys that the endpoint holds, where its service is divided by key.
    pub ownership: Ownership,
    /// When a request that began at this node last failed. What the endpoint calls while it runs a request
    /// begins here too: its own failure may be another's then.
    pub begun_failed: Cell<Moment>,
    /// What the machine's link carries in a second, in bytes, where that is known.
    pub link: Cell<Option<f64>>,
    /// Bindings of what runs at the endpoint, or may still run there, each until when.
    pub bindings: RefCell<Vec<(u64, Moment, Binding)>>,
    next_binding: Cell<u64>,
    /// This node is about to end and takes nothing more for the endpoint.
    pub closed: Cell<bool>,
    /// The endpoint's zone is evacuated: nothing new goes to it.
    is_evacuated: Cell<bool>,
    /// No configuration is known yet, by which to tell what may go to the endpoint.
    awaits_fleet: Cell<bool>,
    /// Where the endpoint answers how it is, by the configuration.
    health_path: RefCell<Option<String>>,
    /// By what requests name their route by: how many ended well here, and how long the endpoint was at them.
    /// Invariant: of all since it was last taken.
    work: RefCell<HashMap<u64, (u64, u64)>>,
}

/// Heartbeats that may be missing before an endpoint counts as silent.
const HEARTBEATS_MISSED: u32 = 3;
/// How many times as long a cold endpoint is taken to need.
const SLOWER_WHILE_COLD: u32 = 2;
/// An endpoint that did not answer how it is, or answered for another life, is asked again so much later.
const ASKED_AGAIN_AFTER: Duration = Duration::from_millis(50);

/// Routes whose work is told apart between two takings.
const MOST_SORTS: usize = 512;

impl Platform {
    pub fn new(address: Option<SocketAddr>, lines: Rc<Lines>) -> Self {
        Self {
            address,
            life: RefCell::new(None),
            ended: RefCell::new(Vec::new()),
            admission: Rc::default(),
            lines,
            health: Health::default(),
            way_out: WayOut::default(),
            process_end: ProcessEnd::default(),
            ownership: Ownership::default(),
            begun_failed: Cell::default(),
            link: Cell::new(None),
            bindings: RefCell::default(),
            next_binding: Cell::new(0),
            closed: Cell::new(false),
            is_evacuated: Cell::new(false),
            awaits_fleet: Cell::new(false),
            health_path: RefCell::default(),
            work: RefCell::default(),
        }
    }

    /// What the endpoint was at since this was last asked: service, route, how many, microseconds.
    pub fn take_work(&self) -> Vec<(ServiceName, u64, u64, u64)> {
        let work = std::mem::take(&mut *self.work.borrow_mut());
        let life = self.life.borrow();
        let Some(service) = life.as_ref().map(|life| &life.instance.service) else { return Vec::new() };
        work.into_iter().map(|(sort, (served, micros))| (service.clone(), sort, served, micros)).collect()
    }

    /// Holds the endpoint to what is reserved of its service.
    pub fn reserve(&self, reservations: &Reservations) {
        let life = self.life.borrow();
        let bound = life.as_ref().and_then(|life| {
            let instance = &life.instance;
            reservations.bound(instance.service.as_str(), instance.slots)
        });
        self.admission.reserve(bound);
    }

    /// How busy the endpoint is, for all to know.
    pub fn occupancy(&self, now: Moment) -> Option<Occupancy> {
        let life = self.life.borrow();
        let life = life.as_ref()?;
        let (running, queued) = self.admission.counts();
        let (slowness, is_full) = self.admission.cold(|cold| match cold.is_limited(now) {
            true => (SLOWER_WHILE_COLD, !cold.admits(now)),
            false => (1, false),
        });
        Some(Occupancy {
            instance: life.instance.id.clone(),
            running,
            queued,
            slots: life.instance.slots,
            service_micros: self.admission.service_micros(now).saturating_mul(slowness),
            closed: is_full || !self.is_open(life) || self.health.is_aside(now),
        })
    }

    /// Nothing new goes to this life any more.
    pub fn leave_life(&self) {
        if let Some(life) = self.life.borrow_mut().as_mut() {
            life.leaving = true;
        }
    }

    fn result(&self, outcome: Outcome) -> GoResult {
        GoResult { outcome, occupancy: self.occupancy(clock::now()), spent: None }
    }

    fn passed(&self, why: Passed, free_in: Duration) -> GoResult {
        self.result(Outcome::NotTaken { why, free_in })
    }

    /// Whether the life that an errand names is here and does not leave.
    fn is_here(&self, instance: &InstanceId) -> bool {
        let life = self.life.borrow();
        life.as_ref().is_some_and(|life| life.instance.id == *instance && self.is_open(life))
    }

    /// Whether anything new goes to a life.
    fn is_open(&self, life: &Life) -> bool {
        !life.leaving && !self.closed.get() && !self.is_evacuated.get() && !self.awaits_fleet.get()
    }

    /// Nothing goes to the endpoint until it is known what the configuration and the operator want.
    pub fn await_fleet(&self) {
        self.awaits_fleet.set(true);
    }

    /// Takes in what the fleet's state says of the endpoint's zone and service.
    pub fn follow(&self, fleet: &FleetState, bounds: &Bounds, now: Moment) {
        let Some(routes) = fleet.routes() else { return };
        self.awaits_fleet.set(false);
        let Some((service, zone)) = self.service_and_zone() else { return };
        let limits = ColdLimits::of(&service, routes, bounds);
        let path = routes.service(&service).and_then(|service| service.health_path.clone());
        let can_ask = path.is_some() && self.address.is_some();
        *self.health_path.borrow_mut() = path;
        let is_evacuated = fleet.is_evacuated(&zone);
        let was_evacuated = self.is_evacuated.replace(is_evacuated);
        self.admission.change_cold(|cold| {
            cold.set_limits(limits, can_ask);
            if was_evacuated != is_evacuated {
                cold.forget(now);
            }
        });
    }

    /// Whether this node hears what is ordered; it must hear the endpoint's heartbeats too.
    pub fn note_touch(&self, hears_orders: bool, heartbeat: Duration, now: Moment) {
        let heard = self.life.borrow().as_ref().map(|life| life.heard);
        let hears_endpoint = heard.is_none_or(|heard| now.since(heard) < heartbeat * HEARTBEATS_MISSED);
        self.set_in_touch(hears_orders && hears_endpoint);
    }

    /// Whether what concerns the endpoint is heard here.
    fn set_in_touch(&self, is_in_touch: bool) {
        if self.admission.cold(|cold| cold.is_in_touch()) != is_in_touch {
            self.admission.change_cold(|cold| cold.set_in_touch(is_in_touch));
        }
    }

    /// What went out to the endpoint since this was last taken, by what was known of it.
    pub fn take_cold_tally(&self) -> ColdTally {
        self.admission.change_cold(|cold| cold.take_tally())
    }

    fn service_and_zone(&self) -> Option<(ServiceName, ZoneName)> {
        let life = self.life.borrow();
        life.as_ref().map(|life| (life.instance.service.clone(), life.instance.zone.clone()))
    }

    /// Asks the endpoint how it is, where a request is for it and that isn't known.
    fn learn_warmth(&self, now: Moment) {
        if !self.admission.cold(|cold| cold.wants_word(now)) {
            return;
        }
        let Some(asked) = self.admission.change_cold(|cold| cold.ask(now)) else { return };
        let place = self.address.zip(self.health_path.borrow().clone());
        let (lines, connections) = (self.lines.clone(), self.process_end.connections().clone());
        let instance = self.life.borrow().as_ref().map(|life| life.instance.id.clone());
        let admission = self.admission.clone();
        monoio::spawn(async move {
            let remaining = loop {
                let word = match place.clone() {
                    Some((address, path)) => coldness::ask_health(&lines, address, path, &connections).await,
                    None => None,
                };
                let own_word = word.filter(|word| Some(&word.instance) == instance.as_ref());
                if let Some(word) = own_word {
                    break Some(word.cold_remaining);
                }
                monoio::time::sleep(ASKED_AGAIN_AFTER).await;
                // Nobody else asks for those who wait for the answer alone.
                if admission.counts().1 == 0 || !admission.cold(|cold| cold.is_open(asked)) {
                    break None;
                }
            };
            log::debug!("asked for its health, {instance:?} is cold for {remaining:?}");
            admission.change_cold(|cold| cold.answered(asked, remaining, clock::now()));
        });
    }

    /// Whether an errand for that life, let in already, may go to it.
    pub fn takes_on(&self, instance: &InstanceId, now: Moment) -> bool {
        self.is_here(instance) && !self.health.is_aside(now)
    }

    /// Whether an errand for that life is taken now.
    pub fn takes(&self, instance: &InstanceId, now: Moment) -> bool {
        self.takes_on(instance, now) && !(self.health.is_on_trial() && self.admission.counts().0 > 0)
    }

    /// Takes an errand to the endpoint, if it can be run in time.
    pub async fn run(&self, errand: &Errand) -> GoResult {
        self.run_in(errand, None).await
    }

    /// The same, with a slot that was given for it before.
    pub async fn run_in(&self, errand: &Errand, given: Option<Slot>) -> GoResult {
        let now = clock::now();
        let takes = match &given {
            Some(_) => self.takes_on(&errand.instance, now),
            None => self.takes(&errand.instance, now),
        };
        if !takes {
            return self.passed(Passed::Gone, Duration::from_millis(50));
        }
        self.learn_warmth(now);
        if let Some(key) = errand.key.filter(|_| given.is_none()) {
            self.ownership.asked_for(key);
        }
        if errand.key.is_some_and(|key| !self.ownership.may_hold(key, now)) {
            return self.passed(Passed::NotHeld, KEY_ELSEWHERE);
        }
        let promised = match self.way_out.promise(errand.sort, self.link.get(), now.until(errand.target)) {
            Ok(promised) => promised,
            Err(free_in) => return self.passed(Passed::Busy, free_in),
        };
        let admitted = match given {
            Some(slot) => Ok(slot),
            None => {
                let claim = errand.claim();
                let waiting = self.admission.admit(&claim, now);
                match errand.request.presence.unless_left(waiting).await {
                    Some(admitted) => admitted,
                    None => return self.result(Outcome::abandoned()),
                }
            }
        };
        let slot = match admitted {
            Ok(slot) => slot,
            Err(TurnedAway { late, free_in }) => {
                return self.passed(if late { Passed::Late } else { Passed::Busy }, free_in);
            }
        };
        // The life may have gone, and the time run out, while the errand stood in the queue.
        let now = clock::now();
        if !self.takes_on(&errand.instance, now) {
            return self.passed(Passed::Gone, Duration::from_millis(20));
        }
        // So may its key.
        if errand.key.is_some_and(|key| !self.ownership.may_hold(key, now)) {
            return self.passed(Passed::NotHeld, KEY_ELSEWHERE);
        }
        if errand.request.presence.has_left() {
            return self.result(Outcome::abandoned());
        }
        if errand.left(now) < Duration::from_millis(2) {
            return self.passed(Passed::Late, Duration::from_millis(50));
        }
        let bound = self.bind(errand);
        let mut outcome = match self.address {
            Some(address) => {
                at_endpoint(address, &self.lines, errand, RightToSend::Slot(&slot), Some(&self.process_end)).await
            }
            None => Outcome::NotSent,
        };
        let ended = clock::now();
        let span = ended.since(now);
        let usual = self.admission.usual(errand.sort);
        self.learn(errand.sort, sign_of(&outcome, span, usual), span, ended);
        // After any other outcome the endpoint may go on until the horizon, and make its calls.
        if let (Some(bound), Outcome::Answered(_) | Outcome::NotExecuted | Outcome::Misdirected | Outcome::NotSent) =
            (bound, &outcome)
        {
            self.bindings.borrow_mut().retain(|(number, _, _)| *number != bound);
        }
        if let Outcome::Answered(answer) = &mut outcome {
            self.way_out.measured(errand.sort, answer.length());
            answer.guard = promised.map(|promised| Guard(Box::new(promised)));
        }
        if let Outcome::Answered(Return { flow: Some(flow), .. }) = &mut outcome {
            // The endpoint is at it until the body has gone through.
            flow.hold(Box::new(slot));
        }
        self.result(outcome)
    }

    /// Takes in what a request showed.
    pub fn learn(&self, sort: u64, sign: Option<Sign>, span: Duration, now: Moment) {
        let excused = sign == Some(Sign::Declined) && now.since(self.begun_failed.get()) < EXCUSED;
        let sign = sign.filter(|_| !excused);
        if let Some(sign) = sign {
            self.health.shows(sign, now);
        }
        if sign == Some(Sign::Well) {
            self.admission.measured(sort, span);
            let mut work = self.work.borrow_mut();
            let sort = if work.len() < MOST_SORTS || work.contains_key(&sort) { sort } else { 0 };
            let (served, micros) = work.entry(sort).or_default();
            *served += 1;
            *micros += span.as_micros() as u64;
        }
    }

    fn bind(&self, errand: &Errand) -> Option<u64> {
        if errand.binding.is_free() {
            return None;
        }
        let number = self.next_binding.get();
        self.next_binding.set(number + 1);
        self.bindings.borrow_mut().push((number, errand.horizon, errand.binding.clone()));
        Some(number)
    }

    /// What every request that runs at the endpoint permits. Its own region always does, as each of
    /// them was permitted here. Free once nothing bound runs any more.
    pub fn bound(&self, now: Moment) -> Binding {
        let mut bindings = self.bindings.borrow_mut();
        bindings.retain(|(_, until, _)| now < *until);
        let mut all = bindings.iter().fold(Binding::default(), |all, (_, _, binding)| all.and(binding));
        all.tenant = None;
        all
    }
}
