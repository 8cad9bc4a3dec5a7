//! One connection, and the bytes read ahead from it.

use super::body::{Framing, chunk_size};
use super::reservation::{NoRoom, Reservation};
use crate::net::SocketExt;
use bytes::{Buf, Bytes, BytesMut};
use monoio::io::{AsyncReadRent, AsyncWriteRentExt};
use monoio::net::TcpStream;
use std::cell::Cell;
use std::io;
use std::rc::Rc;

/// Connections to one server: those that are open, and how many were opened so far.
#[derive(Debug, Default)]
pub struct OpenConnections {
    open: Cell<usize>,
    opened: Cell<u64>,
}

impl OpenConnections {
    /// How many are open now. One that the server has closed counts until this is noticed.
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// How many were opened so far.
    pub fn opened(&self) -> u64 {
        self.opened.get()
    }
}

/// One open connection, counted until this is dropped.
#[derive(Debug)]
pub struct CountedConnection(Rc<OpenConnections>);

impl CountedConnection {
    /// Counts a connection that was opened just now.
    pub fn new(connections: &Rc<OpenConnections>) -> Self {
        connections.open.set(connections.open.get() + 1);
        connections.opened.set(connections.opened.get() + 1);
        Self(connections.clone())
    }
}

impl Drop for CountedConnection {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
    }
}

/// A connection that whole messages are read from and written to.
pub struct Line {
    stream: TcpStream,
    _counted: Option<CountedConnection>,
    /// Bytes read and not yet understood. They belong to what comes next on this connection.
    pub(super) held: BytesMut,
}

#[derive(Debug)]
pub(super) enum BodyError {
    Io(#[allow(dead_code)] io::Error),
    /// The connection ended within the body.
    Cut,
    Malformed(&'static str),
    TooLong,
    /// Other bodies hold the memory that this one would take.
    NoRoom,
}

impl From<NoRoom> for BodyError {
    fn from(_: NoRoom) -> Self {
        Self::NoRoom
    }
}

/// How much of a body is taken.
pub(super) struct BodyBounds<'a> {
    /// The longest body, in bytes.
    pub limit: u64,
    /// Where the body's memory is reserved before it is read.
    pub reservation: Option<&'a mut Reservation>,
}

impl BodyBounds<'_> {
    /// Whether a body of so many bytes may be held.
    fn allow(&mut self, length: u64) -> Result<(), BodyError> {
        if length > self.limit {
            return Err(BodyError::TooLong);
        }
        match &mut self.reservation {
            Some(reservation) => Ok(reservation.grow_to(length as usize)?),
            None => Ok(()),
        }
    }
}

