//! Members on virtual time, under loss, reordering, cuts, kills, losses of power and of disks, and
//! changes of the voters. After every step the paper's properties are checked.

use super::*;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::SocketAddr;
use std::time::Duration;
use trackbed::clock::Moment;
use trackbed::ids::{MemberId, ZabEpoch, Zxid};
use trackbed::random::Random;

type Host = u8;

fn address(host: Host) -> SocketAddr {
    ([10, 0, 0, host + 1], 7000).into()
}

enum Event {
    Arrive { host: Host, life: u32, envelope: Envelope },
    Written { host: Host, life: u32 },
    Tick { host: Host, life: u32 },
    Start { host: Host },
}

struct Timed(Moment, u64, Event);

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

struct Member {
    zab: Option<Zab>,
    life: u32,
    /// What is durable.
    image: Image,
    /// Written and not yet durable, in order.
    pending: std::collections::VecDeque<(Ticket, Vec<Record>)>,
    /// What was delivered: the application's state.
    state: Vec<u64>,
    slow_disk: bool,
}

struct World {
    now: Moment,
    random: Random,
    events: BinaryHeap<Timed>,
    sequence: u64,
    members: Vec<Member>,
    cut: BTreeSet<(Host, Host)>,
    loss: f64,
    /// Total order: what any member delivered, in order.
    order: Vec<u64>,
    proposed: BTreeMap<u64, (Host, Zxid)>,
    next_value: u64,
    /// How many of `order` had been acknowledged to somebody.
    acknowledged: usize,
    primaries: BTreeMap<ZabEpoch, Host>,
    elections: usize,
    /// Messages sent, and calls of `propose` that were taken.
    messages: u64,
    proposals: u64,
}

const SPREAD: u64 = 3_000;

impl World {
    fn new(seed: u64, hosts: Host, founders: Host) -> Self {
        let voters: Vec<Voter> =
            (0..founders).map(|host| Voter { id: MemberId(host as u64 + 1), address: address(host) }).collect();
        let members = (0..hosts)
            .map(|host| {
                let founder = host < founders;
                let id = MemberId(host as u64 + 1);
                Member {
                    zab: None,
                    life: 0,
                    image: Image::empty(id, if founder { voters.clone() } else { Vec::new() }),
                    pending: Default::default(),
                    state: Vec::new(),
                    slow_disk: false,
                }
            })
            .collect();
        let mut world = Self {
            now: Moment::from_micros(10_000_000),
            random: Random::seeded(seed),
            events: BinaryHeap::new(),
            sequence: 0,
            members,
            cut: BTreeSet::new(),
            loss: 0.0,
            order: Vec::new(),
            proposed: BTreeMap::new(),
            next_value: 1,
            acknowledged: 0,
            primaries: BTreeMap::new(),
            elections: 0,
            messages: 0,
            proposals: 0,
        };
        for host in 0..hosts {
            world.start(host);
        }
        world
    }

    fn at(&mut self, after: Duration, event: Event) {
        self.sequence += 1;
        self.events.push(Timed(self.now + after, self.sequence, event));
    }

    fn start(&mut self, host: Host) {
        let now = self.now;
        let member = &mut self.members[host as usize];
        if member.zab.is_some() {
            return;
        }
        member.life += 1;
        member.state = decode(&member.image.frame.state);
        let me = Voter { id: member.image.member, address: address(host) };
        let mut zab = Zab::start(member.image.clone(), me, Timing::default(), now);
        zab.set_contacts((0..3).map(address).collect());
        member.zab = Some(zab);
        let life = member.life;
        self.at(Duration::from_millis(1), Event::Tick { host, life });
    }

    /// Ends the process. Of what was not yet durable, the first part may have reached the disk.
    fn kill(&mut self, host: Host) {
        let kept = self.random.below(self.members[host as usize].pending.len() as u64 + 1);
        let member = &mut self.members[host as usize];
        for _ in 0..kept {
            let (_, records) = member.pending.pop_front().unwrap();
            records.into_iter().for_each(|record| member.image.replay(record));
        }
        member.pending.clear();
        member.zab = None;
        member.life += 1;
    }

