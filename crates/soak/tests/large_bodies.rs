//! Long bodies at the control plane: each gets a final answer, and no core process outgrows its memory.

mod support;

use bytes::Bytes;
use monoio::io::{AsyncReadRent, AsyncWriteRentExt};
use monoio::net::TcpStream;
use soak::layout::{Block, CORES, Form, Layout, MACHINE_MEMORY_MB};
use soak::process::Process;
use std::net::SocketAddr;
use std::time::Duration;
use support::{draw_number, starter};

/// Long enough for every body to be read and answered, also in a build that is not optimised.
const SEND_LIMIT: Duration = Duration::from_secs(30);
const PIECE_BYTES: usize = 64 << 10;
const LARGE_BYTES: usize = 31_500_000;
/// Shorter than the bound that a core node of this memory states.
const TAKEN_BYTES: usize = 2_000_000;
const AT_ONCE: usize = 20;

/// A configuration of about so many bytes that is valid JSON and no valid configuration.
fn configuration(item: &str, bytes: usize) -> Bytes {
    let items = vec![item; bytes / (item.len() + 1)];
    Bytes::from(format!("{{\"version\":\"r1\",\"routes\":[{}]}}", items.join(",")))
}

fn bodies(bytes: usize) -> Vec<Bytes> {
    let long_text = format!("\"{}\"", "x".repeat(bytes / 2));
    ["{}", "1", &long_text].map(|item| configuration(item, bytes)).to_vec()
}

#[derive(Clone, Copy)]
enum Framing {
    Length,
    Chunked,
}

/// Puts a configuration, and gives the status of the answer; nothing where the connection ends without one.
async fn put(address: SocketAddr, body: Bytes, framing: Framing) -> Option<u16> {
    let exchange = async {
        let mut stream = TcpStream::connect_addr(address).await.ok()?;
        let length = match framing {
            Framing::Length => format!("Content-Length: {}", body.len()),
            Framing::Chunked => "Transfer-Encoding: chunked".into(),
        };
        let head = format!("PUT /v1/configuration HTTP/1.1\r\nHost: h\r\nIf-Match: 0\r\n{length}\r\n\r\n");
        stream.write_all(head.into_bytes()).await.0.ok()?;
        // Whoever is turned away may be told so before the body is through.
        let _ = send_body(&mut stream, body, framing).await;
        read_status(&mut stream).await
    };
    monoio::time::timeout(SEND_LIMIT, exchange).await.ok().flatten()
}

async fn send_body(stream: &mut TcpStream, body: Bytes, framing: Framing) -> std::io::Result<()> {
    for start in (0..body.len()).step_by(PIECE_BYTES) {
        let piece = body.slice(start..body.len().min(start + PIECE_BYTES));
        match framing {
            Framing::Length => stream.write_all(piece).await.0.map(drop)?,
            Framing::Chunked => {
                stream.write_all(format!("{:x}\r\n", piece.len()).into_bytes()).await.0?;
                stream.write_all(piece).await.0?;
                stream.write_all(b"\r\n".to_vec()).await.0?;
            }
        }
    }
    match framing {
        Framing::Length => Ok(()),
        Framing::Chunked => stream.write_all(b"0\r\n\r\n".to_vec()).await.0.map(drop),
    }
}

async fn read_status(stream: &mut TcpStream) -> Option<u16> {
    let mut text = Vec::new();
    while text.len() < "HTTP/1.1 200".len() {
        let (outcome, bytes) = stream.read(Vec::with_capacity(PIECE_BYTES)).await;
        if !matches!(outcome, Ok(1..)) {
            return None;
        }
        text.extend_from_slice(&bytes);
    }
    std::str::from_utf8(&text).ok()?.split(' ').nth(1)?.parse().ok()
}

/// Puts a body at every node, so many times at each at once.
async fn put_everywhere(layout: Layout, body: &Bytes, framing: Framing) -> Vec<Option<u16>> {
    let puts = (0..CORES * AT_ONCE).map(|index| monoio::spawn(put(layout.core(index % CORES), body.clone(), framing)));
    let puts: Vec<_> = puts.collect();
    let mut statuses = Vec::new();
    for put in puts {
        statuses.push(put.await);
    }
    statuses
}

/// Three core processes, for a while.
fn with_cores(test: impl AsyncFnOnce(Layout, &mut Vec<Process>)) {
    let folder = tempfile::tempdir().unwrap();
    trackbed::kernel::run(async {
        let block = Block::take().unwrap();
        let layout = Layout { block: block.number(), form: Form::ALL[0], cores: CORES };
        let mut cores = starter(layout, folder.path()).cores().unwrap();
        assert!(draw_number(layout).await.is_some());
        test(layout, &mut cores).await;
    })
    .unwrap();
}

fn assert_within_memory(cores: &mut [Process]) {
    for core in cores {
        assert!(!core.has_ended(), "{} has ended", core.name());
        let peak = core.peak_memory_mb().unwrap();
        assert!(peak <= MACHINE_MEMORY_MB, "{} took {peak} MB of {MACHINE_MEMORY_MB} MB", core.name());
    }
}

#[test]
fn a_body_far_over_the_bound_is_declined_and_costs_no_core_process_its_memory() {
    with_cores(async |layout, cores| {
        for body in bodies(LARGE_BYTES) {
            let status = put(layout.core(0), body, Framing::Length).await;
            assert!(matches!(status, Some(400 | 413)), "{status:?}");
            assert_within_memory(cores);
        }
    });
}

#[test]
fn many_long_bodies_at_once_cost_no_core_process_its_memory() {
    with_cores(async |layout, cores| {
        for bytes in [LARGE_BYTES, TAKEN_BYTES] {
            for body in bodies(bytes) {
                for framing in [Framing::Length, Framing::Chunked] {
                    let statuses = put_everywhere(layout, &body, framing).await;
                    assert_within_memory(cores);
                    let final_answers = statuses.iter().filter(|status| status.is_some()).count();
                    assert_eq!(final_answers, statuses.len(), "{bytes} bytes: {statuses:?}");
                    assert!(!statuses.contains(&Some(200)));
                }
            }
        }
        assert!(draw_number(layout).await.is_some());
    });
}
