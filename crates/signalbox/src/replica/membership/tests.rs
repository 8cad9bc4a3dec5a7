use super::hand_over::ASK_LIMIT;
use super::*;
use interlocking::zab::{Image, Timing, Voter, Zab};
use std::time::Duration;
use trackbed::clock::Moment;
use trackbed::ids::MemberId;

fn voter(id: u64, host: u8) -> Voter {
    Voter { id: MemberId(id), address: ([10, 0, 0, host], 1).into() }
}

fn voters(count: u64) -> Vec<Voter> {
    (1..=count).map(|id| voter(id, id as u8)).collect()
}

fn wanted(voters: &[Voter], learners: &[Voter], silent: &[Voter], needed: usize) -> Option<Vec<Voter>> {
    let membership = Membership { voters, learners, in_doubt: silent, silent, abandoned: &[], needed };
    wanted_voters(&membership)
}

#[test]
fn one_step_at_a_time() {
    let three = voters(3);
    let newcomer = [voter(9, 9)];
    assert_eq!(wanted(&three, &newcomer, &[], 3).unwrap().len(), 4);
    assert_eq!(wanted(&three, &newcomer, &three[..1], 3).unwrap(), three[1..].to_vec());
    // A lost disk at the same address makes way at once.
    assert_eq!(wanted(&three, &[voter(8, 2)], &[], 3).unwrap(), vec![voter(1, 1), voter(3, 3)]);
}

/// The voters left when those silent stay so for long, and nobody comes.
fn voters_after_a_cut(all: &[Voter], silent: &[Voter], needed: usize) -> Vec<Voter> {
    let mut voters = all.to_vec();
    loop {
        let still: Vec<Voter> = silent.iter().filter(|voter| voters.contains(voter)).cloned().collect();
        match wanted(&voters, &[], &still, needed) {
            Some(fewer) => voters = fewer,
            None => return voters,
        }
    }
}

#[test]
fn after_a_cut_any_majority_of_the_machines_still_is_a_quorum() {
    // Were the two that are cut off let go, the next cut could leave most machines without a quorum: with three of five
    // left as voters, two of these and the two let go would be four machines that decide nothing.
    for needed in [3, 5, 7] {
        for count in 3..=19 {
            let all = voters(count);
            for silent in 1..count as usize / 2 + 1 {
                let left = voters_after_a_cut(&all, &all[..silent], needed);
                let gone = all.len() - left.len();
                // The worst side for the next cut: a bare majority of the machines, with all that were let go.
                let voting = all.len() / 2 + 1 - gone;
                assert!(voting > left.len() / 2, "{silent} of {count} silent, {needed} needed: {gone} let go");
            }
        }
    }
}

#[test]
fn a_cut_shrinks_no_odd_set_and_none_as_large_as_needed() {
    for count in 3..=19 {
        let all = voters(count);
        for silent in 1..count as usize / 2 + 1 {
            let needed = if count % 2 == 0 { count as usize } else { 3 };
            assert_eq!(wanted(&all, &[], &all[..silent], needed), None, "{silent} of {count} silent");
        }
    }
}

#[test]
fn a_lost_voter_that_was_one_too_many_goes() {
    let four = voters(4);
    assert_eq!(wanted(&four, &[], &four[..1], 3), Some(four[1..].to_vec()));
    assert_eq!(wanted(&four, &[], &four[..1], 5), None, "as many as are needed stay");
}

#[test]
fn nobody_is_brought_in_while_the_one_to_be_replaced_is_in_doubt() {
    let three = voters(3);
    let newcomer = [voter(9, 9)];
    let in_doubt = &three[2..];
    let membership =
        Membership { voters: &three, learners: &newcomer, in_doubt, silent: &[], abandoned: &[], needed: 3 };
    // Four voters with one of them dead could bear no second loss.
    assert_eq!(wanted_voters(&membership), None);
}

#[test]
fn an_odd_set_lets_only_what_is_abandoned_for_hours_go_without_a_successor() {
    let five = voters(5);
    let membership = |abandoned| Membership {
        voters: &five,
        learners: &[],
        in_doubt: &five[..1],
        silent: &five[..1],
        abandoned,
        needed: 3,
    };
    assert_eq!(wanted_voters(&membership(&five[..1])), Some(five[1..].to_vec()));
    assert_eq!(wanted_voters(&membership(&[])), None);
    let needed = Membership { needed: 5, ..membership(&five[..1]) };
    assert_eq!(wanted_voters(&needed), None, "as many as are needed stay");
}

