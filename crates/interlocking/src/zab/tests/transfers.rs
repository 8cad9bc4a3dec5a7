//! Long histories on their way: in parts, beside heartbeats, and on from where they broke off.

use super::world::{Event, Host, World};
use crate::zab::transfer::{Held, Incoming, Missed, Outgoing, PART_BYTES, TransferError};
use crate::zab::*;
use std::time::Duration;
use trackbed::ids::Zxid;

fn missed(bytes: usize) -> Missed {
    let payload = Payload::Change(vec![7; 100]);
    let entries =
        (1..=bytes as u64 / 100).map(|counter| Entry { zxid: Zxid::new(1, counter), payload: payload.clone() });
    Missed { snapshot: None, previous: Zxid::ZERO, entries: entries.collect() }
}

#[test]
fn a_transfer_goes_on_from_what_is_held_and_from_nothing_else() {
    let (shorter, longer) = (missed(100_000), missed(150_000));
    let (first, second) = (Outgoing::new(&shorter), Outgoing::new(&longer));
    let mut incoming = Incoming::default();
    for _ in 0..3 {
        let part = first.part(incoming.length()).unwrap();
        assert!(part.bytes.len() <= PART_BYTES);
        assert_eq!(incoming.take(part), Ok(None));
    }
    assert_eq!(first.resume_at(incoming.held()), 3 * PART_BYTES as u64);
    // The entries' count differs, and with it how the transfer begins.
    assert_eq!(second.resume_at(incoming.held()), 0);
    assert_eq!(first.resume_at(Held { bytes: 1 << 40, checksum: 0 }), 0);
    let skipped = first.part(incoming.length() + 1).unwrap();
    assert_eq!(incoming.take(skipped), Err(TransferError::OutOfOrder));
    let mut taken = None;
    while taken.is_none() {
        taken = incoming.take(first.part(incoming.length()).unwrap()).unwrap();
    }
    assert_eq!(taken, Some(shorter));
}

#[test]
fn a_flipped_bit_in_a_transfer_is_told_and_nothing_is_adopted() {
    let outgoing = Outgoing::new(&missed(500));
    let whole = outgoing.part(0).unwrap();
    for at in 0..whole.bytes.len() {
        let mut spoilt = whole.clone();
        spoilt.bytes[at] ^= 0x10;
        assert_eq!(Incoming::default().take(spoilt), Err(TransferError::Checksum), "byte {at}");
    }
}

/// A core whose state is large, and a member that has lost its disk.
fn world_with_large_state(seed: u64) -> (World, Host, Host) {
    let mut world = World::new(seed, 3, 3);
    world.ballast = 2 << 20;
    world.run(Duration::from_secs(4), 0.5);
    // Nothing is on its way to a disk any more, so that the snapshot is taken now and not during the transfer.
    world.run(Duration::from_millis(200), 0.0);
    let primary = *world.primaries.last_key_value().unwrap().1;
    world.fold(primary);
    assert!(world.members[primary as usize].zab.as_ref().unwrap().history().len() < 20);
    let lost = (primary + 1) % 3;
    world.wipe(lost);
    world.start(lost);
    (world, primary, lost)
}

#[test]
fn a_large_snapshot_goes_in_parts_and_holds_up_neither_heartbeats_nor_changes() {
    for seed in 0..5 {
        let (mut world, _, lost) = world_with_large_state(seed);
        let before = world.acknowledged;
        world.longest_message = 0;
        world.run(Duration::from_secs(4), 0.3);
        assert_eq!(world.elections, 1, "seed {seed}: nobody gives up the leader meanwhile");
        assert!(world.acknowledged > before + 100, "seed {seed}");
        assert!(world.longest_message < PART_BYTES + 1024, "seed {seed}: {} bytes at once", world.longest_message);
        assert!(world.all_vote(), "seed {seed}: it has learnt all and votes");
        assert!(world.members[lost as usize].state.len() > 10, "seed {seed}");
    }
}

#[test]
fn a_snapshot_on_its_way_goes_on_after_a_break() {
    for seed in 0..5 {
        let (mut world, primary, lost) = world_with_large_state(seed);
        world.transferred = 0;
        world.run(Duration::from_millis(250), 0.0);
        let sent = world.transferred;
        assert!(sent > 5 * PART_BYTES, "seed {seed}: {sent} bytes before the break");
        world.cut.extend([(primary, lost), (lost, primary)]);
        world.run(Duration::from_secs(2), 0.0);
        world.cut.clear();
        world.run(Duration::from_secs(4), 0.0);
        assert!(world.all_vote(), "seed {seed}");
        let most = world.ballast + 6 * PART_BYTES;
        assert!(world.transferred < most, "seed {seed}: {} bytes in all, {most} at most", world.transferred);
    }
}

#[test]
fn a_start_of_all_with_one_far_behind_ends_with_all_in_step() {
    let (mut world, primary, _) = world_with_large_state(3);
    world.at(Duration::from_millis(100), Event::Start { host: primary });
    world.kill(primary);
    world.run(Duration::from_secs(6), 0.2);
    assert!(world.all_vote());
}
