//! Runs with random faults. Each is repeated by its seed alone.

use crate::checks::check;
use crate::clients::Role;
use crate::world::{Host, World};
use std::time::Duration;

const FAULTS: usize = 12;
/// Between two faults, at most.
const MOST_CALM_MILLIS: u64 = 2_500;
const MOST_STALL_MILLIS: u64 = 2_500;
/// After the last fault: time for every client to finish.
const AFTERMATH: Duration = Duration::from_secs(14);
const SEEDS: std::ops::Range<u64> = 0..40;
/// Names a seed to be run alone.
const SEED_VARIABLE: &str = "FERRYHINGE_SEED";
const LEAST_CLEAR_ANSWERS: usize = 100;
const LOCK_USERS: usize = 6;
const LOCK_USER_THINKS: Duration = Duration::from_millis(120);
const STALLS: usize = 30;

/// Says how a failed run is repeated.
pub struct SeedReport(pub u64);

impl Drop for SeedReport {
    fn drop(&mut self) {
        if std::thread::panicking() {
            let seed = self.0;
            eprintln!("repeat it: {SEED_VARIABLE}={seed} cargo test -p signalbox --test simulation random_");
        }
    }
}

pub fn seeds() -> Vec<u64> {
    match std::env::var(SEED_VARIABLE) {
        Ok(seed) => vec![seed.parse().expect("FERRYHINGE_SEED is a number")],
        Err(_) => SEEDS.collect(),
    }
}

fn random_host(world: &mut World) -> Host {
    let members = world.member_count() as u64;
    world.random.below(members) as Host
}

fn two_hosts(world: &mut World) -> (Host, Host) {
    let one = random_host(world);
    let members = world.member_count();
    let other = (one + 1 + world.random.below(members as u64 - 1) as usize) % members;
    (one, other)
}

/// One fault, or the end of one.
fn disturb(world: &mut World, may_wipe: &mut bool) {
    let host = random_host(world);
    let (one, other) = two_hosts(world);
    let kind = world.random.below(14);
    match kind {
        0 => world.cut_off(host),
        1 => {
            world.cut_one_way(one, other);
            world.cut_one_way(other, one);
        }
        2 => world.cut_one_way(one, other),
        3 | 4 => world.heal(),
        5 | 6 => world.lose_power(host),
        7 => (0..world.member_count()).for_each(|host| world.start(host)),
        8 => world.set_slow_disk(host, true),
        9 => world.set_slow_disk(host, false),
        10 => (0..world.member_count()).filter(|other| *other != host).for_each(|other| world.reset(host, other)),
        11 | 12 => {
            let span = Duration::from_millis(300 + world.random.below(MOST_STALL_MILLIS));
            let primary = world.primary().filter(|_| kind == 11);
            world.stall(primary.unwrap_or(host), span);
        }
        _ if std::mem::take(may_wipe) => world.wipe(host),
        _ => world.loss = [0.0, 0.02, 0.1][world.random.below(3) as usize],
    }
}

fn calm_down(world: &mut World) {
    world.heal();
    world.run(Duration::from_millis(MOST_STALL_MILLIS));
    (world.loss, world.answer_loss) = (0.0, 0.0);
    for host in 0..world.member_count() {
        world.set_slow_disk(host, false);
        world.start(host);
    }
}

fn run(seed: u64, members: usize) -> World {
    let mut world = World::new(seed, members);
    world.add_usual_clients();
    world.answer_loss = 0.03;
    // Of five members four suffice for the rest of the run. Of three, two would have no spare.
    let mut may_wipe = members > 3;
    world.run(Duration::from_secs(2));
    for _ in 0..FAULTS {
        disturb(&mut world, &mut may_wipe);
        let calm = Duration::from_millis(200 + world.random.below(MOST_CALM_MILLIS));
        world.run(calm);
    }
    calm_down(&mut world);
    world.run(Duration::from_secs(4));
    let before = world.histories.clear_answers();
    world.run(Duration::from_secs(4));
    assert!(world.histories.clear_answers() > before + 10, "members that are all well again serve nobody");
    world.stop_clients();
    world.run(AFTERMATH);
    world.give_up_open_operations();
    world
}

fn check_run(seed: u64, members: usize) {
    let _report = SeedReport(seed);
    let world = run(seed, members);
    assert_eq!(check(&world.histories), Ok(()), "seed {seed} with {members} members");
    assert!(world.histories.clear_answers() >= LEAST_CLEAR_ANSWERS, "too little was asked to tell anything");
}

#[test]
fn three_members_under_random_faults_keep_every_promise() {
    seeds().into_iter().for_each(|seed| check_run(seed, 3));
}

#[test]
fn five_members_under_random_faults_keep_every_promise() {
    seeds().into_iter().for_each(|seed| check_run(seed, 5));
}

/// Members stand still, each by itself, while callers use few locks and go on with the same one.
fn check_stalls(seed: u64, members: usize) {
    let _report = SeedReport(seed);
    let mut world = World::new(seed, members);
    let all: Vec<Host> = (0..members).collect();
    for _ in 0..LOCK_USERS {
        world.add_client(Role::LockUser, all.clone(), LOCK_USER_THINKS);
    }
    world.run(Duration::from_secs(2));
    for _ in 0..STALLS {
        let (host, span) = (random_host(&mut world), 1000 + world.random.below(MOST_STALL_MILLIS));
        world.stall(host, Duration::from_millis(span));
        let calm = Duration::from_millis(world.random.below(MOST_CALM_MILLIS));
        world.run(calm);
    }
    world.stop_clients();
    world.run(AFTERMATH);
    assert_eq!(check(&world.histories), Ok(()), "seed {seed} with {members} members");
}

#[test]
fn no_lock_has_two_holders_after_members_stood_still() {
    seeds().into_iter().for_each(|seed| check_stalls(seed, 3));
    seeds().into_iter().for_each(|seed| check_stalls(seed, 5));
}

#[test]
fn a_seed_repeats_its_run() {
    let (first, second) = (run(7, 3), run(7, 3));
    assert_eq!(first.trace, second.trace);
    assert_eq!(format!("{:?}", first.histories), format!("{:?}", second.histories));
    assert_ne!(first.trace, run(8, 3).trace);
}
