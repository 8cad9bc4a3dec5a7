//! Endpoints, senders and clients on virtual time.

use super::super::queue::{AdmissionQueue, Claim, Decision, Offer, Ticket};
use crate::dispatch::{Balance, Candidate};
use lineside::gossip::Occupancy;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;
use trackbed::clock::Moment;
use trackbed::ids::{InstanceId, NodeName, ZoneName};
use trackbed::random::Random;

/// The queue of one endpoint, as the world drives it.
pub trait EndpointQueue {
    fn with_slots(slots: u32) -> Self;
    fn offer(&mut self, claim: &Claim, now: Moment) -> Offer;
    fn withdraw(&mut self, ticket: Ticket);
    fn finish(&mut self, ticket: Ticket, now: Moment);
    fn next(&mut self, now: Moment) -> Option<Decision>;
    fn measured(&mut self, sort: u64, took: Duration);
    fn counts(&self) -> (u32, u32);
    fn service_micros(&self) -> u32;
}

impl EndpointQueue for AdmissionQueue {
    fn with_slots(slots: u32) -> Self {
        let mut queue = Self::default();
        queue.set_slots(slots);
        queue
    }
    fn offer(&mut self, claim: &Claim, now: Moment) -> Offer {
        self.offer(claim, now)
    }
    fn withdraw(&mut self, ticket: Ticket) {
        self.withdraw(ticket);
    }
    fn finish(&mut self, ticket: Ticket, now: Moment) {
        self.finish(ticket, now);
    }
    fn next(&mut self, now: Moment) -> Option<Decision> {
        self.next(now)
    }
    fn measured(&mut self, sort: u64, took: Duration) {
        self.work_mut().measured(sort, took);
    }
    fn counts(&self) -> (u32, u32) {
        self.counts()
    }
    fn service_micros(&self) -> u32 {
        self.work().recent_micros() as u32
    }
}

/// What clients ask for: so many requests a second, and more of them from one second to another.
#[derive(Clone, Copy)]
pub struct Load {
    pub per_second: f64,
    pub seconds: u64,
    /// First second, end, and how many times the load.
    pub burst: Option<(u64, u64, f64)>,
}

/// A kind of request. Times in milliseconds.
struct Kind {
    service: usize,
    work: f64,
    aim: u64,
    horizon: u64,
    /// How many calls of the last kind it makes together at half of its work, by this chance.
    calls: (usize, f64),
}

const READ: usize = 0;
const WRITE: usize = 1;
const CALL: usize = 2;
const KINDS: [Kind; 3] = [
    Kind { service: 0, work: 110.0, aim: 400, horizon: 1200, calls: (2, 0.7) },
    Kind { service: 1, work: 140.0, aim: 600, horizon: 1500, calls: (0, 0.0) },
    Kind { service: 1, work: 28.0, aim: 120, horizon: 300, calls: (0, 0.0) },
];
/// Reads among the requests of clients; the others are writes.
const READS: f64 = 0.76;
const ENDPOINTS: [usize; 2] = [24, 14];
const SPEEDS: [f64; 4] = [0.6, 1.0, 1.0, 1.4];
const SLOTS: u32 = 6;
const SENDERS: usize = 20;
const CANDIDATES: usize = 16;
const ASKED_AT_MOST: u32 = 5;
/// One way between two nodes.
const WAY: Duration = Duration::from_millis(2);
/// After a refusal a client tries once more.
const RETRY_AFTER: Duration = Duration::from_millis(80);

struct Request {
    kind: usize,
    sender: usize,
    begun: Moment,
    /// When the client asked first.
    asked: Moment,
    tries: u32,
    asked_nodes: Vec<usize>,
    candidates: Vec<usize>,
    work: f64,
    /// The request that waits for it, where it is a call.
    parent: Option<usize>,
    calls_left: usize,
    failed: bool,
    place: Option<(usize, Ticket, Moment)>,
}

enum Event {
    Arrive,
    Ask { request: usize, endpoint: usize },
    Choose { request: usize },
    HalfDone { request: usize },
    Done { request: usize },
    GiveUp { request: usize, endpoint: usize, ticket: Ticket },
}

