//! Named faults while the voters change: machines lost for good, newcomers, cuts, and members that leave in order.

use crate::checks::check;
use crate::clients::control_call;
use crate::scenarios::{AFTERMATH, finish, primary_of};
use crate::voters::{HandOverEnd, LeaveRule, VoterRule};
use crate::world::{Host, World};
use std::time::Duration;

const SEEDS: std::ops::Range<u64> = 400..420;
const SETTLING: Duration = Duration::from_secs(3);
const STEP: Duration = Duration::from_millis(10);
/// Between the loss of a machine and the start of the one that replaces it.
pub const REPLACEMENT_AFTER: Duration = Duration::from_millis(1600);
/// Within this time after the last fault a quorum acknowledges a change.
const QUORUM_WITHIN: Duration = Duration::from_secs(3);
/// How long the voters may take to be the wanted ones.
pub const VOTERS_WITHIN: Duration = Duration::from_secs(10);
/// Within this time after a primary left in order the next one acknowledges a change.
const FOLLOWED_WITHIN: Duration = Duration::from_millis(400);
const LONG_CUT: Duration = Duration::from_secs(20);

/// A fleet that tends its voters, with clients at work.
pub fn tended_world(seed: u64, members: usize, voter_rule: VoterRule, leave_rule: LeaveRule) -> World {
    let mut world = World::new(seed, members);
    world.voter_rule = voter_rule;
    world.leave_rule = leave_rule;
    world.run(SETTLING);
    world.add_usual_clients();
    world.run(Duration::from_secs(1));
    world
}

/// As many members as may be lost at once.
pub fn losses_borne(world: &World) -> usize {
    world.needed_voters / 2
}

/// Several different ones of some hosts.
pub fn draw(world: &mut World, hosts: &[Host], count: usize) -> Vec<Host> {
    let mut left = hosts.to_vec();
    (0..count).map(|_| left.remove(world.random.below(left.len() as u64) as usize)).collect()
}

pub fn without(hosts: &[Host], gone: &[Host]) -> Vec<Host> {
    hosts.iter().copied().filter(|host| !gone.contains(host)).collect()
}

/// Lets time pass until something holds; false when it does not in time.
pub fn run_until(world: &mut World, limit: Duration, holds: impl Fn(&World) -> bool) -> bool {
    let end = world.now + limit;
    while world.now < end && !holds(world) {
        world.run(STEP);
    }
    holds(world)
}

/// Whether a change that is sent over and over, at each member in turn, is acknowledged in time.
fn acknowledges_within(world: &mut World, hosts: &[Host], limit: Duration) -> bool {
    const PAUSE: Duration = Duration::from_millis(50);
    let end = world.now + limit;
    let mut sent = Vec::new();
    for attempt in 0.. {
        let path = format!("/v1/cells/quorum.{}", world.next_place());
        let call = control_call("PUT", &path, None, "{\"value\":\"v1\"}".to_owned());
        sent.push(world.send_scripted(hosts[attempt % hosts.len()], call));
        world.run(PAUSE);
        let is_done = |number: &u64| world.script_answers.get(number).is_some_and(|answer| answer.status == 200);
        if sent.iter().any(is_done) {
            return true;
        }
        if world.now >= end {
            return false;
        }
    }
    unreachable!("the loop ends by itself")
}

/// The clients are served again, and no history breaks a rule.
pub fn finish_served(world: &mut World) {
    let before = world.histories.clear_answers();
    world.run(SETTLING);
    assert!(world.histories.clear_answers() > before + 10, "a quorum is there, and the clients are not served");
    finish(world);
}

/// The last transaction that a client may know to be committed.
fn acknowledged(world: &mut World) -> trackbed::ids::Zxid {
    let primary = primary_of(world);
    world.last_committed(primary)
}

