//! Named faults, each over several seeds.

use crate::checks::{Violation, check};
use crate::clients::{Role, control_call, order_call, order_in, version_in};
use crate::world::{Host, World};
use interlocking::zab::Timing;
use lineside::call::ControlCall;
use std::time::Duration;

const SEEDS: std::ops::Range<u64> = 100..115;
/// Time for members to elect, or to notice that one of them is gone.
const SETTLING: Duration = Duration::from_secs(3);
const STALLS: usize = 4;
const THINK: Duration = Duration::from_millis(150);
/// Time for every client to finish what is under way, or to give it up.
pub const AFTERMATH: Duration = Duration::from_secs(14);

pub fn settled_world(seed: u64, members: usize) -> World {
    let mut world = World::new(seed, members);
    world.run(SETTLING);
    world
}

pub fn all(world: &World) -> Vec<Host> {
    (0..world.member_count()).collect()
}

pub fn all_but(world: &World, host: Host) -> Vec<Host> {
    (0..world.member_count()).filter(|other| *other != host).collect()
}

fn read_call() -> ControlCall {
    control_call("GET", "/v1/configuration", None, String::new())
}

/// Orders a change and insists until it is acknowledged.
fn take_order(world: &mut World, hosts: &[Host], base: u64, order: u64) {
    let answer = world.ask_until_clear(hosts, &order_call(base, base + 1, order));
    assert_eq!(answer.status, 200, "{}", answer.body);
}

/// Version and order of the configuration that a member reads back.
fn read_back(world: &mut World, hosts: &[Host]) -> (u64, u64) {
    let answer = world.ask_until_clear(hosts, &read_call());
    assert_eq!(answer.status, 200, "{}", answer.body);
    (version_in(&answer.body), order_in(&answer.body))
}

pub fn finish(world: &mut World) {
    world.heal();
    world.stop_clients();
    world.run(AFTERMATH);
    world.give_up_open_operations();
    assert_eq!(check(&world.histories), Ok(()));
}

/// Cuts a member off for 20 s, while clients go on at either side.
fn cut_off_for_a_while(seed: u64, members: usize, pick: impl Fn(&mut World) -> Host) {
    let mut world = settled_world(seed, members);
    let lone = pick(&mut world);
    let others = all_but(&world, lone);
    let roles = [Role::Operator, Role::Reader, Role::Application, Role::Watcher];
    for role in roles {
        world.add_client(role, others.clone(), THINK);
    }
    let cut_off = roles.map(|role| world.add_client(role, vec![lone], THINK));
    world.run(Duration::from_secs(2));
    world.cut_off(lone);
    // Its lease may run on for less than a second, and it may tell what it decided under it.
    world.run(Duration::from_secs(1));
    let answers = |world: &World| cut_off.map(|client| world.clients[client].clear_answers);
    let before = answers(&world);
    let served_before = world.histories.clear_answers();
    world.run(Duration::from_secs(19));
    assert_eq!(answers(&world), before, "seed {seed}: a member without a majority gave a clear answer");
    assert!(world.histories.clear_answers() > served_before + 50, "seed {seed}: the majority did not go on");
    world.heal();
    world.run(SETTLING);
    let served = answers(&world).iter().sum::<usize>() > before.iter().sum();
    assert!(served, "seed {seed}: healed, and it serves nobody");
    finish(&mut world);
}

/// The primary under its lease. That may lapse for a moment where messages overtake one another.
pub fn primary_of(world: &mut World) -> Host {
    let end = world.now + SETTLING;
    while world.primary().is_none() && world.now < end {
        world.run(Duration::from_millis(10));
    }
    world.primary().expect("there is a primary")
}

fn follower_of(world: &mut World) -> Host {
    (primary_of(world) + 1) % world.member_count()
}

#[test]
fn a_primary_cut_off_for_20_s_gives_no_clear_answer() {
    for seed in SEEDS {
        cut_off_for_a_while(seed, 3, primary_of);
        cut_off_for_a_while(seed, 5, primary_of);
    }
}

#[test]
fn a_follower_cut_off_for_20_s_gives_no_clear_answer() {
    for seed in SEEDS {
        cut_off_for_a_while(seed, 3, follower_of);
        cut_off_for_a_while(seed, 5, follower_of);
    }
}

#[test]
fn a_primary_that_is_heard_but_hears_nobody_confirms_nothing() {
    for seed in SEEDS {
        let mut world = settled_world(seed, 3);
        let primary = primary_of(&mut world);
        world.add_usual_clients();
        world.run(Duration::from_secs(2));
        all_but(&world, primary).into_iter().for_each(|other| world.cut_one_way(other, primary));
        // Its lease may run on for less than a second.
        world.run(Duration::from_secs(1));
        let deaf = world.add_client(Role::Operator, vec![primary], THINK);
        world.run(Duration::from_secs(19));
        assert_eq!(world.clients[deaf].clear_answers, 0, "seed {seed}");
        finish(&mut world);
    }
}

