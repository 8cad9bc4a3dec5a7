//! Why storage can't go on.

use derive_more::{Display, Error, From};
use std::io;

/// Why the data folder can't be read or written.
#[derive(Debug, Display, Error, From)]
pub enum StorageError {
    /// An operation on a file failed.
    #[display("the disk refused ({_0}): it is tried again; free space or replace the disk")]
    Io(io::Error),
    /// Nothing on the disk was changed.
    #[display("another process uses the data folder: end it before this one is started")]
    #[from(ignore)]
    InUse,
    /// Nothing on the disk was changed.
    #[display(
        "the data folder was written by a later version (format {version}): run the newer version here, \
         or give this node an empty data folder and let it join as a new member"
    )]
    #[from(ignore)]
    LaterVersion {
        /// The version of the format found.
        version: u8,
    },
    /// The checksum is right, so it isn't damage. Nothing on the disk was changed.
    #[display(
        "the data folder holds something whole that this version does not know: run the newer version \
         that wrote it, or give this node an empty data folder and let it join as a new member"
    )]
    #[from(ignore)]
    UnknownContent,
}
