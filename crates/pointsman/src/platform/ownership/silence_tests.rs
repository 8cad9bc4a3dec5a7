//! When the keys of a silent endpoint are free.

use super::super::tests::{node_beside, revoke};
use super::*;
use crate::dispatch::Errand;
use crate::platform::tests::errand;
use monoio::net::TcpListener;
use trackbed::ids::InstanceId;

const ROUNDS: usize = 8;
/// The deadline of what it was at, and some looks.
const LONGEST_WAIT_ROUNDS: usize = 20;

async fn look_once(node: &Rc<Pointsman>, life: &Life) {
    watch(node, life, clock::now());
    monoio::time::sleep(LOOK_EVERY + Duration::from_millis(20)).await;
}

fn has_freed(node: &Pointsman) -> bool {
    !node.platform.ownership.released.borrow().is_empty()
}

/// Guards against keys with two holders where an endpoint that has all its connections refuses two looks after a late
/// heartbeat.
#[test]
fn a_full_endpoint_with_a_late_heartbeat_keeps_its_keys() {
    let ended = trackbed::kernel::run(async {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let node = node_beside(31, address);
        let life =
            Life { heard: clock::now() - Duration::from_secs(30), ..node.platform.life.borrow().clone().unwrap() };
        revoke(&node, &life.instance.id);
        let horizon = clock::now() + Duration::from_secs(4);
        let slow = Errand { horizon, repeats: false, instance: InstanceId::new("i-1"), ..errand(1) };
        let platform = node.platform.clone();
        let under_way = monoio::spawn(async move { platform.run(&slow).await.outcome });
        let (accepted, _) = listener.accept().await.unwrap();
        // As full as can be: the one connection that it accepts is in use.
        drop(listener);
        for _ in 0..ROUNDS {
            look_once(&node, &life).await;
        }
        assert!(!has_freed(&node), "it is at work, by a connection that is open");
        drop(accepted);
        under_way.await;
        let mut rounds = 0;
        while !has_freed(&node) && rounds < LONGEST_WAIT_ROUNDS {
            look_once(&node, &life).await;
            rounds += 1;
        }
        assert!(has_freed(&node), "its process is over");
    });
    ended.unwrap();
}
