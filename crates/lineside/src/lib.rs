//! What nodes say to one another beside the ordered log: who is there, how busy, how far; and calls.

pub mod aggregation;
pub mod call;
pub mod council;
pub mod gossip;
pub mod holds;
pub mod inspection;
