//! The data plane: stands beside an endpoint, takes requests in, and sees them to the endpoint
//! that is to run them.

mod dispatch;
mod node;
mod platform;

use trackbed::config::{Command, ConfigError, LocalConfig};

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
    std::process::exit(Command::main("pointsman", ABOUT, check, node::run));
}
