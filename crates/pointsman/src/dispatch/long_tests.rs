//! Two nodes on one loop: what goes from one to the other, and when.

use super::direct::deliver_long;
use super::{Errand, Outcome, Passed};
use crate::node::test_node::start;
use crate::platform::{Claim, Life, Permits};
use assert_matches::assert_matches;
use lineside::call::{Permit, Reply};
use monoio::io::{AsyncReadRent, AsyncWriteRentExt};
use monoio::net::{TcpListener, TcpStream};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use timetable::configuration::{Configuration, Route};
use timetable::fleet::Instance;
use trackbed::clock;
use trackbed::http::Request;
use trackbed::ids::{InstanceId, NodeName, ServiceName, ZoneName};

const BODY: usize = 60 << 10;

/// Answers every request, and counts the bytes of bodies.
async fn endpoint(mut stream: TcpStream, bytes: Rc<Cell<usize>>) {
    let mut held: Vec<u8> = Vec::new();
    loop {
        let (outcome, buffer) = stream.read(vec![0u8; 64 << 10]).await;
        let Ok(count @ 1..) = outcome else { return };
        held.extend_from_slice(&buffer[..count]);
        let Some(head) = held.windows(4).position(|window| window == b"\r\n\r\n") else { continue };
        let text = String::from_utf8_lossy(&held[..head]).to_ascii_lowercase();
        let field =
            |name: &str| text.lines().find_map(|line| line.strip_prefix(name)).map(str::trim).unwrap_or("").to_owned();
        let length: usize = field("content-length:").parse().unwrap_or(0);
        if held.len() < head + 4 + length {
            continue;
        }
        bytes.set(bytes.get() + length);
        assert!(field("ferryhinge-line-permit:").is_empty(), "own headers go to no endpoint");
        let answer = format!(
            "HTTP/1.1 200 OK\r\nFerryhinge-Attempt-Id: {}\r\nFerryhinge-Server-Stamp: x\r\nContent-Length: 2\r\n\r\nok",
            field("ferryhinge-attempt-id:")
        );
        held.drain(..head + 4 + length);
        if stream.write_all(answer.into_bytes()).await.0.is_err() {
            return;
        }
    }
}

fn errand(number: usize) -> Errand {
    let attempt = format!("a{number}");
    let mut headers = http::HeaderMap::new();
    headers.insert("host", http::HeaderValue::from_static("h"));
    headers.insert("ferryhinge-attempt-id", http::HeaderValue::from_str(&attempt).unwrap());
    let now = clock::now();
    let request = Request {
        method: http::Method::POST,
        target: "/up/1".into(),
        headers,
        body: vec![7u8; BODY].into(),
        keeps: true,
        from: None,
        presence: Default::default(),
    };
    Errand {
        request,
        attempt,
        instance: InstanceId::new("i-1"),
        caller: "s".into(),
        priority: 1,
        repeats: false,
        planned: Default::default(),
        sort: 1,
        horizon: now + Duration::from_secs(20),
        binding: Default::default(),
        target: now + Duration::from_secs(20),
        patience: Duration::from_millis(5),
        permit: None,
        key: None,
    }
}

fn route() -> Rc<Route> {
    let text = r#"{"version":"r1","routes":{"up":{"hostname":"h","path_prefix":"/up/","route_type":"upload","timeout_s":20,
        "service_name":"s"}},"services":{"s":{}}}"#;
    Configuration::parse(text.as_bytes()).unwrap().typed().unwrap().find("h", "/up/1").unwrap().clone()
}

