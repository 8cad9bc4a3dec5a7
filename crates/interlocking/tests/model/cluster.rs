//! The transition system: members, the messages between them, and one clock.

use crate::checker::Model;
use crate::member::{Change, Host, Member, Setup, address, blank_image, voter};
use crate::observer::Observer;
use crate::quiet_panic;
use crate::scenario::{Bounds, CLOCK_STEP, Disk, FOUNDERS, Fault, Milestone, OVERLONG_LEASE, Scenario, TIMING};
use interlocking::zab::{Action, Envelope, Image, Message, Timing, Voter};
use std::fmt::{Display, Formatter};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use trackbed::clock::Moment;

/// A message under way.
#[derive(Debug)]
pub struct Packet {
    pub receiver: Host,
    pub envelope: Envelope,
    fingerprint: u64,
}

impl Packet {
    fn new(receiver: Host, envelope: Envelope) -> Self {
        let mut hasher = DefaultHasher::new();
        (receiver, &envelope).hash(&mut hasher);
        Self { receiver, envelope, fingerprint: hasher.finish() }
    }

    fn order(&self) -> (Host, u64) {
        (self.receiver, self.fingerprint)
    }
}

/// What can happen next.
#[derive(Clone, Debug)]
pub enum Step {
    Deliver(Arc<Packet>),
    /// The message arrives, and will arrive once more.
    DeliverTwice(Arc<Packet>),
    DiskCompletes(Host),
    /// Time passes, and every member but the stalled one ticks.
    Advance {
        stalled: Option<Host>,
        /// What was under way does not arrive any more.
        lossy: bool,
    },
    Propose(Host),
    ChangeVoters(Host),
    /// A crash and a start. Of the pending writes the first `kept` were durable.
    Restart {
        host: Host,
        kept: usize,
    },
    /// A crash and a start with an empty disk.
    Wipe(Host),
}

impl Step {
    pub const ADVANCE: Self = Self::Advance { stalled: None, lossy: false };
}

impl Display for Step {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        match self {
            Step::Deliver(packet) => write!(formatter, "deliver {packet}"),
            Step::DeliverTwice(packet) => write!(formatter, "deliver, and keep for later, {packet}"),
            Step::DiskCompletes(host) => write!(formatter, "the oldest pending write of host {host} is durable"),
            Step::Advance { stalled, lossy } => {
                let before = if *lossy { "all messages are lost, " } else { "" };
                let stalled = stalled.map(|host| format!(" but host {host}")).unwrap_or_default();
                write!(formatter, "{before}the clock advances, all{stalled} tick")
            }
            Step::Propose(host) => write!(formatter, "host {host} proposes a change"),
            Step::ChangeVoters(host) => write!(formatter, "host {host} proposes other voters"),
            Step::Restart { host, kept } => {
                write!(formatter, "host {host} restarts with {kept} of its pending writes")
            }
            Step::Wipe(host) => write!(formatter, "host {host} restarts with an empty disk"),
        }
    }
}

impl Display for Packet {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{:x} -> host {}: {:?}", self.envelope.from.id.0, self.receiver, self.envelope.message)
    }
}

/// What was used of the bounds.
#[derive(Clone, Copy, Default, Hash)]
struct Used {
    proposals: u8,
    clock_steps: u8,
    stalls: u8,
    losses: u8,
    restarts: u8,
    wipes: u8,
    duplications: u8,
    voter_changes: u8,
}

/// A state of the whole cluster. Members and messages are shared with the states it came from.
#[derive(Clone)]
pub struct Cluster {
    now: Moment,
    members: Vec<Arc<Member>>,
    /// Ordered, and without two of the same: a second copy is an action with a bound of its own.
    network: Vec<Arc<Packet>>,
    observer: Arc<Observer>,
    used: Used,
    disk: Disk,
    fault: Fault,
}

impl Cluster {
    pub fn new(hosts: Host, disk: Disk, fault: Fault) -> Self {
        let now = Moment::from_micros(10_000_000);
        let founders: Vec<Voter> = (0..FOUNDERS).map(voter).collect();
        let members = (0..hosts)
            .map(|host| {
                let voters = if host < FOUNDERS { founders.clone() } else { Vec::new() };
                let image = Image::empty(voter(host).id, voters);
                Arc::new(Member::start(&setup(host, hosts, fault), image, 0, now))
            })
            .collect();
        let observer = Arc::default();
        Self { now, members, network: Vec::new(), observer, used: Used::default(), disk, fault }
    }

