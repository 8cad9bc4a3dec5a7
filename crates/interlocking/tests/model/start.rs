//! The deterministic run to the state that a search begins with.

use crate::cluster::{Cluster, Step};
use crate::member::{Host, is_poll, transfers_history};
use crate::scenario::{FOUNDERS, Scenario, Start};

/// More steps than any start needs.
const PATIENCE: usize = 2_000;

pub fn initial(scenario: &Scenario) -> Cluster {
    let has_learner = matches!(scenario.start, Start::CaughtUpLearner | Start::VoterAdded);
    let hosts = if has_learner { FOUNDERS + 1 } else { FOUNDERS };
    let mut cluster = Cluster::new(hosts, scenario.disk, scenario.fault);
    match scenario.start {
        Start::Cold => {}
        Start::Synchronising => synchronise(&mut cluster),
        Start::OneHistorySent => {
            synchronise(&mut cluster);
            cluster.keep_messages(transfers_history);
        }
        Start::Established => establish(&mut cluster),
        Start::PrimaryCutOff => cut_off_primary(&mut cluster),
        Start::FollowersElecting => elect_without_primary(&mut cluster),
        Start::Interrupted => interrupt(&mut cluster),
        Start::VoterAdded => add_voter(&mut cluster),
        Start::CaughtUpLearner => catch_up(&mut cluster),
    }
    cluster.reset_bounds();
    cluster
}

fn catch_up(cluster: &mut Cluster) {
    establish(cluster);
    settle(cluster, |cluster| cluster.primary().is_some_and(|primary| cluster.member(primary).has_caught_up_learner()));
    drain(cluster);
}

fn add_voter(cluster: &mut Cluster) {
    const UNAWARE: Host = 1;
    catch_up(cluster);
    let primary = cluster.primary().expect("established");
    cluster.apply(&Step::ChangeVoters(primary));
    cluster.cut_off(UNAWARE);
    drain(cluster);
    for host in (0..cluster.hosts()).filter(|host| *host != UNAWARE) {
        cluster.apply(&Step::Restart { host, kept: 0 });
    }
    // They hear of one another, and choose.
    cluster.apply(&Step::ADVANCE);
    drain(cluster);
    cluster.apply(&Step::ADVANCE);
    cluster.keep_messages(|message| !is_poll(message));
}

fn synchronise(cluster: &mut Cluster) {
    settle(cluster, |cluster| cluster.network().iter().any(|packet| transfers_history(&packet.envelope.message)));
    cluster.keep_messages(|message| !is_poll(message));
}

fn establish(cluster: &mut Cluster) {
    settle(cluster, |cluster| cluster.lease_holder().is_some());
    drain(cluster);
    let primary = cluster.lease_holder().expect("settled so");
    cluster.apply(&Step::Propose(primary));
    settle(cluster, all_delivered);
    settle(cluster, |cluster| cluster.lease_holder().is_some());
    drain(cluster);
}

fn all_delivered(cluster: &Cluster) -> bool {
    (0..FOUNDERS).all(|host| !cluster.member(host).delivered.is_empty())
}

fn cut_off_primary(cluster: &mut Cluster) {
    establish(cluster);
    // A heartbeat that is answered: the lease is as fresh as it can be.
    cluster.apply(&Step::ADVANCE);
    drain(cluster);
    cluster.apply(&Step::ADVANCE);
    cluster.keep_messages(|_| false);
}

fn elect_without_primary(cluster: &mut Cluster) {
    cut_off_primary(cluster);
    let primary = cluster.primary().expect("its patience is not over");
    cluster.apply(&Step::ADVANCE);
    cluster.cut_off(primary);
    drain(cluster);
    cluster.apply(&Step::ADVANCE);
    cluster.cut_off(primary);
    cluster.keep_messages(|message| !is_poll(message));
}

fn interrupt(cluster: &mut Cluster) {
    establish(cluster);
    let primary = cluster.primary().expect("established");
    cluster.apply(&Step::Propose(primary));
    let acknowledged = cluster.acknowledged();
    settle(cluster, |cluster| cluster.acknowledged() > acknowledged);
    cluster.keep_messages(|_| false);
    for host in [primary, 0] {
        let kept = cluster.member(host).pending_writes();
        cluster.apply(&Step::Restart { host, kept });
    }
}

/// Lets everything under way arrive, so that all members have the same.
fn drain(cluster: &mut Cluster) {
    settle(cluster, |cluster| next_without_clock(cluster).is_none());
    let fault_free = cluster.violation().is_none();
    assert!(fault_free, "the run to the start keeps the properties");
}

fn settle(cluster: &mut Cluster, reached: impl Fn(&Cluster) -> bool) {
    for _ in 0..PATIENCE {
        if reached(cluster) {
            return;
        }
        let step = next_without_clock(cluster).unwrap_or(Step::ADVANCE);
        cluster.apply(&step);
    }
    panic!("the start was not reached");
}

fn next_without_clock(cluster: &Cluster) -> Option<Step> {
    let writing = (0..cluster.hosts()).find(|host: &Host| cluster.member(*host).pending_writes() > 0);
    let write = writing.map(Step::DiskCompletes);
    write.or_else(|| cluster.network().first().cloned().map(Step::Deliver))
}
