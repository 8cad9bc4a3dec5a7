//! The keys that an emulated endpoint holds, by the users' contract: grants and releases by calls, or lists in
//! heartbeats. Times are microseconds of [`super::events::shared_micros`].

/// One hold.
#[derive(Clone, Debug, PartialEq)]
pub struct Hold {
    /// The first key.
    pub first: u16,
    /// The last key.
    pub last: u16,
    /// Under which fence.
    pub fence: u64,
    /// When it runs out.
    pub until: u64,
}

/// Keys that were let go, with what is handed over.
#[derive(Clone, Debug, PartialEq)]
pub struct Released {
    /// The first key.
    pub first: u16,
    /// The last key.
    pub last: u16,
    /// What the next holder is to be given.
    pub handover: String,
}

/// A call was refused: a higher fence was seen on one of its keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HigherFenceSeen;

/// All holds of one life, and the highest fence seen by key.
#[derive(Clone, Debug, Default)]
pub struct Holds {
    holds: Vec<Hold>,
    seen: Vec<(u16, u16, u64)>,
}

fn overlaps(one: (u16, u16), other: (u16, u16)) -> bool {
    one.0 <= other.1 && other.0 <= one.1
}

impl Holds {
    /// Whether a key is held at a time.
    pub fn holds(&self, key: u16, now: u64) -> bool {
        self.holds.iter().any(|hold| hold.first <= key && key <= hold.last && now < hold.until)
    }

    /// What is held at a time.
    pub fn all(&self, now: u64) -> Vec<Hold> {
        self.holds.iter().filter(|hold| now < hold.until).cloned().collect()
    }

    /// Takes or renews a hold.
    ///
    /// # Errors
    ///
    /// [`HigherFenceSeen`], and nothing is changed.
    pub fn grant(&mut self, hold: Hold) -> Result<(), HigherFenceSeen> {
        let keys = (hold.first, hold.last);
        if self.seen.iter().any(|(first, last, fence)| *fence > hold.fence && overlaps((*first, *last), keys)) {
            return Err(HigherFenceSeen);
        }
        self.seen.retain(|(first, last, fence)| !(*fence <= hold.fence && hold.first <= *first && *last <= hold.last));
        self.seen.push((hold.first, hold.last, hold.fence));
        self.cut_out(keys);
        self.holds.push(hold);
        Ok(())
    }

    /// Lets go of keys; true where any of them was held.
    pub fn release(&mut self, first: u16, last: u16) -> bool {
        let held = self.holds.iter().any(|hold| overlaps((hold.first, hold.last), (first, last)));
        self.cut_out((first, last));
        held
    }

    /// Takes a heartbeat's answer for all that is to be held, and gives what was let go.
    pub fn replace(&mut self, rows: Vec<Hold>, now: u64) -> Vec<(u16, u16)> {
        let before = self.all(now);
        self.holds.clear();
        for row in rows {
            let _ = self.grant(row);
        }
        let mut let_go = Vec::new();
        for hold in before {
            let mut left = vec![(hold.first as u32, hold.last as u32)];
            for kept in &self.holds {
                left = left.into_iter().flat_map(|part| without(part, (kept.first as u32, kept.last as u32))).collect();
            }
            let_go.extend(left.into_iter().map(|(first, last)| (first as u16, last as u16)));
        }
        let_go
    }

    fn cut_out(&mut self, keys: (u16, u16)) {
        let cut = (keys.0 as u32, keys.1 as u32);
        let holds = std::mem::take(&mut self.holds);
        for hold in holds {
            for (first, last) in without((hold.first as u32, hold.last as u32), cut) {
                self.holds.push(Hold { first: first as u16, last: last as u16, ..hold.clone() });
            }
        }
    }
}

/// What is left of a range without another.
fn without(range: (u32, u32), cut: (u32, u32)) -> Vec<(u32, u32)> {
    if cut.1 < range.0 || range.1 < cut.0 {
        return vec![range];
    }
    let mut left = Vec::new();
    if range.0 < cut.0 {
        left.push((range.0, cut.0 - 1));
    }
    if cut.1 < range.1 {
        left.push((cut.1 + 1, range.1));
    }
    left
}

#[cfg(test)]
#[path = "holds_tests.rs"]
mod tests;
