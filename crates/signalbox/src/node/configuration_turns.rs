//! Calls about the whole configuration, one after the other: each may take long to read, and the loop has to answer
//! heartbeats between two of them.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use trackbed::clock::{self, Moment};
use trackbed::http::Guard;

/// How long a call waits for its turn.
const LONGEST_WAIT: Duration = Duration::from_millis(800);
/// The least time between the beginnings of two turns.
const SHORTEST_TURN: Duration = Duration::from_micros(200);
/// Reads whose answers are on their way at once, at one node.
const MOST_READS: usize = 8;

/// Whose turn it is. Between two turns the loop has as much time for other work as the first one took.
#[derive(Default)]
pub struct ConfigurationTurns {
    next: Cell<Moment>,
    reads: Rc<Cell<usize>>,
}

/// A read of the configuration whose answer is not through yet.
struct Read(Rc<Cell<usize>>);

impl Drop for Read {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl ConfigurationTurns {
    /// Does a piece of work when it is its turn; nothing where that takes too long.
    pub async fn run<T>(&self, work: impl FnOnce() -> T) -> Option<T> {
        let given_up = clock::now() + LONGEST_WAIT;
        loop {
            let now = clock::now();
            if now >= self.next.get() {
                break;
            }
            if now >= given_up {
                return None;
            }
            monoio::time::sleep(now.until(self.next.get())).await;
        }
        let begun = clock::now();
        let outcome = work();
        let ended = clock::now();
        self.next.set(ended + ended.since(begun).max(SHORTEST_TURN));
        Some(outcome)
    }

    /// Counts a read until its answer is through; nothing while there are too many.
    pub fn begin_read(&self) -> Option<Guard> {
        if self.reads.get() >= MOST_READS {
            return None;
        }
        self.reads.set(self.reads.get() + 1);
        Some(Guard(Box::new(Read(self.reads.clone()))))
    }
}

#[cfg(test)]
#[path = "configuration_turns_tests.rs"]
mod tests;
