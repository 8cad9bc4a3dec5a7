//! Time, the record of a run, a little JSON, and random numbers.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, OnceLock};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

static BEGUN: OnceLock<Instant> = OnceLock::new();
static RECORD: OnceLock<Mutex<File>> = OnceLock::new();
static RANDOM: AtomicU64 = AtomicU64::new(0x9e37_79b9_7f4a_7c15);

/// Milliseconds since the play began, on the steady clock.
pub fn now() -> u64 {
    BEGUN.get_or_init(Instant::now).elapsed().as_millis() as u64
}

pub fn sleep(millis: u64) {
    std::thread::sleep(Duration::from_millis(millis));
}

/// Opens `record.txt` and seeds the random numbers.
pub fn begin(record: &Path) -> std::io::Result<()> {
    let seed = SystemTime::now().duration_since(UNIX_EPOCH).map_or(1, |time| time.as_nanos() as u64);
    RANDOM.store(seed | 1, Ordering::Relaxed);
    let _ = RECORD.set(Mutex::new(File::create(record)?));
    now();
    Ok(())
}

/// Writes one line, with its time, to the record.
pub fn note(line: &str) {
    if let Some(file) = RECORD.get() {
        let mut file = file.lock().unwrap();
        let _ = writeln!(file, "{:>7} ms  {line}", now());
    }
}

/// The same, and to standard output.
pub fn say(line: &str) {
    println!("{line}");
    note(line);
}

pub fn random() -> u64 {
    let mut value = RANDOM.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed);
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

pub fn below(limit: u64) -> u64 {
    random() % limit.max(1)
}

/// The text behind `"field":` in a flat JSON text, up to a comma or bracket.
fn raw<'a>(json: &'a str, field: &str) -> Option<&'a str> {
    let at = json.find(&format!("\"{field}\""))? + field.len() + 2;
    let rest = json[at..].trim_start().strip_prefix(':')?.trim_start();
    if let Some(text) = rest.strip_prefix('"') {
        return text.find('"').map(|end| &text[..end]);
    }
    let end = rest.find([',', '}', ']']).unwrap_or(rest.len());
    Some(rest[..end].trim())
}

pub fn text(json: &str, field: &str) -> Option<String> {
    raw(json, field).map(str::to_owned)
}

pub fn number(json: &str, field: &str) -> Option<f64> {
    raw(json, field)?.parse().ok()
}

pub fn whole(json: &str, field: &str) -> Option<u64> {
    raw(json, field)?.parse().ok()
}