    /// The disk is lost: whoever starts here next is a new member that has to learn.
    fn wipe(&mut self, host: Host) {
        self.kill(host);
        let id = MemberId(self.random.draw() | 1);
        self.members[host as usize].image = Image::empty(id, Vec::new());
    }

    fn act(&mut self, host: Host, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, message } => self.send(host, to, message),
                Action::Persist { ticket, records } => {
                    let member = &mut self.members[host as usize];
                    member.pending.push_back((ticket, records));
                    let (life, slow) = (member.life, member.slow_disk);
                    let span = 300 + self.random.below(if slow { 400_000 } else { 2_000 });
                    self.at(Duration::from_micros(span), Event::Written { host, life });
                }
                Action::Deliver { payload, .. } => self.delivered(host, decode(&payload)[0]),
                Action::DeliverFrame { state, .. } => {
                    let state = decode(&state);
                    // Agreement: a frame is a part of the one order.
                    assert!(state.len() <= self.order.len() && state[..] == self.order[..state.len()]);
                    self.members[host as usize].state = state;
                }
                Action::Ready { epoch } => {
                    // One primary for an epoch, and it has delivered all that came before.
                    assert!(self.primaries.insert(epoch, host).is_none(), "two primaries of epoch {epoch}");
                    assert!(
                        self.members[host as usize].state.len() >= self.acknowledged,
                        "a primary without what was acknowledged"
                    );
                    self.elections += 1;
                }
                Action::Deposed => {}
            }
        }
    }

    fn delivered(&mut self, host: Host, value: u64) {
        let place = self.members[host as usize].state.len();
        // Integrity: somebody broadcast it. Total order and agreement: all deliver one sequence.
        let (proposer, zxid) = *self.proposed.get(&value).expect("delivered what nobody broadcast");
        match self.order.get(place) {
            Some(known) => assert_eq!(*known, value, "two orders at {place}"),
            None => {
                // Local and global primary order: by epoch, then by counter.
                if let Some(last) = self.order.last() {
                    assert!(self.proposed[last].1 < zxid, "order of primaries broken");
                }
                self.order.push(value);
            }
        }
        self.members[host as usize].state.push(value);
        let own = self.members[host as usize].zab.as_ref().unwrap();
        if proposer == host && own.is_primary() && own.epoch() == zxid.epoch {
            // Here the caller hears that it is done.
            self.acknowledged = self.acknowledged.max(place + 1);
        }
    }

    fn send(&mut self, host: Host, to: Voter, message: Message) {
        self.messages += 1;
        let Some(target) = (0..self.members.len() as Host).find(|other| address(*other) == to.address) else {
            return;
        };
        if self.cut.contains(&(host, target)) || self.random.chance(self.loss) {
            return;
        }
        let from = self.members[host as usize].zab.as_ref().unwrap().me().clone();
        let envelope = Envelope { from, to: to.id, message };
        // No order between messages is relied on, and some come twice.
        let copies = if self.random.chance(0.02) { 2 } else { 1 };
        for _ in 0..copies {
            let life = self.members[target as usize].life;
            let span = Duration::from_micros(200 + self.random.below(SPREAD));
            self.at(span, Event::Arrive { host: target, life, envelope: envelope.clone() });
        }
    }

    fn propose(&mut self) {
        let Some(host) = (0..self.members.len() as Host)
            .find(|host| self.members[*host as usize].zab.as_ref().is_some_and(Zab::is_primary))
        else {
            return;
        };
        let now = self.now;
        let values: Vec<u64> = (0..1 + self.random.below(3)).map(|offset| self.next_value + offset).collect();
        self.next_value += values.len() as u64;
        let zab = self.members[host as usize].zab.as_mut().unwrap();
        let changes = values.iter().map(|value| encode(&[*value])).collect();
        if let Some((last, actions)) = zab.propose(changes, now) {
            self.proposals += 1;
            let first = last.counter + 1 - values.len() as u64;
            for (offset, value) in values.iter().enumerate() {
                self.proposed.insert(*value, (host, Zxid { epoch: last.epoch, counter: first + offset as u64 }));
            }
            self.act(host, actions);
        }
    }

    /// What the control plane's own duty does, one step at a time.
    fn tend_members(&mut self, host: Host) {
        let now = self.now;
        let zab = self.members[host as usize].zab.as_mut().unwrap();
        if !zab.is_primary() || zab.voters_change_pending() {
            return;
        }
        let voters = zab.voters().clone();
        let learners = zab.caught_up_learners();
        let gone = voters
            .iter()
            .find(|voter| learners.iter().any(|learner| learner.address == voter.address))
            .filter(|_| voters.len() > 1);
        let wanted: Vec<Voter> = match (gone, learners.first()) {
            (Some(gone), _) => voters.iter().filter(|voter| *voter != gone).cloned().collect(),
            (None, Some(learner)) => voters.iter().cloned().chain([learner.clone()]).collect(),
            (None, None) => return,
        };
        if let Some(actions) = zab.propose_voters(wanted, now) {
            self.act(host, actions);
        }
    }

    fn check_leases(&self) {
        let holders: Vec<usize> = (0..self.members.len())
            .filter(|host| self.members[*host].zab.as_ref().is_some_and(|zab| zab.lease_holds(self.now)))
            .collect();
        assert!(holders.len() <= 1, "two leases at once");
        for host in holders {
            assert!(self.members[host].state.len() >= self.acknowledged, "a read under the lease would be stale");
        }
    }

    fn run(&mut self, span: Duration, rate: f64) {
        let end = self.now + span;
        while let Some(next) = self.events.peek() {
            if next.0 > end {
                break;
            }
            let Timed(now, _, event) = self.events.pop().unwrap();
            self.now = now;
            match event {
                Event::Arrive { host, life, envelope } => {
                    if self.members[host as usize].life != life {
                        continue;
                    }
                    if let Some(zab) = self.members[host as usize].zab.as_mut() {
                        let actions = zab.handle(envelope, now);
                        self.act(host, actions);
                    }
                }
                Event::Written { host, life } => {
                    let member = &mut self.members[host as usize];
                    if member.life != life {
                        continue;
                    }
                    let Some((ticket, records)) = member.pending.pop_front() else {
                        continue;
                    };
                    records.into_iter().for_each(|record| member.image.replay(record));
                    let actions = member.zab.as_mut().map(|zab| zab.durable(ticket, now)).unwrap_or_default();
                    self.act(host, actions);
                }
                Event::Tick { host, life } => {
                    if self.members[host as usize].life != life {
                        continue;
                    }
                    self.at(Duration::from_millis(20), Event::Tick { host, life });
                    let Some(zab) = self.members[host as usize].zab.as_mut() else {
                        continue;
                    };
                    let actions = zab.tick(now);
                    self.act(host, actions);
                    if self.random.chance(rate) {
                        self.propose();
                    }
                    if self.random.chance(0.1) {
                        self.tend_members(host);
                    }
                    if self.random.chance(0.01) {
                        self.fold(host);
                    }
                }
                Event::Start { host } => self.start(host),
            }
            self.check_leases();
        }
        self.now = end;
    }

    /// Folds the history into a new image, as the control plane does.
    fn fold(&mut self, host: Host) {
        let member = &mut self.members[host as usize];
        let Some(zab) = member.zab.as_mut() else { return };
        if !member.pending.is_empty() || zab.history().len() < 20 {
            return;
        }
        zab.compact(encode(&member.state), 5);
        member.image = zab.image();
    }

    fn all_vote(&self) -> bool {
        let voters = self.members.iter().filter_map(|member| member.zab.as_ref()).find(|zab| zab.is_primary());
        voters.is_some_and(|primary| {
            self.members.iter().all(|member| primary.voters().iter().any(|voter| voter.id == member.image.member))
                && primary.voters().len() == self.members.len()
                && !primary.voters_change_pending()
        })
    }

    fn disturb(&mut self, wiped: &mut Option<Host>) {
        let host = self.random.below(self.members.len() as u64) as Host;
        if wiped.is_some() && self.all_vote() {
            *wiped = None;
        }
        match self.random.below(10) {
            0 | 1 => {
                self.kill(host);
                let back = Duration::from_millis(5 + self.random.below(1500));
                self.at(back, Event::Start { host });
            }
            2 => {
                for host in 0..self.members.len() as Host {
                    self.kill(host);
                    let back = Duration::from_millis(5 + self.random.below(300));
                    self.at(back, Event::Start { host });
                }
            }
            3 => {
                // One disk at a time may be lost, and only when all that were lost have learnt again.
                if wiped.is_none() && self.all_vote() {
                    *wiped = Some(host);
                    self.wipe(host);
                    self.at(Duration::from_millis(200), Event::Start { host });
                }
            }
            4 | 5 => {
                let one_way = self.random.chance(0.3);
                for other in 0..self.members.len() as Host {
                    if other != host && self.random.chance(0.8) {
                        self.cut.insert((host, other));
                        if !one_way {
                            self.cut.insert((other, host));
                        }
                    }
                }
            }
            6 | 7 => self.cut.clear(),
            8 => self.members[host as usize].slow_disk ^= true,
            _ => self.loss = [0.0, 0.0, 0.05, 0.2][self.random.below(4) as usize],
        }
    }

    fn calm(&mut self) {
        self.cut.clear();
        self.loss = 0.0;
        for host in 0..self.members.len() as Host {
            self.members[host as usize].slow_disk = false;
            self.start(host);
        }
    }
}

