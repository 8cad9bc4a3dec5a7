//! What the ordered state says of one endpoint's keys.

use super::map::{Holding, ShardMap};
use super::range::KeyRange;
use trackbed::ids::{InstanceId, Zxid};

/// Keys that an endpoint is to hold.
#[derive(Clone, Debug, PartialEq)]
pub struct AssignedRange {
    /// The keys.
    pub range: KeyRange,
    /// The fence of their grant.
    pub fence: u64,
    /// What the last holder left, or empty.
    pub handover: String,
}

/// Keys that an endpoint is to let go.
#[derive(Clone, Debug, PartialEq)]
pub struct RevokedRange {
    /// The keys.
    pub range: KeyRange,
    /// The fence under which they were granted, where it is known.
    pub fence: Option<u64>,
    /// The change that revoked them.
    pub revoked: Zxid,
}

/// All that the ordered state says of one endpoint's keys.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Assignment {
    /// What it is to hold.
    pub held: Vec<AssignedRange>,
    /// What it is to let go.
    pub revoked: Vec<RevokedRange>,
}

impl ShardMap {
    /// What an endpoint is to hold and to let go, in the order of the keys.
    pub fn assignment_of(&self, endpoint: &InstanceId) -> Assignment {
        let mut assignment = Assignment::default();
        for shard in self.shards().iter().filter(|shard| shard.holding.owner() == Some(endpoint)) {
            let range = shard.range;
            match &shard.holding {
                Holding::Held { fence, handover, .. } => {
                    assignment.held.push(AssignedRange { range, fence: *fence, handover: handover.clone() })
                }
                Holding::Releasing { fence, revoked, .. } => {
                    assignment.revoked.push(RevokedRange { range, fence: *fence, revoked: *revoked })
                }
                Holding::Free { .. } => {}
            }
        }
        assignment
    }
}
