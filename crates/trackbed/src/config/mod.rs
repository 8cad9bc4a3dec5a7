//! What a process is told: the settings file, checked field by field.

mod bounds;
mod command;
mod local;

pub use bounds::Bounds;
pub use command::{Command, CommandOutcome};
pub use local::{ConfigError, Limits, ListenAddresses, LocalConfig};