/// One machine lost, replaced by an empty one at another address; as soon as that one votes, as many more as may be
/// lost are lost with their disks. Gives whether a quorum was back in time.
fn loss_after_a_replacement(seed: u64, members: usize, rule: VoterRule) -> (World, bool) {
    let mut world = tended_world(seed, members, rule, LeaveRule::HandOver);
    let founders: Vec<Host> = (0..members).collect();
    let lost = draw(&mut world, &founders, 1);
    world.lose_for_good(lost[0]);
    world.run(REPLACEMENT_AFTER);
    let newcomer = world.add_machine();
    let votes = run_until(&mut world, VOTERS_WITHIN, |world| world.voting_hosts().contains(&newcomer));
    assert!(votes, "seed {seed}, {members} members: the newcomer gets no vote");
    let losses = losses_borne(&world);
    let second = draw(&mut world, &without(&founders, &lost), losses);
    second.iter().for_each(|host| world.lose_for_good(*host));
    let left = [without(&founders, &[lost, second].concat()), vec![newcomer]].concat();
    let is_back = acknowledges_within(&mut world, &left, QUORUM_WITHIN);
    (world, is_back)
}

#[test]
fn a_second_loss_right_after_a_replacement_is_borne() {
    for seed in SEEDS {
        for members in [3, 5] {
            let (mut world, is_back) = loss_after_a_replacement(seed, members, VoterRule::AsDecided);
            assert!(is_back, "seed {seed}, {members} members: no quorum");
            finish_served(&mut world);
        }
    }
}

#[test]
fn a_newcomer_beside_a_lost_voter_is_caught() {
    for members in [3, 5] {
        let (_, is_back) = loss_after_a_replacement(SEEDS.start, members, VoterRule::KeepLost);
        assert!(!is_back, "{members} members: the rule was broken, and a quorum was there");
    }
}

/// A newcomer comes before anybody knows that a machine is lost for good; more are lost once that is known. Gives
/// whether a quorum was back in time.
fn loss_after_a_hasty_replacement(seed: u64, members: usize, rule: VoterRule) -> (World, bool) {
    let mut world = tended_world(seed, members, rule, LeaveRule::HandOver);
    let founders: Vec<Host> = (0..members).collect();
    let lost = draw(&mut world, &founders, 1);
    world.lose_for_good(lost[0]);
    let moment = Duration::from_millis(world.random.below(400));
    world.run(moment);
    let newcomer = world.add_machine();
    world.run(VOTERS_WITHIN);
    let in_use = [without(&founders, &lost), vec![newcomer]].concat();
    let losses = losses_borne(&world);
    let second = draw(&mut world, &in_use, losses);
    second.iter().for_each(|host| world.lose_for_good(*host));
    let is_back = acknowledges_within(&mut world, &without(&in_use, &second), QUORUM_WITHIN);
    (world, is_back)
}

#[test]
fn a_loss_after_a_hasty_replacement_is_borne() {
    for seed in SEEDS {
        for members in [3, 5] {
            let (mut world, is_back) = loss_after_a_hasty_replacement(seed, members, VoterRule::AsDecided);
            assert!(is_back, "seed {seed}, {members} members: no quorum");
            finish_served(&mut world);
        }
    }
}

#[test]
fn a_lost_voter_beyond_those_needed_that_stays_is_caught() {
    for members in [3, 5] {
        let fails = |seed| !loss_after_a_hasty_replacement(seed, members, VoterRule::KeepLost).1;
        assert!(SEEDS.into_iter().any(fails), "{members} members: the rule was broken, and a quorum was there");
    }
}

