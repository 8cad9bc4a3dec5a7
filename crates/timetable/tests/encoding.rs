//! What stands on disks and goes between members is encoded as it was when the collections were the standard ones.

use borsh::{BorshDeserialize, BorshSerialize};
use std::collections::{BTreeMap, VecDeque};
use timetable::configuration::Configuration;
use timetable::fleet::{
    Charter, ConfigChange, FleetChange, FleetSnapshot, FleetSnapshotBeforeEvacuations, FleetSnapshotBeforeShards,
    FleetState, Instance, Member,
};
use timetable::shards::{KeyRange, ShardChange, ShardMap};
use trackbed::ids::{ConfigEpoch, InstanceId, NodeName, RegionName, ServiceName, ZoneName, Zxid};

type Texts = BTreeMap<String, String>;

/// A configuration as its fields were derived before.
#[derive(Debug, PartialEq, BorshSerialize, BorshDeserialize)]
struct PlainConfiguration {
    epoch: ConfigEpoch,
    routes: Texts,
    services: Texts,
    tenants: Texts,
    others: Texts,
}

/// The fleet's snapshot as its fields were derived before.
#[derive(Debug, PartialEq, BorshSerialize, BorshDeserialize)]
struct PlainSnapshot {
    zxid: Zxid,
    configuration: Option<PlainConfiguration>,
    instances: BTreeMap<InstanceId, Instance>,
    ended: VecDeque<InstanceId>,
    taken: VecDeque<(ConfigEpoch, u128)>,
    charters: BTreeMap<RegionName, Charter>,
    shards: BTreeMap<ServiceName, ShardMap>,
    /// A mark, and each evacuated zone.
    evacuations: (u64, BTreeMap<ZoneName, Zxid>),
}

/// Stands before the evacuated zones.
const EVACUATIONS: u64 = 0x5a6f_6e65_732d_4f75;
/// Bytes of no evacuations, and of no holders of keys.
const NO_EVACUATIONS_BYTES: usize = 12;
const NO_SHARDS_BYTES: usize = 4;

const ROUTE: &str = r#"{"hostname":"h","path_prefix":"/a/","route_type":"upload","timeout_s":1,"service_name":"s"}"#;

fn texts(items: &[(&str, &str)]) -> Texts {
    items.iter().map(|(name, text)| ((*name).to_owned(), (*text).to_owned())).collect()
}

