//! Why a node can't run.

use derive_more::{Display, Error, From};
use std::io;
use trackbed::config::ConfigError;

#[derive(Debug, Display, Error, From)]
pub enum NodeError {
    #[display("{_0}")]
    Config(ConfigError),
    #[display("the operating system refused ({_0}): check addresses and permissions")]
    Io(io::Error),
}
