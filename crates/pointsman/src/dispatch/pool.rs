//! Connections kept for further use, and the memory that answers over them may take.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use trackbed::clock::Moment;
use trackbed::http::{Line, Reservation};

/// What answers may take where nobody says anything else, in bytes.
const USUAL_ANSWER_ROOM: u64 = 32 << 20;

struct Kept {
    line: Line,
    since: Moment,
    until: Moment,
}

/// Invariant: a line is here only after a whole, well-framed answer with nothing behind it.
pub struct Pool {
    kept: RefCell<HashMap<SocketAddr, Vec<Kept>>>,
    /// Lines kept to one place at most.
    most: usize,
    /// What the answers that are held take, and may take, in bytes.
    answers_held: Rc<Cell<usize>>,
    answer_room: Cell<u64>,
}

impl Default for Pool {
    fn default() -> Self {
        Self::keeping(64)
    }
}

impl Pool {
    pub fn keeping(most: usize) -> Self {
        let answer_room = Cell::new(USUAL_ANSWER_ROOM);
        Self { kept: RefCell::default(), most, answers_held: Rc::default(), answer_room }
    }

    /// What the answers that are held may take from now on, in bytes.
    pub fn set_answer_room(&self, bytes: u64) {
        self.answer_room.set(bytes);
    }

    /// Where the memory of an answer is reserved as it comes.
    pub fn reserve_answer(&self) -> Reservation {
        Reservation::new(&self.answers_held, self.answer_room.get())
    }

    /// The line used last that is still fit: quiet, open, and not about to be closed over there; with how
    /// long it has rested. Those that have rested longer stay, for whom they will do.
    pub fn take(&self, to: SocketAddr, now: Moment, longest_idle: Duration) -> Option<(Line, Duration)> {
        let mut kept = self.kept.borrow_mut();
        let lines = kept.get_mut(&to)?;
        while lines.last().is_some_and(|kept| now.since(kept.since) < longest_idle) {
            let Some(Kept { line, since, until }) = lines.pop() else { break };
            if now < until && line.is_quiet() {
                return Some((line, now.since(since)));
            }
        }
        None
    }

    pub fn keep(&self, to: SocketAddr, line: Line, now: Moment, span: Duration) {
        if line.has_surplus() {
            line.break_off();
            return;
        }
        let mut kept = self.kept.borrow_mut();
        let lines = kept.entry(to).or_default();
        if lines.len() >= self.most {
            // The one that has rested longest makes way.
            lines.remove(0);
        }
        lines.push(Kept { line, since: now, until: now + span });
    }

    /// Lets go of what has been idle too long.
    pub fn tidy(&self, now: Moment) {
        self.kept.borrow_mut().retain(|_, lines| {
            lines.retain(|kept| now < kept.until);
            !lines.is_empty()
        });
    }

    /// Lets go of the lines to one place that the other side has closed.
    pub fn drop_closed(&self, to: SocketAddr) {
        if let Some(lines) = self.kept.borrow_mut().get_mut(&to) {
            lines.retain(|kept| kept.line.is_quiet());
        }
    }

    pub fn clear(&self, to: SocketAddr) {
        self.kept.borrow_mut().remove(&to);
    }
}
