//! What a process is told: the settings file, checked field by field.

mod bounds;
mod command;
mod local;
mod support;
mod unread;

pub use bounds::Bounds;
pub use command::{Command, CommandOutcome};
pub use local::{ConfigError, Limits, ListenAddresses, LocalConfig};
pub use support::{Unsupported, unsupported};
