//! JSON as it comes from outside: read with bounds on its depth, as the parser takes stack for each level, and on the
//! number of its values, as each takes many times the memory of the bytes that it is written in.

use derive_more::{Display, Error};
use sonic_rs::Value;

/// Lists and tables within one another, at most. What is read here needs a handful.
pub const MOST_LEVELS: usize = 32;
/// Values in one text, at most: several times those of the largest configuration that `docs/CAPACITY.md` states.
pub const MOST_VALUES: usize = 1 << 17;

/// Why a text is not taken.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum JsonError {
    /// It was not parsed at all.
    #[display("at byte {at} it is nested more than {MOST_LEVELS} levels deep")]
    TooDeep {
        /// The place of the first bracket that is too deep.
        at: usize,
    },
    /// It was not parsed at all.
    #[display("at byte {at} it has more than {MOST_VALUES} values")]
    TooManyValues {
        /// The place at which the first value too many begins, or the place before it.
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
/// [`JsonError`] where it is no JSON, nested too deep, or has too many values to be read.
pub fn parse(text: &[u8]) -> Result<Value, JsonError> {
    check_bounds(text)?;
    sonic_rs::from_slice(text).map_err(|error| {
        let reason = error.to_string().lines().next().unwrap_or_default().to_owned();
        JsonError::Malformed { reason }
    })
}

/// Looks for more than [`MOST_LEVELS`] levels and [`MOST_VALUES`] values. What stands within strings doesn't count.
/// Every list or table holds at most one value more than it has commas, so that brackets and commas bound the values.
fn check_bounds(text: &[u8]) -> Result<(), JsonError> {
    let mut level = 0usize;
    let mut values = 1usize;
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
            b'[' | b'{' if level == MOST_LEVELS => return Err(JsonError::TooDeep { at }),
            b'[' | b'{' => {
                level += 1;
                values += 1;
            }
            b']' | b'}' => level = level.saturating_sub(1),
            b',' => values += 1,
            _ => {}
        }
        if values > MOST_VALUES {
            return Err(JsonError::TooManyValues { at });
        }
    }
    Ok(())
}

#[cfg(test)]
#[path = "json_tests.rs"]
mod tests;