impl Line {
    /// Takes a connection over, with nothing read from it yet.
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, _counted: None, held: BytesMut::new() }
    }

    /// The same, counted among the connections to its server for as long as it is open.
    pub fn counted(stream: TcpStream, connections: &Rc<OpenConnections>) -> Self {
        Self { _counted: Some(CountedConnection::new(connections)), ..Self::new(stream) }
    }

    /// True when nothing has arrived unasked and the other side is still there.
    pub fn is_quiet(&self) -> bool {
        self.held.is_empty() && self.stream.is_quiet()
    }

    /// Whether bytes were read that belong to no message so far.
    pub fn has_surplus(&self) -> bool {
        !self.held.is_empty()
    }

    /// Waits until the other side has closed the connection or broken it off. Bytes that arrive meanwhile stay where
    /// they are, and end the watch: the other side is there.
    pub(super) async fn closed(&self) {
        if self.stream.readable(false).await.is_ok() && !self.stream.is_closed() {
            std::future::pending::<()>().await;
        }
    }

    /// Whether the next close is to break the connection off, dropping what was not sent.
    pub(super) fn break_off_on_close(&self, breaks_off: bool) {
        self.stream.set_reset_on_close(breaks_off);
    }

    /// Has the close break the connection off, so that nothing looks complete that isn't.
    pub fn break_off(self) {
        self.stream.reset_on_close();
    }

    /// Reads what there is; zero at the end.
    pub(super) async fn fill(&mut self, room: usize) -> io::Result<usize> {
        let (outcome, buffer) = self.stream.read(Vec::with_capacity(room)).await;
        let count = outcome?;
        self.held.extend_from_slice(&buffer[..count]);
        Ok(count)
    }

    /// Writes all the bytes.
    pub async fn write(&mut self, bytes: Vec<u8>) -> io::Result<()> {
        self.stream.write_all(bytes).await.0.map(|_| ())
    }

    pub(super) async fn read_body(&mut self, framing: Framing, mut bounds: BodyBounds<'_>) -> Result<Bytes, BodyError> {
        match framing {
            Framing::Nothing => Ok(Bytes::new()),
            Framing::Length(length) => {
                bounds.allow(length)?;
                let length = length as usize;
                while self.held.len() < length {
                    let room = (length - self.held.len()).clamp(2 << 10, 64 << 10);
                    if self.fill(room).await.map_err(BodyError::Io)? == 0 {
                        return Err(BodyError::Cut);
                    }
                }
                Ok(self.held.split_to(length).freeze())
            }
            Framing::Chunked => self.read_chunks(bounds).await,
            Framing::UntilClose => {
                while self.fill(16 << 10).await.map_err(BodyError::Io)? > 0 {
                    bounds.allow(self.held.len() as u64)?;
                }
                Ok(self.held.split().freeze())
            }
        }
    }

    async fn read_chunks(&mut self, mut bounds: BodyBounds<'_>) -> Result<Bytes, BodyError> {
        let mut body = BytesMut::new();
        loop {
            let line = self.read_text_line(256).await?;
            let size = chunk_size(&line).ok_or(BodyError::Malformed("a chunk's size can't be read"))?;
            if size == 0 {
                break;
            }
            if (body.len() as u64).saturating_add(size) > bounds.limit {
                return Err(BodyError::TooLong);
            }
            self.read_chunk(size as usize, &mut body, &mut bounds).await?;
        }
        // Trailers concern nobody here and are left out.
        for _ in 0..64 {
            if self.read_text_line(8 << 10).await?.is_empty() {
                return Ok(body.freeze());
            }
        }
        Err(BodyError::Malformed("too many trailers"))
    }

    /// Moves the bytes of one chunk to the body as they come, and reads the end of the chunk.
    async fn read_chunk(
        &mut self,
        size: usize,
        body: &mut BytesMut,
        bounds: &mut BodyBounds<'_>,
    ) -> Result<(), BodyError> {
        let mut left = size;
        while left > 0 {
            if self.held.is_empty() && self.fill(16 << 10).await.map_err(BodyError::Io)? == 0 {
                return Err(BodyError::Cut);
            }
            let count = left.min(self.held.len());
            bounds.allow((body.len() + count) as u64)?;
            body.extend_from_slice(&self.held[..count]);
            self.held.advance(count);
            left -= count;
        }
        while self.held.len() < 2 {
            if self.fill(4 << 10).await.map_err(BodyError::Io)? == 0 {
                return Err(BodyError::Cut);
            }
        }
        if &self.held[..2] != b"\r\n" {
            return Err(BodyError::Malformed("a chunk does not end where it said"));
        }
        self.held.advance(2);
        Ok(())
    }

    async fn read_text_line(&mut self, limit: usize) -> Result<Bytes, BodyError> {
        loop {
            if let Some(end) = self.held.iter().position(|byte| *byte == b'\n') {
                if end == 0 || self.held[end - 1] != b'\r' {
                    return Err(BodyError::Malformed("a line does not end in CRLF"));
                }
                let line = self.held.split_to(end + 1).freeze();
                return Ok(line.slice(..end - 1));
            }
            if self.held.len() > limit {
                return Err(BodyError::Malformed("a chunk's line is too long"));
            }
            if self.fill(4 << 10).await.map_err(BodyError::Io)? == 0 {
                return Err(BodyError::Cut);
            }
        }
    }
}
