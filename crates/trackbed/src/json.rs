//! JSON as it comes from outside: read with a bound on its depth, as the parser takes stack for each level.

use derive_more::{Display, Error};
use sonic_rs::Value;

/// Lists and tables within one another, at most. What is read here needs a handful.
pub const MOST_LEVELS: usize = 32;

/// Why a text is not taken.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum JsonError {
    /// It was not parsed at all.
    #[display("at byte {at} it is nested more than {MOST_LEVELS} levels deep")]
    TooDeep {
        /// The place of the first bracket that is too deep.
        at: usize,
    },
    /// The parser's own words.
    #[display("{reason}")]
    Malformed {
        /// What it said.
        reason: String,
    },
}

/// Reads a text.
///
/// # Errors
///
/// [`JsonError`] where it is no JSON, or nested too deep to be read.
pub fn parse(text: &[u8]) -> Result<Value, JsonError> {
    if let Some(at) = first_too_deep(text) {
        return Err(JsonError::TooDeep { at });
    }
    sonic_rs::from_slice(text).map_err(|error| {
        let reason = error.to_string().lines().next().unwrap_or_default().to_owned();
        JsonError::Malformed { reason }
    })
}

/// Where a text first goes deeper than [`MOST_LEVELS`]. Brackets within strings don't count.
fn first_too_deep(text: &[u8]) -> Option<usize> {
    let mut level = 0usize;
    let mut is_string = false;
    let mut is_escaped = false;
    for (at, byte) in text.iter().enumerate() {
        if is_string {
            is_string = is_escaped || *byte != b'"';
            is_escaped = !is_escaped && *byte == b'\\';
            continue;
        }
        match byte {
            b'"' => is_string = true,
            b'[' | b'{' if level == MOST_LEVELS => return Some(at),
            b'[' | b'{' => level += 1,
            b']' | b'}' => level = level.saturating_sub(1),
            _ => {}
        }
    }
    None
}

#[cfg(test)]
#[path = "json_tests.rs"]
mod tests;