/// A newcomer joins, an old member leaves and is gone with its disk, and then as many as may be lost are lost. Gives
/// whether a quorum was left.
fn loss_after_a_planned_replacement(seed: u64, members: usize, rule: LeaveRule) -> (World, bool) {
    let mut world = tended_world(seed, members, VoterRule::AsDecided, rule);
    let founders: Vec<Host> = (0..members).collect();
    let newcomer = world.add_machine();
    let votes = run_until(&mut world, VOTERS_WITHIN, |world| world.voting_hosts().contains(&newcomer));
    assert!(votes, "seed {seed}, {members} members: the newcomer gets no vote");
    // Every other time it is the primary that leaves.
    let leaver = if seed.is_multiple_of(2) { primary_of(&mut world) } else { draw(&mut world, &founders, 1)[0] };
    world.leave(leaver);
    run_until(&mut world, VOTERS_WITHIN, |world| !world.is_up(leaver));
    world.lose_for_good(leaver);
    let in_use = without(&(0..world.member_count()).collect::<Vec<_>>(), &[leaver]);
    let losses = losses_borne(&world);
    let second = draw(&mut world, &in_use, losses);
    second.iter().for_each(|host| world.lose_for_good(*host));
    let left = without(&in_use, &second);
    let is_back = acknowledges_within(&mut world, &left, QUORUM_WITHIN);
    (world, is_back)
}

#[test]
fn a_loss_right_after_a_planned_replacement_is_borne() {
    for seed in SEEDS {
        for members in [3, 5] {
            let (mut world, is_back) = loss_after_a_planned_replacement(seed, members, LeaveRule::HandOver);
            assert!(is_back, "seed {seed}, {members} members: no quorum; {:?}", world.hand_over_ends);
            finish_served(&mut world);
        }
    }
}

#[test]
fn a_replaced_member_that_leaves_without_a_word_is_caught() {
    for members in [3, 5] {
        let (_, is_back) = loss_after_a_planned_replacement(SEEDS.start, members, LeaveRule::AtOnce);
        assert!(!is_back, "{members} members: the rule was broken, and a quorum was there");
    }
}

/// What became of what was acknowledged while only a bare majority held it, of which one left and the others were lost.
struct LoneHolders {
    hand_over: HandOverEnd,
    /// A disk that is left holds all that was acknowledged before the member left.
    is_kept: bool,
}

/// A bare majority alone goes on for a while. The cut heals a moment after one of it is told to leave, or never; once
/// that one is gone with its disk, the rest of that majority loses its disks.
fn leaver_among_the_only_holders(seed: u64, members: usize, heals: bool, rule: LeaveRule) -> LoneHolders {
    let mut world = tended_world(seed, members, VoterRule::AsDecided, rule);
    let primary = primary_of(&mut world);
    let others = without(&(0..members).collect::<Vec<_>>(), &[primary]);
    let losses = losses_borne(&world);
    let apart = draw(&mut world, &others, losses);
    let holders = without(&others, &apart);
    world.cut_apart(&apart);
    world.run(Duration::from_secs(2));
    // Every other time it is the primary that leaves.
    let leaver = if seed.is_multiple_of(2) { primary } else { holders[0] };
    let last = acknowledged(&mut world);
    world.leave(leaver);
    if heals {
        let moment = Duration::from_millis(world.random.below(200));
        world.run(moment);
        world.heal();
    }
    run_until(&mut world, VOTERS_WITHIN, |world| !world.is_up(leaver));
    holders.iter().chain([&primary]).for_each(|host| world.lose_for_good(*host));
    let is_kept = apart.iter().any(|host| world.last_durable(*host) >= last);
    let hand_over = world.hand_over_ends[&leaver];
    LoneHolders { hand_over, is_kept }
}

#[test]
fn what_a_leaving_member_and_the_primary_alone_held_outlives_both() {
    for seed in SEEDS {
        for members in [3, 5] {
            let held = leaver_among_the_only_holders(seed, members, true, LeaveRule::HandOver);
            assert_eq!(held.hand_over, HandOverEnd::Released, "seed {seed}, {members} members");
            assert!(held.is_kept, "seed {seed}, {members} members: nobody holds what was acknowledged");
        }
    }
}

#[test]
fn a_leaving_member_that_hands_nothing_over_is_caught() {
    for seed in SEEDS {
        for members in [3, 5] {
            let held = leaver_among_the_only_holders(seed, members, false, LeaveRule::AtOnce);
            assert!(!held.is_kept, "seed {seed}, {members} members: the rule was broken, and nothing was lost");
        }
    }
}

