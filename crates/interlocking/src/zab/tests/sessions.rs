//! Messages of one epoch that come late or twice. Each must change nothing.

use crate::zab::transfer::{Missed, Outgoing};
use crate::zab::*;
use assert_matches::assert_matches;
use std::net::SocketAddr;
use std::time::Duration;
use trackbed::clock::Moment;
use trackbed::ids::{MemberId, ZabEpoch, Zxid};

const EPOCH: ZabEpoch = ZabEpoch(1);

fn voter(id: u64) -> Voter {
    let address: SocketAddr = ([10, 0, 0, id as u8], 7000).into();
    Voter { id: MemberId(id), address }
}

fn member(id: u64, now: Moment) -> Zab {
    let voters = (1..=3).map(voter).collect();
    Zab::start(Image::empty(MemberId(id), voters), voter(id), Timing::default(), id, now)
}

/// A member with its disk, and messages handed to it by hand.
struct Driven {
    zab: Zab,
    now: Moment,
}

impl Driven {
    fn new(id: u64) -> Self {
        let now = Moment::from_micros(5_000_000);
        Self { zab: member(id, now), now }
    }

    /// Hands over a message and makes everything written durable; what was sent for it is returned.
    fn hear(&mut self, from: u64, message: Message) -> Vec<Message> {
        self.now = self.now + Duration::from_millis(1);
        let to = self.zab.me().id;
        let actions = self.zab.handle(Envelope { from: voter(from), to, message }, self.now);
        self.carry_out(actions)
    }

    fn carry_out(&mut self, actions: Vec<Action>) -> Vec<Message> {
        let mut sent = Vec::new();
        let mut waiting = std::collections::VecDeque::from(actions);
        while let Some(action) = waiting.pop_front() {
            match action {
                Action::Send { message, .. } => sent.push(message),
                Action::Persist { ticket, .. } => waiting.extend(self.zab.durable(ticket, self.now)),
                _ => {}
            }
        }
        sent
    }

    fn poll(&mut self, from: u64, state: PollState) -> Vec<Message> {
        let (promised, current, last) = (ZabEpoch(0), ZabEpoch(0), Zxid::ZERO);
        self.hear(from, Message::Poll { promised, current, last, state })
    }
}

fn attempt_of(messages: &[Message]) -> Attempt {
    messages
        .iter()
        .find_map(|message| match message {
            Message::CurrentEpoch { attempt, .. } => Some(*attempt),
            _ => None,
        })
        .expect("an attempt was begun")
}

fn entry(counter: u64) -> Entry {
    Entry { zxid: Zxid { epoch: EPOCH, counter }, payload: Payload::Change(vec![counter as u8]) }
}

fn empty_history(attempt: Attempt) -> Message {
    let missed = Missed { snapshot: None, previous: Zxid::ZERO, entries: Vec::new() };
    let part = Outgoing::new(&missed).part(0).expect("a first part");
    Message::NewLeader { attempt, epoch: EPOCH, part }
}

fn proposal(attempt: Attempt, counter: u64) -> Message {
    let previous = if counter == 1 { Zxid::ZERO } else { entry(counter - 1).zxid };
    Message::Propose { attempt, epoch: EPOCH, previous, entries: vec![entry(counter)], upto: Zxid::ZERO }
}

/// Member 2 in step with leader 1, one proposal acknowledged.
fn follower_with_one_entry() -> (Driven, Attempt) {
    let mut driven = Driven::new(2);
    let attempt = attempt_of(&driven.poll(1, PollState::Electing));
    driven.hear(1, Message::NewEpoch { attempt, epoch: EPOCH });
    let synced = driven.hear(1, empty_history(attempt));
    assert!(matches!(synced[..], [Message::AckLeader { .. }]), "{synced:?}");
    let acknowledged = driven.hear(1, proposal(attempt, 1));
    assert_eq!(acknowledged, [Message::Ack { attempt, epoch: EPOCH, last: entry(1).zxid }]);
    (driven, attempt)
}

#[test]
fn a_doubled_new_leader_does_not_undo_what_was_acknowledged() {
    let (mut driven, attempt) = follower_with_one_entry();
    driven.hear(1, empty_history(attempt));
    assert_eq!(driven.zab.history().last(), entry(1).zxid);
    assert_eq!(driven.zab.image().entries, [entry(1)]);
}

#[test]
fn messages_of_an_earlier_attempt_change_nothing() {
    let (mut driven, first) = follower_with_one_entry();
    // The leader goes by another attempt: this one begins anew.
    driven.now = driven.now + Duration::from_millis(300);
    let other = Attempt { life: 77, number: 1 };
    let again =
        driven.hear(1, Message::Ping { attempt: other, epoch: EPOCH, stamp: 9, upto: Zxid::ZERO, last: Zxid::ZERO });
    let second = attempt_of(&again);
    assert!(second.is_after(first));
    for message in [
        empty_history(first),
        proposal(first, 2),
        Message::Commit { attempt: first, epoch: EPOCH, upto: entry(1).zxid },
        Message::NewEpoch { attempt: first, epoch: EPOCH },
    ] {
        assert_eq!(driven.hear(1, message.clone()), [], "{message:?}");
    }
    assert_eq!(driven.zab.history().last(), entry(1).zxid);
    assert_eq!(driven.zab.delivered(), Zxid::ZERO);
}

