//! Sockets, and borsh frames between the system's own processes.

mod datagrams;
mod frames;
#[cfg(test)]
mod frames_tests;
mod sockets;

pub use datagrams::{Datagrams, Tally};
pub use frames::{FrameError, FrameReader, encode_frame};
pub use sockets::{SocketExt, StreamHandle, bind_tcp, connect};
