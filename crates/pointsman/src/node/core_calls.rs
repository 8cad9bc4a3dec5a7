//! Calls to the control plane, at whichever core node answers.

use super::Pointsman;
use lineside::call::{Ask, Reply};
use lineside::gossip::Role;
use std::net::SocketAddr;
use std::time::Duration;
use trackbed::clock;

/// How long one core node may take before the next is asked.
const ONE_LIMIT: Duration = Duration::from_millis(420);

/// Core nodes, the nearest first, then the seeds.
pub fn cores(node: &Pointsman) -> Vec<SocketAddr> {
    let config = node.live.get();
    let roster = node.roster.borrow();
    let mut alive: Vec<(bool, SocketAddr)> =
        roster.alive(Role::Core).map(|peer| (peer.zone != config.zone, peer.address)).collect();
    alive.sort();
    let mut cores: Vec<SocketAddr> = alive.into_iter().map(|(_, address)| address).collect();
    for seed in &config.seeds {
        let address = SocketAddr::new(seed.ip(), config.core_port());
        if !cores.contains(&address) {
            cores.push(address);
        }
    }
    cores
}

/// Asks until somebody answers for sure or the time is over. Only for asks that may be made twice.
pub async fn ask_core(node: &Pointsman, ask: Ask, limit: Duration) -> Option<Reply> {
    let end = clock::now() + limit;
    loop {
        for core in cores(node) {
            let left = clock::now().until(end);
            if left.is_zero() {
                return None;
            }
            let one = ONE_LIMIT.min(left);
            let reply = match &ask {
                Ask::News { .. } | Ask::Whole => node.caller.call_for_much(core, ask.clone(), one).await,
                _ => node.caller.call(core, ask.clone(), one).await,
            };
            match reply {
                Ok(Reply::NotNow(_) | Reply::Unknown) | Err(_) => {}
                Ok(reply) => return Some(reply),
            }
        }
        if clock::now() + Duration::from_millis(60) >= end {
            return None;
        }
        monoio::time::sleep(Duration::from_millis(50)).await;
    }
}
