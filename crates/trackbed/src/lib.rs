//! The ground that both programs stand on: settings, small types, clock, logs,
//! HTTP at the door, and frames between the system's own processes.

#![warn(missing_docs)]

pub mod clock;
pub mod config;
pub mod http;
pub mod ids;
pub mod json;
pub mod kernel;
pub mod logs;
pub mod metrics;
pub mod net;
pub mod random;