    pub fn hosts(&self) -> Host {
        self.members.len() as Host
    }

    pub fn member(&self, host: Host) -> &Member {
        &self.members[usize::from(host)]
    }

    pub fn network(&self) -> &[Arc<Packet>] {
        &self.network
    }

    /// Epochs that got a primary so far.
    pub fn epochs(&self) -> usize {
        self.observer.epochs()
    }

    /// True when a voter that founded nothing has a vote by a committed change.
    pub fn has_new_voter(&self) -> bool {
        (0..self.hosts()).any(|host| self.member(host).counts_new_voter())
    }

    pub fn acknowledged(&self) -> usize {
        self.observer.acknowledged()
    }

    pub fn lease_holder(&self) -> Option<Host> {
        (0..self.hosts()).find(|host| self.member(*host).lease_holds(self.now))
    }

    pub fn primary(&self) -> Option<Host> {
        (0..self.hosts()).find(|host| self.member(*host).is_primary())
    }

    /// The messages that do not pass the filter are lost.
    pub fn keep_messages(&mut self, keep: impl Fn(&Message) -> bool) {
        self.network.retain(|packet| keep(&packet.envelope.message));
    }

    /// Every message from and to this host is lost.
    pub fn cut_off(&mut self, host: Host) {
        let sender = self.member(host).me().id;
        self.network.retain(|packet| packet.receiver != host && packet.envelope.from.id != sender);
    }

    /// The search has all of its bounds before it.
    pub fn reset_bounds(&mut self) {
        self.used = Used::default();
    }

    pub fn apply(&mut self, step: &Step) {
        match step {
            Step::Deliver(packet) => {
                self.take(packet);
                self.deliver(packet);
            }
            Step::DeliverTwice(packet) => {
                self.used.duplications += 1;
                self.deliver(packet);
            }
            Step::DiskCompletes(host) => self.complete_write(*host),
            Step::Advance { stalled, lossy } => self.advance(*stalled, *lossy),
            Step::Propose(host) => self.propose(*host),
            Step::ChangeVoters(host) => self.change_voters(*host),
            Step::Restart { host, kept } => self.restart(*host, *kept),
            Step::Wipe(host) => self.wipe(*host),
        }
    }

    fn take(&mut self, packet: &Arc<Packet>) {
        self.network.retain(|other| other.order() != packet.order());
    }

    /// Runs the state machine of a member, and does what it asks for.
    fn run(&mut self, host: Host, input: impl FnOnce(&mut Member, Moment) -> Vec<Action>) {
        let mut member = Member::clone(self.member(host));
        let actions = input(&mut member, self.now);
        self.finish(host, member, actions);
    }

    fn finish(&mut self, host: Host, mut member: Member, actions: Vec<Action>) {
        self.act(host, &mut member, actions);
        while self.disk == Disk::Instant && member.pending_writes() > 0 {
            let actions = member.complete_write(self.now);
            self.act(host, &mut member, actions);
        }
        member.refresh_fingerprint();
        self.members[usize::from(host)] = Arc::new(member);
    }

