//! The few things that storage asks of a disk, so that tests can bring their own.

use super::error::StorageError;
use super::folder_lock::FolderLock;
use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

/// The operations on files that [`Storage`](super::Storage) needs. Files are named by their names in the data folder.
pub trait Disk {
    /// A file's bytes; empty where there is none.
    fn read(&mut self, name: &str) -> io::Result<Vec<u8>>;
    /// Writes the bytes at an offset, in bytes, and makes the file if there is none.
    ///
    /// # Errors
    ///
    /// The error of the operating system; any part of the bytes may be written then.
    fn write_at(&mut self, name: &str, offset: u64, bytes: &[u8]) -> io::Result<()>;
    /// Cuts or extends the file to a length in bytes, and makes it if there is none.
    fn set_length(&mut self, name: &str, length: u64) -> io::Result<()>;
    /// What was written to the file is durable once this returns.
    fn sync(&mut self, name: &str) -> io::Result<()>;
    /// That the files made so far exist is durable once this returns.
    fn sync_folder(&mut self) -> io::Result<()>;
}

/// Files under the data directory, kept open. Invariant: no other process has one of the same directory.
pub struct FileDisk {
    directory: PathBuf,
    _lock: FolderLock,
    open: Vec<(String, File)>,
}

impl FileDisk {
    /// Opens a data folder, and makes it if there is none.
    ///
    /// # Errors
    ///
    /// [`StorageError::Io`] when the folder can't be made, [`StorageError::InUse`] while another process has it.
    pub fn open(directory: &Path) -> Result<Self, StorageError> {
        make_folder(directory)?;
        let lock = FolderLock::take(directory)?;
        Ok(Self { directory: directory.to_owned(), _lock: lock, open: Vec::new() })
    }

    fn file(&mut self, name: &str) -> io::Result<&File> {
        if let Some(index) = self.open.iter().position(|(known, _)| known == name) {
            return Ok(&self.open[index].1);
        }
        let path = self.directory.join(name);
        let file = OpenOptions::new().read(true).write(true).create(true).truncate(false).open(path)?;
        self.open.push((name.to_owned(), file));
        Ok(&self.open.last().expect("pushed just now").1)
    }
}

impl Disk for FileDisk {
    fn read(&mut self, name: &str) -> io::Result<Vec<u8>> {
        match std::fs::read(self.directory.join(name)) {
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(Vec::new()),
            outcome => outcome,
        }
    }
    fn write_at(&mut self, name: &str, offset: u64, bytes: &[u8]) -> io::Result<()> {
        self.file(name)?.write_all_at(bytes, offset)
    }
    fn set_length(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.file(name)?.set_len(length)
    }
    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.file(name)?.sync_data()
    }
    fn sync_folder(&mut self) -> io::Result<()> {
        sync_folder(&self.directory)
    }
}

/// Makes a folder and those above it that are missing, each durable in the one that holds it.
fn make_folder(folder: &Path) -> io::Result<()> {
    let above = match folder.parent() {
        Some(parent) if !parent.as_os_str().is_empty() => parent,
        _ => Path::new("."),
    };
    if folder.is_dir() {
        // A start before may have been cut off right after it made the folder.
        if let Err(error) = sync_folder(above) {
            log::debug!("the folder above the data could not be synced: {error}");
        }
        return Ok(());
    }
    make_folder(above)?;
    match std::fs::create_dir(folder) {
        Err(error) if error.kind() != io::ErrorKind::AlreadyExists => Err(error),
        _ => sync_folder(above),
    }
}

fn sync_folder(folder: &Path) -> io::Result<()> {
    File::open(folder)?.sync_all()
}
