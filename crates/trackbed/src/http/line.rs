//! One connection, and the bytes read ahead from it.

use super::body::{Framing, chunk_size};
use crate::net::SocketExt;
use bytes::{Buf, Bytes, BytesMut};
use monoio::io::{AsyncReadRent, AsyncWriteRentExt};
use monoio::net::TcpStream;
use std::io;

/// A connection that whole messages are read from and written to.
pub struct Line {
    stream: TcpStream,
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
}

impl Line {
    /// Takes a connection over, with nothing read from it yet.
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, held: BytesMut::new() }
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

    pub(super) async fn read_body(&mut self, framing: Framing, limit: u64) -> Result<Bytes, BodyError> {
        match framing {
            Framing::Nothing => Ok(Bytes::new()),
            Framing::Length(length) if length > limit => Err(BodyError::TooLong),
            Framing::Length(length) => {
                let length = length as usize;
                while self.held.len() < length {
                    let room = (length - self.held.len()).clamp(2 << 10, 64 << 10);
                    if self.fill(room).await.map_err(BodyError::Io)? == 0 {
                        return Err(BodyError::Cut);
                    }
                }
                Ok(self.held.split_to(length).freeze())
            }
            Framing::Chunked => self.read_chunks(limit).await,
            Framing::UntilClose => {
                while self.fill(16 << 10).await.map_err(BodyError::Io)? > 0 {
                    if self.held.len() as u64 > limit {
                        return Err(BodyError::TooLong);
                    }
                }
                Ok(self.held.split().freeze())
            }
        }
    }

    async fn read_chunks(&mut self, limit: u64) -> Result<Bytes, BodyError> {
        let mut body = BytesMut::new();
        loop {
            let line = self.read_text_line(256).await?;
            let size = chunk_size(&line).ok_or(BodyError::Malformed("a chunk's size can't be read"))?;
            if size == 0 {
                break;
            }
            if body.len() as u64 + size > limit {
                return Err(BodyError::TooLong);
            }
            let size = size as usize;
            while self.held.len() < size + 2 {
                if self.fill(16 << 10).await.map_err(BodyError::Io)? == 0 {
                    return Err(BodyError::Cut);
                }
            }
            body.extend_from_slice(&self.held[..size]);
            self.held.advance(size);
            if &self.held[..2] != b"\r\n" {
                return Err(BodyError::Malformed("a chunk does not end where it said"));
            }
            self.held.advance(2);
        }
        // Trailers concern nobody here and are left out.
        for _ in 0..64 {
            if self.read_text_line(8 << 10).await?.is_empty() {
                return Ok(body.freeze());
            }
        }
        Err(BodyError::Malformed("too many trailers"))
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