fn encode(values: &[u64]) -> Vec<u8> {
    borsh::to_vec(&values.to_vec()).unwrap()
}

fn decode(bytes: &[u8]) -> Vec<u64> {
    if bytes.is_empty() { Vec::new() } else { borsh::from_slice(bytes).unwrap() }
}

#[test]
fn a_quiet_core_elects_once_and_orders_all() {
    let mut world = World::new(1, 5, 3);
    world.run(Duration::from_secs(10), 0.5);
    // What was under way has arrived.
    world.run(Duration::from_millis(500), 0.0);
    assert_eq!(world.elections, 1);
    assert!(world.all_vote(), "the two that did not found it vote too");
    assert!(world.acknowledged > 500);
    assert_eq!(world.order.len(), world.proposed.len());
}

#[test]
fn the_properties_hold_under_random_trouble() {
    let mut acknowledged = 0;
    for seed in 0..60 {
        let mut world = World::new(seed, 3 + (seed % 3) as Host, 3);
        world.run(Duration::from_secs(3), 0.3);
        let mut wiped = None;
        for _ in 0..25 {
            world.disturb(&mut wiped);
            let span = Duration::from_millis(50 + world.random.below(900));
            world.run(span, 0.3);
        }
        world.calm();
        world.run(Duration::from_secs(6), 0.0);
        // Nothing acknowledged is lost, and everyone gets it.
        let order = world.order.clone();
        if world.members.iter().any(|member| member.state != order) {
            for member in &world.members {
                let zab = member.zab.as_ref().unwrap();
                println!(
                    "{:?} state {} voters {:?} promised {:?} to {:?} current {:?} last {} committed {} role {:?}",
                    zab.me.id,
                    member.state.len(),
                    zab.voters().iter().map(|voter| voter.id).collect::<Vec<_>>(),
                    zab.promised,
                    zab.promised_to,
                    zab.current,
                    zab.history.last(),
                    zab.committed,
                    zab.role
                );
            }
        }
        for (host, member) in world.members.iter().enumerate() {
            assert!(member.state == order, "seed {seed} host {host}");
        }
        assert!(order.len() >= world.acknowledged);
        assert!(world.all_vote(), "seed {seed}: all vote again");
        acknowledged += world.acknowledged;
    }
    assert!(acknowledged > 5_000, "{acknowledged}");
}

