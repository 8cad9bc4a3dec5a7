//! The data plane: stands beside an endpoint, takes requests in, and sees them to the endpoint
//! that is to run them.

mod dispatch;
mod node;
mod platform;

use trackbed::config::{Command, CommandOutcome, ConfigError, LocalConfig};

const ABOUT: &str = "pointsman is the data plane of ferryhinge. It runs beside an application endpoint.\n";

fn check(config: &LocalConfig) -> Result<(), ConfigError> {
    let listen = &config.listen;
    LocalConfig::require("listen_addresses.outbound", listen.outbound, "an address to take requests at")?;
    LocalConfig::require("listen_addresses.inbound", listen.inbound, "an address for sibling nodes")?;
    LocalConfig::require("listen_addresses.readiness", listen.readiness, "an address for the platform's probes")?;
    LocalConfig::require(
        "listen_addresses.control_plane",
        listen.control_plane,
        "an address for the endpoint's beats",
    )?;
    Ok(())
}

fn main() {
    let status = match Command::read("pointsman", ABOUT, check) {
        CommandOutcome::Done { text, status } => {
            if status == 0 {
                println!("{text}");
            } else {
                eprintln!("{text}");
            }
            status
        }
        CommandOutcome::Run(command) => {
            trackbed::logs::start("pointsman", command.config.node_name.as_str(), command.level);
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
