//! The protocol. Messages, ticks and disk completions go in; actions come out.

mod actions;
mod election;
mod following;
mod history;
mod leading;
mod messages;
mod node;
#[cfg(test)]
mod tests;
mod transfer;

pub use actions::{Action, Record, Ticket};
pub use history::{Entry, History, Payload, Snapshot, TailLimits, Voter};
pub use messages::{Attempt, Envelope, EnvelopeError, Message, PollState};
pub use node::{Image, Timing, Zab};
pub use transfer::{Held, Part};
