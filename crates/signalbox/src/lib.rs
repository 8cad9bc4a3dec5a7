//! The control plane: keeps the configuration, the endpoints and the applications' locks, numbers
//! and keys in one order, and brings the fleet's part of it to every node.

pub mod forecast;
pub mod ledger;
pub mod node;
pub mod replica;
pub mod resources;
pub mod shards;

use trackbed::config::{Command, ConfigError, LocalConfig};

const ABOUT: &str = "signalbox is the control plane of ferryhinge. It runs on the machines with disks.\n";

fn check(config: &LocalConfig) -> Result<(), ConfigError> {
    LocalConfig::require("data_directory", config.data_directory.as_ref(), "a folder for the state")?;
    let wanted = "an address to serve operators and applications at";
    LocalConfig::require("listen_addresses.control_plane", config.listen.control_plane, wanted)?;
    Ok(())
}

/// What the program's `main` does; gives the process's status.
pub fn main() -> i32 {
    Command::main("signalbox", ABOUT, check, node::run)
}
