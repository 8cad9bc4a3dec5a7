//! Heads under random input: never a panic, and nothing that could be read in two ways.

use super::body::{Framing, chunk_size};
use super::head::{head_length, take_request_head, take_return_head};
use crate::random::Random;
use bytes::BytesMut;

const PARTS: [&str; 22] = [
    "GET /a/b?c=d HTTP/1.1\r\n",
    "POST /a HTTP/1.1\r\n",
    "GET http://x/a HTTP/1.1\r\n",
    "GET /a HTTP/1.0\r\n",
    "HTTP/1.1 200 OK\r\n",
    "HTTP/1.1 204 No\r\n",
    "Host: h\r\n",
    "Host: other\r\n",
    "Content-Length: 5\r\n",
    "Content-Length: 6\r\n",
    "Content-Length: +5\r\n",
    "Content-Length: 5, 5\r\n",
    "Transfer-Encoding: chunked\r\n",
    "Transfer-Encoding: gzip, chunked\r\n",
    "Transfer-Encoding : chunked\r\n",
    "X: y\n",
    "Connection: close, Host, Ferryhinge-Attempt-Id\r\n",
    "Ferryhinge-Attempt-Id: 7\r\n",
    " folded\r\n",
    "\r\n",
    "\u{0}\u{ff}:\r\n",
    "X-Long: yyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyy\r\n",
];

fn random_head(random: &mut Random) -> Vec<u8> {
    let mut bytes = PARTS[random.below(6) as usize].as_bytes().to_vec();
    for _ in 0..random.below(8) {
        bytes.extend_from_slice(PARTS[random.below(PARTS.len() as u64) as usize].as_bytes());
    }
    bytes.extend_from_slice(b"\r\n");
    for _ in 0..random.below(3) {
        let at = random.below(bytes.len() as u64) as usize;
        match random.below(3) {
            0 => bytes[at] = random.draw() as u8,
            1 => {
                bytes.remove(at);
            }
            _ => bytes.insert(at, random.draw() as u8),
        }
    }
    bytes
}

#[test]
fn no_head_is_read_in_two_ways() {
    let mut random = Random::seeded(9);
    let mut taken = 0;
    for _ in 0..60_000 {
        let bytes = random_head(&mut random);
        let Some(length) = head_length(&bytes, 0) else { continue };
        let mut buffer = BytesMut::from(&bytes[..]);
        if let Ok(head) = take_request_head(&mut buffer, length) {
            taken += 1;
            assert_eq!(buffer.len(), bytes.len() - length, "exactly the head is taken");
            let text = String::from_utf8_lossy(&bytes[..length]).to_ascii_lowercase();
            let lines = |name: &str| text.split("\r\n").skip(1).filter(|line| line.starts_with(name)).count();
            assert!(head.request.target.starts_with('/'));
            assert!(lines("content-length:") <= 1 && lines("host:") <= 1);
            assert!(lines("content-length:") + lines("transfer-encoding:") <= 1);
            assert!(!text.replace("\r\n", "").contains('\n'));
            assert!(head.request.headers.get("transfer-encoding").is_none());
            assert_eq!(head.request.headers.contains_key("host"), lines("host:") == 1, "Host can't be named away");
        }
        let mut buffer = BytesMut::from(&bytes[..]);
        let _ = take_return_head(&mut buffer, length, random.chance(0.1));
    }
    assert!(taken > 2_000, "{taken}");
}

#[test]
fn chunk_sizes_are_plain_hexadecimal() {
    assert_eq!(chunk_size(b"1aF"), Some(0x1af));
    assert_eq!(chunk_size(b"5;name=value"), Some(5));
    for wrong in [&b""[..], b"+5", b"0x5", b" 5", b"5 5", b"fffffffffffffffff", b"-1", b";5"] {
        assert_eq!(chunk_size(wrong), None, "{wrong:?}");
    }
}

#[test]
fn an_answer_without_an_end_of_its_own_is_told_apart() {
    let mut buffer = BytesMut::from(&b"HTTP/1.1 200 OK\r\n\r\n"[..]);
    let length = buffer.len();
    let head = take_return_head(&mut buffer, length, false).ok().unwrap();
    assert_eq!(head.framing, Framing::UntilClose);
}