#[test]
fn a_lost_primary_is_followed_soon() {
    for seed in 0..20 {
        let mut world = World::new(seed, 3, 3);
        world.run(Duration::from_secs(3), 0.2);
        let (epoch, primary) = world.primaries.last_key_value().map(|(epoch, host)| (*epoch, *host)).unwrap();
        world.kill(primary);
        world.run(Duration::from_millis(1600), 0.2);
        assert!(world.primaries.last_key_value().unwrap().0 > &epoch, "seed {seed}");
    }
}

#[test]
fn a_restart_of_all_waits_for_no_lease() {
    let mut world = World::new(4, 3, 3);
    world.run(Duration::from_secs(3), 0.2);
    let epoch = *world.primaries.last_key_value().unwrap().0;
    for host in 0..3 {
        world.kill(host);
        world.start(host);
    }
    world.run(Duration::from_millis(350), 0.2);
    assert!(*world.primaries.last_key_value().unwrap().0 > epoch);
}

#[test]
fn one_stalled_disk_does_not_hold_up_the_others() {
    let mut world = World::new(6, 3, 3);
    world.run(Duration::from_secs(3), 0.2);
    let primary = *world.primaries.last_key_value().unwrap().1;
    world.members[primary as usize].slow_disk = true;
    let before = world.acknowledged;
    world.run(Duration::from_secs(3), 0.5);
    assert!(world.acknowledged > before + 100, "the two others are a quorum");
}