/// All but a bare majority write slowly while one of that majority leaves. What is kept is
/// what the slow disks hold once that one is gone.
fn leaver_beside_slow_disks(seed: u64, members: usize, rule: LeaveRule) -> LoneHolders {
    let mut world = tended_world(seed, members, VoterRule::AsDecided, rule);
    let primary = primary_of(&mut world);
    let others = without(&(0..members).collect::<Vec<_>>(), &[primary]);
    let losses = losses_borne(&world);
    let slow = draw(&mut world, &others, losses);
    let holders = without(&others, &slow);
    slow.iter().for_each(|host| world.set_slow_disk(*host, true));
    world.run(Duration::from_secs(2));
    let leaver = if seed.is_multiple_of(2) { primary } else { holders[0] };
    let last = acknowledged(&mut world);
    world.leave(leaver);
    run_until(&mut world, VOTERS_WITHIN, |world| !world.is_up(leaver));
    let is_kept = slow.iter().any(|host| world.last_durable(*host) >= last);
    LoneHolders { hand_over: world.hand_over_ends[&leaver], is_kept }
}

#[test]
fn a_member_released_beside_slow_disks_takes_nothing_with_it() {
    for seed in SEEDS {
        for members in [3, 5] {
            let held = leaver_beside_slow_disks(seed, members, LeaveRule::HandOver);
            assert_eq!(held.hand_over, HandOverEnd::Released, "seed {seed}, {members} members");
            assert!(held.is_kept, "seed {seed}, {members} members: released too early");
        }
    }
}

#[test]
fn a_member_that_leaves_at_once_beside_slow_disks_is_caught() {
    for members in [3, 5] {
        let is_lost = |seed| !leaver_beside_slow_disks(seed, members, LeaveRule::AtOnce).is_kept;
        assert!(SEEDS.into_iter().any(is_lost), "{members} members: the rule was broken, and nothing was lost");
    }
}

/// Beyond what is borne: the others stay away longer than a member that leaves may wait. It says so.
#[test]
fn a_leaving_member_whose_heirs_stay_away_says_that_it_gave_up() {
    for seed in SEEDS {
        for members in [3, 5] {
            let held = leaver_among_the_only_holders(seed, members, false, LeaveRule::HandOver);
            assert_eq!(held.hand_over, HandOverEnd::GaveUp, "seed {seed}, {members} members");
            assert!(!held.is_kept, "seed {seed}, {members} members: others held it all the same");
        }
    }
}

/// Two of five are cut off for long. The next cut leaves them with one of the others. Gives whether these three have
/// a quorum in time.
fn quorum_after_another_cut(seed: u64, rule: VoterRule) -> (World, bool) {
    let mut world = tended_world(seed, 5, rule, LeaveRule::HandOver);
    let hosts: Vec<Host> = (0..5).collect();
    let apart = draw(&mut world, &hosts, 2);
    world.cut_apart(&apart);
    world.run(LONG_CUT);
    let majority = without(&hosts, &apart);
    let one = draw(&mut world, &majority, 1);
    let side = [apart, one].concat();
    world.heal();
    world.cut_apart(&side);
    let is_back = acknowledges_within(&mut world, &side, QUORUM_WITHIN);
    (world, is_back)
}

#[test]
fn three_of_five_have_a_quorum_though_two_were_cut_off_for_long() {
    for seed in SEEDS {
        let (mut world, is_back) = quorum_after_another_cut(seed, VoterRule::AsDecided);
        assert!(is_back, "seed {seed}: no quorum");
        finish_served(&mut world);
    }
}

#[test]
fn three_of_five_have_none_where_silent_voters_were_let_go() {
    for seed in SEEDS {
        let (_, is_back) = quorum_after_another_cut(seed, VoterRule::DropSilent);
        assert!(!is_back, "seed {seed}: the old rule left a quorum");
    }
}

