//! A long body on its way: read from one connection as fast as the other takes it.

use super::line::Line;
use crate::clock::{self, Moment};
use bytes::Bytes;
use std::any::Any;

/// Bodies up to this length are held whole, so that a go that breaks off can be made again elsewhere.
pub const HELD_WHOLE: u64 = 1 << 20;

/// Invariant: `left` bytes are still to come on `line`, and nobody else reads from it.
pub struct Flow {
    line: Line,
    left: u64,
    until: Moment,
    /// Given back when the body has gone through.
    guard: Option<Box<dyn Any>>,
}

impl std::fmt::Debug for Flow {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "a body with {} bytes to come", self.left)
    }
}

impl Flow {
    pub(super) fn new(line: Line, left: u64) -> Self {
        Self { line, left, until: Moment(u64::MAX), guard: None }
    }

    /// All the bytes of the body, before any was taken.
    pub fn length(&self) -> u64 {
        self.left
    }

    /// Sets the time by which the whole body must have come.
    pub fn end_by(&mut self, until: Moment) {
        self.until = until;
    }

    /// Keeps something until the body has gone through or is given up.
    pub fn hold(&mut self, guard: Box<dyn Any>) {
        self.guard = Some(guard);
    }

    /// The next bytes; none at the end. Nothing at all when the body broke off or takes too long.
    pub async fn next(&mut self) -> Option<Bytes> {
        if self.left == 0 {
            return Some(Bytes::new());
        }
        if self.line.held.is_empty() {
            let limit = clock::now().until(self.until);
            match monoio::time::timeout(limit, self.line.fill(64 << 10)).await {
                Ok(Ok(count)) if count > 0 => {}
                _ => return None,
            }
        }
        let count = (self.line.held.len() as u64).min(self.left) as usize;
        self.left -= count as u64;
        Some(self.line.held.split_to(count).freeze())
    }
}