#[test]
fn followers_that_restart_keep_to_the_lease_they_gave() {
    for seed in 0..20 {
        let mut world = World::new(seed, 3, 3);
        world.run(Duration::from_secs(3), 0.2);
        let primary = *world.primaries.last_key_value().unwrap().1;
        for other in (0..3).filter(|host| *host != primary) {
            world.cut.extend([(primary, other), (other, primary)]);
            world.kill(other);
            world.start(other);
        }
        // The checks at every step find two leases, or a stale one.
        world.run(Duration::from_secs(3), 0.4);
        assert_eq!(world.elections, 2, "the two go on without the one cut off");
    }
}

#[test]
fn what_was_acknowledged_outlives_the_primary_and_all_unsynced_writes() {
    for seed in 0..20 {
        let mut world = World::new(seed, 3, 3);
        world.run(Duration::from_secs(3), 0.2);
        let primary = *world.primaries.last_key_value().unwrap().1;
        for other in (0..3).filter(|host| *host != primary) {
            world.members[other as usize].slow_disk = true;
        }
        world.run(Duration::from_millis(700), 0.8);
        world.kill(primary);
        for other in (0..3).filter(|host| *host != primary) {
            world.kill(other);
            world.start(other);
        }
        world.run(Duration::from_secs(4), 0.2);
        assert!(world.elections >= 2);
    }
}

#[test]
fn a_primary_that_retires_is_followed_at_once() {
    for seed in 0..20 {
        let mut world = World::new(seed, 3, 3);
        world.run(Duration::from_secs(3), 0.2);
        let (epoch, primary) = world.primaries.last_key_value().map(|(epoch, host)| (*epoch, *host)).unwrap();
        let now = world.now;
        let actions = world.members[primary as usize].zab.as_mut().unwrap().retire(now);
        world.act(primary, actions);
        world.run(Duration::from_millis(20), 0.2);
        world.kill(primary);
        world.run(Duration::from_millis(400), 0.2);
        assert!(world.primaries.last_key_value().unwrap().0 > &epoch, "seed {seed}");
    }
}

