//! Answers: written to requesters, read from endpoints and peers.

use super::body::Framing;
use super::flow::{Flow, HELD_WHOLE};
use super::head::{HeadError, Request, head_length, take_return_head};
use super::line::{BodyBounds, BodyError, Line};
use super::reservation::Reservation;
use bytes::Bytes;
use derive_more::Display;
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode};
use std::io::Write;

/// Something held until it is dropped.
pub struct Guard(pub Box<dyn std::any::Any>);

impl std::fmt::Debug for Guard {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("Guard")
    }
}

/// An answer, to be written or as it was read.
#[derive(Debug)]
pub struct Return {
    /// The status code.
    pub status: u16,
    /// Invariant: no header that concerns one connection only, no length.
    pub headers: HeaderMap,
    /// The body, where it is held whole.
    pub body: Bytes,
    /// The body, where it is too long to be held. Invariant: `body` is empty then.
    pub flow: Option<Box<Flow>>,
    /// Given back when the answer has been written.
    pub guard: Option<Guard>,
    /// The memory that the body takes, where it is counted.
    pub reservation: Option<Reservation>,
    /// The connection ends after this answer.
    pub closes: bool,
    /// For how long the other side keeps the idle connection, where it says so.
    pub keep_alive: Option<u64>,
}

/// Why no whole answer could be read.
#[derive(Debug, Display)]
pub enum ReturnError {
    /// Not one byte of an answer came.
    #[display("the connection ended without an answer")]
    Silent,
    /// The connection ended within the answer.
    #[display("the answer broke off")]
    Cut,
    /// The bytes can't be understood, and why.
    #[display("the bytes are no answer: {_0}")]
    Malformed(&'static str),
    /// The body is over the reader's limit.
    #[display("the answer is longer than can be held")]
    TooLong,
    /// Other answers hold the memory that this one would take.
    #[display("too many long answers are held just now")]
    NoRoom,
}

impl Return {
    /// An answer without headers and body.
    pub fn new(status: u16) -> Self {
        Self {
            status,
            headers: HeaderMap::new(),
            body: Bytes::new(),
            flow: None,
            guard: None,
            reservation: None,
            closes: false,
            keep_alive: None,
        }
    }

    /// An answer with a plain text as its body.
    pub fn text(status: u16, text: &str) -> Self {
        let mut answer = Self::new(status);
        answer.headers.insert(http::header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        answer.body = Bytes::copy_from_slice(text.as_bytes());
        answer
    }

    /// The same with a header added; one whose value can't be written is left out.
    pub fn with_header(mut self, name: &'static str, value: &str) -> Self {
        if let Ok(value) = HeaderValue::from_str(value) {
            self.headers.insert(HeaderName::from_static(name), value);
        }
        self
    }

    /// The same, and the connection ends after it.
    pub fn closing(mut self) -> Self {
        self.closes = true;
        self
    }

    /// Whether the status is one of success (2xx).
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }

    /// How long the whole body is, held or still to flow.
    pub fn length(&self) -> u64 {
        self.flow.as_ref().map(|flow| flow.length()).unwrap_or(self.body.len() as u64)
    }

    /// The bytes of the answer; `bodyless` for HEAD.
    pub fn encode(&self, bodyless: bool) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(256 + self.body.len());
        let reason = StatusCode::from_u16(self.status).ok().and_then(|status| status.canonical_reason());
        let _ = write!(bytes, "HTTP/1.1 {} {}\r\n", self.status, reason.unwrap_or("Status"));
        push_headers(&mut bytes, &self.headers);
        if self.status != 204 && self.status != 304 {
            let _ = write!(bytes, "Content-Length: {}\r\n", self.length());
        }
        if self.closes {
            bytes.extend_from_slice(b"Connection: close\r\n");
        }
        bytes.extend_from_slice(b"\r\n");
        if !bodyless {
            bytes.extend_from_slice(&self.body);
        }
        bytes
    }
}

fn push_headers(bytes: &mut Vec<u8>, headers: &HeaderMap) {
    for (name, value) in headers {
        bytes.extend_from_slice(name.as_str().as_bytes());
        bytes.extend_from_slice(b": ");
        bytes.extend_from_slice(value.as_bytes());
        bytes.extend_from_slice(b"\r\n");
    }
}

