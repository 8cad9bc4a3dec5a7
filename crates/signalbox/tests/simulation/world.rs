//! Members, their clocks, disks and the network between them, on virtual time.

use crate::clients::Client;
use crate::histories::Histories;
use crate::voters::{Departures, HandOverEnd, LeaveRule, Leaver, Leaving, VoterRule};
use interlocking::zab::{Envelope, Image, Record, TailLimits, Ticket, Timing, Voter, Zab};
use lineside::call::{ControlCall, ControlReturn};
use signalbox::ledger::Ledger;
use signalbox::replica::{CallId, Effect, ForwardReply, Forwarding, Outcome, Replica, Step};
use signalbox::resources::Places;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;
use trackbed::clock::Moment;
use trackbed::ids::{ConfigEpoch, MemberId};
use trackbed::random::Random;

pub type Host = usize;
pub type ClientId = usize;

/// How long events of keys are promised to be kept.
const HISTORY: Duration = Duration::from_secs(20);
const TICK: Duration = Duration::from_millis(50);
const SHORTEST_DELAY_MICROS: u64 = 200;
const DELAY_SPREAD_MICROS: u64 = 3_000;
const WRITE_MICROS: u64 = 300;
const WRITE_SPREAD_MICROS: u64 = 2_000;
const SLOW_WRITE_SPREAD_MICROS: u64 = 400_000;
/// Clocks of members run apart by this share at most.
const MOST_DRIFT: f64 = 0.01;
const COMPACT_EVERY_ENTRIES: usize = 300;
const TAIL: TailLimits = TailLimits { entries: 50, bytes: 1 << 20 };
const STALL_DISORDER_MICROS: u64 = 2_000;
const REPEATED_MESSAGES: f64 = 0.02;

fn address(host: Host) -> SocketAddr {
    ([10, 0, 0, host as u8 + 1], 7000).into()
}

/// Where the answer to a call goes that a member decides.
#[derive(Clone, Copy)]
enum Origin {
    /// The call came in at this member's own door.
    Door(u64),
    /// Another member passed it on.
    Peer { host: Host, life: u32, door: u64 },
}

/// A call at a member's door.
struct Door {
    client: ClientId,
    attempt: u64,
    call: ControlCall,
    forwarding: Forwarding,
    /// Counts the asks, so that a limit is told from that of an earlier ask.
    asked: u64,
}

pub enum Event {
    Message { host: Host, life: u32, envelope: Envelope },
    Written { host: Host, life: u32 },
    Tick { host: Host, life: u32 },
    Request { host: Host, client: ClientId, attempt: u64, call: ControlCall },
    DoorStep { host: Host, life: u32, door: u64 },
    Passed { host: Host, from: Host, from_life: u32, door: u64, asked: u64, call: ControlCall },
    PassedBack { host: Host, life: u32, door: u64, asked: u64, answer: Option<ControlReturn> },
    PassLimit { host: Host, life: u32, door: u64, asked: u64 },
    Answer { client: ClientId, attempt: u64, answer: ControlReturn },
    ClientWakes { client: ClientId },
    ClientLimit { client: ClientId, attempt: u64 },
    HandOverStep { host: Host, life: u32 },
    ReleaseAsked { host: Host, leaver: Leaver, limit: Duration },
    ReleaseAnswered { leaver: Leaver, is_released: bool },
    DepartureStep { host: Host, life: u32, number: u64 },
    ProcessEnds { host: Host, life: u32 },
}

impl Event {
    /// The member that it happens at; none where it is a client's.
    fn host(&self) -> Option<Host> {
        match self {
            Event::Message { host, .. }
            | Event::Written { host, .. }
            | Event::Tick { host, .. }
            | Event::Request { host, .. }
            | Event::DoorStep { host, .. }
            | Event::Passed { host, .. }
            | Event::PassedBack { host, .. }
            | Event::PassLimit { host, .. }
            | Event::HandOverStep { host, .. }
            | Event::ReleaseAsked { host, .. }
            | Event::DepartureStep { host, .. }
            | Event::ProcessEnds { host, .. } => Some(*host),
            Event::ReleaseAnswered { leaver, .. } => Some(leaver.host),
            Event::Answer { .. } | Event::ClientWakes { .. } | Event::ClientLimit { .. } => None,
        }
    }
}

