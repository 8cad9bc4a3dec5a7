//! What is promised to go out over this machine's link. Answers too long for a narrow link fill it, and
//! whatever is short then waits behind them.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

/// Shorter answers are not counted.
const LONG: f64 = 12_000.0;
/// How much of the time to its target a long answer may spend behind others.
const SHARE_OF_TARGET: f64 = 0.3;

/// Invariant: `promised` is what the long answers under way are taken to come to.
#[derive(Default)]
pub struct WayOut {
    promised: Rc<Cell<f64>>,
    /// Measured length of answers, by route.
    lengths: RefCell<HashMap<u64, f64>>,
}

/// A long answer's part of the link, given back when it has gone out.
pub struct Promised(Rc<Cell<f64>>, f64);

impl Drop for Promised {
    fn drop(&mut self) {
        self.0.set((self.0.get() - self.1).max(0.0));
    }
}

impl WayOut {
    pub fn measured(&self, sort: u64, length: u64) {
        let mut lengths = self.lengths.borrow_mut();
        if lengths.len() > 4096 {
            lengths.clear();
        }
        let known = lengths.entry(sort).or_insert(length as f64);
        *known = *known * 0.9 + length as f64 * 0.1;
    }

    /// A part of the link for an answer of that route: nothing where none is needed, or how long it would
    /// have to wait for one.
    pub fn promise(&self, sort: u64, link: Option<f64>, left: Duration) -> Result<Option<Promised>, Duration> {
        let length = self.lengths.borrow().get(&sort).copied().unwrap_or(0.0);
        let Some(link) = link.filter(|_| length > LONG) else { return Ok(None) };
        let ahead = self.promised.get();
        if ahead > 0.0 && (ahead + length) / link > left.as_secs_f64() * SHARE_OF_TARGET {
            return Err(Duration::from_secs_f64((ahead / link).min(10.0)));
        }
        self.promised.set(ahead + length);
        Ok(Some(Promised(self.promised.clone(), length)))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn long_answers_leave_the_link_to_others() {
        let way = WayOut::default();
        let (link, left) = (Some(1_000_000.0), Duration::from_secs(1));
        assert!(way.promise(1, link, left).is_ok_and(|promised| promised.is_none()), "unknown is let through");
        way.measured(1, 100_000);
        way.measured(2, 400);
        let held: Vec<_> = (0..3).map(|_| way.promise(1, link, left).unwrap()).collect();
        assert!(way.promise(1, link, left).is_err());
        assert!(way.promise(1, None, left).is_ok() && way.promise(2, link, left).is_ok());
        drop(held);
        assert!(way.promise(1, link, Duration::from_millis(10)).is_ok(), "one is always let through");
    }
}
