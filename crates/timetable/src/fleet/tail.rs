//! The last changes of the fleet's state, kept for nodes that are a little behind.

use crate::packed::Packed;
use crate::shared::SharedMap;
use std::cell::OnceCell;
use std::rc::Rc;
use trackbed::ids::Zxid;

/// Bytes of changes kept.
const MOST_BYTES: usize = 1 << 20;
const MOST_CHANGES: usize = 512;

/// One change, packed by itself or within the value that it was ordered in.
#[derive(Clone)]
pub(super) struct TailEntry {
    received: Packed,
    /// Bytes of the received value's encoding before the change's own.
    head: usize,
    /// The change by itself, once somebody asked for it.
    unwrapped: Rc<OnceCell<Option<Packed>>>,
}

impl TailEntry {
    /// A change packed by itself.
    pub fn ready(change: Packed) -> Self {
        Self::wrapped(change, 0)
    }

    pub fn wrapped(received: Packed, head: usize) -> Self {
        Self { received, head, unwrapped: Rc::default() }
    }

    fn length(&self) -> usize {
        self.received.length()
    }

    /// The change packed by itself.
    fn change(&self) -> Option<Packed> {
        if self.head == 0 {
            return Some(self.received.clone());
        }
        self.unwrapped.get_or_init(|| self.received.without_head(self.head).ok()).clone()
    }
}

/// Invariant: gapless from `base` on.
#[derive(Clone, Default)]
pub(super) struct NewsTail {
    entries: SharedMap<Zxid, TailEntry>,
    base: Zxid,
    bytes: usize,
    keeps_none: bool,
}

impl NewsTail {
    pub fn starting_at(base: Zxid) -> Self {
        Self { base, ..Self::default() }
    }

    pub fn keeping_none(base: Zxid) -> Self {
        Self { base, keeps_none: true, ..Self::default() }
    }

    pub fn keeps_any(&self) -> bool {
        !self.keeps_none
    }

    /// Adds the next change, and forgets the oldest ones beyond the bounds.
    pub fn push(&mut self, zxid: Zxid, entry: Option<TailEntry>) {
        let Some(entry) = entry.filter(|_| self.keeps_any()) else {
            *self = Self { base: zxid, keeps_none: self.keeps_none, ..Self::default() };
            return;
        };
        self.bytes += entry.length();
        self.entries.insert(zxid, entry);
        while self.bytes > MOST_BYTES || self.entries.len() > MOST_CHANGES {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        let Some((zxid, entry)) = self.entries.first().map(|(zxid, entry)| (*zxid, entry.clone())) else { return };
        self.entries.remove(&zxid);
        self.base = zxid;
        self.bytes -= entry.length();
    }

    /// The changes after a zxid; `None` where some of them are forgotten.
    pub fn after(&self, zxid: Zxid) -> Option<Vec<(Zxid, Packed)>> {
        if zxid != self.base && !self.entries.contains_key(&zxid) {
            return None;
        }
        let after = self.entries.range(zxid..).filter(|(at, _)| **at > zxid);
        after.map(|(at, entry)| Some((*at, entry.change()?))).collect()
    }
}
