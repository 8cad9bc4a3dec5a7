//! JSON texts by chance: valid and nearly valid, with names and values that the programs know, and absurd ones.

use arbitrary::{Result, Unstructured};

/// Levels of a text that is made here, at most; deeper ones come from [`repeated`].
const MOST_LEVELS: usize = 6;
const MOST_ITEMS: usize = 6;

const NAMES: [&str; 46] = [
    "version",
    "routes",
    "services",
    "tenants",
    "limits",
    "observation",
    "upserts",
    "removals",
    "name",
    "hostname",
    "path_prefix",
    "route_type",
    "timeout_s",
    "target_latency_s",
    "priority",
    "traffic_split",
    "service_name",
    "weight",
    "max_attempts",
    "health_check_path",
    "max_connections",
    "max_body_bytes",
    "max_header_bytes",
    "idle_timeout_s",
    "regions",
    "address",
    "capacity_slots",
    "lifecycle_state",
    "sequence",
    "cold_remaining_s",
    "holds",
    "released",
    "holder",
    "hold_s",
    "fence_token",
    "value",
    "enabled",
    "zone",
    "node_name",
    "ip_address",
    "seed_nodes",
    "bounds",
    "serves",
    "listen_addresses",
    "memory_mb",
    "",
];

const VALUES: [&str; 34] = [
    "0",
    "-0",
    "1",
    "-1",
    "0.5",
    "1e308",
    "-1e308",
    "1e999",
    "1e-400",
    "18446744073709551615",
    "18446744073709551616",
    "-9223372036854775808",
    "9007199254740993",
    "65535",
    "65536",
    "4294967296",
    "true",
    "false",
    "null",
    "\"\"",
    "\"r1\"",
    "\"r18446744073709551615\"",
    "\"r99999999999999999999\"",
    "\"10.0.0.1:80\"",
    "\"[::1]:99999\"",
    "\"idempotent\"",
    "\"ready\"",
    "\"draining\"",
    "\"/\"",
    "\"\\u0000\\ud800\"",
    "\"\\\"",
    "NaN",
    "01",
    "\"\u{1}\"",
];

/// A text drawn from the bytes at hand.
pub fn draw(source: &mut Unstructured<'_>) -> Result<String> {
    let mut text = String::new();
    push_value(&mut text, source, 0)?;
    Ok(text)
}

fn push_value(text: &mut String, source: &mut Unstructured<'_>, level: usize) -> Result<()> {
    let kinds = if level < MOST_LEVELS { 4 } else { 1 };
    match source.int_in_range(0..=kinds)? {
        2 => push_list(text, source, level),
        3 | 4 => push_table(text, source, level),
        _ => {
            text.push_str(source.choose(&VALUES)?);
            Ok(())
        }
    }
}

fn push_list(text: &mut String, source: &mut Unstructured<'_>, level: usize) -> Result<()> {
    text.push('[');
    for index in 0..source.int_in_range(0..=MOST_ITEMS)? {
        if index > 0 {
            text.push(',');
        }
        push_value(text, source, level + 1)?;
    }
    text.push(']');
    Ok(())
}

fn push_table(text: &mut String, source: &mut Unstructured<'_>, level: usize) -> Result<()> {
    text.push('{');
    for index in 0..source.int_in_range(0..=MOST_ITEMS)? {
        if index > 0 {
            text.push(',');
        }
        text.push('"');
        text.push_str(source.choose(&NAMES)?);
        text.push_str("\":");
        push_value(text, source, level + 1)?;
    }
    text.push('}');
    Ok(())
}

/// Texts that are one thing over and over: deep, wide, or one long string, of about so many bytes.
pub fn repeated(kind: u64, bytes: usize) -> Vec<u8> {
    let piece = ["[", "{\"a\":", "[{\"a\":[", "1,", "{},", "\"a\":1,", "\\u0041", "x", "\u{ff}", "0", " ", "]"];
    let piece = piece[kind as usize % piece.len()];
    let times = bytes / piece.len();
    let wrapped = match kind / 12 % 4 {
        0 => ("", ""),
        1 => ("[", "1]"),
        2 => ("{\"version\":\"r1\",\"routes\":{", "\"z\":1}}"),
        _ => ("{\"version\":\"r1\",\"x\":\"", "\"}"),
    };
    format!("{}{}{}", wrapped.0, piece.repeat(times), wrapped.1).into_bytes()
}
