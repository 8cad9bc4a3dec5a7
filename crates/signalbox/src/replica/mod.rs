//! A control-plane member as a state machine: the order of changes, the state they make, and the calls
//! that wait for them.
//!
//! It has no sockets, no disk and no clock. Calls, messages of other members, disk completions and ticks
//! go in, each with the present time; effects come out as data. The node carries them out over sockets
//! and disk, and the simulation in this crate's tests over virtual ones.

mod effect;
mod forwarding;
pub mod membership;
mod state;

pub use effect::{CallId, Effect, Outcome, Route};
pub use forwarding::{CALL_LIMIT, ForwardReply, Forwarding, Step};
pub use state::Replica;