struct Endpoint<Q> {
    queue: Q,
    speed: f64,
    service: usize,
    waiting: HashMap<Ticket, usize>,
}

/// Counts by second of the first ask: asked, in aim, late.
pub struct Figures(Vec<(u64, u64, u64)>);

impl Figures {
    fn share(&self, from: usize, to: usize, of: impl Fn(&(u64, u64, u64)) -> u64) -> f64 {
        let seconds = &self.0[from..to];
        let asked: u64 = seconds.iter().map(|second| second.0).sum();
        seconds.iter().map(of).sum::<u64>() as f64 / asked.max(1) as f64
    }
    pub fn in_aim(&self, from: usize, to: usize) -> f64 {
        self.share(from, to, |second| second.1)
    }
    pub fn late(&self, from: usize, to: usize) -> f64 {
        self.share(from, to, |second| second.2)
    }
}

pub struct World<Q> {
    now: Moment,
    start: Moment,
    load: Load,
    random: Random,
    events: BinaryHeap<Reverse<(Moment, u64)>>,
    by_number: HashMap<u64, Event>,
    next_event: u64,
    requests: Vec<Request>,
    endpoints: Vec<Endpoint<Q>>,
    candidates: Vec<Candidate>,
    senders: Vec<Balance>,
    figures: Vec<(u64, u64, u64)>,
}

impl<Q: EndpointQueue> World<Q> {
    pub fn new(load: Load, seed: u64) -> Self {
        let services = (0..2).flat_map(|service| std::iter::repeat_n(service, ENDPOINTS[service]));
        let endpoints: Vec<Endpoint<Q>> = services
            .enumerate()
            .map(|(index, service)| Endpoint {
                queue: Q::with_slots(SLOTS),
                speed: SPEEDS[index % SPEEDS.len()],
                service,
                waiting: HashMap::new(),
            })
            .collect();
        let candidates = (0..endpoints.len()).map(candidate).collect();
        let start = Moment::from_micros(10_000_000);
        Self {
            now: start,
            start,
            load,
            random: Random::seeded(seed),
            events: BinaryHeap::new(),
            by_number: HashMap::new(),
            next_event: 0,
            requests: Vec::new(),
            endpoints,
            candidates,
            senders: (0..SENDERS).map(|_| Balance::default()).collect(),
            figures: vec![(0, 0, 0); load.seconds as usize],
        }
    }

    pub fn run(mut self) -> Figures {
        self.after(Duration::ZERO, Event::Arrive);
        while let Some(Reverse((at, number))) = self.events.pop() {
            self.now = at;
            match self.by_number.remove(&number).expect("every event is known by its number") {
                Event::Arrive => self.arrive(),
                Event::Choose { request } => self.choose(request),
                Event::Ask { request, endpoint } => self.ask(request, endpoint),
                Event::HalfDone { request } => self.half_done(request),
                Event::Done { request } => self.done(request),
                Event::GiveUp { request, endpoint, ticket } => self.give_up(request, endpoint, ticket),
            }
        }
        Figures(self.figures)
    }

    fn after(&mut self, span: Duration, event: Event) {
        self.next_event += 1;
        self.events.push(Reverse((self.now + span, self.next_event)));
        self.by_number.insert(self.next_event, event);
    }

    /// An exponentially distributed number.
    fn exponential(&mut self, mean: f64) -> f64 {
        let uniform = (self.random.below(1_000_000) as f64 + 1.0) / 1_000_001.0;
        -uniform.ln() * mean
    }

    /// Work of a kind: a third of it fixed, the rest exponential.
    fn work(&mut self, kind: usize) -> f64 {
        let mean = KINDS[kind].work;
        mean / 3.0 + self.exponential(mean * 2.0 / 3.0)
    }

    fn second(&self, at: Moment) -> usize {
        ((at.since(self.start).as_secs()) as usize).min(self.figures.len() - 1)
    }

