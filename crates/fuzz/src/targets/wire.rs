//! What nodes send to one another: frames, calls, datagrams and Zab's messages.

use super::Target;
use borsh::{BorshDeserialize, BorshSerialize};
use interlocking::zab::{Attempt, Entry, Envelope, Message, Payload, PollState, Voter};
use lineside::aggregation::Summary;
use lineside::call::{Ask, ControlCall, ControlReturn, PeerMessage, Permit, Reply, ShardLoad, ShardRelease};
use lineside::gossip::{Card, Datagram, Kind, Occupancy, Peer, Role, Roster, RosterTiming, Standing};
use monoio::BufResult;
use monoio::buf::{IoBufMut, IoVecBufMut};
use monoio::io::AsyncReadRent;
use std::net::SocketAddr;
use std::rc::Rc;
use timetable::configuration::Configuration;
use timetable::fleet::{ConfigChange, FleetChange, FleetNews, FleetState, Instance};
use timetable::shards::{KeyRange, ShardChange};
use trackbed::clock::Moment;
use trackbed::ids::{
    ConfigEpoch, Incarnation, InstanceId, MemberId, NodeName, RegionName, ServiceName, ZabEpoch, ZoneName, Zxid,
};
use trackbed::net::{FrameReader, encode_frame};
use trackbed::random::Random;

/// Frames taken by the reader under test, in bytes.
const LONGEST_FRAME: usize = 1 << 20;
const DATAGRAM_BYTES: usize = 4 << 10;

pub(super) fn targets() -> Vec<Target> {
    vec![
        Target::new("peer-message", encoded(&peer_messages()), read_as::<PeerMessage>),
        Target::new("frame", peer_messages().iter().map(encode_frame).collect(), read_frames),
        Target::new("summary", summaries(), read_as::<Summary>),
        Target::new("news", encoded(&news()), read_news),
        Target::new("datagram", encoded(&datagrams()), read_datagrams()),
        Target::new("zab", envelopes().iter().map(Envelope::encode).collect(), |input| drop(Envelope::decode(input))),
    ]
}

/// Whatever can be read is written as it was read.
fn read_as<T: BorshDeserialize + BorshSerialize>(input: &[u8]) {
    if let Ok(read) = T::try_from_slice(input) {
        drop(borsh::to_vec(&read));
    }
}

fn encoded<T: BorshSerialize>(values: &[T]) -> Vec<Vec<u8>> {
    values.iter().filter_map(|value| borsh::to_vec(value).ok()).collect()
}

fn address() -> SocketAddr {
    ([10, 0, 0, 1], 80).into()
}

pub(super) fn instance() -> Instance {
    Instance {
        id: InstanceId::new("i-1"),
        service: ServiceName::new("s"),
        address: address(),
        zone: ZoneName::new("z"),
        node: NodeName::new("n"),
        beside: address(),
        slots: 4,
        draining: false,
    }
}

