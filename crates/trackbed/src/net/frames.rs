//! Length-prefixed borsh frames over a stream.

use borsh::{BorshDeserialize, BorshSerialize};
use derive_more::{Display, Error, From};
use monoio::io::AsyncReadRent;
use std::cell::Cell;
use std::io;
use std::rc::Rc;

/// Longest frame taken from a peer.
const MAX_FRAME: usize = 96 << 20;

#[derive(Debug, Display, Error, From)]
pub enum FrameError {
    #[display("the peer's stream failed ({_0}): it is dialled again")]
    Io(io::Error),
    #[display("a frame of {_0} bytes is over the limit: the stream is closed")]
    #[from(ignore)]
    TooLong(#[error(not(source))] usize),
    #[display("the peer closed the stream")]
    #[from(ignore)]
    Closed,
}

pub fn encode_frame<T: BorshSerialize>(message: &T) -> Vec<u8> {
    let mut bytes = vec![0u8; 4];
    message.serialize(&mut bytes).expect("writing to memory can't fail");
    let length = (bytes.len() - 4) as u32;
    bytes[..4].copy_from_slice(&length.to_le_bytes());
    bytes
}

/// Reads frames one after the other.
pub struct FrameReader<S> {
    stream: S,
    /// Bytes read and not yet given out.
    held: Vec<u8>,
    taken: usize,
    /// Bytes read so far, for whoever waits for a long frame.
    received: Rc<Cell<u64>>,
}

impl<S: AsyncReadRent> FrameReader<S> {
    pub fn new(stream: S) -> Self {
        Self { stream, held: Vec::new(), taken: 0, received: Rc::default() }
    }

    pub fn received(&self) -> Rc<Cell<u64>> {
        self.received.clone()
    }

    pub async fn next<T: BorshDeserialize>(&mut self) -> Result<T, FrameError> {
        loop {
            let waiting = &self.held[self.taken..];
            if waiting.len() >= 4 {
                let length = u32::from_le_bytes([waiting[0], waiting[1], waiting[2], waiting[3]]) as usize;
                if length > MAX_FRAME {
                    return Err(FrameError::TooLong(length));
                }
                if waiting.len() >= 4 + length {
                    let message = T::try_from_slice(&waiting[4..4 + length])?;
                    self.taken += 4 + length;
                    if self.taken == self.held.len() {
                        self.held.clear();
                        self.taken = 0;
                    }
                    return Ok(message);
                }
            }
            if self.taken > 0 {
                self.held.drain(..self.taken);
                self.taken = 0;
            }
            let room = if self.held.len() > 16 << 10 { 64 << 10 } else { 4 << 10 };
            let (outcome, buffer) = self.stream.read(Vec::with_capacity(room)).await;
            if outcome? == 0 {
                return Err(FrameError::Closed);
            }
            self.received.set(self.received.get() + buffer.len() as u64);
            self.held.extend_from_slice(&buffer);
        }
    }
}
