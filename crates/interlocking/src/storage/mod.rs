//! A member's disk: two slots that are written in turn, with a short log between.

mod disk;
mod layout;
#[cfg(test)]
mod tests;

pub use disk::{Disk, FileDisk};
pub use layout::{Recovered, Storage, StorageError};