fn peer_messages() -> Vec<PeerMessage> {
    let call = ControlCall {
        method: "PUT".into(),
        path: "/v1/cells/g.k".into(),
        query: "a=b".into(),
        if_match: Some("3".into()),
        body: "{}".into(),
    };
    let permit = Permit {
        instance: InstanceId::new("i-1"),
        priority: 1,
        sort: 5,
        horizon_millis: 100,
        target_millis: 50,
        patience_millis: 10,
        planned: Default::default(),
        hostname: "h".into(),
        prefix: "/a/".into(),
        regions: Some("r".into()),
    };
    let load = ShardLoad {
        service: ServiceName::new("s"),
        instance: InstanceId::new("i-1"),
        window_millis: 800,
        service_micros: 900,
        covered: vec![KeyRange::ALL],
        requests: vec![(1, 2), (3, 4)],
    };
    let release = ShardRelease {
        service: ServiceName::new("s"),
        owner: InstanceId::new("i-1"),
        ranges: KeyRange::new(4, 9).into_iter().map(|range| (range, "h".into())).collect(),
        seen: Zxid::new(1, 2),
    };
    let asks = vec![
        Ask::News { since: Zxid::new(1, 2), assured: true },
        Ask::Control(call),
        Ask::Permit(permit),
        Ask::Register(instance()),
        Ask::SignOff(InstanceId::new("i-1")),
        Ask::Heard { from: address(), heard: vec![1, 2, 3] },
        Ask::ShardLoad(load),
        Ask::ShardRelease(release),
        Ask::RoutesDetail { root: 5, leaves: vec![1, 2] },
        Ask::Forecast { service: Some("s".into()) },
    ];
    let replies = vec![
        Reply::News { news: news().pop(), zxid: Zxid::new(1, 2) },
        Reply::Control(ControlReturn::new(200, "{}".into())),
        Reply::Permitted { number: 7, occupancy: Some(occupancy()) },
        Reply::Text("text".into()),
    ];
    let asks = asks.into_iter().map(|ask| PeerMessage::Ask { number: 1, ask });
    let replies = replies.into_iter().map(|reply| PeerMessage::Reply { number: 1, reply });
    let rest = [PeerMessage::Zab(vec![1, 2, 3]), PeerMessage::Release { number: 1, sign: 2, span_micros: 3 }];
    asks.chain(replies).chain(rest).collect()
}

fn summaries() -> Vec<Vec<u8>> {
    let mut summary = Summary::of_a_node();
    for client in ["a", "b", "a"] {
        summary.begun(client, "s", "route");
        summary.worked("s", "route", 2, 300);
    }
    encoded(&[summary, Summary::merged()])
}

fn changes() -> Vec<FleetChange> {
    let configuration = Configuration::parse(super::documents::CONFIGURATION.as_bytes()).unwrap_or_default();
    vec![
        FleetChange::Configure { change: ConfigChange::Whole(configuration), digest: 1 },
        FleetChange::Register(instance()),
        shards(ShardChange::Grant(vec![(KeyRange::ALL, instance().id)])),
        shards(ShardChange::Revoke(KeyRange::new(4, 9).map(|range| (range, instance().id)).into_iter().collect())),
        FleetChange::End(InstanceId::new("i-2")),
    ]
}

pub(super) fn shards(change: ShardChange) -> FleetChange {
    FleetChange::Shards { service: ServiceName::new("s"), change }
}

fn fleet() -> FleetState {
    let mut fleet = FleetState::default();
    for (counter, change) in (1..).zip(changes()) {
        fleet.apply(Zxid::new(1, counter), change);
    }
    fleet
}

fn news() -> Vec<FleetNews> {
    let fleet = fleet();
    [Zxid::ZERO, Zxid::new(1, 3)]
        .into_iter()
        .filter_map(|since| fleet.news_since(since))
        .chain([fleet.whole()])
        .collect()
}

fn read_news(input: &[u8]) {
    let Ok(news) = FleetNews::try_from_slice(input) else { return };
    let mut behind = FleetState::default();
    behind.take(Zxid::ZERO, news.clone());
    go_on(behind);
    let mut other = fleet();
    other.take(other.zxid(), news.clone());
    other.replace(news);
    go_on(other);
}

/// Whatever was taken, later changes find their keys in it.
fn go_on(mut fleet: FleetState) {
    let place = Zxid::new(u64::MAX >> 32, 1);
    if place > fleet.zxid() {
        fleet.apply(place, shards(ShardChange::Revoke(vec![(KeyRange::ALL, instance().id)])));
    }
    for (_, map) in fleet.sharded() {
        let _ = map.owner_of(u16::MAX);
    }
}

fn occupancy() -> Occupancy {
    Occupancy { instance: InstanceId::new("i-1"), running: 1, queued: 2, slots: 4, service_micros: 5, closed: false }
}

