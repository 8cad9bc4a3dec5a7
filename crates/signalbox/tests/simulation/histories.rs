//! What clients asked and what they were told.

use std::collections::BTreeMap;
use trackbed::clock::Moment;

/// One operation of a client, from its first call to its clear answer. Repeats are part of it.
#[derive(Clone, Debug)]
pub struct Recorded<T> {
    /// Places in the one order of all that happened in the run.
    pub called: u64,
    /// None where no clear answer came.
    pub returned: Option<u64>,
    pub operation: T,
}

/// What came of an order of the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    Acknowledged,
    Refused,
    Unknown,
}

#[derive(Clone, Copy, Debug)]
pub enum ConfigurationOperation {
    /// `order` names the very order, by its contents.
    Order { base: u64, version: u64, order: u64, outcome: OrderOutcome },
    /// Version 0 stands for none.
    Read { version: u64, order: u64 },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PutOutcome {
    /// The revision it got.
    Done(u64),
    /// The revision that the key had instead.
    Refused(u64),
    Unknown,
}

#[derive(Clone, Copy, Debug)]
pub enum KeyOperation {
    Put {
        value: u64,
        enabled: Option<u64>,
        outcome: PutOutcome,
    },
    /// Value and revision 0 stand for a key that is not there.
    Read {
        value: u64,
        revision: u64,
    },
}

#[derive(Clone, Copy, Debug)]
pub struct NumberGiven {
    pub value: u64,
}

/// What a client did about one lock, in the order it happened.
#[derive(Clone, Copy, Debug)]
pub enum LockEvent {
    /// It counts itself holder from `at` until `until`.
    Held { holder: u64, fence: u64, at: Moment, until: Moment },
    /// It counts itself holder no more.
    Released { holder: u64 },
}

/// One answer to a watch of a group of keys.
#[derive(Clone, Debug)]
pub struct WatchTold {
    pub after: u64,
    pub revision: u64,
    /// Key, value and revision.
    pub events: Vec<(u64, u64, u64)>,
}

/// All of a run.
#[derive(Clone, Debug, Default)]
pub struct Histories {
    pub configuration: Vec<Recorded<ConfigurationOperation>>,
    pub keys: BTreeMap<u64, Vec<Recorded<KeyOperation>>>,
    pub numbers: Vec<Recorded<NumberGiven>>,
    pub locks: BTreeMap<u64, Vec<LockEvent>>,
    pub watches: Vec<WatchTold>,
}

impl Histories {
    /// Operations of every kind with a clear answer.
    pub fn clear_answers(&self) -> usize {
        self.configuration.iter().filter(|recorded| recorded.returned.is_some()).count()
            + self.keys.values().flatten().filter(|recorded| recorded.returned.is_some()).count()
            + self.numbers.len()
            + self.locks.values().flatten().count()
            + self.watches.len()
    }
}