struct Timed(Moment, u64, Option<Link>, Event);

/// A direction between two members, and how often it had been reset when the event was sent.
type Link = (Host, Host, u64);

impl PartialEq for Timed {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl Eq for Timed {}
impl PartialOrd for Timed {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Timed {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (other.0, other.1).cmp(&(self.0, self.1))
    }
}

/// One member's machine.
struct Member {
    replica: Option<Replica>,
    life: u32,
    timing: Timing,
    /// What is durable.
    image: Image,
    /// Written and not yet durable, in order.
    pending: VecDeque<(Ticket, Vec<Record>)>,
    slow_disk: bool,
    /// Until then its process does nothing. What comes in meanwhile waits.
    stalled_until: Moment,
    /// Its steady clock: where it started, and how fast it runs.
    clock_start: u64,
    clock_rate: f64,
    doors: BTreeMap<u64, Door>,
    deciding: BTreeMap<CallId, (Origin, u64)>,
    /// When it looks at the voters next, where it is the primary.
    next_tend: Moment,
    leaving: Option<Leaving>,
    departures: Departures,
}

impl Member {
    fn clock(&self, now: Moment) -> Moment {
        Moment::from_micros(self.clock_start + (now.micros() as f64 * self.clock_rate) as u64)
    }
}

/// Everything there is in one run.
pub struct World {
    pub now: Moment,
    pub random: Random,
    pub clients: Vec<Client>,
    pub histories: Histories,
    /// Share of messages between members that get lost.
    pub loss: f64,
    /// Share of answers to clients that get lost.
    pub answer_loss: f64,
    /// The version that each new primary led with, in order.
    pub led_with: Vec<ConfigEpoch>,
    /// Answers to scenarios' own calls that were not fetched yet.
    pub script_answers: BTreeMap<u64, ControlReturn>,
    /// Names the run: two runs of one seed have the same.
    pub trace: u64,
    pub voter_rule: VoterRule,
    /// Voters that the losses allowed for ask.
    pub needed_voters: usize,
    pub leave_rule: LeaveRule,
    /// How the hand-overs of members that left ended.
    pub hand_over_ends: BTreeMap<Host, HandOverEnd>,
    members: Vec<Member>,
    events: BinaryHeap<Timed>,
    sequence: u64,
    cuts: BTreeSet<(Host, Host)>,
    resets: BTreeMap<(Host, Host), u64>,
    last_id: u64,
}

impl World {
    /// Members that found the fleet, all with the usual timing, and no clients.
    pub fn new(seed: u64, members: usize) -> Self {
        Self::with_timings(seed, vec![Timing::default(); members])
    }

    /// Members with timings of their own.
    pub fn with_timings(seed: u64, timings: Vec<Timing>) -> Self {
        let voters: Vec<Voter> =
            (0..timings.len()).map(|host| Voter { id: MemberId(host as u64 + 1), address: address(host) }).collect();
        let mut world = Self {
            now: Moment::from_micros(10_000_000),
            random: Random::seeded(seed),
            clients: Vec::new(),
            histories: Histories::default(),
            loss: 0.0,
            answer_loss: 0.0,
            led_with: Vec::new(),
            script_answers: BTreeMap::new(),
            trace: 0,
            voter_rule: VoterRule::default(),
            needed_voters: timings.len(),
            leave_rule: LeaveRule::default(),
            hand_over_ends: BTreeMap::new(),
            members: Vec::new(),
            events: BinaryHeap::new(),
            sequence: 0,
            cuts: BTreeSet::new(),
            resets: BTreeMap::new(),
            last_id: 0,
        };
        for (host, timing) in timings.into_iter().enumerate() {
            world.push_member(Image::empty(MemberId(host as u64 + 1), voters.clone()), timing);
        }
        (0..world.members.len()).for_each(|host| world.start(host));
        world
    }