/// A process that stood still finds calls waiting, and may decide them before it knows what it missed.
#[test]
fn a_primary_that_stood_still_hands_out_nothing_old() {
    for seed in SEEDS {
        let mut world = settled_world(seed, 3);
        let first = primary_of(&mut world);
        let others = all_but(&world, first);
        world.add_client(Role::Operator, others.clone(), THINK);
        world.add_client(Role::Application, others, THINK);
        for role in [Role::Operator, Role::Reader, Role::Application] {
            world.add_client(role, vec![first], THINK);
        }
        // These learn at the others what the one that stands still does not know yet.
        for role in [Role::Operator, Role::Operator, Role::Application, Role::Application] {
            let hosts = all(&world);
            world.add_client(role, hosts, THINK);
        }
        for _ in 0..STALLS {
            let lone = primary_of(&mut world);
            world.run(Duration::from_secs(1));
            let span = Duration::from_millis(1_200 + world.random.below(1_600));
            world.stall(lone, span);
            world.run(span + SETTLING);
        }
        finish(&mut world);
    }
}

/// The checkers catch a member that answers under a lease nobody else keeps to.
#[test]
fn a_member_that_trusts_its_lease_too_long_is_caught() {
    let usual = Timing::default();
    let minute = Duration::from_secs(60);
    let broken = Timing { lease: minute, patience: minute, ..usual };
    // The highest id leads when nobody holds anything yet.
    let mut world = World::with_timings(1, vec![usual, usual, broken]);
    world.run(SETTLING);
    let lone = primary_of(&mut world);
    assert_eq!(lone, 2, "the broken member leads");
    let others = all_but(&world, lone);
    world.add_client(Role::Operator, others, THINK);
    world.run(Duration::from_secs(2));
    world.add_client(Role::Reader, vec![lone], THINK);
    world.cut_off(lone);
    world.run(Duration::from_secs(20));
    world.stop_clients();
    world.run(AFTERMATH);
    world.give_up_open_operations();
    assert_eq!(check(&world.histories), Err(Violation::ConfigurationNotLinearizable));
}

#[test]
fn of_two_operators_at_one_number_one_is_confirmed_and_the_other_refused() {
    for seed in SEEDS {
        let mut world = settled_world(seed, 3);
        let hosts = all(&world);
        take_order(&mut world, &hosts, 0, 1);
        let orders = [order_call(1, 2, 7), order_call(1, 2, 8)];
        let one = world.send_scripted(0, orders[0].clone());
        let other = world.send_scripted(1, orders[1].clone());
        world.run(Duration::from_secs(1));
        let statuses = [one, other].map(|sent| world.script_answers[&sent].status);
        assert!(statuses == [200, 412] || statuses == [412, 200], "seed {seed}: {statuses:?}");
        let winner = if statuses[0] == 200 { 7 } else { 8 };
        for host in hosts {
            // Byte-equal repeats get the same, at every member.
            let repeats = [0, 1].map(|index| world.ask_until_clear(&[host], &orders[index]).status);
            assert_eq!(repeats, statuses, "seed {seed}");
            assert_eq!(read_back(&mut world, &[host]), (2, winner), "seed {seed}");
        }
    }
}

#[test]
fn an_order_repeated_after_a_lost_answer_is_acknowledged() {
    for seed in SEEDS {
        let mut world = settled_world(seed, 3);
        let hosts = all(&world);
        take_order(&mut world, &hosts, 0, 1);
        let order = order_call(1, 2, 7);
        // The order is taken, and the primary loses its power at some moment around that.
        let primary = primary_of(&mut world);
        let sent = world.send_scripted(primary, order.clone());
        let until_loss = Duration::from_micros(world.random.below(15_000));
        world.run(until_loss);
        world.lose_power(primary);
        world.script_answers.remove(&sent);
        let others = all_but(&world, primary);
        assert_eq!(world.ask_until_clear(&others, &order).status, 200, "seed {seed}");
        take_order(&mut world, &others, 2, 9);
        world.start(primary);
        world.run(SETTLING);
        // It was taken once, whatever came after, and whoever is asked.
        for host in hosts {
            assert_eq!(world.ask_until_clear(&[host], &order).status, 200, "seed {seed}");
            assert_eq!(read_back(&mut world, &[host]), (3, 9), "seed {seed}");
        }
    }
}