    fn act(&mut self, host: Host, member: &mut Member, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, message } => self.send(host, member, to, message),
                Action::Persist { ticket, records } => {
                    member.queue_write(ticket, records);
                    if self.fault == Fault::AcknowledgedBeforeDurable {
                        let actions = member.report_newest_write(self.now);
                        self.act(host, member, actions);
                    }
                }
                Action::Deliver { zxid, payload } => {
                    member.delivered.extend(payload);
                    Arc::make_mut(&mut self.observer).on_deliver(host, zxid, member);
                }
                Action::DeliverSnapshot { state, .. } => {
                    Arc::make_mut(&mut self.observer).on_deliver_snapshot(&state);
                    member.delivered = state;
                }
                Action::Ready { epoch } => Arc::make_mut(&mut self.observer).on_ready(host, epoch, member),
                Action::Deposed => {}
            }
        }
    }

    fn send(&mut self, host: Host, member: &Member, to: Voter, message: Message) {
        let receiver = (0..self.hosts()).find(|other| address(*other) == to.address);
        let Some(receiver) = receiver.filter(|receiver| *receiver != host) else { return };
        let meant_for_another = to.id.0 != 0 && to.id != self.member(receiver).me().id;
        if meant_for_another {
            return;
        }
        let envelope = Envelope { from: member.me().clone(), to: to.id, message };
        let packet = Packet::new(receiver, envelope);
        if let Err(place) = self.network.binary_search_by_key(&packet.order(), |other| other.order()) {
            self.network.insert(place, Arc::new(packet));
        }
    }

    fn deliver(&mut self, packet: &Packet) {
        self.run(packet.receiver, |member, now| member.handle(packet.envelope.clone(), now));
    }

    fn complete_write(&mut self, host: Host) {
        self.run(host, Member::complete_write);
    }

    fn advance(&mut self, stalled: Option<Host>, lossy: bool) {
        if lossy {
            self.used.losses += 1;
            self.network.clear();
        }
        self.used.clock_steps += 1;
        self.used.stalls += u8::from(stalled.is_some());
        self.now = self.now + CLOCK_STEP;
        for host in (0..self.hosts()).filter(|host| Some(*host) != stalled) {
            self.run(host, Member::tick);
        }
    }

    fn propose(&mut self, host: Host) {
        self.used.proposals += 1;
        let change: Change = self.observer.next_change();
        let mut member = Member::clone(self.member(host));
        let Some((zxid, actions)) = member.propose(change, self.now) else { return };
        Arc::make_mut(&mut self.observer).on_broadcast(host, change, zxid);
        self.finish(host, member, actions);
    }

    fn change_voters(&mut self, host: Host) {
        self.used.voter_changes += 1;
        self.run(host, |member, now| member.change_voters(now).unwrap_or_default());
    }

    fn restart(&mut self, host: Host, kept: usize) {
        self.used.restarts += 1;
        let member = self.member(host).restart(&self.setup(host), kept, self.now);
        self.replace(host, member);
    }

    fn wipe(&mut self, host: Host) {
        self.used.wipes += 1;
        let image = blank_image(host, self.used.wipes, self.fault);
        let member = self.member(host).replace_disk(&self.setup(host), image, self.now);
        self.replace(host, member);
    }

    /// Messages to the earlier life are lost: their streams broke.
    fn replace(&mut self, host: Host, member: Member) {
        self.network.retain(|packet| packet.receiver != host);
        self.members[usize::from(host)] = Arc::new(member);
    }

    fn setup(&self, host: Host) -> Setup {
        setup(host, self.hosts(), self.fault)
    }

    pub fn fingerprint(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        (self.now.micros(), self.used, &self.observer).hash(&mut hasher);
        self.members.iter().for_each(|member| hasher.write_u64(member.fingerprint()));
        self.network.iter().for_each(|packet| hasher.write_u64(packet.fingerprint));
        hasher.finish()
    }

    pub fn violation(&self) -> Option<String> {
        self.observer.violation().cloned().or_else(|| self.broken_lease()).or_else(|| self.endangered_change())
    }

    /// No two leases at once, and no read under a lease goes back behind what was acknowledged.
    fn broken_lease(&self) -> Option<String> {
        let holders: Vec<Host> = (0..self.hosts()).filter(|host| self.member(*host).lease_holds(self.now)).collect();
        if holders.len() > 1 {
            return Some(format!("leases: hosts {holders:?} hold one at the same time"));
        }
        let stale = holders.iter().find(|host| self.member(**host).delivered.len() < self.acknowledged())?;
        Some(format!("leases: a read at host {stale} would miss an acknowledged change"))
    }

    /// Nothing acknowledged is lost: no quorum of voters may lack it on their disks. Checked as long as the
    /// founders are the voters.
    fn endangered_change(&self) -> Option<String> {
        let founders_vote = self.used.voter_changes == 0 && !self.has_new_voter();
        if !founders_vote {
            return None;
        }
        let quorum = usize::from(FOUNDERS) / 2 + 1;
        let voters: Vec<&Member> =
            (0..FOUNDERS).map(|host| self.member(host)).filter(|member| is_founder(member.me())).collect();
        let lost = self
            .observer
            .acknowledged_zxids()
            .find(|zxid| voters.iter().filter(|member| !member.holds_durably(*zxid)).count() >= quorum)?;
        Some(format!("durability: {lost} was acknowledged, and a quorum of the voters can elect without it"))
    }

    fn steps(&self, bounds: &Bounds) -> Vec<Step> {
        if self.network.len() > bounds.in_flight {
            return Vec::new();
        }
        let used = &self.used;
        let mut steps: Vec<Step> = self.network.iter().cloned().map(Step::Deliver).collect();
        if used.duplications < bounds.duplications {
            steps.extend(self.network.iter().cloned().map(Step::DeliverTwice));
        }
        for host in 0..self.hosts() {
            self.host_steps(host, bounds, &mut steps);
        }
        if used.clock_steps < bounds.clock_steps {
            self.clock_steps(bounds, &mut steps);
        }
        steps
    }

    fn clock_steps(&self, bounds: &Bounds, steps: &mut Vec<Step>) {
        let mut stalled = vec![None];
        if self.used.stalls < bounds.stalls {
            stalled.extend((0..self.hosts()).map(Some));
        }
        let may_lose = self.used.losses < bounds.losses && !self.network.is_empty();
        for stalled in stalled {
            steps.push(Step::Advance { stalled, lossy: false });
            if may_lose {
                steps.push(Step::Advance { stalled, lossy: true });
            }
        }
    }

    fn host_steps(&self, host: Host, bounds: &Bounds, steps: &mut Vec<Step>) {
        let (member, used) = (self.member(host), &self.used);
        if member.pending_writes() > 0 {
            steps.push(Step::DiskCompletes(host));
        }
        if used.proposals < bounds.proposals && member.is_primary() {
            steps.push(Step::Propose(host));
        }
        if used.voter_changes < bounds.voter_changes && member.wanted_voters().is_some() {
            steps.push(Step::ChangeVoters(host));
        }
        if used.restarts < bounds.restarts {
            steps.extend((0..=member.pending_writes()).map(|kept| Step::Restart { host, kept }));
        }
        if used.wipes < bounds.wipes {
            steps.push(Step::Wipe(host));
        }
    }
}

