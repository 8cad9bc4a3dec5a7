//! Where a search starts, and the bounds that keep its space finite.

use interlocking::zab::Timing;
use std::time::Duration;

/// Members that found the cluster.
pub const FOUNDERS: u8 = 3;

/// How often each kind of event may happen in one run, and how long a run may be.
#[derive(Clone, Copy, Debug, Default)]
pub struct Bounds {
    /// Actions in one run.
    pub depth: usize,
    pub proposals: u8,
    /// Steps of the clock.
    pub clock_steps: u8,
    /// Steps of the clock that one member sleeps through.
    pub stalls: u8,
    /// Crashes after which the process finds its disk again.
    pub restarts: u8,
    /// Crashes after which the process finds an empty disk.
    pub wipes: u8,
    /// Steps of the clock at which all that is under way is lost. A single message is lost by never arriving.
    pub losses: u8,
    /// Messages that arrive once more.
    pub duplications: u8,
    pub voter_changes: u8,
    /// A state with more messages under way is not followed further.
    pub in_flight: usize,
}

/// When a write is durable.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Disk {
    /// By an action of its own: messages, ticks and crashes may come before.
    Slow,
    /// Together with the action that caused it.
    Instant,
}

/// The state that a deterministic run without faults leads to before the search.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Start {
    /// All members have empty histories and look for a leader.
    Cold,
    /// A leader has sent its history to the first follower, and nobody is in step yet.
    Synchronising,
    /// As `Synchronising`, and nothing but that history is under way.
    OneHistorySent,
    /// A primary holds its lease, and one change is acknowledged.
    Established,
    /// As `Established`, and the primary was cut off from the others one step of the clock ago.
    PrimaryCutOff,
    /// As `PrimaryCutOff` and later: the others have given the primary up, and one asks to follow the other.
    FollowersElecting,
    /// A second change is acknowledged by the primary and the first follower, and both have restarted.
    Interrupted,
    /// A fourth voter is proposed, durable everywhere but at host 1, and all but that host have restarted
    /// and ask to follow one of them.
    VoterAdded,
    /// As `Established`, and a member that does not vote has caught up.
    CaughtUpLearner,
}

/// A fault put into the model to show that the checker finds it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    None,
    /// A write is reported durable when it is queued.
    AcknowledgedBeforeDurable,
    /// A member whose disk was replaced takes part as the voter it was.
    WipedDiskKeepsIdentity,
    /// A leader trusts its lease for longer than followers grant it.
    LeaseTrustedTooLong,
}

/// What a search has to reach, so that it checks more than the way there.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Milestone {
    /// An epoch that the start did not have is established.
    Primary,
    /// A change is acknowledged that the start did not have.
    Acknowledgement,
    /// Another member than at the start holds the lease.
    Lease,
    /// A member that did not found the cluster votes.
    Voter,
}

impl Milestone {
    pub const ALL: [Self; 4] = [Self::Primary, Self::Acknowledgement, Self::Lease, Self::Voter];

    pub fn bit(self) -> u32 {
        1 << self as u32
    }
}

/// One search.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    pub name: &'static str,
    pub start: Start,
    pub disk: Disk,
    pub fault: Fault,
    pub bounds: Bounds,
    pub milestones: &'static [Milestone],
}

/// Timers short enough that leases end and leaders are given up within a few steps of the clock.
pub const TIMING: Timing = Timing {
    beat: Duration::from_millis(100),
    patience: Duration::from_millis(300),
    lease: Duration::from_millis(250),
};

/// One step of the clock.
pub const CLOCK_STEP: Duration = Duration::from_millis(150);

/// What a leader with `Fault::LeaseTrustedTooLong` takes for the lease.
pub const OVERLONG_LEASE: Duration = Duration::from_millis(900);

impl Scenario {
    pub fn with_fault(self, fault: Fault) -> Self {
        Self { fault, ..self }
    }

    pub fn with_bounds(self, change: impl FnOnce(&mut Bounds)) -> Self {
        let mut bounds = self.bounds;
        change(&mut bounds);
        Self { bounds, ..self }
    }
}
