//! The data plane: stands beside an endpoint, takes requests in, and sees them to the endpoint
//! that is to run them.

pub mod dispatch;
pub mod node;
pub mod platform;

use trackbed::config::{Command, ConfigError, LocalConfig};

const ABOUT: &str = "pointsman is the data plane of ferryhinge. It runs beside an application endpoint\nor, where its role serves \"edge\", as a gateway.\n";

fn check(config: &LocalConfig) -> Result<(), ConfigError> {
    node::Mode::of(config).map(|_| ())
}

/// What the program's `main` does; gives the process's status.
pub fn main() -> i32 {
    Command::main("pointsman", ABOUT, check, node::run)
}
