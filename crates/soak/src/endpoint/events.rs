//! What an endpoint saw, as JSON lines that the run reads when all is over.

use nix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};
use std::io::Write;
use std::time::Duration;

/// Microseconds on a clock that all processes of this machine share, steady also over suspension.
pub fn shared_micros() -> u64 {
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME).or_else(|_| clock_gettime(ClockId::CLOCK_MONOTONIC));
    time.map(|time| Duration::from(time).as_micros() as u64).unwrap_or_default()
}

/// Something that happened at an endpoint.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event {
    /// A life began, and holds nothing.
    Started {
        /// When, by [`shared_micros`].
        at: u64,
        /// The life's id.
        life: String,
    },
    /// A life has ended by itself.
    Ended {
        /// When.
        at: u64,
        /// The life's id.
        life: String,
    },
    /// It holds keys from now on, until a time unless it is renewed or lets go earlier.
    Held {
        /// When it took them.
        at: u64,
        /// The life's id.
        life: String,
        /// The first key.
        first: u16,
        /// The last key.
        last: u16,
        /// Under which fence.
        fence: u64,
        /// When the hold runs out.
        until: u64,
    },
    /// It has let go of keys.
    LetGo {
        /// When.
        at: u64,
        /// The life's id.
        life: String,
        /// The first key.
        first: u16,
        /// The last key.
        last: u16,
    },
    /// It began to run a request.
    Ran {
        /// When.
        at: u64,
        /// The life's id.
        life: String,
        /// The client's id of the try.
        attempt: String,
        /// The request's key.
        key: u16,
        /// Whether the request may run more than once.
        safe: bool,
    },
    /// It is cold from now on, until a time.
    Cold {
        /// When.
        at: u64,
        /// The life's id.
        life: String,
        /// When it is warm again.
        until: u64,
    },
    /// It turned a request away since it had no slot.
    Refused {
        /// When.
        at: u64,
        /// The life's id.
        life: String,
    },
    /// More requests came while it was cold than it bears: its process ends.
    FellOver {
        /// When.
        at: u64,
        /// The life's id.
        life: String,
    },
    /// It was asked to run a request for a key that it doesn't hold.
    Misdirected {
        /// When.
        at: u64,
        /// The life's id.
        life: String,
        /// The request's key.
        key: u16,
    },
}

impl Event {
    /// Writes the event to standard output at once.
    pub fn tell(&self) {
        let Ok(line) = sonic_rs::to_string(self) else { return };
        let mut out = std::io::stdout().lock();
        let _ = writeln!(out, "{line}");
        let _ = out.flush();
    }
}
