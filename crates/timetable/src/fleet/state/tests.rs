//! The fleet's state under random changes, and news of them.

use super::*;
use trackbed::ids::{NodeName, ZoneName};

fn instance(id: &str, port: u16) -> Instance {
    Instance {
        id: InstanceId::new(id),
        service: ServiceName::new("s"),
        address: ([10, 0, 0, 1], port).into(),
        zone: ZoneName::new("z"),
        node: NodeName::new("n"),
        beside: ([10, 0, 0, 1], 9).into(),
        slots: 4,
        draining: false,
    }
}

#[test]
fn an_address_holds_one_life_and_the_ended_stay_ended() {
    let mut state = FleetState::default();
    state.apply(Zxid::new(1, 1), FleetChange::Register(instance("a", 80)));
    state.apply(Zxid::new(1, 2), FleetChange::Register(instance("b", 80)));
    assert!(state.instance(&InstanceId::new("a")).is_none());
    assert!(state.has_ended(&InstanceId::new("a")));
    assert_eq!(state.serving(&ServiceName::new("s")).len(), 1);
}

#[test]
fn news_bring_any_node_to_the_same_state() {
    let mut random = trackbed::random::Random::seeded(5);
    let mut ahead = FleetState::default();
    let mut behind = vec![FleetState::default(); 4];
    for counter in 1..1500 {
        let id = format!("i{}", random.below(30));
        let change = match random.below(3) {
            0 => FleetChange::End(InstanceId::new(&id)),
            _ => FleetChange::Register(instance(&id, random.below(20) as u16)),
        };
        ahead.apply(Zxid::new(1 + counter / 700, counter), change);
        for state in &mut behind {
            if random.chance(0.02) {
                let since = state.zxid();
                let before = since;
                let source = if random.chance(0.5) { ahead.clone() } else { state.clone() };
                if let Some(news) = source.news_since(since) {
                    state.take(since, news);
                }
                assert!(state.zxid() >= before, "states only move on");
            }
        }
    }
    for mut state in behind {
        let since = state.zxid();
        if let Some(news) = ahead.news_since(since) {
            assert!(state.take(since, news));
        }
        assert_eq!(state.snapshot(), ahead.snapshot());
    }
}
