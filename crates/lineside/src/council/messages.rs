//! What members of a council, and a coordinator and its region, say to one another.

use borsh::{BorshDeserialize, BorshSerialize};
use timetable::fleet::{Instance, Member};
use trackbed::ids::{InstanceId, NodeName, Zxid};

/// Who is in charge by which right: the council's charter first, then the term.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, BorshSerialize, BorshDeserialize)]
pub struct Fence {
    pub charter: Zxid,
    pub term: u64,
}

/// Asks a member to grant, or to go on granting, a lease.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct GrantAsk {
    pub fence: Fence,
    pub asker: Member,
    /// The member whose grant is counted. Another life, or another node at its address, grants nothing.
    pub asked: Member,
}

#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub enum Grant {
    /// Invariant: for the whole span of the lease, counted from when this was said, nobody else is granted one.
    Given,
    /// With the highest term that the member has seen.
    Withheld { term: u64 },
}

/// What a coordinator decides. Invariant: of one fence, a higher sequence is the later.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct Order {
    pub fence: Fence,
    pub sequence: u64,
    pub coordinator: NodeName,
    /// Nodes that count as gone: what is at home with them moves to others, the same for all.
    pub gone: Vec<NodeName>,
    /// Among how many nodes the region's further goes are split.
    pub nodes: u32,
    /// Endpoints that the core has not heard of yet, and those on their way out.
    pub seen: Vec<Instance>,
    pub leaving: Vec<InstanceId>,
}

/// Something that a node beside an endpoint saw while the core could not be told.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub enum Fact {
    Seen(Instance),
    Leaving(InstanceId),
}
