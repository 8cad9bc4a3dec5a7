//! What members say to one another.

use super::history::{Entry, Voter, rise_after};
use super::transfer::{Held, Part};
use borsh::{BorshDeserialize, BorshSerialize};
use derive_more::{Display, Error};
use trackbed::ids::{MemberId, ZabEpoch, Zxid};

/// A message on its way between two members.
#[derive(Clone, Debug, PartialEq, Hash, BorshSerialize, BorshDeserialize)]
pub struct Envelope {
    /// The sender.
    pub from: Voter,
    /// Zero for whoever is at the address; else a message to an earlier life of a disk is dropped.
    pub to: MemberId,
    /// What is said.
    pub message: Message,
}

/// Version of the encoding of messages. Members of different versions do not talk to each other.
const WIRE_VERSION: u8 = 2;

/// Why a message of a member was not taken. Nothing was changed by it.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum EnvelopeError {
    /// The message is of another version of the encoding, which is given.
    #[display("a member speaks version {_0} of the protocol, this one {WIRE_VERSION}: run one version on all members")]
    Version(#[error(not(source))] u8),
    /// The message can't be decoded, for the reason given.
    #[display("a member's message is spoilt ({_0}): it is left out, and will be asked for again")]
    Unreadable(#[error(not(source))] String),
    /// Proposals that don't rise from one to the next.
    #[display("a member's proposals are in no order: they are left out, and will be asked for again")]
    OutOfOrder,
}

impl Envelope {
    /// The envelope as bytes: the version of the encoding, then the envelope in Borsh.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![WIRE_VERSION];
        self.serialize(&mut bytes).expect("writing to memory can't fail");
        bytes
    }

    /// Reads an envelope from bytes.
    ///
    /// # Errors
    ///
    /// [`EnvelopeError::Version`] for another version of the encoding, [`EnvelopeError::Unreadable`] for anything
    /// else that [`Envelope::encode`] does not write, [`EnvelopeError::OutOfOrder`] for proposals that are in no order.
    pub fn decode(bytes: &[u8]) -> Result<Self, EnvelopeError> {
        match bytes.split_first() {
            Some((&WIRE_VERSION, body)) => {
                let envelope =
                    Self::try_from_slice(body).map_err(|error| EnvelopeError::Unreadable(error.to_string()))?;
                match envelope.message.is_in_order() {
                    true => Ok(envelope),
                    false => Err(EnvelopeError::OutOfOrder),
                }
            }
            Some((version, _)) => Err(EnvelopeError::Version(*version)),
            None => Err(EnvelopeError::Unreadable("it is empty".into())),
        }
    }
}

/// What a member does, as it says in the election.
#[derive(Clone, Debug, PartialEq, Hash, BorshSerialize, BorshDeserialize)]
pub enum PollState {
    /// It looks for a leader.
    Looking,
    /// Leads an attempt that is not established yet.
    Electing,
    /// About to end, and no part of any election.
    Retired,
    /// It follows that leader.
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
    /// Counts the attempts of this life.
    pub number: u64,
}

impl Attempt {
    /// True when `other` is an earlier attempt of the same life.
    pub fn is_after(self, other: Attempt) -> bool {
        self.life == other.life && self.number > other.number
    }
}

