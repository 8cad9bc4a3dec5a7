//! What the whole fleet goes by: the operator's configuration, and the endpoints there are.

#![warn(missing_docs)]

pub mod configuration;
pub mod fleet;
pub mod packed;
pub mod shards;
pub mod shared;
pub mod work;
