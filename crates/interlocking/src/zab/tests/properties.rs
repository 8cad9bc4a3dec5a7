//! The paper's properties under random trouble, and what an election or a change may cost.

use super::world::{Event, Host, World};
use std::time::Duration;

#[test]
fn a_quiet_core_elects_once_and_orders_all() {
    let mut world = World::new(1, 5, 3);
    world.run(Duration::from_secs(10), 0.5);
    // What was under way has arrived.
    world.run(Duration::from_millis(500), 0.0);
    assert_eq!(world.elections, 1);
    assert!(world.all_vote(), "the two that did not found it vote too");
    assert!(world.acknowledged > 500);
    assert_eq!(world.order.len(), world.proposed.len());
}

/// The seeds of a random run: `FERRYHINGE_SEED` replays one, `FERRYHINGE_SEEDS` asks for so many.
fn seeds(usual: u64) -> std::ops::Range<u64> {
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    match number("FERRYHINGE_SEED") {
        Some(seed) => seed..seed + 1,
        None => 0..number("FERRYHINGE_SEEDS").unwrap_or(usual),
    }
}

#[test]
fn the_properties_hold_under_random_trouble() {
    let mut acknowledged = 0;
    let seeds = seeds(60);
    let enough = 84 * (seeds.end - seeds.start) as usize;
    for seed in seeds {
        println!("FERRYHINGE_SEED={seed} replays this run");
        let mut world = World::new(seed, 3 + (seed % 3) as Host, 3);
        world.run(Duration::from_secs(3), 0.3);
        let mut wiped = None;
        for _ in 0..25 {
            world.disturb(&mut wiped);
            let span = Duration::from_millis(50 + world.random.below(900));
            world.run(span, 0.3);
        }
        world.calm();
        world.run(Duration::from_secs(6), 0.0);
        // Nothing acknowledged is lost, and everyone gets it.
        let order = world.order.clone();
        if world.members.iter().any(|member| member.state != order) || !world.all_vote() {
            for member in &world.members {
                let zab = member.zab.as_ref().unwrap();
                println!(
                    "{:?} state {} voters {:?} promised {:?} to {:?} current {:?} last {} committed {} role {:?}",
                    zab.me.id,
                    member.state.len(),
                    zab.voters().iter().map(|voter| voter.id).collect::<Vec<_>>(),
                    zab.promised,
                    zab.promised_to,
                    zab.current,
                    zab.history.last(),
                    zab.committed,
                    zab.role
                );
            }
        }
        for (host, member) in world.members.iter().enumerate() {
            assert!(member.state == order, "seed {seed} host {host}");
        }
        assert!(order.len() >= world.acknowledged);
        assert!(world.all_vote(), "seed {seed}: all vote again");
        acknowledged += world.acknowledged;
    }
    assert!(acknowledged > enough, "{acknowledged}");
}

#[test]
fn a_lost_primary_is_followed_soon() {
    for seed in 0..20 {
        let mut world = World::new(seed, 3, 3);
        world.run(Duration::from_secs(3), 0.2);
        let (epoch, primary) = world.primaries.last_key_value().map(|(epoch, host)| (*epoch, *host)).unwrap();
        world.kill(primary);
        world.run(Duration::from_millis(1600), 0.2);
        assert!(world.primaries.last_key_value().unwrap().0 > &epoch, "seed {seed}");
    }
}

#[test]
fn a_restart_of_all_waits_for_no_lease() {
    let mut world = World::new(4, 3, 3);
    world.run(Duration::from_secs(3), 0.2);
    let epoch = *world.primaries.last_key_value().unwrap().0;
    for host in 0..3 {
        world.kill(host);
        world.start(host);
    }
    world.run(Duration::from_millis(350), 0.2);
    assert!(*world.primaries.last_key_value().unwrap().0 > epoch);
}

#[test]
fn one_stalled_disk_does_not_hold_up_the_others() {
    let mut world = World::new(6, 3, 3);
    world.run(Duration::from_secs(3), 0.2);
    let primary = *world.primaries.last_key_value().unwrap().1;
    world.members[primary as usize].slow_disk = true;
    let before = world.acknowledged;
    world.run(Duration::from_secs(3), 0.5);
    assert!(world.acknowledged > before + 100, "the two others are a quorum");
}

#[test]
fn followers_that_restart_keep_to_the_lease_they_gave() {
    for seed in 0..20 {
        let mut world = World::new(seed, 3, 3);
        world.run(Duration::from_secs(3), 0.2);
        let primary = *world.primaries.last_key_value().unwrap().1;
        for other in (0..3).filter(|host| *host != primary) {
            world.cut.extend([(primary, other), (other, primary)]);
            world.kill(other);
            world.start(other);
        }
        // The checks at every step find two leases, or a stale one.
        world.run(Duration::from_secs(3), 0.4);
        assert_eq!(world.elections, 2, "the two go on without the one cut off");
    }
}