/// The messages of the protocol. Names in capitals are those of the paper.
#[derive(Clone, Debug, PartialEq, Hash, BorshSerialize, BorshDeserialize)]
pub enum Message {
    /// Election: how far this member is, and whom it follows.
    Poll {
        /// The latest epoch that the member promised.
        promised: ZabEpoch,
        /// The epoch whose history it last adopted.
        current: ZabEpoch,
        /// The end of its history.
        last: Zxid,
        /// What it does.
        state: PollState,
    },
    /// CEPOCH(f.p), which begins an attempt.
    CurrentEpoch {
        /// The follower's attempt.
        attempt: Attempt,
        /// The latest epoch that the member promised.
        promised: ZabEpoch,
        /// The leader to which it was promised.
        promised_to: MemberId,
    },
    /// NEWEPOCH(e').
    NewEpoch {
        /// The follower's attempt.
        attempt: Attempt,
        /// The leader's epoch.
        epoch: ZabEpoch,
    },
    /// ACK-E(f.a, history), the history named by its last zxid; and what is left of a broken transfer.
    AckEpoch {
        /// The follower's attempt.
        attempt: Attempt,
        /// The leader's epoch.
        epoch: ZabEpoch,
        /// The epoch whose history the follower last adopted.
        current: ZabEpoch,
        /// The end of its history.
        last: Zxid,
        /// What it holds of a broken transfer.
        held: Held,
    },
    /// NEWLEADER(e', history), a part at a time.
    NewLeader {
        /// The follower's attempt.
        attempt: Attempt,
        /// The leader's epoch.
        epoch: ZabEpoch,
        /// The part of the transfer.
        part: Part,
    },
    /// The follower holds the transfer up to `offset` bytes and wants what follows.
    NextPart {
        /// The follower's attempt.
        attempt: Attempt,
        /// The leader's epoch.
        epoch: ZabEpoch,
        /// Bytes of the transfer that the follower holds.
        offset: u64,
    },
    /// The transfer's `previous` is not in the follower's history; `last` is, and lies before it.
    Behind {
        /// The follower's attempt.
        attempt: Attempt,
        /// The leader's epoch.
        epoch: ZabEpoch,
        /// The place after which the transfer begins.
        previous: Zxid,
        /// The place in the follower's history.
        last: Zxid,
    },
    /// ACK-LD: history and epoch are durable.
    AckLeader {
        /// The follower's attempt.
        attempt: Attempt,
        /// The leader's epoch.
        epoch: ZabEpoch,
        /// The end of the durable history.
        last: Zxid,
    },
    /// PROPOSE: entries for the end of the history.
    Propose {
        /// The follower's attempt.
        attempt: Attempt,
        /// The leader's epoch.
        epoch: ZabEpoch,
        /// The place right after which the entries come.
        previous: Zxid,
        /// The entries, in order.
        entries: Vec<Entry>,
        /// COMMIT of everything up to here goes along.
        upto: Zxid,
    },
    /// A follower in step lacks what comes after `last`.
    Missing {
        /// The follower's attempt.
        attempt: Attempt,
        /// The leader's epoch.
        epoch: ZabEpoch,
        /// The end of the follower's history.
        last: Zxid,
    },
    /// Everything up to `last` is durable.
    Ack {
        /// The follower's attempt.
        attempt: Attempt,
        /// The leader's epoch.
        epoch: ZabEpoch,
        /// The end of the durable history.
        last: Zxid,
    },
    /// COMMIT of everything up to a place.
    Commit {
        /// The follower's attempt.
        attempt: Attempt,
        /// The leader's epoch.
        epoch: ZabEpoch,
        /// The last committed transaction.
        upto: Zxid,
    },
    /// `stamp` is the leader's own clock, and comes back unchanged. Everything up to `upto` is committed, everything
    /// up to `last` was proposed: a follower whose history ends before has lost something.
    Ping {
        /// The follower's attempt.
        attempt: Attempt,
        /// The leader's epoch.
        epoch: ZabEpoch,
        /// Microseconds of the leader's clock at the time of sending.
        stamp: u64,
        /// The last committed transaction.
        upto: Zxid,
        /// The last proposed transaction.
        last: Zxid,
    },
    /// `durable` stands for every acknowledgement that was lost on the way. It is absent while the follower is not
    /// in step: then the heartbeat was heard, and no lease is given.
    Pong {
        /// The follower's attempt.
        attempt: Attempt,
        /// The leader's epoch.
        epoch: ZabEpoch,
        /// The stamp of the heartbeat that this answers.
        stamp: u64,
        /// The end of the durable history.
        durable: Option<Zxid>,
    },
}

impl Message {
    /// Whether the entries that it brings, if any, follow on one another.
    fn is_in_order(&self) -> bool {
        match self {
            Self::Propose { previous, entries, .. } => rise_after(*previous, entries),
            _ => true,
        }
    }
}
