//! Length-prefixed borsh frames over a stream, each with a checksum.

use borsh::{BorshDeserialize, BorshSerialize};
use derive_more::{Display, Error, From};
use monoio::io::AsyncReadRent;
use std::cell::Cell;
use std::io;
use std::ops::Range;
use std::rc::Rc;

/// Longest frame taken from a peer that this process called, in bytes.
const LONGEST_REPLY: usize = 96 << 20;
/// In the length: a checksum stands between it and the message. Frames of earlier versions have neither.
const CHECKED: u32 = 1 << 31;
const LENGTH_BYTES: usize = 4;
const CHECKSUM_BYTES: usize = 4;

/// Why no message could be read from a stream.
#[derive(Debug, Display, Error, From)]
pub enum FrameError {
    /// The stream failed.
    #[display("the peer's stream failed ({_0}): it is dialled again")]
    Io(io::Error),
    /// The frame is longer than any message may be; its length in bytes.
    #[display("a frame of {_0} bytes is over the limit: the stream is closed")]
    #[from(ignore)]
    TooLong(#[error(not(source))] usize),
    #[display(
        "a frame's checksum is wrong: the stream is closed and dialled again; check the link if this comes again"
    )]
    /// The bytes are not those that the checksum was made of.
    #[from(ignore)]
    Spoilt,
    /// The frame has no checksum, as older versions wrote it.
    #[display("a frame has no checksum: the peer runs an earlier version; run the same one on all nodes")]
    #[from(ignore)]
    Unchecked,
    /// The frames after it can be read.
    #[display("a message is of a kind unknown here: it is left out; run the peer's later version on this node too")]
    #[from(ignore)]
    Unknown {
        /// The frame's bytes.
        #[error(not(source))]
        body: Vec<u8>,
    },
    /// The stream ended between two frames.
    #[display("the peer closed the stream")]
    #[from(ignore)]
    Closed,
}

/// The bytes of a message as a frame.
pub fn encode_frame<T: BorshSerialize>(message: &T) -> Vec<u8> {
    let head = LENGTH_BYTES + CHECKSUM_BYTES;
    let mut bytes = vec![0u8; head];
    message.serialize(&mut bytes).expect("writing to memory can't fail");
    let length = (bytes.len() - head) as u32 | CHECKED;
    let checksum = checksum(length, &bytes[head..]);
    bytes[..LENGTH_BYTES].copy_from_slice(&length.to_le_bytes());
    bytes[LENGTH_BYTES..head].copy_from_slice(&checksum.to_le_bytes());
    bytes
}

fn checksum(length: u32, body: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&length.to_le_bytes());
    hasher.update(body);
    hasher.finalize()
}

fn read_number(bytes: &[u8]) -> Option<u32> {
    Some(u32::from_le_bytes(bytes.get(..4)?.try_into().ok()?))
}

/// Where a frame's message stands in the bytes held; nothing while more have to come.
fn find_body(bytes: &[u8], longest: usize) -> Result<Option<Range<usize>>, FrameError> {
    let Some(length) = read_number(bytes) else {
        return Ok(None);
    };
    if length & CHECKED == 0 {
        return Err(FrameError::Unchecked);
    }
    let count = (length & !CHECKED) as usize;
    if count > longest {
        return Err(FrameError::TooLong(count));
    }
    let start = LENGTH_BYTES + CHECKSUM_BYTES;
    let Some(body) = bytes.get(start..start + count) else {
        return Ok(None);
    };
    if read_number(&bytes[LENGTH_BYTES..]) != Some(checksum(length, body)) {
        return Err(FrameError::Spoilt);
    }
    Ok(Some(start..start + count))
}

/// Reads frames one after the other.
pub struct FrameReader<S> {
    stream: S,
    /// Bytes read and not yet given out.
    held: Vec<u8>,
    taken: usize,
    /// Bytes read so far, for whoever waits for a long frame.
    received: Rc<Cell<u64>>,
    /// The longest frame taken, in bytes.
    longest: usize,
}

impl<S: AsyncReadRent> FrameReader<S> {
    /// Takes a stream over.
    pub fn new(stream: S) -> Self {
        Self { stream, held: Vec::new(), taken: 0, received: Rc::default(), longest: LONGEST_REPLY }
    }

    /// The same, but longer frames are refused before they are read.
    pub fn with_longest(mut self, bytes: usize) -> Self {
        self.longest = bytes;
        self
    }

    /// Bytes received so far, counted on as more come.
    pub fn received(&self) -> Rc<Cell<u64>> {
        self.received.clone()
    }

    /// The next message.
    pub async fn next<T: BorshDeserialize>(&mut self) -> Result<T, FrameError> {
        loop {
            let waiting = &self.held[self.taken..];
            if let Some(place) = find_body(waiting, self.longest)? {
                let body = &waiting[place.clone()];
                let message = T::try_from_slice(body).map_err(|_| FrameError::Unknown { body: body.to_vec() });
                self.taken += place.end;
                if self.taken == self.held.len() {
                    self.held.clear();
                    self.taken = 0;
                }
                return message;
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
