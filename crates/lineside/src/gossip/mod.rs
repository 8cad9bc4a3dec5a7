//! Who is there: probes in turn, second opinions, suspicion before removal; news passed to a few.

mod cards;
mod roster;
#[cfg(test)]
mod tests;

pub use cards::{Card, Datagram, Kind, Occupancy, Peer, Role, Standing};
pub use roster::{GossipAction, Roster, RosterTiming};