/// The bytes of a request as it goes on, with headers that replace those of the same name.
pub fn write_request(request: &Request, replaced: &[(&'static str, &str)], left_out: &[&str]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(512 + request.body.len());
    let _ = write!(bytes, "{} {} HTTP/1.1\r\n", request.method, request.target);
    for (name, value) in &request.headers {
        let name = name.as_str();
        let again = replaced.iter().any(|(replaced, _)| replaced.eq_ignore_ascii_case(name));
        if again || left_out.iter().any(|left_out| left_out.eq_ignore_ascii_case(name)) {
            continue;
        }
        bytes.extend_from_slice(name.as_bytes());
        bytes.extend_from_slice(b": ");
        bytes.extend_from_slice(value.as_bytes());
        bytes.extend_from_slice(b"\r\n");
    }
    for (name, value) in replaced {
        let _ = write!(bytes, "{name}: {value}\r\n");
    }
    if !request.body.is_empty() || !matches!(request.method, Method::GET | Method::HEAD | Method::DELETE) {
        let _ = write!(bytes, "Content-Length: {}\r\n", request.body.len());
    }
    bytes.extend_from_slice(b"\r\n");
    bytes.extend_from_slice(&request.body);
    bytes
}

impl Line {
    /// Reads one answer whole; answers of the 1xx kind are passed over.
    pub async fn read_return(&mut self, bodyless: bool, limit: u64) -> Result<Return, ReturnError> {
        let (mut answer, framing) = self.read_return_head(bodyless).await?;
        answer.body = self.read_return_body(framing, BodyBounds { limit, reservation: None }).await?;
        Ok(answer)
    }

    /// The same, but a long body is left to flow, and takes the line with it. Any other body is reserved as it comes,
    /// and stays so as long as the answer is held.
    pub async fn read_return_or_flow(
        mut self,
        bodyless: bool,
        limit: u64,
        mut reservation: Reservation,
    ) -> Result<(Return, Option<Line>), ReturnError> {
        let (mut answer, framing) = self.read_return_head(bodyless).await?;
        if let Framing::Length(length) = framing
            && length > HELD_WHOLE
        {
            answer.flow = Some(Box::new(Flow::new(self, length)));
            return Ok((answer, None));
        }
        let bounds = BodyBounds { limit, reservation: Some(&mut reservation) };
        answer.body = self.read_return_body(framing, bounds).await?;
        answer.reservation = Some(reservation);
        Ok((answer, Some(self)))
    }

    async fn read_return_body(&mut self, framing: Framing, bounds: BodyBounds<'_>) -> Result<Bytes, ReturnError> {
        self.read_body(framing, bounds).await.map_err(|error| match error {
            BodyError::Cut | BodyError::Io(_) => ReturnError::Cut,
            BodyError::Malformed(reason) => ReturnError::Malformed(reason),
            BodyError::TooLong => ReturnError::TooLong,
            BodyError::NoRoom => ReturnError::NoRoom,
        })
    }

    async fn read_return_head(&mut self, bodyless: bool) -> Result<(Return, Framing), ReturnError> {
        loop {
            let mut seen = 0;
            let length = loop {
                if let Some(length) = head_length(&self.held, seen) {
                    break length;
                }
                seen = self.held.len();
                if seen > 64 << 10 {
                    return Err(ReturnError::Malformed("the head has no end"));
                }
                match self.fill(4 << 10).await {
                    Ok(count) if count > 0 => {}
                    _ if seen == 0 => return Err(ReturnError::Silent),
                    _ => return Err(ReturnError::Cut),
                }
            };
            let head = take_return_head(&mut self.held, length, bodyless)
                .map_err(|HeadError::Malformed(reason)| ReturnError::Malformed(reason))?;
            if head.status < 200 {
                if head.status == 101 {
                    return Err(ReturnError::Malformed("nobody asked for another protocol"));
                }
                continue;
            }
            let answer = Return {
                headers: head.headers,
                // A body without a length ends with its connection; one that is reset on the way is cut off.
                closes: head.closes || head.framing == Framing::UntilClose,
                keep_alive: head.keep_alive,
                ..Return::new(head.status)
            };
            return Ok((answer, head.framing));
        }
    }
}
