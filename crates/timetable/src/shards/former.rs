//! Assignments as they stood on disks before a revoked hold kept its fence.

use super::map::{Holding, Shard, ShardMap};
use super::range::KeyRange;
use borsh::BorshDeserialize;
use trackbed::ids::{InstanceId, Zxid};

/// A former [`Holding`].
#[derive(BorshDeserialize)]
enum FormerHolding {
    Free { handover: String },
    Held { owner: InstanceId, fence: u64, handover: String },
    Releasing { owner: InstanceId, revoked: Zxid },
}

#[derive(BorshDeserialize)]
struct FormerShard {
    range: KeyRange,
    holding: FormerHolding,
}

/// A former [`ShardMap`].
#[derive(BorshDeserialize)]
pub struct FormerShardMap {
    shards: Vec<FormerShard>,
}

impl From<FormerShardMap> for ShardMap {
    fn from(former: FormerShardMap) -> Self {
        let shard = |FormerShard { range, holding }: FormerShard| Shard { range, holding: holding.into() };
        Self::of(former.shards.into_iter().map(shard).collect())
    }
}

impl From<FormerHolding> for Holding {
    fn from(former: FormerHolding) -> Self {
        match former {
            FormerHolding::Free { handover } => Self::Free { handover },
            FormerHolding::Held { owner, fence, handover } => Self::Held { owner, fence, handover },
            FormerHolding::Releasing { owner, revoked } => Self::Releasing { owner, fence: None, revoked },
        }
    }
}
