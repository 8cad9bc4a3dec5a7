//! What members say to one another.

use super::history::{Entry, Voter};
use super::transfer::{Held, Part};
use borsh::{BorshDeserialize, BorshSerialize};
use derive_more::{Display, Error};
use trackbed::ids::{MemberId, ZabEpoch, Zxid};

#[derive(Clone, Debug, PartialEq, Hash, BorshSerialize, BorshDeserialize)]
pub struct Envelope {
    pub from: Voter,
    /// Zero for whoever is at the address; else a message to an earlier life of a disk is dropped.
    pub to: MemberId,
    pub message: Message,
}

/// Version of the encoding of messages. Members of different versions do not talk to each other.
const WIRE_VERSION: u8 = 2;

/// Why a message of a member was not taken. Nothing was changed by it.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum EnvelopeError {
    #[display("a member speaks version {_0} of the protocol, this one {WIRE_VERSION}: run one version on all members")]
    Version(#[error(not(source))] u8),
    #[display("a member's message is spoilt ({_0}): it is left out, and will be asked for again")]
    Unreadable(#[error(not(source))] String),
}

impl Envelope {
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![WIRE_VERSION];
        self.serialize(&mut bytes).expect("writing to memory can't fail");
        bytes
    }

    pub fn decode(bytes: &[u8]) -> Result<Self, EnvelopeError> {
        match bytes.split_first() {
            Some((&WIRE_VERSION, body)) => {
                Self::try_from_slice(body).map_err(|error| EnvelopeError::Unreadable(error.to_string()))
            }
            Some((version, _)) => Err(EnvelopeError::Version(*version)),
            None => Err(EnvelopeError::Unreadable("it is empty".into())),
        }
    }
}

#[derive(Clone, Debug, PartialEq, Hash, BorshSerialize, BorshDeserialize)]
pub enum PollState {
    Looking,
    /// Leads an attempt that is not established yet.
    Electing,
    /// About to end, and no part of any election.
    Retired,
    Following(Voter),
    /// An established primary.
    Leading,
}

/// Names one attempt of a member to follow a leader. Every message between the two bears it, so that a message of
/// an earlier attempt, late or doubled, changes nothing: what the paper takes from a FIFO channel (section II).
///
/// Invariant: no two attempts of a member bear the same name; of two in one life the later has the higher number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, BorshSerialize, BorshDeserialize)]
pub struct Attempt {
    /// Drawn at random when the process starts.
    pub life: u64,
    pub number: u64,
}

impl Attempt {
    /// True when `other` is an earlier attempt of the same life.
    pub fn is_after(self, other: Attempt) -> bool {
        self.life == other.life && self.number > other.number
    }
}

#[derive(Clone, Debug, PartialEq, Hash, BorshSerialize, BorshDeserialize)]
pub enum Message {
    /// Election: how far this member is, and whom it follows.
    Poll {
        promised: ZabEpoch,
        current: ZabEpoch,
        last: Zxid,
        state: PollState,
    },
    /// CEPOCH(f.p), which begins an attempt.
    CurrentEpoch {
        attempt: Attempt,
        promised: ZabEpoch,
        promised_to: MemberId,
    },
    /// NEWEPOCH(e').
    NewEpoch {
        attempt: Attempt,
        epoch: ZabEpoch,
    },
    /// ACK-E(f.a, history), the history named by its last zxid; and what is left of a broken transfer.
    AckEpoch {
        attempt: Attempt,
        epoch: ZabEpoch,
        current: ZabEpoch,
        last: Zxid,
        held: Held,
    },
    /// NEWLEADER(e', history), a part at a time.
    NewLeader {
        attempt: Attempt,
        epoch: ZabEpoch,
        part: Part,
    },
    /// The follower holds the transfer up to `offset` bytes and wants what follows.
    NextPart {
        attempt: Attempt,
        epoch: ZabEpoch,
        offset: u64,
    },
    /// The transfer's `previous` is not in the follower's history; `last` is, and lies before it.
    Behind {
        attempt: Attempt,
        epoch: ZabEpoch,
        previous: Zxid,
        last: Zxid,
    },
    /// ACK-LD: history and epoch are durable.
    AckLeader {
        attempt: Attempt,
        epoch: ZabEpoch,
        last: Zxid,
    },
    Propose {
        attempt: Attempt,
        epoch: ZabEpoch,
        previous: Zxid,
        entries: Vec<Entry>,
        /// COMMIT of everything up to here goes along.
        upto: Zxid,
    },
    /// A follower in step lacks what comes after `last`.
    Missing {
        attempt: Attempt,
        epoch: ZabEpoch,
        last: Zxid,
    },
    /// Everything up to `last` is durable.
    Ack {
        attempt: Attempt,
        epoch: ZabEpoch,
        last: Zxid,
    },
    Commit {
        attempt: Attempt,
        epoch: ZabEpoch,
        upto: Zxid,
    },
    /// `stamp` is the leader's own clock, and comes back unchanged. Everything up to `upto` is committed, everything
    /// up to `last` was proposed: a follower whose history ends before has lost something.
    Ping {
        attempt: Attempt,
        epoch: ZabEpoch,
        stamp: u64,
        upto: Zxid,
        last: Zxid,
    },
    /// `durable` stands for every acknowledgement that was lost on the way. It is absent while the follower is not
    /// in step: then the heartbeat was heard, and no lease is given.
    Pong {
        attempt: Attempt,
        epoch: ZabEpoch,
        stamp: u64,
        durable: Option<Zxid>,
    },
}
