//! Members on virtual time, under loss, reordering, cuts, kills, losses of power and of disks, and
//! changes of the voters. After every step the paper's properties are checked.

use crate::zab::node::Role;
use crate::zab::*;
use borsh::BorshDeserialize;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::SocketAddr;
use std::time::Duration;
use trackbed::clock::Moment;
use trackbed::ids::{MemberId, ZabEpoch, Zxid};
use trackbed::random::Random;

pub(super) type Host = u8;

pub(super) fn address(host: Host) -> SocketAddr {
    ([10, 0, 0, host + 1], 7000).into()
}

pub(super) enum Event {
    Arrive { host: Host, life: u32, envelope: Envelope },
    Written { host: Host, life: u32 },
    Tick { host: Host, life: u32 },
    Start { host: Host },
}

pub(super) struct Timed(Moment, u64, Event);

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

pub(super) struct Member {
    pub(super) zab: Option<Zab>,
    pub(super) life: u32,
    /// What is durable.
    pub(super) image: Image,
    /// Written and not yet durable, in order.
    pub(super) pending: std::collections::VecDeque<(Ticket, Vec<Record>)>,
    /// What was delivered: the application's state.
    pub(super) state: Vec<u64>,
    pub(super) slow_disk: bool,
}

pub(super) struct World {
    pub(super) now: Moment,
    pub(super) random: Random,
    pub(super) events: BinaryHeap<Timed>,
    pub(super) sequence: u64,
    pub(super) members: Vec<Member>,
    pub(super) cut: BTreeSet<(Host, Host)>,
    pub(super) loss: f64,
    /// Share of messages that come late, and share that come a second time.
    pub(super) late: f64,
    pub(super) doubled: f64,
    /// Total order: what any member delivered, in order.
    pub(super) order: Vec<u64>,
    pub(super) proposed: BTreeMap<u64, (Host, Zxid)>,
    pub(super) next_value: u64,
    /// How many of `order` had been acknowledged to somebody.
    pub(super) acknowledged: usize,
    pub(super) primaries: BTreeMap<ZabEpoch, Host>,
    pub(super) elections: usize,
    /// Messages sent, and calls of `propose` that were taken.
    pub(super) messages: u64,
    pub(super) proposals: u64,
    /// Bytes added to each snapshot.
    pub(super) ballast: usize,
    /// Longest message sent, and bytes of histories sent.
    pub(super) longest_message: usize,
    pub(super) transferred: usize,
}

/// Usual differences between the delays of messages, in microseconds.
pub(super) const SPREAD: u64 = 3_000;
/// Longest delay of a message that comes late, in microseconds: longer than an election and a change together.
const LONG_DELAY: u64 = 1_500_000;

