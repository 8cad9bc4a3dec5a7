//! HTTP/1.1 as far as a stand-in needs it.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads one message whole; nothing where the other side closed before its first byte.
pub fn read(stream: &mut TcpStream, held: &mut Vec<u8>) -> io::Result<Option<Message>> {
    let mut room = [0u8; 16 << 10];
    let end = loop {
        if let Some(at) = held.windows(4).position(|window| window == b"\r\n\r\n") {
            break at + 4;
        }
        match stream.read(&mut room)? {
            0 if held.is_empty() => return Ok(None),
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            count => held.extend_from_slice(&room[..count]),
        }
    };
    let head = String::from_utf8_lossy(&held[..end]).into_owned();
    held.drain(..end);
    let mut lines = head.split("\r\n");
    let first = lines.next().unwrap_or("").to_owned();
    let headers: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
        .collect();
    let mut message = Message { first, headers, body: Vec::new() };
    let length: usize = message.header("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
    while held.len() < length {
        match stream.read(&mut room)? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            count => held.extend_from_slice(&room[..count]),
        }
    }
    message.body = held.drain(..length).collect();
    Ok(Some(message))
}

pub fn write(stream: &mut TcpStream, first: &str, headers: &[(&str, &str)], body: &[u8]) -> io::Result<()> {
    let mut bytes = format!("{first}\r\n").into_bytes();
    for (name, value) in headers {
        bytes.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    bytes.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// One request over a connection of its own.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> io::Result<Message> {
    let begun = Instant::now();
    let mut stream = TcpStream::connect_timeout(&to, limit)?;
    stream.set_nodelay(true)?;
    let left = limit.saturating_sub(begun.elapsed()).max(Duration::from_millis(1));
    stream.set_read_timeout(Some(left))?;
    stream.set_write_timeout(Some(left))?;
    let host = to.to_string();
    let mut all: Vec<(&str, &str)> = headers.to_vec();
    if !all.iter().any(|(name, _)| name.eq_ignore_ascii_case("host")) {
        all.push(("Host", &host));
    }
    all.push(("Connection", "close"));
    write(&mut stream, &format!("{method} {path} HTTP/1.1"), &all, body)?;
    read(&mut stream, &mut Vec::new())?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

/// One call with a JSON body.
pub fn json(to: SocketAddr, method: &str, path: &str, if_match: Option<&str>, body: &str, millis: u64) -> io::Result<Message> {
    let mut headers = vec![("Content-Type", "application/json")];
    headers.extend(if_match.map(|version| ("If-Match", version)));
    call(to, method, path, &headers, body.as_bytes(), Duration::from_millis(millis))
}
