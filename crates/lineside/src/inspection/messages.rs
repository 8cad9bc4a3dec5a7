//! What proxies tell of their tables, and what is made of it.

use borsh::{BorshDeserialize, BorshSerialize};
use std::net::SocketAddr;
use timetable::configuration::EntryDrift;
use trackbed::ids::{ConfigEpoch, NodeName, Zxid};

/// What one proxy's table came to, worked out from the table that its lookups use.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct RoutesReport {
    pub node: NodeName,
    /// One life of its process.
    pub life: u64,
    /// Where it answers peers.
    pub address: SocketAddr,
    pub epoch: ConfigEpoch,
    pub root: u64,
    /// How far the ordered state is there.
    pub fleet: Zxid,
}

/// A drift as one core node tells another. Times are spans back from when it was told, as clocks differ.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct DriftRecord {
    pub node: NodeName,
    pub life: u64,
    pub epoch: ConfigEpoch,
    pub root: u64,
    pub last_right_ago_millis: Option<u64>,
    pub first_wrong_ago_millis: u64,
    pub entries: Vec<EntryDrift>,
}

/// How a proxy stands to the table meant for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    InStep,
    /// An older epoch, and the time in which the newest has to arrive is not over.
    OnItsWay,
    Late,
    /// Of a known epoch, with other contents than were meant.
    Drifted,
    /// It tells of an epoch that is not known here.
    Unknown,
    /// Not heard of, or not for long. Invariant: never counted as in step.
    Unheard,
}

impl Verdict {
    pub fn word(self) -> &'static str {
        match self {
            Self::InStep => "in step",
            Self::OnItsWay => "on its way",
            Self::Late => "late",
            Self::Drifted => "drifted",
            Self::Unknown => "unknown",
            Self::Unheard => "unheard",
        }
    }
}
