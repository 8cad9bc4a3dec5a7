//! What goes between nodes.

use super::report::ReportTold;
use super::summary::Summary;
use borsh::{BorshDeserialize, BorshSerialize};
use derive_more::Display;
use std::time::Duration;
use trackbed::ids::{NodeName, ZabEpoch};
use trackbed::random::stable_hash;

/// A window of the fleet's counts. Invariant: only the primary of the epoch gives numbers, each once, rising.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, BorshSerialize, BorshDeserialize, Display,
)]
#[display("{epoch}.{number}")]
pub struct WindowId {
    pub epoch: ZabEpoch,
    pub number: u64,
}

impl WindowId {
    pub fn new(epoch: u64, number: u64) -> Self {
        Self { epoch: ZabEpoch(epoch), number }
    }

    pub fn parse(text: &str) -> Option<Self> {
        let (epoch, number) = text.split_once('.')?;
        Some(Self::new(epoch.parse().ok()?, number.parse().ok()?))
    }
}

/// One life of a node's process, as counts are kept by.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, BorshSerialize, BorshDeserialize)]
pub struct NodeKey(pub u64);

impl NodeKey {
    pub fn of(node: &NodeName, life: u64) -> Self {
        Self(stable_hash(node.as_str()) ^ life.rotate_left(17).wrapping_mul(0x9e37_79b9_7f4a_7c15))
    }
}

/// How the windows stand at the primary. Invariant: made as a whole by one primary, so that whoever hears which
/// window is open also hears of all that it counts as sealed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Standing {
    pub open: WindowId,
    /// Everything up to here is sealed.
    pub sealed: WindowId,
    /// How long the open one has been open, and how long one is.
    pub into_millis: u32,
    pub window_millis: u32,
}

impl Standing {
    /// How the windows stand some time later, as far as time alone tells.
    pub fn after(self, span: Duration) -> Self {
        if self.window_millis == 0 {
            return self;
        }
        let into = self.into_millis as u64 + span.as_millis() as u64;
        let window = self.window_millis as u64;
        let number = self.open.number + into / window;
        Self { open: WindowId { number, ..self.open }, into_millis: (into % window) as u32, ..self }
    }
}

/// What a node counted in one window, whole: a later revision takes the place of an earlier one.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct Bucket {
    pub window: WindowId,
    pub revision: u32,
    pub summary: Summary,
}

/// A node's word to its collector.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct Counted {
    pub key: NodeKey,
    pub buckets: Vec<Bucket>,
    /// The report it has.
    pub known: WindowId,
}

/// A collector's word to the primary: what it merged of one window, whole, and of whom.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct Part {
    pub window: WindowId,
    pub revision: u32,
    pub keys: Vec<NodeKey>,
    pub summary: Summary,
}

/// A window whose counts never change again.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct SealedWindow {
    pub id: WindowId,
    pub nodes: u32,
    pub summary: Summary,
}

/// A collector's word to a node.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct CountedTaken {
    /// One life of the collector: another one has to be told again.
    pub life: u64,
    pub standing: Standing,
    pub report: Option<ReportTold>,
}

/// The primary's word back.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct PartsTaken {
    pub standing: Standing,
    /// Nodes that another collector told of first: the part is to be made without them.
    pub not_yours: Vec<(WindowId, Vec<NodeKey>)>,
    pub report: Option<ReportTold>,
    /// What was sealed after the newest that the collector has, so that the next primary has it; or the whole, where
    /// the primary does not have that one.
    pub windows: Vec<SealedWindow>,
    pub is_whole: bool,
}