fn plain_configuration() -> PlainConfiguration {
    PlainConfiguration {
        epoch: ConfigEpoch(7),
        routes: texts(&[("a", ROUTE), ("ä \"b\"", &ROUTE.replace("/a/", "/b"))]),
        services: texts(&[("s", "{}"), ("t", r#"{"max_connections":3}"#)]),
        tenants: texts(&[("x", r#"{"regions":["r1"]}"#)]),
        others: texts(&[("extra", "[1]"), ("limits", r#"{"max_body_bytes":9}"#)]),
    }
}

fn configuration() -> Configuration {
    borsh::from_slice::<Configuration>(&borsh::to_vec(&plain_configuration()).unwrap()).unwrap().checked().unwrap()
}

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

fn member() -> Member {
    Member { node: NodeName::new("n"), life: 3, address: ([10, 0, 0, 1], 9).into() }
}

#[test]
fn configurations_are_encoded_as_their_texts_by_name() {
    let plain = borsh::to_vec(&plain_configuration()).unwrap();
    assert_eq!(borsh::to_vec(&configuration()).unwrap(), plain);
    let parsed = Configuration::parse(configuration().to_json().as_bytes()).unwrap();
    assert_eq!(borsh::to_vec(&parsed).unwrap(), plain);
    let change = FleetChange::Configure { change: ConfigChange::Whole(configuration()), digest: 5 };
    let mut expected = vec![0, 0];
    expected.extend(&plain);
    expected.extend(5u128.to_le_bytes());
    assert_eq!(borsh::to_vec(&change).unwrap(), expected);
    for length in 0..plain.len() {
        assert!(borsh::from_slice::<Configuration>(&plain[..length]).is_err());
    }
}

#[test]
fn snapshots_are_encoded_as_maps_and_queues() {
    let mut state = FleetState::default();
    let mut plain = PlainSnapshot {
        zxid: Zxid::new(1, 1200),
        configuration: Some(plain_configuration()),
        instances: BTreeMap::from([(InstanceId::new("i9"), instance("i9", 9))]),
        ended: (175..1199).map(|counter| InstanceId::new(&format!("e{counter}"))).collect(),
        taken: VecDeque::from([(ConfigEpoch(7), 1), (ConfigEpoch(7), 2), (ConfigEpoch(7), 1)]),
        charters: BTreeMap::new(),
        shards: BTreeMap::new(),
        evacuations: (EVACUATIONS, BTreeMap::new()),
    };
    for (counter, digest) in [(1, 1), (2, 2), (3, 1)] {
        let change = ConfigChange::Whole(configuration());
        state.apply(Zxid::new(1, counter), FleetChange::Configure { change, digest });
    }
    for counter in 4..1199 {
        state.apply(Zxid::new(1, counter), FleetChange::End(InstanceId::new(&format!("e{counter}"))));
    }
    state.apply(Zxid::new(1, 1199), FleetChange::Register(instance("i9", 9)));
    let region = RegionName::new("r");
    let council = FleetChange::Council { region: region.clone(), members: vec![member()] };
    state.apply(Zxid::new(1, 1200), council);
    let charter =
        Charter { region: region.clone(), zxid: Zxid::new(1, 1200), members: vec![member()], before: Vec::new() };
    plain.charters.insert(region, charter);
    // What stood on disks before there were evacuations is a snapshot without the last field, and before keys had holders
    // without the last two. Both are still read, and never taken for a snapshot of now.
    let mut before = borsh::to_vec(state.snapshot()).unwrap();
    before.truncate(before.len() - NO_EVACUATIONS_BYTES);
    let read: FleetSnapshotBeforeEvacuations = borsh::from_slice(&before).unwrap();
    assert_eq!(&FleetSnapshot::from(read), state.snapshot());
    assert!(borsh::from_slice::<FleetSnapshot>(&before).is_err());
    before.truncate(before.len() - NO_SHARDS_BYTES);
    let read: FleetSnapshotBeforeShards = borsh::from_slice(&before).unwrap();
    assert_eq!(&FleetSnapshot::from(read), state.snapshot());
    let change = ShardChange::Grant(vec![(KeyRange::ALL, InstanceId::new("i9"))]);
    let mut map = ShardMap::default();
    map.apply(Zxid::new(1, 1201), &change);
    state.apply(Zxid::new(1, 1201), FleetChange::Shards { service: ServiceName::new("s"), change });
    state.apply(Zxid::new(1, 1202), FleetChange::Evacuate(ZoneName::new("z")));
    state.apply(Zxid::new(1, 1203), FleetChange::Evacuate(ZoneName::new("y")));
    state.apply(Zxid::new(1, 1204), FleetChange::EndEvacuation(ZoneName::new("y")));
    plain.zxid = Zxid::new(1, 1204);
    map.revoke_all(&InstanceId::new("i9"), Zxid::new(1, 1202));
    plain.evacuations.1.insert(ZoneName::new("z"), Zxid::new(1, 1202));
    plain.shards.insert(ServiceName::new("s"), map);
    let bytes = borsh::to_vec(state.snapshot()).unwrap();
    assert_eq!(borsh::from_slice::<PlainSnapshot>(&bytes).unwrap(), plain);
    assert_eq!(borsh::to_vec(&plain).unwrap(), bytes);
    let snapshot: FleetSnapshot = borsh::from_slice(&bytes).unwrap();
    let again = FleetState::from_snapshot(snapshot);
    assert_eq!(again.snapshot(), state.snapshot());
    assert!(again.is_evacuated(&ZoneName::new("z")) && !again.is_evacuated(&ZoneName::new("y")));
    assert!(again.has_taken(2) && again.has_ended(&InstanceId::new("e175")));
    assert!(!again.has_taken(3) && !again.has_ended(&InstanceId::new("e174")));
    assert_eq!(again.routes().unwrap().digest(), state.routes().unwrap().digest());
}
