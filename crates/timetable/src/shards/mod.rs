//! Which endpoint holds which keys of a service that is divided by key.
//!
//! The assignment is ordered state. A range changes hands in three steps, each a change of its own in the log: its
//! holder is to let go, it has let go (or its hold has certainly run out), the next holder has it. So at every zxid
//! each key has one holder at most, and a fence that is the zxid of its grant.

mod assigned;
mod former;
mod holds;
mod map;
mod range;
#[cfg(test)]
mod tests;

pub use assigned::{AssignedRange, Assignment, RevokedRange};
pub use former::FormerShardMap;
pub use holds::{certainly_over, renewable_for};
pub use map::{Holding, Shard, ShardMap};
pub use range::{KeyRange, LAST_KEY};

use borsh::{BorshDeserialize, BorshSerialize};
use trackbed::ids::{InstanceId, Zxid};

/// One step of the assignment of a service's keys.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub enum ShardChange {
    /// Ranges that nobody holds get holders.
    Grant(Vec<(KeyRange, InstanceId)>),
    /// Holders are to let go of ranges.
    Revoke(Vec<(KeyRange, InstanceId)>),
    /// A holder has let go, with what it hands over.
    Released {
        /// The holder that let go.
        owner: InstanceId,
        /// Each with the holder's handover for whoever comes next.
        ranges: Vec<(KeyRange, String)>,
        /// How far the ordered state was known to the node that says so: later revocations are not meant.
        seen: Zxid,
    },
    /// Holds that were revoked at or before `revoked` have run out.
    Expired {
        /// The holder.
        owner: InstanceId,
        /// The last revocation that is meant.
        revoked: Zxid,
    },
}

const COUNTER_BITS: u32 = 36;

/// The fence of what is granted at a zxid: a whole number that rises with the log, small enough to be exact in JSON.
pub fn fence_at(zxid: Zxid) -> u64 {
    (zxid.epoch.0 << COUNTER_BITS) | (zxid.counter & ((1 << COUNTER_BITS) - 1))
}