    /// Adds a machine that is not started yet.
    pub fn push_member(&mut self, image: Image, timing: Timing) -> Host {
        self.members.push(Member {
            replica: None,
            life: 0,
            timing,
            image,
            pending: VecDeque::new(),
            slow_disk: false,
            stalled_until: Moment::default(),
            clock_start: 10_000_000 + self.random.below(1_000_000_000),
            clock_rate: 1.0 - MOST_DRIFT / 2.0 + MOST_DRIFT * self.random.below(1000) as f64 / 1000.0,
            doors: BTreeMap::new(),
            deciding: BTreeMap::new(),
            next_tend: Moment::default(),
            leaving: None,
            departures: Departures::default(),
        });
        self.members.len() - 1
    }

    /// Tells every member that is up where all machines are.
    pub fn refresh_contacts(&mut self) {
        let contacts: Vec<SocketAddr> = (0..self.members.len()).map(address).collect();
        for replica in self.members.iter().filter_map(|member| member.replica.as_ref()) {
            replica.zab().borrow_mut().set_contacts(contacts.clone());
        }
    }

    /// A member's own clock.
    pub fn clock(&self, host: Host) -> Moment {
        self.members[host].clock(self.now)
    }

    /// Counts the starts and ends of a member's process.
    pub fn life(&self, host: Host) -> u32 {
        self.members[host].life
    }

    /// What a member's disk holds.
    pub fn image(&self, host: Host) -> &Image {
        &self.members[host].image
    }

    pub fn set_image(&mut self, host: Host, image: Image) {
        self.members[host].image = image;
    }

    /// The state machine of a member that is up.
    pub fn replica(&self, host: Host) -> &Replica {
        self.members[host].replica.as_ref().expect("the member is up")
    }

    pub fn replica_mut(&mut self, host: Host) -> &mut Replica {
        self.members[host].replica.as_mut().expect("the member is up")
    }

    pub fn host_at(&self, at: SocketAddr) -> Option<Host> {
        (0..self.members.len()).find(|host| address(*host) == at)
    }

    pub fn next_tend(&mut self, host: Host) -> &mut Moment {
        &mut self.members[host].next_tend
    }

    pub fn leaving(&mut self, host: Host) -> &mut Option<Leaving> {
        &mut self.members[host].leaving
    }

    pub fn departures(&mut self, host: Host) -> &mut Departures {
        &mut self.members[host].departures
    }

    pub fn member_count(&self) -> usize {
        self.members.len()
    }

    pub fn is_up(&self, host: Host) -> bool {
        self.members[host].replica.is_some()
    }

    /// The member that counts itself primary under its lease.
    pub fn primary(&self) -> Option<Host> {
        (0..self.members.len()).find(|host| {
            let member = &self.members[*host];
            member.replica.as_ref().is_some_and(|replica| replica.lease_holds(member.clock(self.now)))
        })
    }

    /// The committed state of a member that is up.
    pub fn committed(&self, host: Host) -> Ledger {
        self.replica(host).committed().borrow().clone()
    }

    /// Starts a member's process on what its disk holds.
    pub fn start(&mut self, host: Host) {
        let now = self.members[host].clock(self.now);
        let contacts = (0..self.members.len()).map(address).collect();
        let member = &mut self.members[host];
        if member.replica.is_some() {
            return;
        }
        member.life += 1;
        let committed =
            Ledger::decode(&member.image.snapshot.state, HISTORY, now).expect("the snapshot was written here");
        let me = Voter { id: member.image.member, address: address(host) };
        let mut zab = Zab::start(member.image.clone(), me, member.timing, member.life as u64, now);
        zab.set_contacts(contacts);
        member.replica = Some(Replica::new(zab, committed, HISTORY));
        let life = member.life;
        let jitter = Duration::from_micros(self.random.below(TICK.as_micros() as u64));
        self.schedule(jitter, Event::Tick { host, life });
    }

    /// Power is lost. Of the writes that were not durable yet, the first ones may have reached the disk.
    pub fn lose_power(&mut self, host: Host) {
        let kept = self.random.below(self.members[host].pending.len() as u64 + 1) as usize;
        let member = &mut self.members[host];
        for (_, records) in member.pending.drain(..).take(kept) {
            records.into_iter().for_each(|record| member.image.replay(record));
        }
        member.pending.clear();
        member.doors.clear();
        member.deciding.clear();
        member.leaving = None;
        member.departures = Departures::default();
        member.replica = None;
        member.life += 1;
    }

