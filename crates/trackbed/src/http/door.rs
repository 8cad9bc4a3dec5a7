//! Requests as they come in at a door.

use super::body::Framing;
use super::head::{HeadError, Request, head_length, take_request_head};
use super::line::{BodyError, Line};
use derive_more::Display;
use std::time::Duration;

/// What a door takes of a request.
#[derive(Clone, Copy, Debug)]
pub struct DoorLimits {
    /// The longest head, in bytes.
    pub header_bytes: usize,
    /// The longest body, in bytes.
    pub body_bytes: u64,
    /// What bodies may take now: a longer one is turned away for the moment.
    pub room: u64,
    /// How long a head may take to arrive, from its first byte.
    pub header_time: Duration,
    /// How long a connection may rest between requests.
    pub idle_time: Duration,
    /// How long a body may take to arrive.
    pub body_time: Duration,
}

impl Default for DoorLimits {
    fn default() -> Self {
        Self {
            header_bytes: 16 << 10,
            body_bytes: 64 << 20,
            room: 64 << 20,
            header_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
            body_time: Duration::from_secs(30),
        }
    }
}

/// Why no request could be read.
#[derive(Debug, Display)]
pub enum DoorError {
    /// Nothing is under way: the connection just ends.
    #[display("the connection ended between requests")]
    Ended,
    /// The requester broke off inside a request.
    #[display("the connection broke off inside a request")]
    Broken,
    /// The request can't be taken, and this is to be answered.
    #[display("declined with {status}: {reason}")]
    Declined {
        /// The status to answer with.
        status: u16,
        /// What is wrong, for the answer's body.
        reason: &'static str,
    },
}

const fn declined(status: u16, reason: &'static str) -> DoorError {
    DoorError::Declined { status, reason }
}

impl Line {
    /// Reads the next request whole.
    pub async fn read_request(&mut self, limits: &DoorLimits) -> Result<Request, DoorError> {
        if self.held.is_empty() {
            match monoio::time::timeout(limits.idle_time, self.fill(4 << 10)).await {
                Ok(Ok(count)) if count > 0 => {}
                _ => return Err(DoorError::Ended),
            }
        }
        let length = match head_length(&self.held, 0) {
            Some(length) => length,
            None => match monoio::time::timeout(limits.header_time, self.read_head(limits.header_bytes)).await {
                Ok(outcome) => outcome?,
                Err(_) => return Err(declined(408, "the head took too long")),
            },
        };
        if length > limits.header_bytes {
            return Err(declined(431, "the head is over the limit"));
        }
        let head =
            take_request_head(&mut self.held, length).map_err(|HeadError::Malformed(reason)| declined(400, reason))?;
        if head.expects_continue {
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n".to_vec()).await.map_err(|_| DoorError::Broken)?;
        }
        let mut request = head.request;
        if matches!(head.framing, Framing::Length(length) if length > limits.room && length <= limits.body_bytes) {
            return Err(declined(503, "too many large bodies are under way: it has not run"));
        }
        let body = self.read_body(head.framing, limits.body_bytes);
        request.body = match monoio::time::timeout(limits.body_time, body).await {
            Ok(Ok(body)) => body,
            Ok(Err(BodyError::TooLong)) => return Err(declined(413, "the body is over the limit")),
            Ok(Err(BodyError::Malformed(reason))) => return Err(declined(400, reason)),
            Ok(Err(BodyError::Cut | BodyError::Io(_))) => return Err(DoorError::Broken),
            Err(_) => return Err(declined(408, "the body took too long")),
        };
        Ok(request)
    }

    async fn read_head(&mut self, limit: usize) -> Result<usize, DoorError> {
        loop {
            let seen = self.held.len();
            if seen > limit {
                return Err(declined(431, "the head is over the limit"));
            }
            match self.fill(4 << 10).await {
                Ok(count) if count > 0 => {}
                _ => return Err(DoorError::Broken),
            }
            if let Some(length) = head_length(&self.held, seen) {
                return Ok(length);
            }
        }
    }
}
