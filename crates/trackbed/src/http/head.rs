//! Heads, typed at the door.

use super::body::Framing;
use super::presence::Presence;
use bytes::{Bytes, BytesMut};
use http::{HeaderMap, HeaderName, Method, header};
use monoio_codec::{Decoded, Decoder};
use monoio_http::h1::codec::decoder::{RequestHeadDecoder, ResponseHeadDecoder};
use std::net::IpAddr;

/// A whole request of a requester.
#[derive(Clone, Debug)]
pub struct Request {
    /// The request's method.
    pub method: Method,
    /// Path and query, byte for byte as sent. Invariant: begins with a slash.
    pub target: String,
    /// Invariant: no header that concerns one connection only, no length.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// True when the requester keeps the connection for more.
    pub keeps: bool,
    /// Who sent it, where it came in at a door.
    pub from: Option<IpAddr>,
    /// Whether its client is still there.
    pub presence: Presence,
}

impl Request {
    /// The target up to its query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }
    /// The target behind the question mark, or nothing.
    pub fn query(&self) -> &str {
        self.target.split_once('?').map(|(_, query)| query).unwrap_or("")
    }
    /// A header's text where it stands exactly once.
    pub fn header(&self, name: &str) -> Option<&str> {
        single(&self.headers, name)
    }
}

/// A header's text where it stands exactly once.
pub fn single<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    let mut values = headers.get_all(name).iter();
    let first = values.next()?.to_str().ok()?;
    if values.next().is_some() { None } else { Some(first.trim()) }
}

/// Headers that concern one connection only.
pub fn is_hop_header(name: &HeaderName) -> bool {
    matches!(
        name.as_str(),
        "connection"
            | "keep-alive"
            | "proxy-connection"
            | "proxy-authenticate"
            | "proxy-authorization"
            | "te"
            | "trailer"
            | "transfer-encoding"
            | "upgrade"
            | "content-length"
            | "expect"
    )
}

/// Removes the headers of one connection, with those that `Connection` names.
pub(super) fn strip_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .filter_map(|word| word.trim().parse().ok())
        .collect();
    // The end-to-end headers that the system itself rests on can't be named away.
    for name in named.iter().filter(|name| !name.as_str().starts_with("ferryhinge-") && *name != header::HOST) {
        headers.remove(name);
    }
    let hops: Vec<HeaderName> = headers.keys().filter(|name| is_hop_header(name)).cloned().collect();
    for name in hops {
        headers.remove(name);
    }
}

/// Whether the headers say that the connection ends after this message.
pub fn connection_closes(headers: &HeaderMap) -> bool {
    headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .any(|text| text.split(',').any(|word| word.trim().eq_ignore_ascii_case("close")))
}

fn connection_keeps(headers: &HeaderMap) -> bool {
    headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .any(|text| text.split(',').any(|word| word.trim().eq_ignore_ascii_case("keep-alive")))
}

pub(super) enum HeadError {
    Malformed(&'static str),
}

pub(super) struct RequestHead {
    pub request: Request,
    pub framing: Framing,
    pub expects_continue: bool,
}

/// How long the head at the front of the buffer is, with its empty line.
pub(super) fn head_length(buffer: &[u8], from: usize) -> Option<usize> {
    let start = from.saturating_sub(3);
    buffer[start.min(buffer.len())..].windows(4).position(|window| window == b"\r\n\r\n").map(|at| start + at + 4)
}

fn has_bare_line_feed(head: &[u8]) -> bool {
    head.iter().enumerate().any(|(index, byte)| *byte == b'\n' && (index == 0 || head[index - 1] != b'\r'))
}

/// Reads a request's head of `length` bytes off the buffer.
pub(super) fn take_request_head(buffer: &mut BytesMut, length: usize) -> Result<RequestHead, HeadError> {
    if has_bare_line_feed(&buffer[..length]) {
        return Err(HeadError::Malformed("a bare line feed stands in the head"));
    }
    let mut head = buffer.split_to(length);
    let decoded = RequestHeadDecoder.decode(&mut head).map_err(|_| HeadError::Malformed("the head can't be read"))?;
    let Decoded::Some(parts) = decoded else {
        return Err(HeadError::Malformed("the head can't be read"));
    };
    let target = parts.uri.path_and_query().map(|target| target.as_str().to_owned()).unwrap_or_default();
    if parts.uri.authority().is_some() || !target.starts_with('/') {
        return Err(HeadError::Malformed("the target is not a path"));
    }
    let mut headers = parts.headers;
    if headers.get_all(header::HOST).iter().count() > 1 {
        return Err(HeadError::Malformed("more than one Host header"));
    }
    let framing = Framing::of_request(&headers).map_err(HeadError::Malformed)?;
    let current = parts.version == http::Version::HTTP_11;
    if !current && framing == Framing::Chunked {
        return Err(HeadError::Malformed("chunks in HTTP/1.0"));
    }
    let keeps = if current { !connection_closes(&headers) } else { connection_keeps(&headers) };
    let expects_continue = headers
        .get(header::EXPECT)
        .and_then(|value| value.to_str().ok())
        .is_some_and(|value| value.eq_ignore_ascii_case("100-continue"));
    strip_hop_headers(&mut headers);
    let request = Request {
        method: parts.method,
        target,
        headers,
        body: Bytes::new(),
        keeps,
        from: None,
        presence: Presence::default(),
    };
    Ok(RequestHead { request, framing, expects_continue })
}

pub(super) struct ReturnHead {
    pub status: u16,
    pub headers: HeaderMap,
    pub framing: Framing,
    pub closes: bool,
    pub keep_alive: Option<u64>,
}

/// Reads an answer's head of `length` bytes off the buffer.
pub(super) fn take_return_head(buffer: &mut BytesMut, length: usize, bodyless: bool) -> Result<ReturnHead, HeadError> {
    if has_bare_line_feed(&buffer[..length]) {
        return Err(HeadError::Malformed("a bare line feed stands in the head"));
    }
    let mut head = buffer.split_to(length);
    let decoded = ResponseHeadDecoder.decode(&mut head).map_err(|_| HeadError::Malformed("the head can't be read"))?;
    let Decoded::Some(parts) = decoded else {
        return Err(HeadError::Malformed("the head can't be read"));
    };
    let status = parts.status.as_u16();
    let mut headers = parts.headers;
    let framing = Framing::of_return(&headers, status, bodyless).map_err(HeadError::Malformed)?;
    let closes = connection_closes(&headers)
        || (parts.version != http::Version::HTTP_11 && !connection_keeps(&headers))
        || framing == Framing::UntilClose;
    let keep_alive = headers
        .get("keep-alive")
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.split(',').find_map(|part| part.trim().strip_prefix("timeout=")?.parse().ok()));
    strip_hop_headers(&mut headers);
    Ok(ReturnHead { status, headers, framing, closes, keep_alive })
}
