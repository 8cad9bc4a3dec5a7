//! What operators want observed, and what is done about it.

use super::checks::Fault;
use sonic_rs::{JsonValueTrait, Value};
use std::rc::Rc;

/// The table's name, at the top of a configuration.
pub const OBSERVATION: &str = "observation";
const LONGEST_HEADER: usize = 64;

/// How clients and routes are counted.
#[derive(Clone, Debug, PartialEq)]
pub struct Observation {
    /// The request header that tells a tenant's clients apart. Invariant: lower case, and a header's name.
    pub client_header: Option<Rc<str>>,
    /// Whether room is kept for urgent routes before a forecast rush.
    pub reservations: bool,
}

impl Default for Observation {
    fn default() -> Self {
        Self { client_header: None, reservations: true }
    }
}

impl Observation {
    /// Reads the settings; what is missing has its default.
    pub fn parse(value: &Value) -> Result<Self, Fault> {
        let wrong = |field: &str, wanted| Fault::Wrong { place: format!("/{OBSERVATION}{field}"), wanted };
        if !value.is_object() {
            return Err(wrong("", "a table with client_header and reservations"));
        }
        let client_header = match value.pointer(["client_header"].iter()).filter(|value| !value.is_null()) {
            None => None,
            Some(name) => {
                let plain = |name: &&str| {
                    let letter = |letter: u8| letter.is_ascii_alphanumeric() || matches!(letter, b'-' | b'_');
                    !name.is_empty() && name.len() <= LONGEST_HEADER && name.bytes().all(letter)
                };
                let name = name.as_str().filter(plain);
                let name = name.ok_or_else(|| wrong("/client_header", "a header's name of 64 letters at most"))?;
                Some(Rc::from(name.to_ascii_lowercase()))
            }
        };
        let reservations = match value.pointer(["reservations"].iter()) {
            None => true,
            Some(value) => value.as_bool().ok_or_else(|| wrong("/reservations", "true or false"))?,
        };
        Ok(Self { client_header, reservations })
    }
}