    /// Power and disk are lost: whoever starts here next is a new member that has to learn.
    pub fn wipe(&mut self, host: Host) {
        self.lose_power(host);
        let id = MemberId(self.random.draw() | 1);
        self.members[host].image = Image::empty(id, Vec::new());
    }

    pub fn set_slow_disk(&mut self, host: Host, slow: bool) {
        self.members[host].slow_disk = slow;
    }

    /// A member's process does nothing for a time, while its clock runs on.
    pub fn stall(&mut self, host: Host, span: Duration) {
        self.members[host].stalled_until = self.now + span;
    }

    /// Nothing gets from one member to another any more.
    pub fn cut_one_way(&mut self, from: Host, to: Host) {
        self.cuts.insert((from, to));
    }

    /// Cuts one member off from all others; clients still reach it.
    pub fn cut_off(&mut self, host: Host) {
        for other in (0..self.members.len()).filter(|other| *other != host) {
            self.cut_one_way(host, other);
            self.cut_one_way(other, host);
        }
    }

    /// Cuts the members of one side off from all others.
    pub fn cut_apart(&mut self, side: &[Host]) {
        for other in (0..self.members.len()).filter(|other| !side.contains(other)) {
            for host in side {
                self.cut_one_way(*host, other);
                self.cut_one_way(other, *host);
            }
        }
    }

    pub fn heal(&mut self) {
        self.cuts.clear();
    }

    /// The connection between two members breaks: what is under way on it is lost.
    pub fn reset(&mut self, one: Host, other: Host) {
        *self.resets.entry((one, other)).or_default() += 1;
        *self.resets.entry((other, one)).or_default() += 1;
    }

