//! Requests as they come in at a door.

use super::body::Framing;
use super::head::{HeadError, Request, RequestHead, head_length, take_request_head};
use super::line::{BodyBounds, BodyError, Line};
use super::reservation::Reservation;
use derive_more::Display;
use std::borrow::Cow;
use std::time::Duration;

/// What a door takes of a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyLimits {
    /// The longest body, in bytes.
    pub longest: u64,
    /// What all bodies of the door may take together, in bytes: one that doesn't fit is turned away for the moment.
    pub room: u64,
}

impl Default for BodyLimits {
    fn default() -> Self {
        Self { longest: 64 << 20, room: 64 << 20 }
    }
}

/// What a door takes of a request.
#[derive(Clone, Copy, Debug)]
pub struct DoorLimits {
    /// The longest head, in bytes.
    pub header_bytes: usize,
    /// What is taken of bodies, where the handler says nothing else of a request.
    pub body: BodyLimits,
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
            body: BodyLimits::default(),
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
        reason: Cow<'static, str>,
    },
}

const fn declined(status: u16, reason: &'static str) -> DoorError {
    DoorError::Declined { status, reason: Cow::Borrowed(reason) }
}

fn too_long(limits: &BodyLimits) -> DoorError {
    let reason = format!("the body is over the limit of {} bytes", limits.longest);
    DoorError::Declined { status: 413, reason: Cow::Owned(reason) }
}

fn no_room() -> DoorError {
    declined(503, "too many large bodies are under way: it has not run")
}

impl Line {
    /// Reads the head of the next request.
    pub(super) async fn read_request_head(&mut self, limits: &DoorLimits) -> Result<RequestHead, DoorError> {
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
        take_request_head(&mut self.held, length).map_err(|HeadError::Malformed(reason)| declined(400, reason))
    }

    /// Reads the body that belongs to a head. What a declared length says is reserved before any of it is read.
    pub(super) async fn read_request_body(
        &mut self,
        head: RequestHead,
        limits: &BodyLimits,
        longest_wait: Duration,
        reservation: &mut Reservation,
    ) -> Result<Request, DoorError> {
        if let Framing::Length(length) = head.framing {
            if length > limits.longest {
                return Err(too_long(limits));
            }
            reservation.grow_to(length as usize).map_err(|_| no_room())?;
        }
        if head.expects_continue {
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n".to_vec()).await.map_err(|_| DoorError::Broken)?;
        }
        let mut request = head.request;
        let bounds = BodyBounds { limit: limits.longest, reservation: Some(reservation) };
        request.body = match monoio::time::timeout(longest_wait, self.read_body(head.framing, bounds)).await {
            Ok(Ok(body)) => body,
            Ok(Err(BodyError::TooLong)) => return Err(too_long(limits)),
            Ok(Err(BodyError::NoRoom)) => return Err(no_room()),
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
