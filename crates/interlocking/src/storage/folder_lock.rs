//! The right to a data folder: one process at a time has it, for as long as it lives.

use super::error::StorageError;
use std::fs::{File, OpenOptions, TryLockError};
use std::path::Path;

const LOCK_FILE: &str = "lock";

/// A lock on a data folder. It ends with the process, however that ends.
pub struct FolderLock {
    /// None on a file system that has no locks.
    _file: Option<File>,
}

impl FolderLock {
    /// Takes the lock.
    ///
    /// # Errors
    ///
    /// [`StorageError::InUse`] while another process has it.
    pub fn take(folder: &Path) -> Result<Self, StorageError> {
        let path = folder.join(LOCK_FILE);
        let file = match OpenOptions::new().write(true).create(true).truncate(false).open(path) {
            Ok(file) => file,
            Err(error) => return Ok(Self::without(&error)),
        };
        match file.try_lock() {
            Ok(()) => Ok(Self { _file: Some(file) }),
            Err(TryLockError::WouldBlock) => Err(StorageError::InUse),
            Err(TryLockError::Error(error)) => Ok(Self::without(&error)),
        }
    }

    fn without(error: &std::io::Error) -> Self {
        log::warn!("the data folder can't be locked ({error}): see to it that no other process uses it");
        Self { _file: None }
    }
}
