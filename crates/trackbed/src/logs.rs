//! JSON lines on standard output, sparing by default.

use crate::clock;
use log::LevelFilter;

/// Starts logging. A second call changes nothing.
pub fn start(program: &'static str, node: &str, level: LevelFilter) {
    let node = node.to_owned();
    let outcome = fern::Dispatch::new()
        .format(move |out, message, record| {
            let text = message.to_string();
            let at = clock::now().micros() as f64 / 1e6;
            out.finish(format_args!(
                "{{\"at\":{at:.4},\"level\":\"{}\",\"program\":\"{program}\",\"node\":\"{}\",\"part\":\"{}\",\"message\":\"{}\"}}",
                record.level(),
                escape(&node),
                record.target(),
                escape(&text)
            ))
        })
        .level(level)
        .chain(std::io::stdout())
        .apply();
    if outcome.is_err() {
        log::debug!("logging had been started before");
    }
}

/// A text as it stands between the quotes of a JSON string.
pub fn escape(text: &str) -> String {
    let mut escaped = String::with_capacity(text.len());
    for letter in text.chars() {
        match letter {
            '"' => escaped.push_str("\\\""),
            '\\' => escaped.push_str("\\\\"),
            '\n' => escaped.push_str("\\n"),
            letter if (letter as u32) < 0x20 => escaped.push_str(&format!("\\u{:04x}", letter as u32)),
            letter => escaped.push(letter),
        }
    }
    escaped
}