#[test]
fn a_member_that_missed_a_change_finds_the_new_disk_at_a_lost_ones_address() {
    for seed in 0..10 {
        let mut world = World::new(seed, 4, 3);
        world.run(Duration::from_secs(4), 0.2);
        assert!(world.all_vote(), "seed {seed}");
        let primary = *world.primaries.last_key_value().unwrap().1;
        let others: Vec<Host> = (0..4).filter(|host| *host != primary).collect();
        // One is cut off while another's disk is lost and replaced, and the primary is gone for good then: those left
        // are a quorum only together.
        let (missing, replaced) = (others[0], others[1]);
        for host in (0..4).filter(|host| *host != missing) {
            world.cut.extend([(host, missing), (missing, host)]);
        }
        world.wipe(replaced);
        world.start(replaced);
        world.run(Duration::from_secs(4), 0.2);
        assert!(world.all_vote(), "seed {seed}: the new disk votes");
        let epoch = *world.primaries.last_key_value().unwrap().0;
        world.kill(primary);
        world.cut.clear();
        world.run(Duration::from_secs(4), 0.2);
        assert!(world.primaries.last_key_value().unwrap().0 > &epoch, "seed {seed}: somebody leads");
    }
}

#[test]
fn nineteen_members_bear_two_lost_disks_a_lost_primary_and_a_cut_in_two() {
    for seed in 0..3 {
        let hosts: Host = 19;
        let mut world = World::new(seed, hosts, 3);
        world.run(Duration::from_secs(12), 0.02);
        assert!(world.all_vote(), "seed {seed}: all nineteen vote");
        let primary = *world.primaries.last_key_value().unwrap().1;
        // Two disks and the primary's process at one moment.
        for host in [(primary + 5) % hosts, (primary + 11) % hosts] {
            world.wipe(host);
            world.at(Duration::from_millis(300), Event::Start { host });
        }
        world.kill(primary);
        world.at(Duration::from_millis(2500), Event::Start { host: primary });
        let before = world.acknowledged;
        world.run(Duration::from_secs(12), 0.02);
        assert!(world.all_vote() && world.acknowledged > before, "seed {seed}: all vote again, and it goes on");
        // Nine here, ten there: only the larger side goes on.
        let primary = *world.primaries.last_key_value().unwrap().1;
        let smaller: Vec<Host> = (0..9).map(|step| (primary + step) % hosts).collect();
        for one in 0..hosts {
            for other in (0..hosts).filter(|other| smaller.contains(&one) != smaller.contains(other)) {
                world.cut.insert((one, other));
            }
        }
        let (epoch, before) = (*world.primaries.last_key_value().unwrap().0, world.acknowledged);
        world.run(Duration::from_secs(5), 0.02);
        let (now, leads) = world.primaries.last_key_value().map(|(epoch, host)| (*epoch, *host)).unwrap();
        assert!(now > epoch && !smaller.contains(&leads), "seed {seed}: the larger side has its own primary");
        assert!(world.acknowledged > before, "seed {seed}");
        world.calm();
        world.run(Duration::from_secs(6), 0.0);
        let order = world.order.clone();
        assert!(world.members.iter().all(|member| member.state == order), "seed {seed}: all have the one order");
    }
}

/// Messages that a core of that size sends for each change, beside its heartbeats.
fn messages_of_a_change(hosts: Host) -> f64 {
    let mut world = World::new(5, hosts, 3);
    world.run(Duration::from_secs(12), 0.01);
    assert!(world.all_vote());
    let quiet = world.messages;
    world.run(Duration::from_secs(5), 0.0);
    let beats = world.messages - quiet;
    let (before, values) = (world.messages, world.proposals);
    world.run(Duration::from_secs(5), 0.5 * 3.0 / hosts as f64);
    (world.messages - before - beats) as f64 / (world.proposals - values) as f64
}

#[test]
fn a_change_costs_each_follower_a_proposal_and_an_ack_and_its_commit_rides_along() {
    for hosts in [3, 9, 19] {
        let each = messages_of_a_change(hosts) / (hosts - 1) as f64;
        assert!(each < 2.6, "{hosts} members: {each} messages a follower and change");
    }
}
