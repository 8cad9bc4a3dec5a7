//! What the node beside an endpoint of a divided service answers to its heartbeats.

use super::*;
use crate::dispatch::{Errand, Outcome, Passed};
use crate::node::test_node::start;
use crate::platform::Life;
use crate::platform::tests::errand;
use assert_matches::assert_matches;
use std::net::SocketAddr;
use timetable::configuration::Configuration;
use timetable::fleet::{Beat, Instance};
use timetable::fleet::{ConfigChange, FleetChange};
use timetable::shards::{ShardChange, fence_at};
use trackbed::ids::{InstanceId, NodeName, ZoneName};

const CONFIGURATION: &str = r#"{"version":"r1","routes":{"a":{"hostname":"h","path_prefix":"/a/","route_type":"idempotent",
    "timeout_s":1,"service_name":"s"}},"services":{"s":{"sharded":true,"grants":"heartbeat"}}}"#;

fn instance(index: u16) -> Instance {
    let address: SocketAddr = ([127, 0, 0, 1], index).into();
    Instance {
        id: InstanceId::new(&format!("i-{index}")),
        service: ServiceName::new("s"),
        address,
        zone: ZoneName::new("z"),
        node: NodeName::new("n1"),
        beside: address,
        slots: 4,
        draining: false,
    }
}

fn beat(index: u16) -> Beat {
    let cold = Duration::ZERO;
    Beat { instance: instance(index), sequence: 1, cold, holds: Vec::new(), lists_keys: true, released: Vec::new() }
}

/// A node that knows the endpoint at an address, which holds some keys.
pub(super) fn node_beside(host: u8, address: SocketAddr) -> Rc<Pointsman> {
    let node = start((std::process::id() % 250) as u8, host, Some(address));
    let instance = Instance { address, ..instance(1) };
    let configuration = Configuration::parse(CONFIGURATION.as_bytes()).unwrap();
    let grant = ShardChange::Grant(vec![(range(0, 999), instance.id.clone())]);
    let changes = [
        FleetChange::Configure { change: ConfigChange::Whole(configuration), digest: 1 },
        FleetChange::Register(instance.clone()),
        FleetChange::Shards { service: ServiceName::new("s"), change: grant },
    ];
    for (index, change) in changes.into_iter().enumerate() {
        node.fleet.borrow_mut().apply(Zxid::new(1, index as u64 + 1), change);
    }
    node.platform.admission.set_slots(instance.slots);
    let heard = clock::now();
    let life = Life { instance, sequence: 1, heard, leaving: false, lists_keys: true };
    *node.platform.life.borrow_mut() = Some(life);
    node
}

/// Has what an endpoint holds revoked.
pub(super) fn revoke(node: &Pointsman, id: &InstanceId) {
    let change = ShardChange::Revoke(vec![(range(0, 999), id.clone())]);
    let change = FleetChange::Shards { service: ServiceName::new("s"), change };
    node.fleet.borrow_mut().apply(Zxid::new(1, 4), change);
}

fn range(first: u16, last: u16) -> KeyRange {
    KeyRange::new(first, last).unwrap()
}

/// A node that knows of two endpoints, and that the keys are shared between them.
fn node(host: u8) -> Rc<Pointsman> {
    let node = start((std::process::id() % 250) as u8, host, None);
    let configuration = Configuration::parse(CONFIGURATION.as_bytes()).unwrap();
    let grant =
        ShardChange::Grant(vec![(range(0, 999), InstanceId::new("i-1")), (range(1000, 65535), InstanceId::new("i-2"))]);
    let changes = [
        FleetChange::Configure { change: ConfigChange::Whole(configuration), digest: 1 },
        FleetChange::Register(instance(1)),
        FleetChange::Register(instance(2)),
        FleetChange::Shards { service: ServiceName::new("s"), change: grant },
    ];
    for (index, change) in changes.into_iter().enumerate() {
        node.fleet.borrow_mut().apply(Zxid::new(1, index as u64 + 1), change);
    }
    node.platform.ownership.is_divided.set(true);
    node
}

