//! A soak of the system's own programs: real processes on this machine's loopback addresses, among emulated endpoints,
//! under random kills, pauses and lost answers, with every safety rule checked from what the endpoints saw.

#![warn(missing_docs)]

pub mod client;
pub mod coordination;
pub mod endpoint;
pub mod error;
pub mod invariants;
pub mod layout;
pub mod operator;
pub mod process;
pub mod report;
pub mod run;
pub mod start;
pub mod trouble;