#[test]
fn a_long_body_goes_only_where_a_slot_was_given() {
    let block = (std::process::id() % 250) as u8;
    let ended = trackbed::kernel::run(async {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (sender, receiver) = (start(block, 1, None), start(block, 2, Some(address)));
        let bytes = Rc::new(Cell::new(0));
        let counted = bytes.clone();
        monoio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                monoio::spawn(endpoint(stream, counted.clone()));
            }
        });
        let beside: SocketAddr = ([127, 77, block, 2], 8146).into();
        let home = receiver.roster.borrow().me().address;
        let life = Life {
            instance: Instance {
                id: InstanceId::new("i-1"),
                service: ServiceName::new("s"),
                address,
                zone: ZoneName::new("z"),
                node: NodeName::new("n2"),
                beside,
                slots: 1,
                draining: false,
            },
            sequence: 1,
            heard: clock::now(),
            leaving: false,
            lists_keys: true,
        };
        *receiver.platform.life.borrow_mut() = Some(life);
        receiver.platform.admission.set_slots(1);
        let claim = Claim {
            priority: 1,
            sort: 1,
            horizon: clock::now() + Duration::from_secs(9),
            target: clock::now() + Duration::from_secs(9),
            patience: Duration::from_secs(9),
        };
        let Ok(taken) = receiver.platform.admission.admit(&claim, clock::now()).await else { panic!("a slot is free") };
        let route = route();
        let refused = deliver_long(&sender, home, beside, &route, &errand(1)).await;
        assert_matches!(refused.outcome, Outcome::NotTaken { why: Passed::Busy, .. });
        assert!(sender.peers.take(beside, clock::now(), Duration::from_secs(9)).is_none(), "the body was sent in vain");
        drop(taken);

        // With a slot it goes there, and the slot comes back.
        let result = deliver_long(&sender, home, beside, &route, &errand(2)).await;
        assert_matches!(result.outcome, Outcome::Answered(answer) if answer.status == 200);
        assert_eq!(bytes.get(), BODY);
        assert!(sender.peers.take(beside, clock::now(), Duration::from_secs(9)).is_some(), "it went to the other node");
        assert_eq!(receiver.platform.admission.counts(), (0, 0), "the slot is back");

        // A slot that was given is redeemed once, and one that was not is given back by a word or with the horizon.
        let permit = Permit {
            instance: InstanceId::new("i-1"),
            priority: 1,
            sort: 1,
            horizon_millis: 5000,
            target_millis: 5000,
            patience_millis: 5,
            planned: Default::default(),
            hostname: "h".into(),
            prefix: "/up/".into(),
            regions: None,
        };
        let ask = || receiver.permits.ask(&receiver, permit.clone());
        let Reply::Permitted { number, .. } = ask().await else { panic!("a slot is free") };
        assert_matches!(ask().await, Reply::NotTaken { gone: false, .. });
        let slot = receiver.permits.redeem(number, &receiver.platform);
        assert!(slot.is_some() && receiver.permits.redeem(number, &receiver.platform).is_none());
        receiver.permits.release(number, None, Duration::ZERO);
        assert_eq!(receiver.platform.admission.counts().0, 1, "a late word gives nothing back twice");
        drop(slot);
        let Reply::Permitted { number, .. } = ask().await else { panic!("a slot is free") };
        assert!(receiver.permits.redeem(number, &sender.platform).is_none(), "another endpoint's");
        assert_eq!(receiver.platform.admission.counts().0, 0);
        assert_eq!(bytes.get(), BODY, "no more than the one that had a slot");

        // What is told of an earlier process's slot gives none of this one's back.
        let earlier = Permits::default();
        let Reply::Permitted { number: old, .. } = earlier.ask(&receiver, permit.clone()).await else { panic!("free") };
        drop(earlier);
        let later = Permits::default();
        let Reply::Permitted { number, .. } = later.ask(&receiver, permit.clone()).await else { panic!("free") };
        later.release(old, None, Duration::ZERO);
        assert_eq!(receiver.platform.admission.counts().0, 1, "a slot of an earlier process was given back");
        later.release(number, None, Duration::ZERO);
        assert_eq!(receiver.platform.admission.counts().0, 0);
    });
    ended.unwrap();
}