#[test]
fn an_endpoint_is_told_what_it_holds_only_while_a_primary_s_word_is_fresh() {
    let ended = trackbed::kernel::run(async {
        let node = node(21);
        let ownership = &node.platform.ownership;
        let now = clock::now() + Duration::from_secs(60);
        assert_eq!(answer_to(&node, &beat(1), now), "{}", "nobody vouched for this state");
        assert!(ownership.may_hold(5, now), "nothing was told yet: the endpoint knows better");
        ownership.vouched.set(Some(now - Duration::from_secs(3)));
        let fence = fence_at(Zxid::new(1, 4));
        assert_eq!(answer_to(&node, &beat(1), now), format!("{{\"holds\":[[0,999,{fence},\"\"]],\"hold_s\":6.800}}"));
        assert!(ownership.may_hold(999, now) && !ownership.may_hold(1000, now));
        let over = now + Duration::from_millis(6801);
        assert!(!ownership.may_hold(999, over), "its time is over");
        assert_eq!(answer_to(&node, &beat(1), over), "{}", "the word is too old to renew by");
        let leaving = Beat { instance: Instance { draining: true, ..instance(1) }, ..beat(1) };
        assert_eq!(answer_to(&node, &leaving, now), "{\"holds\":[],\"hold_s\":6.800}", "it lets go of all");
        assert!(!ownership.may_hold(5, now));
    });
    ended.unwrap();
}

#[test]
fn a_handover_goes_along_until_the_endpoint_has_it_and_another_life_holds_nothing() {
    let ended = trackbed::kernel::run(async {
        let node = node(22);
        let ownership = &node.platform.ownership;
        let service = ServiceName::new("s");
        let steps = [
            ShardChange::Revoke(vec![(range(1000, 1999), InstanceId::new("i-2"))]),
            ShardChange::Released {
                owner: InstanceId::new("i-2"),
                ranges: vec![(range(1000, 1999), "h7".into())],
                seen: Zxid::new(1, 5),
            },
            ShardChange::Grant(vec![(range(1000, 1999), InstanceId::new("i-1"))]),
        ];
        for (index, change) in steps.into_iter().enumerate() {
            let change = FleetChange::Shards { service: service.clone(), change };
            node.fleet.borrow_mut().apply(Zxid::new(1, index as u64 + 5), change);
        }
        let now = clock::now() + Duration::from_secs(60);
        ownership.vouched.set(Some(now));
        let fence = fence_at(Zxid::new(1, 7));
        assert!(answer_to(&node, &beat(1), now).contains(&format!("[1000,1999,{fence},\"h7\"]")));
        let holds = vec![(range(1000, 1999), fence)];
        let has_it = Beat { holds, ..beat(1) };
        assert!(answer_to(&node, &has_it, now).contains(&format!("[1000,1999,{fence},\"\"]")));
        ownership.start_anew();
        assert!(!ownership.may_hold(1500, now));
    });
    ended.unwrap();
}

/// Guards against a request that reaches an endpoint whose key was given away while the request waited for a slot.
#[test]
fn a_request_that_waited_for_a_slot_goes_only_to_a_holder_of_its_key() {
    let ended = trackbed::kernel::run(async {
        let listener = monoio::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let node = node_beside(23, listener.local_addr().unwrap());
        let ownership = &node.platform.ownership;
        ownership.is_divided.set(true);
        node.platform.admission.set_slots(1);
        let held = vec![(range(0, 999), clock::now() + Duration::from_secs(60))];
        *ownership.granted.borrow_mut() = Some(held);
        let horizon = clock::now() + Duration::from_secs(20);
        let mut under_way = Vec::new();
        for number in 0..2 {
            let platform = node.platform.clone();
            let errand =
                Errand { horizon, target: horizon, key: Some(7), instance: InstanceId::new("i-1"), ..errand(number) };
            let errand = Errand { patience: Duration::from_secs(20), ..errand };
            under_way.push(monoio::spawn(async move { platform.run(&errand).await.outcome }));
        }
        let (first, _) = listener.accept().await.unwrap();
        monoio::time::sleep(Duration::from_millis(50)).await;
        assert_eq!(node.platform.admission.counts().1, 1, "the second one waits");
        *ownership.granted.borrow_mut() = Some(Vec::new());
        drop(first);
        let second = under_way.pop().unwrap().await;
        assert_matches!(second, Outcome::NotTaken { why: Passed::NotHeld, .. });
    });
    ended.unwrap();
}