#[test]
fn what_was_acknowledged_outlives_the_primary_and_all_unsynced_writes() {
    for seed in 0..20 {
        let mut world = World::new(seed, 3, 3);
        world.run(Duration::from_secs(3), 0.2);
        let primary = *world.primaries.last_key_value().unwrap().1;
        for other in (0..3).filter(|host| *host != primary) {
            world.members[other as usize].slow_disk = true;
        }
        world.run(Duration::from_millis(700), 0.8);
        world.kill(primary);
        for other in (0..3).filter(|host| *host != primary) {
            world.kill(other);
            world.start(other);
        }
        world.run(Duration::from_secs(4), 0.2);
        assert!(world.elections >= 2);
    }
}

#[test]
fn a_primary_that_retires_is_followed_at_once() {
    for seed in 0..20 {
        let mut world = World::new(seed, 3, 3);
        world.run(Duration::from_secs(3), 0.2);
        let (epoch, primary) = world.primaries.last_key_value().map(|(epoch, host)| (*epoch, *host)).unwrap();
        let now = world.now;
        let actions = world.members[primary as usize].zab.as_mut().unwrap().retire(now);
        world.act(primary, actions);
        world.run(Duration::from_millis(20), 0.2);
        world.kill(primary);
        world.run(Duration::from_millis(400), 0.2);
        assert!(world.primaries.last_key_value().unwrap().0 > &epoch, "seed {seed}");
    }
}

#[test]
fn a_member_that_missed_a_change_finds_the_new_disk_at_a_lost_ones_address() {
    for seed in 0..10 {
        let mut world = World::new(seed, 4, 3);
        world.run(Duration::from_secs(4), 0.2);
        assert!(world.all_vote(), "seed {seed}");
        let primary = *world.primaries.last_key_value().unwrap().1;
        let others: Vec<Host> = (0..4).filter(|host| *host != primary).collect();
        // One is cut off while another's disk is lost and replaced, and the primary is gone for good then: those left
        // are a quorum only together.
        let (missing, replaced) = (others[0], others[1]);
        for host in (0..4).filter(|host| *host != missing) {
            world.cut.extend([(host, missing), (missing, host)]);
        }
        world.wipe(replaced);
        world.start(replaced);
        world.run(Duration::from_secs(4), 0.2);
        assert!(world.all_vote(), "seed {seed}: the new disk votes");
        let epoch = *world.primaries.last_key_value().unwrap().0;
        world.kill(primary);
        world.cut.clear();
        world.run(Duration::from_secs(4), 0.2);
        assert!(world.primaries.last_key_value().unwrap().0 > &epoch, "seed {seed}: somebody leads");
    }
}

#[test]
fn nineteen_members_bear_two_lost_disks_a_lost_primary_and_a_cut_in_two() {
    for seed in 0..3 {
        let hosts: Host = 19;
        let mut world = World::new(seed, hosts, 3);
        world.run(Duration::from_secs(12), 0.02);
        assert!(world.all_vote(), "seed {seed}: all nineteen vote");
        let primary = *world.primaries.last_key_value().unwrap().1;
        // Two disks and the primary's process at one moment.
        for host in [(primary + 5) % hosts, (primary + 11) % hosts] {
            world.wipe(host);
            world.at(Duration::from_millis(300), Event::Start { host });
        }
        world.kill(primary);
        world.at(Duration::from_millis(2500), Event::Start { host: primary });
        let before = world.acknowledged;
        world.run(Duration::from_secs(12), 0.02);
        assert!(world.all_vote() && world.acknowledged > before, "seed {seed}: all vote again, and it goes on");
        // Nine here, ten there: only the larger side goes on.
        let primary = *world.primaries.last_key_value().unwrap().1;
        let smaller: Vec<Host> = (0..9).map(|step| (primary + step) % hosts).collect();
        for one in 0..hosts {
            for other in (0..hosts).filter(|other| smaller.contains(&one) != smaller.contains(other)) {
                world.cut.insert((one, other));
            }
        }
        let (epoch, before) = (*world.primaries.last_key_value().unwrap().0, world.acknowledged);
        world.run(Duration::from_secs(5), 0.02);
        let (now, leads) = world.primaries.last_key_value().map(|(epoch, host)| (*epoch, *host)).unwrap();
        assert!(now > epoch && !smaller.contains(&leads), "seed {seed}: the larger side has its own primary");
        assert!(world.acknowledged > before, "seed {seed}");
        world.calm();
        world.run(Duration::from_secs(6), 0.0);
        let order = world.order.clone();
        assert!(world.members.iter().all(|member| member.state == order), "seed {seed}: all have the one order");
    }
}

/// Messages that a core of that size sends for each change, beside its heartbeats.
fn messages_of_a_change(hosts: Host) -> f64 {
    let mut world = World::new(5, hosts, 3);
    world.run(Duration::from_secs(12), 0.01);
    assert!(world.all_vote());
    let quiet = world.messages;
    world.run(Duration::from_secs(5), 0.0);
    let beats = world.messages - quiet;
    let (before, values) = (world.messages, world.proposals);
    world.run(Duration::from_secs(5), 0.5 * 3.0 / hosts as f64);
    (world.messages - before - beats) as f64 / (world.proposals - values) as f64
}

#[test]
fn a_change_costs_each_follower_a_proposal_and_an_ack_and_its_commit_rides_along() {
    for hosts in [3, 9, 19] {
        let each = messages_of_a_change(hosts) / (hosts - 1) as f64;
        assert!(each < 2.6, "{hosts} members: {each} messages a follower and change");
    }
}