#[test]
fn a_second_loss_right_after_a_repair_loses_nothing_acknowledged() {
    for seed in SEEDS {
        let mut world = settled_world(seed, 3);
        let lost = world.random.below(3) as Host;
        world.lose_power(lost);
        let left = all_but(&world, lost);
        for version in 0..20 {
            take_order(&mut world, &left, version, version + 1);
        }
        // It is back for a moment only before the next one goes.
        let terms = world.led_with.len();
        world.start(lost);
        let moment = Duration::from_millis(world.random.below(400));
        world.run(moment);
        let second = left[world.random.below(2) as usize];
        world.lose_power(second);
        let hosts = all_but(&world, second);
        assert_eq!(read_back(&mut world, &hosts), (20, 20), "seed {seed}");
        take_order(&mut world, &hosts, 20, 21);
        let later = &world.led_with[terms..];
        assert!(later.iter().all(|version| version.0 >= 20), "seed {seed}: {later:?}");
    }
}

#[test]
fn a_member_on_a_new_disk_is_no_part_of_a_majority() {
    for seed in SEEDS {
        let mut world = settled_world(seed, 3);
        let hosts = all(&world);
        take_order(&mut world, &hosts, 0, 1);
        let wiped = world.random.below(3) as Host;
        world.wipe(wiped);
        world.start(wiped);
        world.run(SETTLING);
        let left = all_but(&world, wiped);
        take_order(&mut world, &left, 1, 2);
        let second = left[world.random.below(2) as usize];
        world.lose_power(second);
        world.run(Duration::from_secs(1));
        for host in all_but(&world, second) {
            for call in [read_call(), order_call(2, 3, 5)] {
                let answer = world.ask_once(host, call);
                assert!(answer.is_none_or(|answer| answer.status >= 500), "seed {seed}: served without a majority");
            }
        }
        world.start(second);
        // Whether the order of meanwhile was taken can't be told by its 5xx, but nothing before it is lost.
        let (version, _) = read_back(&mut world, &hosts);
        assert!(version == 2 || version == 3, "seed {seed}: version {version}");
    }
}

const ROUTES: u64 = 600;
const CHANGES: u64 = 300;
/// Within this time a member that comes back holds all that was acknowledged.
const CAUGHT_UP_WITHIN: Duration = Duration::from_secs(3);

fn large_configuration() -> ControlCall {
    let route = |index: u64| {
        format!(
            "\"r{index}\":{{\"hostname\":\"h{index}.example\",\"path_prefix\":\"/p{index}/\",\"route_type\":\"idempotent\",\
             \"timeout_s\":0.5,\"target_latency_s\":0.2,\"priority\":2,\"service_name\":\"s\",\"max_attempts\":2}}"
        )
    };
    let routes: Vec<String> = (0..ROUTES).map(route).collect();
    let body = format!("{{\"version\":\"r1\",\"routes\":{{{}}},\"services\":{{\"s\":{{}}}}}}", routes.join(","));
    control_call("PUT", "/v1/configuration", Some("0".into()), body)
}

/// A member misses hundreds of changes of a large configuration.
fn world_with_a_member_behind(seed: u64) -> (World, Host) {
    let mut world = settled_world(seed, 3);
    let hosts = all(&world);
    assert_eq!(world.ask_until_clear(&hosts, &large_configuration()).status, 200);
    let behind = follower_of(&mut world);
    world.lose_power(behind);
    let left = all_but(&world, behind);
    for version in 1..=CHANGES {
        take_order(&mut world, &left, version, version * 2);
    }
    (world, behind)
}

#[test]
fn a_member_that_missed_hundreds_of_changes_catches_up() {
    let (mut world, behind) = world_with_a_member_behind(200);
    world.start(behind);
    world.run(CAUGHT_UP_WITHIN);
    let primary = primary_of(&mut world);
    let (own, others) = (world.committed(behind), world.committed(primary));
    assert_eq!(own.fleet.epoch().0, CHANGES + 1);
    assert!(own.fleet.snapshot() == others.fleet.snapshot(), "another state than the primary's");
    assert_eq!(read_back(&mut world, &[behind]).0, CHANGES + 1);
}

#[test]
fn a_member_that_missed_hundreds_of_changes_never_leads_with_old_state() {
    let (mut world, behind) = world_with_a_member_behind(300);
    let (terms, primary) = (world.led_with.len(), primary_of(&mut world));
    world.start(behind);
    let moment = Duration::from_millis(world.random.below(200));
    world.run(moment);
    world.lose_power(primary);
    let left = all_but(&world, primary);
    assert_eq!(read_back(&mut world, &left).0, CHANGES + 1);
    let later = &world.led_with[terms..];
    assert!(!later.is_empty(), "nobody led after the loss");
    assert!(later.iter().all(|version| version.0 == CHANGES + 1), "{later:?}");
}
