use super::*;

const SPAN: u64 = 30_000;

#[test]
fn a_seed_gives_one_plan_within_its_span() {
    for mix in Mix::ALL {
        for seed in 0..20 {
            let steps = plan(mix, 3, seed, SPAN);
            assert_eq!(steps, plan(mix, 3, seed, SPAN));
            assert!(steps.iter().all(|due| due.at < SPAN), "{mix:?} {seed}");
            assert_eq!(steps.is_empty(), mix == Mix::Busy, "{mix:?} {seed}");
        }
    }
}

#[test]
fn freezes_of_several_nodes_overlap() {
    let mut most = 0;
    for seed in 0..20 {
        let mut frozen: i32 = 0;
        for due in plan(Mix::Freezes, 3, seed, SPAN) {
            frozen += if due.step == Step::Freeze { 1 } else { -1 };
            most = most.max(frozen);
        }
    }
    assert_eq!(most, 3);
}

#[test]
fn no_more_disks_are_lost_than_may_be() {
    for seed in 0..20 {
        let lost = plan(Mix::All, 5, seed, SPAN).iter().filter(|due| due.step == Step::StartEmpty).count();
        assert_eq!(lost, 2);
    }
}