    fn arrive(&mut self) {
        let elapsed = self.now.since(self.start).as_secs();
        if elapsed >= self.load.seconds {
            return;
        }
        let times = self.load.burst.filter(|(from, to, _)| (*from..*to).contains(&elapsed)).map_or(1.0, |(_, _, x)| x);
        let gap = self.exponential(1e6 / (self.load.per_second * times));
        self.after(Duration::from_micros(gap as u64), Event::Arrive);
        let kind = if self.random.chance(READS) { READ } else { WRITE };
        let second = self.second(self.now);
        self.figures[second].0 += 1;
        self.begin(kind, None);
    }

    fn begin(&mut self, kind: usize, parent: Option<usize>) {
        let work = self.work(kind);
        let calls_left = if self.random.chance(KINDS[kind].calls.1) { KINDS[kind].calls.0 } else { 0 };
        let sender = self.random.below(SENDERS as u64) as usize;
        let request = self.requests.len();
        let (begun, asked) = (self.now, self.now);
        let (asked_nodes, candidates) = (Vec::new(), self.draw(KINDS[kind].service));
        self.requests.push(Request {
            kind,
            sender,
            begun,
            asked,
            tries: 1,
            asked_nodes,
            candidates,
            work,
            parent,
            calls_left,
            failed: false,
            place: None,
        });
        self.choose(request);
    }

    fn draw(&mut self, service: usize) -> Vec<usize> {
        let mut all: Vec<usize> =
            (0..self.endpoints.len()).filter(|index| self.endpoints[*index].service == service).collect();
        self.random.shuffle(&mut all);
        all.truncate(CANDIDATES);
        all
    }

    fn choose(&mut self, request: usize) {
        let Request { sender, ref candidates, ref asked_nodes, .. } = self.requests[request];
        let open = candidates.iter().filter(|index| !asked_nodes.contains(index)).map(|index| &self.candidates[*index]);
        let chosen = match asked_nodes.len() < ASKED_AT_MOST as usize {
            true => self.senders[sender].choose(open, self.now, 0.0, 0.0, &mut self.random).cloned(),
            false => None,
        };
        let Some(chosen) = chosen else { return self.refused(request) };
        let endpoint = self.candidates.iter().position(|known| known.instance == chosen.instance).expect("it is known");
        self.requests[request].asked_nodes.push(endpoint);
        self.senders[sender].begin(&chosen.instance);
        self.after(WAY, Event::Ask { request, endpoint });
    }

    fn ask(&mut self, request: usize, endpoint: usize) {
        let Request { kind, begun, .. } = self.requests[request];
        let target = begun + Duration::from_millis(KINDS[kind].aim);
        let claim = Claim {
            priority: 1,
            sort: kind as u64,
            horizon: begun + Duration::from_millis(KINDS[kind].horizon),
            target,
            patience: Duration::from_millis(KINDS[kind].aim),
        };
        match self.endpoints[endpoint].queue.offer(&claim, self.now) {
            Offer::Start(ticket) => self.start(request, endpoint, ticket),
            Offer::Wait { ticket, start_by } => {
                self.endpoints[endpoint].waiting.insert(ticket, request);
                self.after(self.now.until(start_by), Event::GiveUp { request, endpoint, ticket });
            }
            Offer::TurnAway { .. } => self.turned_away(request, endpoint),
        }
    }

    fn turned_away(&mut self, request: usize, endpoint: usize) {
        self.answered(request, endpoint);
        self.after(WAY, Event::Choose { request });
    }

    /// The sender hears from the endpoint's node how busy it is.
    fn answered(&mut self, request: usize, endpoint: usize) {
        let (running, queued) = self.endpoints[endpoint].queue.counts();
        let occupancy = Occupancy {
            instance: self.candidates[endpoint].instance.clone(),
            running,
            queued,
            slots: SLOTS,
            service_micros: self.endpoints[endpoint].queue.service_micros(),
            closed: false,
        };
        let sender = &mut self.senders[self.requests[request].sender];
        sender.end(&occupancy.instance);
        sender.told(&occupancy, self.now);
    }