/// A machine is lost for good. The newcomer loses its power while it joins, and comes back. Gives whether the others
/// had a quorum meanwhile, and the voters are those in use in time.
fn newcomer_that_crashes(seed: u64, members: usize, rule: VoterRule) -> (World, bool) {
    let mut world = tended_world(seed, members, rule, LeaveRule::HandOver);
    let lost = world.random.below(members as u64) as Host;
    world.lose_for_good(lost);
    world.run(REPLACEMENT_AFTER);
    let newcomer = world.add_machine();
    let moment = Duration::from_millis(world.random.below(800));
    world.run(moment);
    world.lose_power(newcomer);
    let left = without(&(0..members).collect::<Vec<_>>(), &[lost]);
    let is_served = acknowledges_within(&mut world, &left, QUORUM_WITHIN);
    world.start(newcomer);
    let wanted = [left, vec![newcomer]].concat();
    let is_whole = run_until(&mut world, VOTERS_WITHIN, |world| world.voters_are(&wanted));
    (world, is_served && is_whole)
}

#[test]
fn a_newcomer_that_crashes_while_joining_stops_nothing() {
    for seed in SEEDS {
        for members in [3, 5] {
            let (mut world, is_whole) = newcomer_that_crashes(seed, members, VoterRule::AsDecided);
            assert!(is_whole, "seed {seed}, {members} members: no quorum, or {:?} vote", world.voting_hosts());
            finish_served(&mut world);
        }
    }
}

#[test]
fn a_lost_voter_that_stays_when_the_newcomer_crashed_is_caught() {
    for members in [3, 5] {
        let (_, is_whole) = newcomer_that_crashes(SEEDS.start, members, VoterRule::KeepLost);
        assert!(!is_whole, "{members} members: the rule was broken, and nothing came of it");
    }
}

/// The primary ends, in order or by a loss of power, and is gone with its disk. Gives how long the others take until
/// they acknowledge a change.
fn primary_that_ends(seed: u64, members: usize, leaves: bool) -> (World, Duration) {
    let mut world = tended_world(seed, members, VoterRule::AsDecided, LeaveRule::HandOver);
    let primary = primary_of(&mut world);
    if leaves {
        world.leave(primary);
        run_until(&mut world, VOTERS_WITHIN, |world| !world.is_up(primary));
    }
    world.lose_for_good(primary);
    let gone = world.now;
    let left = without(&(0..members).collect::<Vec<_>>(), &[primary]);
    assert!(acknowledges_within(&mut world, &left, QUORUM_WITHIN), "seed {seed}, {members} members: no quorum");
    let pause = gone.until(world.now);
    (world, pause)
}

#[test]
fn a_primary_that_leaves_is_followed_at_once() {
    for seed in SEEDS {
        for members in [3, 5] {
            let (mut world, pause) = primary_that_ends(seed, members, true);
            assert!(pause <= FOLLOWED_WITHIN, "seed {seed}, {members} members: {pause:?}");
            finish_served(&mut world);
            let (_, pause) = primary_that_ends(seed, members, false);
            assert!(pause > FOLLOWED_WITHIN, "seed {seed}, {members} members: as fast without a word");
        }
    }
}

/// The checkers catch a machine that comes back under its old id with an empty disk: it votes, and has forgotten what
/// it acknowledged.
#[test]
fn a_member_that_forgets_and_keeps_its_vote_is_caught() {
    let mut world = tended_world(SEEDS.start, 3, VoterRule::AsDecided, LeaveRule::HandOver);
    let primary = primary_of(&mut world);
    let others = without(&[0, 1, 2], &[primary]);
    world.cut_apart(&others[..1]);
    world.run(Duration::from_secs(2));
    world.forget(others[1]);
    world.lose_for_good(primary);
    world.heal();
    world.start(others[1]);
    assert!(acknowledges_within(&mut world, &others, QUORUM_WITHIN), "the broken member gives no quorum");
    world.stop_clients();
    world.run(AFTERMATH);
    world.give_up_open_operations();
    let violation = check(&world.histories).expect_err("what was acknowledged is forgotten, and nobody noticed");
    println!("found: {violation:?}");
}