fn is_founder(member: &Voter) -> bool {
    (0..FOUNDERS).any(|host| voter(host) == *member)
}

fn setup(host: Host, hosts: Host, fault: Fault) -> Setup {
    // The last founder, which leads first, has longer timers than those that grant it the lease.
    let overlong = fault == Fault::LeaseTrustedTooLong && host + 1 == FOUNDERS;
    let timing = if overlong { Timing { lease: OVERLONG_LEASE, patience: OVERLONG_LEASE, ..TIMING } } else { TIMING };
    Setup { host, hosts, timing }
}

/// A scenario as the checker sees it.
pub struct ClusterModel {
    scenario: Scenario,
    initial: Cluster,
}

impl ClusterModel {
    pub fn new(scenario: Scenario) -> Self {
        Self { scenario, initial: crate::start::initial(&scenario) }
    }

    fn reaches(&self, cluster: &Cluster, milestone: Milestone) -> bool {
        match milestone {
            Milestone::Primary => cluster.epochs() > self.initial.epochs(),
            Milestone::Acknowledgement => cluster.acknowledged() > self.initial.acknowledged(),
            Milestone::Lease => {
                cluster.lease_holder().is_some_and(|holder| Some(holder) != self.initial.lease_holder())
            }
            Milestone::Voter => cluster.has_new_voter(),
        }
    }
}

impl Model for ClusterModel {
    type State = Cluster;
    type Action = Step;

    fn initial(&self) -> Cluster {
        self.initial.clone()
    }

    fn actions(&self, cluster: &Cluster) -> Vec<Step> {
        cluster.steps(&self.scenario.bounds)
    }

    fn next(&self, cluster: &Cluster, step: &Step) -> Cluster {
        let applied = quiet_panic::catch(|| {
            let mut next = cluster.clone();
            next.apply(step);
            next
        });
        applied.unwrap_or_else(|message| {
            let mut failed = cluster.clone();
            Arc::make_mut(&mut failed.observer).fail(format!("an assertion failed: {message}"));
            failed
        })
    }

    fn fingerprint(&self, cluster: &Cluster) -> u64 {
        cluster.fingerprint()
    }

    fn violation(&self, cluster: &Cluster) -> Option<String> {
        cluster.violation()
    }

    fn milestones(&self, cluster: &Cluster) -> u32 {
        let reached = Milestone::ALL.iter().filter(|milestone| self.reaches(cluster, **milestone));
        reached.map(|milestone| milestone.bit()).sum()
    }
}
