//! A member's disk: two slots that are written in turn, with a short log between.

mod disk;
mod error;
mod folder_lock;
mod layout;
mod records;
mod slot;
#[cfg(test)]
mod test_disk;
#[cfg(test)]
mod tests;

pub use disk::{Disk, FileDisk};
pub use error::StorageError;
pub use layout::{Recovered, Storage};