/// The primary is lost while another member, alone with it, holds what was acknowledged; that one is told to leave
/// before there is a new primary. Gives how its hand-over ended, and whether all of it is kept.
fn leaver_during_an_election(seed: u64, members: usize, rule: LeaveRule) -> (HandOverEnd, bool) {
    let mut world = tended_world(seed, members, VoterRule::AsDecided, rule);
    let primary = primary_of(&mut world);
    let others = without(&(0..members).collect::<Vec<_>>(), &[primary]);
    let losses = losses_borne(&world);
    let apart = draw(&mut world, &others, losses);
    let holders = without(&others, &apart);
    world.cut_apart(&apart);
    world.run(Duration::from_secs(2));
    let last = acknowledged(&mut world);
    world.heal();
    world.lose_for_good(primary);
    let moment = Duration::from_millis(world.random.below(900));
    world.run(moment);
    world.leave(holders[0]);
    run_until(&mut world, VOTERS_WITHIN, |world| !world.is_up(holders[0]));
    holders.iter().for_each(|host| world.lose_for_good(*host));
    let is_kept = apart.iter().any(|host| world.last_durable(*host) >= last);
    (world.hand_over_ends[&holders[0]], is_kept)
}

#[test]
fn a_member_that_leaves_during_an_election_takes_nothing_with_it() {
    for seed in SEEDS {
        for members in [3, 5] {
            let (end, is_kept) = leaver_during_an_election(seed, members, LeaveRule::HandOver);
            assert!(is_kept, "seed {seed}, {members} members: nobody holds what was acknowledged; {end:?}");
        }
    }
}

#[test]
fn a_member_that_does_not_wait_for_an_election_is_caught() {
    for members in [3, 5] {
        let is_lost = |seed| !leaver_during_an_election(seed, members, LeaveRule::AtOnce).1;
        assert!(SEEDS.into_iter().any(is_lost), "{members} members: the rule was broken, and nothing was lost");
    }
}

/// Nobody asks for anything while a newcomer joins and an old member leaves. Gives whether the voters are those in use
/// from then on.
fn planned_replacement_without_traffic(seed: u64, members: usize, rule: VoterRule) -> bool {
    let mut world = World::new(seed, members);
    world.voter_rule = rule;
    world.run(SETTLING);
    let newcomer = world.add_machine();
    let votes = run_until(&mut world, VOTERS_WITHIN, |world| world.voting_hosts().contains(&newcomer));
    assert!(votes, "seed {seed}, {members} members: the newcomer gets no vote");
    let leaver = draw(&mut world, &(0..members).collect::<Vec<_>>(), 1)[0];
    world.leave(leaver);
    run_until(&mut world, VOTERS_WITHIN, |world| !world.is_up(leaver));
    world.lose_for_good(leaver);
    let in_use = without(&(0..world.member_count()).collect::<Vec<_>>(), &[leaver]);
    run_until(&mut world, SETTLING, |world| world.primary().is_some());
    let end = world.now + Duration::from_secs(1);
    while world.now < end {
        world.run(STEP);
        if world.primary().is_some() && !world.voters_are(&in_use) {
            return false;
        }
    }
    true
}

#[test]
fn a_member_that_was_let_go_gets_no_vote_again_before_it_ends() {
    for seed in SEEDS {
        for members in [3, 5] {
            let is_right = planned_replacement_without_traffic(seed, members, VoterRule::AsDecided);
            assert!(is_right, "seed {seed}, {members} members: a member that left votes again");
        }
    }
}

#[test]
fn a_primary_that_forgets_who_leaves_is_caught() {
    for members in [3, 5] {
        let fails = |seed| !planned_replacement_without_traffic(seed, members, VoterRule::ForgetLeavers);
        assert!(SEEDS.into_iter().any(fails), "{members} members: the rule was broken, and nothing came of it");
    }
}