fn peer(name: &str, role: Role) -> Peer {
    Peer {
        name: NodeName::new(name),
        incarnation: Incarnation(1),
        role,
        address: address(),
        zone: ZoneName::new("z"),
        region: RegionName::new("r"),
    }
}

fn datagrams() -> Vec<Datagram> {
    let card = |name: &str| Card { peer: peer(name, Role::Beside), standing: Standing::Alive };
    let datagram = |kind| Datagram {
        from: card("a"),
        fleet: Zxid::new(1, 2),
        configuration: ConfigEpoch(3),
        roster: 4,
        occupancy: Some(occupancy()),
        kind,
        news: vec![card("b"), Card { standing: Standing::Suspect, ..card("c") }],
    };
    vec![datagram(Kind::Ping { number: 1 })]
}

/// One roster hears them all.
fn read_datagrams() -> impl FnMut(&[u8]) {
    let seed = Random::seeded(1);
    let mut now = Moment::from_micros(1_000_000);
    let me = peer("me", Role::Core);
    let mut roster = Roster::new(me.clone(), vec![address()], RosterTiming::default(), seed.clone(), now);
    let mut heard = 0u32;
    move |input| {
        let input = &input[..input.len().min(DATAGRAM_BYTES)];
        let Ok(datagram) = Datagram::try_from_slice(input) else { return };
        now = now + std::time::Duration::from_millis(1);
        roster.receive(address(), datagram, now);
        roster.tick(now);
        heard += 1;
        if heard.is_multiple_of(500) {
            roster = Roster::new(me.clone(), vec![address()], RosterTiming::default(), seed.clone(), now);
        }
    }
}

fn envelopes() -> Vec<Envelope> {
    let voter = Voter { id: MemberId(1), address: address() };
    let attempt = Attempt { life: 1, number: 2 };
    let epoch = ZabEpoch(1);
    let entry = |counter| Entry { zxid: Zxid::new(1, counter), payload: Payload::Change(vec![1, 2]) };
    let voters = Entry { zxid: Zxid::new(1, 9), payload: Payload::Voters(vec![voter.clone()]) };
    let (previous, upto) = (Zxid::new(1, 1), Zxid::ZERO);
    let messages = vec![
        Message::Poll { promised: epoch, current: epoch, last: upto, state: PollState::Following(voter.clone()) },
        Message::Propose { attempt, epoch, previous, entries: vec![entry(2), entry(3), voters], upto },
        Message::Ping { attempt, epoch, stamp: 5, upto, last: previous },
    ];
    messages.into_iter().map(|message| Envelope { from: voter.clone(), to: MemberId(2), message }).collect()
}

/// Bytes as a stream gives them.
struct Stream {
    bytes: Rc<[u8]>,
    taken: usize,
}

impl AsyncReadRent for Stream {
    async fn read<T: IoBufMut>(&mut self, mut buffer: T) -> BufResult<usize, T> {
        let rest = &self.bytes[self.taken..];
        let count = rest.len().min(buffer.bytes_total());
        // SAFETY: `count` bytes fit into the buffer, and are set before it is said to hold them.
        unsafe {
            std::ptr::copy_nonoverlapping(rest.as_ptr(), buffer.write_ptr(), count);
            buffer.set_init(count);
        }
        self.taken += count;
        (Ok(count), buffer)
    }

    async fn readv<T: IoVecBufMut>(&mut self, buffer: T) -> BufResult<usize, T> {
        (Err(std::io::ErrorKind::Unsupported.into()), buffer)
    }
}

fn read_frames(input: &[u8]) {
    let stream = Stream { bytes: input.into(), taken: 0 };
    let outcome = trackbed::kernel::run(async move {
        let mut reader = FrameReader::new(stream).with_longest(LONGEST_FRAME);
        while reader.next::<PeerMessage>().await.is_ok() {}
    });
    drop(outcome);
}
