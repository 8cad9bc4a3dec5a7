//! The control plane: keeps the configuration, the endpoints and the applications' locks, numbers
//! and keys in one order, and brings the fleet's part of it to every node.

mod ledger;
mod node;
mod resources;

use trackbed::config::{Command, CommandOutcome, ConfigError, LocalConfig};

const ABOUT: &str = "signalbox is the control plane of ferryhinge. It runs on the machines with disks.\n";

fn check(config: &LocalConfig) -> Result<(), ConfigError> {
    LocalConfig::require("data_directory", config.data_directory.as_ref(), "a folder for the state")?;
    let wanted = "an address to serve operators and applications at";
    LocalConfig::require("listen_addresses.control_plane", config.listen.control_plane, wanted)?;
    Ok(())
}

fn main() {
    let status = match Command::read("signalbox", ABOUT, check) {
        CommandOutcome::Done { text, status } => {
            if status == 0 {
                println!("{text}");
            } else {
                eprintln!("{text}");
            }
            status
        }
        CommandOutcome::Run(command) => {
            trackbed::logs::start("signalbox", command.config.node_name.as_str(), command.level);
            match node::run(*command) {
                Ok(()) => 0,
                Err(error) => {
                    log::error!("{error}");
                    1
                }
            }
        }
    };
    std::process::exit(status);
}
