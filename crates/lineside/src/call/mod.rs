//! Calls between the system's own processes, over streams that carry many at a time.

mod answering;
mod caller;
mod complaints;
mod messages;
#[cfg(test)]
mod tests;

pub use answering::{Answering, serve_peers};
pub use caller::{CallError, Caller};
pub use complaints::Complaints;
pub use messages::{
    Ask, ControlCall, ControlReturn, KEYS_IN_BUCKET, PeerMessage, Permit, Reply, ShardDemand, ShardLoad, ShardRelease,
};