#[test]
fn a_late_heartbeat_of_a_leader_is_no_sign_of_life() {
    let (mut driven, attempt) = follower_with_one_entry();
    let beat = |stamp| Message::Ping { attempt, epoch: EPOCH, stamp, upto: Zxid::ZERO, last: entry(1).zxid };
    assert_eq!(driven.hear(1, beat(50)).len(), 1, "a heartbeat is answered");
    for _ in 0..10 {
        driven.now = driven.now + Duration::from_millis(100);
        assert_eq!(driven.hear(1, beat(50)), [], "its copies are not");
    }
    let actions = driven.zab.tick(driven.now);
    let sent = driven.carry_out(actions);
    assert!(sent.iter().all(|message| matches!(message, Message::Poll { state: PollState::Looking, .. })), "{sent:?}");
    assert!(!sent.is_empty(), "the leader is given up after its patience");
}

/// Member 3, which leads among equals as its id is the highest, with a CEPOCH and an ACK-E of member 2.
fn leader_with_one_standing(attempt: Attempt) -> Driven {
    let mut driven = Driven::new(3);
    for from in [1, 2] {
        driven.poll(from, PollState::Looking);
    }
    let actions = driven.zab.tick(driven.now);
    driven.carry_out(actions);
    driven.hear(2, cepoch(attempt));
    let (current, last, held) = (ZabEpoch(0), Zxid::ZERO, Held::default());
    driven.hear(2, Message::AckEpoch { attempt, epoch: EPOCH, current, last, held });
    driven
}

fn cepoch(attempt: Attempt) -> Message {
    Message::CurrentEpoch { attempt, promised: ZabEpoch(0), promised_to: MemberId(0) }
}

#[test]
fn a_proposal_lost_on_the_way_is_asked_for_at_the_next_heartbeat() {
    let (mut driven, attempt) = follower_with_one_entry();
    driven.now = driven.now + Duration::from_millis(200);
    let last = entry(2).zxid;
    let sent = driven.hear(1, Message::Ping { attempt, epoch: EPOCH, stamp: 9, upto: entry(1).zxid, last });
    let missing = Message::Missing { attempt, epoch: EPOCH, last: entry(1).zxid };
    assert!(sent.contains(&missing), "{sent:?}");
}

#[test]
fn a_doubled_cepoch_does_not_forget_what_was_acknowledged() {
    let attempt = Attempt { life: 2, number: 1 };
    let mut driven = leader_with_one_standing(attempt);
    driven.hear(2, Message::AckLeader { attempt, epoch: EPOCH, last: Zxid::ZERO });
    assert!(driven.zab.is_primary());
    let now = driven.now;
    let (last, actions) = driven.zab.propose(vec![vec![1]], now).expect("a primary proposes");
    driven.carry_out(actions);
    // Doubled, and of an attempt before: the attempt goes on.
    let earlier = Attempt { life: 2, number: 0 };
    for asked in [attempt, earlier] {
        assert_eq!(driven.hear(2, cepoch(asked)), []);
    }
    // An acknowledgement of another attempt counts for nothing, that of this one does.
    driven.hear(2, Message::Ack { attempt: earlier, epoch: EPOCH, last });
    assert!(driven.zab.delivered() < last);
    driven.hear(2, Message::Ack { attempt, epoch: EPOCH, last });
    assert_eq!(driven.zab.delivered(), last);
}

#[test]
fn a_heartbeats_answer_stands_for_a_lost_acknowledgement() {
    let attempt = Attempt { life: 2, number: 1 };
    let mut driven = leader_with_one_standing(attempt);
    // ACK-LD is lost.
    driven.hear(2, Message::Pong { attempt, epoch: EPOCH, stamp: 1, durable: Some(Zxid::ZERO) });
    assert!(driven.zab.is_primary());
}

#[test]
fn a_spoilt_or_foreign_message_is_a_typed_error() {
    let message = proposal(Attempt { life: 2, number: 1 }, 1);
    let envelope = Envelope { from: voter(1), to: MemberId(2), message };
    let bytes = envelope.encode();
    assert_eq!(Envelope::decode(&bytes), Ok(envelope));
    for end in 0..bytes.len() {
        assert_matches!(Envelope::decode(&bytes[..end]), Err(EnvelopeError::Unreadable(_)), "cut at {end}");
    }
    let mut later = bytes.clone();
    later[0] += 1;
    assert_matches!(Envelope::decode(&later), Err(EnvelopeError::Version(_)));
    for at in 1..bytes.len() {
        let mut flipped = bytes.clone();
        flipped[at] ^= 0x80;
        // It may still be a message; it never ends the process.
        let _ = Envelope::decode(&flipped);
    }
}

#[test]
fn proposals_in_no_order_are_refused_before_a_member_takes_them() {
    let entry = |counter| Entry { zxid: Zxid::new(1, counter), payload: Payload::Change(vec![1]) };
    for (counters, is_in_order) in
        [(vec![], true), (vec![5, 6], true), (vec![4], false), (vec![6, 5], false), (vec![5, 5], false)]
    {
        let message = Message::Propose {
            attempt: Attempt::default(),
            epoch: ZabEpoch(1),
            previous: Zxid::new(1, 4),
            entries: counters.iter().map(|counter| entry(*counter)).collect(),
            upto: Zxid::ZERO,
        };
        let envelope = Envelope { from: voter(1), to: MemberId(2), message };
        let decoded = Envelope::decode(&envelope.encode());
        assert_eq!(decoded.is_ok(), is_in_order, "{counters:?}");
        assert!(is_in_order || decoded == Err(EnvelopeError::OutOfOrder));
    }
}
