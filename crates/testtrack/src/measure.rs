//! What the operating system and the nodes themselves say.

use sonic_rs::{JsonValueTrait, Value};
use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

const LIMIT: Duration = Duration::from_secs(5);

/// Status and body of one answer; nothing where there is none.
pub fn http(
    address: SocketAddr,
    method: &str,
    path: &str,
    if_match: Option<&str>,
    body: &str,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, LIMIT).ok()?;
    stream.set_read_timeout(Some(LIMIT)).ok()?;
    let matched = if_match.map(|version| format!("If-Match: {version}\r\n")).unwrap_or_default();
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\nContent-Type: application/json\r\n{matched}Content-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).ok()?;
    stream.write_all(body.as_bytes()).ok()?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).ok()?;
    let text = String::from_utf8_lossy(&answer);
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some((status, body.to_owned()))
}

pub fn number(text: &str, field: &str) -> Option<f64> {
    let value: Value = sonic_rs::from_str(text).ok()?;
    value.pointer([field].iter())?.as_f64()
}

pub fn text_of(text: &str, field: &str) -> Option<String> {
    let value: Value = sonic_rs::from_str(text).ok()?;
    value.pointer([field].iter())?.as_str().map(str::to_owned)
}

/// Processor time of a process, all threads, in seconds.
pub fn processor_seconds(pid: u32) -> f64 {
    let tasks = fs::read_dir(format!("/proc/{pid}/task")).into_iter().flatten().flatten();
    let of_task = |path: std::path::PathBuf| {
        let text = fs::read_to_string(path.join("schedstat")).ok()?;
        text.split_whitespace().next()?.parse::<f64>().ok()
    };
    tasks.filter_map(|task| of_task(task.path())).sum::<f64>() / 1e9
}

fn kilobytes(path: &str, field: &str) -> Option<u64> {
    let text = fs::read_to_string(path).ok()?;
    let line = text.lines().find(|line| line.starts_with(field))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

pub fn resident_kb(pid: u32) -> u64 {
    kilobytes(&format!("/proc/{pid}/status"), "VmRSS:").unwrap_or(0)
}

pub fn memory_kb() -> u64 {
    kilobytes("/proc/meminfo", "MemTotal:").unwrap_or(0)
}

/// Descriptors that a process here may have.
pub fn descriptors_allowed() -> u64 {
    let text = fs::read_to_string("/proc/self/limits").unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("Max open files"));
    line.and_then(|line| line.split_whitespace().nth(3)).and_then(|soft| soft.parse().ok()).unwrap_or(1024)
}