    fn start(&mut self, request: usize, endpoint: usize, ticket: Ticket) {
        self.requests[request].place = Some((endpoint, ticket, self.now));
        self.work_on(request, Event::HalfDone { request });
    }

    fn work_on(&mut self, request: usize, then: Event) {
        let Request { work, place, .. } = self.requests[request];
        let (endpoint, _, _) = place.expect("it runs");
        let micros = work / 2.0 / self.endpoints[endpoint].speed * 1000.0;
        self.after(Duration::from_micros(micros as u64), then);
    }

    fn half_done(&mut self, request: usize) {
        let calls = self.requests[request].calls_left;
        if calls == 0 {
            return self.work_on(request, Event::Done { request });
        }
        (0..calls).for_each(|_| self.begin(CALL, Some(request)));
    }

    fn done(&mut self, request: usize) {
        let (endpoint, ticket, begun) = self.requests[request].place.take().expect("it runs");
        let queue = &mut self.endpoints[endpoint].queue;
        queue.measured(self.requests[request].kind as u64, self.now.since(begun));
        queue.finish(ticket, self.now);
        self.answered(request, endpoint);
        self.let_in(endpoint);
        match self.requests[request].parent {
            Some(parent) => self.call_ended(parent, true),
            None => self.note_served(request),
        }
    }

    fn note_served(&mut self, request: usize) {
        let Request { kind, asked, failed, .. } = self.requests[request];
        let second = self.second(asked);
        let took = self.now.since(asked) + WAY;
        match took <= Duration::from_millis(KINDS[kind].aim) {
            _ if failed => {}
            true => self.figures[second].1 += 1,
            false => self.figures[second].2 += 1,
        }
    }

    fn call_ended(&mut self, parent: usize, well: bool) {
        let caller = &mut self.requests[parent];
        caller.calls_left -= 1;
        caller.failed |= !well;
        if caller.calls_left == 0 {
            let failed = caller.failed;
            match failed {
                true => self.done(parent),
                false => self.work_on(parent, Event::Done { request: parent }),
            }
        }
    }

    fn let_in(&mut self, endpoint: usize) {
        while let Some(decision) = self.endpoints[endpoint].queue.next(self.now) {
            let (Decision::Start(ticket) | Decision::TurnAway(ticket)) = decision;
            let request = self.endpoints[endpoint].waiting.remove(&ticket).expect("whoever waits is known");
            match decision {
                Decision::Start(_) => self.start(request, endpoint, ticket),
                Decision::TurnAway(_) => self.turned_away(request, endpoint),
            }
        }
    }

    fn give_up(&mut self, request: usize, endpoint: usize, ticket: Ticket) {
        if self.endpoints[endpoint].waiting.remove(&ticket).is_some() {
            self.endpoints[endpoint].queue.withdraw(ticket);
            self.turned_away(request, endpoint);
        }
    }

    /// Nobody took it: a client tries once more, a call fails.
    fn refused(&mut self, request: usize) {
        let Request { parent, tries, kind, asked, .. } = self.requests[request];
        if let Some(parent) = parent {
            return self.call_ended(parent, false);
        }
        let left = (asked + Duration::from_millis(KINDS[kind].horizon)).since(self.now);
        if tries >= 2 || left < RETRY_AFTER * 3 {
            return;
        }
        let candidates = self.draw(KINDS[kind].service);
        let again = &mut self.requests[request];
        again.tries += 1;
        again.begun = self.now + RETRY_AFTER;
        again.asked_nodes.clear();
        again.candidates = candidates;
        self.after(RETRY_AFTER, Event::Choose { request });
    }
}

fn candidate(index: usize) -> Candidate {
    let name = format!("e{index}");
    Candidate {
        instance: InstanceId::new(&name),
        node: NodeName::new(&name),
        beside: ([10, 0, 0, index as u8], 1).into(),
        zone: ZoneName::new("z"),
        slots: SLOTS,
        is_local: false,
        same_zone: true,
        same_region: true,
    }
}