#[test]
fn a_member_that_leaves_is_let_go_where_the_others_need_fewer_without_it() {
    let majority = |count: usize| count / 2 + 1;
    for needed in [1, 3, 5] {
        for count in 2..=19 {
            let fewer = majority(count - 1) < majority(count);
            assert_eq!(is_dispensable(count, needed), count > needed && fewer, "{count} voters, {needed} needed");
        }
    }
}

fn start() -> Moment {
    Moment::from_micros(1_000_000)
}

fn departure(member: u64) -> Departure {
    let founders = Image::empty(MemberId(1), voters(3));
    let zab = Zab::start(founders, voter(1, 1), Timing::default(), 1, start());
    Departure::begin(&zab, MemberId(member), HAND_OVER_LIMIT, start())
}

fn state(voters: Vec<Voter>) -> DepartureState {
    DepartureState {
        is_primary: true,
        lease_holds: true,
        is_change_pending: false,
        is_durable: true,
        voters,
        needed: 3,
    }
}

#[test]
fn a_member_is_released_only_when_the_others_hold_everything() {
    let held = state(voters(3));
    assert_eq!(departure(2).decide(&held, start()), DepartureStep::Released);
    let missing = DepartureState { is_durable: false, ..held };
    assert_eq!(departure(2).decide(&missing, start()), DepartureStep::Wait);
    assert_eq!(departure(2).decide(&missing, start() + HAND_OVER_LIMIT), DepartureStep::NotReleased);
}

#[test]
fn a_dispensable_member_is_released_once_the_voters_without_it_are_committed() {
    let four = state(voters(4));
    let without = [voter(1, 1), voter(3, 3), voter(4, 4)].to_vec();
    assert_eq!(departure(2).decide(&four, start()), DepartureStep::ChangeVoters(without.clone()));
    let unsure = DepartureState { lease_holds: false, ..four.clone() };
    assert_eq!(departure(2).decide(&unsure, start()), DepartureStep::Wait);
    let deposed = DepartureState { is_primary: false, ..four };
    assert_eq!(departure(2).decide(&deposed, start()), DepartureStep::NotReleased);
    let on_the_way = DepartureState { is_change_pending: true, is_durable: false, ..state(without.clone()) };
    assert_eq!(departure(2).decide(&on_the_way, start()), DepartureStep::Wait);
    assert_eq!(departure(2).decide(&state(without), start()), DepartureStep::Released);
}

#[test]
fn a_leaving_member_turns_to_the_primary_until_its_time_is_up() {
    let leaver = voter(2, 2);
    let hand_over = HandOver::begin(leaver.id, start());
    let (limit, primary) = (HAND_OVER_LIMIT, voter(1, 1));
    // One ask takes a part of the time: the primary may be lost, and another lead by then.
    let ask = |limit| HandOverStep::AskPrimary { primary: primary.clone(), limit };
    assert!(ASK_LIMIT * 4 <= HAND_OVER_LIMIT);
    assert_eq!(hand_over.next(Some(primary.clone()), true, start()), ask(ASK_LIMIT));
    let late = start() + HAND_OVER_LIMIT - ASK_LIMIT / 2;
    assert_eq!(hand_over.next(Some(primary.clone()), true, late), ask(ASK_LIMIT / 2));
    assert_eq!(hand_over.next(Some(leaver.clone()), true, start()), HandOverStep::ReleaseHere { limit });
    assert_eq!(hand_over.next(Some(leaver.clone()), false, start()), HandOverStep::NotNeeded);
    // An election may end in time, and what was acknowledged may rest on this member's disk.
    assert_eq!(hand_over.next(None, true, start()), HandOverStep::Wait);
    assert_eq!(hand_over.next(None, false, start()), HandOverStep::NotNeeded);
    assert_eq!(hand_over.next(Some(leaver), true, start() + HAND_OVER_LIMIT), HandOverStep::GiveUp);
}

#[test]
fn a_member_that_asked_to_be_released_counts_as_leaving_until_it_is_gone() {
    let leaver = voter(2, 2);
    let mut departing = Departing::default();
    departing.note(leaver.id, start());
    assert!(departing.includes(&leaver, start() + HAND_OVER_LIMIT + Duration::from_secs(1)));
    assert!(!departing.includes(&voter(3, 3), start()));
    assert!(!departing.includes(&leaver, start() + HAND_OVER_LIMIT + Duration::from_secs(2)), "it may have begun anew");
}