impl World {
    pub(super) fn new(seed: u64, hosts: Host, founders: Host) -> Self {
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
            late: 0.0,
            doubled: 0.02,
            order: Vec::new(),
            proposed: BTreeMap::new(),
            next_value: 1,
            acknowledged: 0,
            primaries: BTreeMap::new(),
            elections: 0,
            messages: 0,
            proposals: 0,
            ballast: 0,
            longest_message: 0,
            transferred: 0,
        };
        for host in 0..hosts {
            world.start(host);
        }
        world
    }

    pub(super) fn at(&mut self, after: Duration, event: Event) {
        self.sequence += 1;
        self.events.push(Timed(self.now + after, self.sequence, event));
    }

    pub(super) fn start(&mut self, host: Host) {
        let now = self.now;
        let member = &mut self.members[host as usize];
        if member.zab.is_some() {
            return;
        }
        member.life += 1;
        member.state = decode(&member.image.snapshot.state);
        let me = Voter { id: member.image.member, address: address(host) };
        let life = ((host as u64) << 32) | member.life as u64;
        let mut zab = Zab::start(member.image.clone(), me, Timing::default(), life, now);
        zab.set_contacts((0..3).map(address).collect());
        member.zab = Some(zab);
        let life = member.life;
        self.at(Duration::from_millis(1), Event::Tick { host, life });
    }

    /// Ends the process. Of what was not yet durable, the first part may have reached the disk.
    pub(super) fn kill(&mut self, host: Host) {
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
    pub(super) fn wipe(&mut self, host: Host) {
        self.kill(host);
        let id = MemberId(self.random.draw() | 1);
        self.members[host as usize].image = Image::empty(id, Vec::new());
    }

    pub(super) fn act(&mut self, host: Host, actions: Vec<Action>) {
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
                Action::DeliverSnapshot { state, .. } => {
                    let state = decode(&state);
                    // Agreement: a snapshot is a part of the one order.
                    assert!(state.len() <= self.order.len() && state[..] == self.order[..state.len()]);
                    self.members[host as usize].state = state;
                }
                Action::Ready { epoch } => {
                    // One primary for an epoch, and it has delivered all that was acknowledged in the epochs before.
                    assert!(self.primaries.insert(epoch, host).is_none(), "two primaries of epoch {epoch}");
                    let earlier = |value: &&u64| self.proposed[*value].1.epoch < epoch;
                    let before = self.order[..self.acknowledged].iter().take_while(earlier).count();
                    let own = self.members[host as usize].state.len();
                    assert!(own >= before, "the primary of {epoch} has {own} of {before} acknowledged changes");
                    self.elections += 1;
                }
                Action::Deposed => {}
            }
        }
    }

    pub(super) fn delivered(&mut self, host: Host, value: u64) {
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

    pub(super) fn send(&mut self, host: Host, to: Voter, message: Message) {
        self.messages += 1;
        if self.ballast > 0 {
            self.longest_message = self.longest_message.max(borsh::to_vec(&message).unwrap().len());
        }
        if let Message::NewLeader { part, .. } = &message {
            self.transferred += part.bytes.len();
        }
        let Some(target) = (0..self.members.len() as Host).find(|other| address(*other) == to.address) else {
            return;
        };
        if self.cut.contains(&(host, target)) || self.random.chance(self.loss) {
            return;
        }
        let from = self.members[host as usize].zab.as_ref().unwrap().me().clone();
        let envelope = Envelope { from, to: to.id, message };
        // No order between messages is relied on. Some come late, and some twice, the second time long after the first.
        let life = self.members[target as usize].life;
        let late = self.random.chance(self.late);
        let span = Duration::from_micros(200 + self.random.below(if late { LONG_DELAY } else { SPREAD }));
        self.at(span, Event::Arrive { host: target, life, envelope: envelope.clone() });
        if self.random.chance(self.doubled) {
            let span = Duration::from_micros(200 + self.random.below(LONG_DELAY));
            self.at(span, Event::Arrive { host: target, life, envelope });
        }
    }

    pub(super) fn propose(&mut self) {
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
    pub(super) fn tend_members(&mut self, host: Host) {
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

    pub(super) fn check_leases(&self) {
        let holders: Vec<usize> = (0..self.members.len())
            .filter(|host| self.members[*host].zab.as_ref().is_some_and(|zab| zab.lease_holds(self.now)))
            .collect();
        assert!(holders.len() <= 1, "two leases at once");
        for host in holders {
            assert!(self.members[host].state.len() >= self.acknowledged, "a read under the lease would be stale");
        }
    }

    /// What a leader counts as durable at a follower is durable there, as long as the follower has promised no later
    /// epoch to anybody.
    pub(super) fn check_acknowledgements(&self) {
        for zab in self.members.iter().filter_map(|member| member.zab.as_ref()) {
            let Role::Leading(leading) = &zab.role else { continue };
            for (id, acked) in leading.acknowledged() {
                let Some(member) = self.members.iter().find(|member| member.image.member == id) else { continue };
                let later = member.image.promised > leading.epoch();
                let last = member.image.entries.last().map(|entry| entry.zxid).unwrap_or(member.image.snapshot.zxid);
                assert!(later || last >= acked, "{id} acknowledged {acked} in {} and ends at {last}", leading.epoch());
            }
        }
    }

    pub(super) fn run(&mut self, span: Duration, rate: f64) {
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
            self.check_acknowledgements();
        }
        self.now = end;
    }

    /// Folds the history into a new image, as the control plane does.
    pub(super) fn fold(&mut self, host: Host) {
        let member = &mut self.members[host as usize];
        let Some(zab) = member.zab.as_mut() else { return };
        if !member.pending.is_empty() || zab.history().len() < 20 {
            return;
        }
        let mut state = encode(&member.state);
        state.resize(state.len() + self.ballast, 0);
        zab.compact(state, TailLimits { entries: 5, bytes: usize::MAX });
        member.image = zab.image();
    }

    pub(super) fn all_vote(&self) -> bool {
        let voters = self.members.iter().filter_map(|member| member.zab.as_ref()).find(|zab| zab.is_primary());
        voters.is_some_and(|primary| {
            self.members.iter().all(|member| primary.voters().iter().any(|voter| voter.id == member.image.member))
                && primary.voters().len() == self.members.len()
                && !primary.voters_change_pending()
        })
    }

    pub(super) fn disturb(&mut self, wiped: &mut Option<Host>) {
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
            _ => {
                self.loss = [0.0, 0.0, 0.05, 0.2][self.random.below(4) as usize];
                self.late = [0.0, 0.0, 0.02, 0.1][self.random.below(4) as usize];
                self.doubled = [0.02, 0.02, 0.2, 0.5][self.random.below(4) as usize];
            }
        }
    }

    pub(super) fn calm(&mut self) {
        self.cut.clear();
        self.loss = 0.0;
        self.late = 0.0;
        self.doubled = 0.02;
        for host in 0..self.members.len() as Host {
            self.members[host as usize].slow_disk = false;
            self.start(host);
        }
    }
}

pub(super) fn encode(values: &[u64]) -> Vec<u8> {
    borsh::to_vec(&values.to_vec()).unwrap()
}

pub(super) fn decode(bytes: &[u8]) -> Vec<u64> {
    // What follows the values is ballast.
    if bytes.is_empty() { Vec::new() } else { Vec::deserialize(&mut &bytes[..]).unwrap() }
}