    /// Lets virtual time pass.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.events.peek().is_some_and(|next| next.0 <= end) {
            let Timed(now, sequence, link, event) = self.events.pop().expect("looked at just now");
            self.now = now;
            self.trace = self.trace.wrapping_mul(31).wrapping_add(now.micros() ^ sequence);
            if link.is_some_and(|(from, to, resets)| self.resets.get(&(from, to)).copied().unwrap_or(0) != resets) {
                continue;
            }
            match event.host().map(|host| self.members[host].stalled_until).filter(|until| *until > now) {
                Some(until) => self.take_later(until, event),
                None => self.take(event),
            }
        }
        self.now = end;
    }

    /// What came in during a stall is taken after it, in no certain order.
    fn take_later(&mut self, until: Moment, event: Event) {
        let disorder = Duration::from_micros(self.random.below(STALL_DISORDER_MICROS));
        self.schedule(self.now.until(until) + disorder, event);
    }

    /// Sends a client's call to a member.
    pub fn request(&mut self, host: Host, client: ClientId, attempt: u64, call: ControlCall) {
        let delay = self.delay();
        self.schedule(delay, Event::Request { host, client, attempt, call });
    }

    pub fn wake_client(&mut self, client: ClientId, after: Duration) {
        self.schedule(after, Event::ClientWakes { client });
    }

    pub fn limit_client(&mut self, client: ClientId, attempt: u64, after: Duration) {
        self.schedule(after, Event::ClientLimit { client, attempt });
    }

    /// A number that rises with each thing that happens.
    pub fn next_place(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }

    fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    fn delay(&mut self) -> Duration {
        Duration::from_micros(SHORTEST_DELAY_MICROS + self.random.below(DELAY_SPREAD_MICROS))
    }

    pub fn schedule(&mut self, after: Duration, event: Event) {
        let place = self.next_place();
        self.events.push(Timed(self.now + after, place, None, event));
    }

    /// Sends over the network between members. False when it is known at once not to arrive.
    pub fn send(&mut self, from: Host, to: Host, event: Event) -> bool {
        if self.cuts.contains(&(from, to)) || self.random.chance(self.loss) {
            return false;
        }
        let (delay, place) = (self.delay(), self.next_place());
        let resets = self.resets.get(&(from, to)).copied().unwrap_or(0);
        self.events.push(Timed(self.now + delay, place, Some((from, to, resets)), event));
        true
    }

    fn is_alive(&self, host: Host, life: u32) -> bool {
        self.members[host].life == life && self.members[host].replica.is_some()
    }

    /// Gives one input to a member's state machine, and carries out what comes of it.
    pub fn advance(&mut self, host: Host, input: impl FnOnce(&mut Replica, Moment) -> Vec<Effect>) {
        let member = &mut self.members[host];
        let now = member.clock(self.now);
        let Some(replica) = member.replica.as_mut() else { return };
        let effects = input(replica, now);
        self.carry_out(host, effects);
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Message { host, life, envelope } if self.is_alive(host, life) => {
                self.advance(host, |replica, now| replica.handle(envelope, now));
            }
            Event::Written { host, life } if self.is_alive(host, life) => self.written(host),
            Event::Tick { host, life } if self.is_alive(host, life) => {
                self.schedule(TICK, Event::Tick { host, life });
                self.advance(host, Replica::tick);
                self.tend_voters(host);
                self.compact(host);
            }
            Event::Request { host, client, attempt, call } if self.is_up(host) => {
                let door = self.next_id();
                let forwarding = Forwarding::begin(&call, self.members[host].clock(self.now));
                let arrived = Door { client, attempt, call, forwarding, asked: 0 };
                self.members[host].doors.insert(door, arrived);
                self.step_door(host, door);
            }
            Event::DoorStep { host, life, door } if self.is_alive(host, life) => self.step_door(host, door),
            Event::Passed { host, from, from_life, door, asked, call } if self.is_up(host) => {
                self.passed(host, from, from_life, door, asked, call);
            }
            Event::PassedBack { host, life, door, asked, answer } if self.is_alive(host, life) => {
                let reply = match answer {
                    Some(answer) => ForwardReply::Answered(answer),
                    None => ForwardReply::NotNow,
                };
                self.passed_back(host, door, asked, reply);
            }
            Event::PassLimit { host, life, door, asked } if self.is_alive(host, life) => {
                self.passed_back(host, door, asked, ForwardReply::NoReply);
            }
            Event::HandOverStep { host, life } if self.is_alive(host, life) => self.step_hand_over(host),
            Event::ReleaseAsked { host, leaver, limit } if self.is_up(host) => {
                self.begin_departure(host, leaver, limit);
            }
            Event::ReleaseAnswered { leaver, is_released } if self.is_alive(leaver.host, leaver.life) => {
                self.release_answered(leaver, is_released);
            }
            Event::DepartureStep { host, life, number } if self.is_alive(host, life) => {
                self.step_departure(host, number);
            }
            Event::ProcessEnds { host, life } if self.is_alive(host, life) => self.lose_power(host),
            Event::Answer { client, attempt, answer } => self.client_answered(client, attempt, answer),
            Event::ClientWakes { client } => self.client_wakes(client),
            Event::ClientLimit { client, attempt } => self.client_waited_enough(client, attempt),
            _ => {}
        }
    }

    fn written(&mut self, host: Host) {
        let member = &mut self.members[host];
        let Some((ticket, records)) = member.pending.pop_front() else { return };
        records.into_iter().for_each(|record| member.image.replay(record));
        self.advance(host, |replica, now| replica.durable(ticket, now));
    }

    /// A long history becomes a new image.
    fn compact(&mut self, host: Host) {
        let member = &mut self.members[host];
        let Some(replica) = member.replica.as_ref().filter(|_| member.pending.is_empty()) else { return };
        let mut zab = replica.zab().borrow_mut();
        if zab.history().len() < COMPACT_EVERY_ENTRIES {
            return;
        }
        let state = replica.committed().borrow().encode();
        zab.compact(state, TAIL);
        member.image = zab.image();
    }

    fn step_door(&mut self, host: Host, door: u64) {
        let member = &self.members[host];
        let (Some(at), Some(replica)) = (member.doors.get(&door), member.replica.as_ref()) else { return };
        let step = at.forwarding.next(replica.route(), member.clock(self.now));
        self.take_step(host, door, step);
    }

    fn take_step(&mut self, host: Host, door: u64, step: Step) {
        let life = self.members[host].life;
        match step {
            Step::DecideHere => {
                let call = self.members[host].doors[&door].call.clone();
                self.decide(host, Origin::Door(door), 0, &call);
            }
            Step::Ask { primary, limit } => self.pass_on(host, door, &primary, limit),
            Step::Pause(pause) => self.schedule(pause, Event::DoorStep { host, life, door }),
            Step::Answer(answer) => self.answer_client(host, door, answer),
        }
    }

    fn pass_on(&mut self, host: Host, door: u64, primary: &Voter, limit: Duration) {
        let life = self.members[host].life;
        let at = self.members[host].doors.get_mut(&door).expect("it is at the door");
        at.asked += 1;
        let (asked, call) = (at.asked, at.call.clone());
        let Some(to) = self.host_at(primary.address) else { return };
        self.send(host, to, Event::Passed { host: to, from: host, from_life: life, door, asked, call });
        self.schedule(limit, Event::PassLimit { host, life, door, asked });
    }

    fn passed(&mut self, host: Host, from: Host, from_life: u32, door: u64, asked: u64, call: ControlCall) {
        let replica = self.members[host].replica.as_ref().expect("the member is up");
        let is_primary = replica.zab().borrow().is_primary();
        if is_primary {
            return self.decide(host, Origin::Peer { host: from, life: from_life, door }, asked, &call);
        }
        self.send(host, from, Event::PassedBack { host: from, life: from_life, door, asked, answer: None });
    }

    fn passed_back(&mut self, host: Host, door: u64, asked: u64, reply: ForwardReply) {
        let member = &self.members[host];
        let Some(at) = member.doors.get(&door).filter(|at| at.asked == asked) else { return };
        let step = at.forwarding.after(reply, member.clock(self.now));
        if let Some(at) = self.members[host].doors.get_mut(&door) {
            at.asked += 1;
        }
        self.take_step(host, door, step);
    }

    fn decide(&mut self, host: Host, origin: Origin, asked: u64, call: &ControlCall) {
        let id = CallId(self.next_id());
        self.members[host].deciding.insert(id, (origin, asked));
        self.advance(host, |replica, now| replica.call(id, call, Places::ANY, now));
    }

    fn answer_client(&mut self, host: Host, door: u64, answer: ControlReturn) {
        let Some(Door { client, attempt, .. }) = self.members[host].doors.remove(&door) else { return };
        if self.random.chance(self.answer_loss) {
            return;
        }
        let delay = self.delay();
        self.schedule(delay, Event::Answer { client, attempt, answer });
    }

    fn carry_out(&mut self, host: Host, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Send { to, envelope } => self.send_message(host, to, envelope),
                Effect::Persist { ticket, records } => self.persist(host, ticket, records),
                Effect::Finish { call, outcome: Outcome::Answered(answer) } => self.finish(host, call, answer),
                Effect::Finish { .. } => unreachable!("no change of the fleet is ordered here"),
                Effect::BecamePrimary { .. } => {
                    let version = self.committed(host).fleet.epoch();
                    self.led_with.push(version);
                }
                Effect::ConfigurationCommitted(_) | Effect::FleetMoved | Effect::Deposed => {}
            }
        }
    }

    fn send_message(&mut self, host: Host, to: SocketAddr, envelope: Envelope) {
        let Some(target) = self.host_at(to) else { return };
        let life = self.members[target].life;
        if self.random.chance(REPEATED_MESSAGES) {
            self.send(host, target, Event::Message { host: target, life, envelope: envelope.clone() });
        }
        self.send(host, target, Event::Message { host: target, life, envelope });
    }

    fn persist(&mut self, host: Host, ticket: Ticket, records: Vec<Record>) {
        let member = &mut self.members[host];
        member.pending.push_back((ticket, records));
        let (life, slow) = (member.life, member.slow_disk);
        let spread = if slow { SLOW_WRITE_SPREAD_MICROS } else { WRITE_SPREAD_MICROS };
        let span = WRITE_MICROS + self.random.below(spread);
        self.schedule(Duration::from_micros(span), Event::Written { host, life });
    }

    fn finish(&mut self, host: Host, call: CallId, answer: ControlReturn) {
        match self.members[host].deciding.remove(&call) {
            Some((Origin::Door(door), _)) => self.answer_client(host, door, answer),
            Some((Origin::Peer { host: from, life, door }, asked)) => {
                self.send(host, from, Event::PassedBack { host: from, life, door, asked, answer: Some(answer) });
            }
            None => {}
        }
    }
}
