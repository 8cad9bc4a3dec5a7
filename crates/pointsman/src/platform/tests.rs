//! The node beside an endpoint that misbehaves at every place it can. Whatever is told as not run
//! must not have run, and whatever is told as answered must be that request's own answer.

use super::*;
use monoio::io::{AsyncReadRent, AsyncWriteRentExt};
use monoio::net::{TcpListener, TcpStream};
use std::collections::HashSet;
use trackbed::http::Request;
use trackbed::ids::{NodeName, ServiceName, ZoneName};
use trackbed::random::Random;

#[derive(Default)]
struct Seen {
    ran: RefCell<HashSet<String>>,
}

pub(super) fn answer(attempt: &str, body: &str, extra: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nFerryhinge-Attempt-Id: {attempt}\r\nFerryhinge-Server-Stamp: s.{attempt}\r\n{extra}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// An endpoint that serves one connection, and goes wrong in one of a dozen ways at each request.
async fn misbehave(mut stream: TcpStream, seen: Rc<Seen>, mut random: Random) {
    let mut held = Vec::new();
    let mut last: Option<String> = None;
    loop {
        let head = loop {
            if let Some(end) = held.windows(4).position(|window| window == b"\r\n\r\n") {
                break String::from_utf8_lossy(&held.drain(..end + 4).collect::<Vec<_>>()).into_owned();
            }
            let (outcome, buffer) = stream.read(Vec::with_capacity(4096)).await;
            match outcome {
                Ok(count) if count > 0 => held.extend_from_slice(&buffer),
                _ => return,
            }
        };
        let header = |name: &str| {
            let mut lines = head.lines().filter_map(|line| line.split_once(": "));
            lines.find(|(known, _)| known.eq_ignore_ascii_case(name)).map(|(_, value)| value.to_owned())
        };
        let attempt = header("ferryhinge-attempt-id").unwrap();
        assert_eq!(header("ferryhinge-expected-instance").as_deref(), Some("i-1"));
        assert_eq!(header("ferryhinge-caller-service").as_deref(), Some("caller"));
        assert!(header("ferryhinge-line-priority").is_none(), "own headers stay between own nodes");
        let body = format!("body of {attempt}");
        let whole = answer(&attempt, &body, "");
        let kind = random.below(14);
        if kind == 0 {
            return;
        }
        if kind == 1 {
            let turned = "HTTP/1.1 503 No\r\nFerryhinge-Not-Executed: 1\r\nContent-Length: 0\r\n";
            let text = format!("{turned}Ferryhinge-Attempt-Id: {attempt}\r\n\r\n");
            let _ = stream.write_all(text.into_bytes()).await;
            continue;
        }
        seen.ran.borrow_mut().insert(attempt.clone());
        let text = match kind {
            2 => return,
            3 => whole[..random.below(whole.len() as u64) as usize].to_owned(),
            4 => format!("{whole}HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc"),
            5 => answer("somebody-else", &body, ""),
            6 => "\u{1}\u{2}garbage\r\n\r\n".to_owned(),
            7 => whole.replace("Ferryhinge-Server-Stamp", "X-Other"),
            8 => answer(&attempt, &body, "Content-Length: 4\r\n"),
            9 => whole.replace("Content-Length", "X-Length"),
            10 => {
                "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n".to_owned()
                    + &format!("Ferryhinge-Attempt-Id: {attempt}\r\n\r\n")
            }
            11 => match &last {
                Some(last) => answer(last, &format!("body of {last}"), "") + &whole,
                None => whole.clone(),
            },
            _ => whole.clone(),
        };
        last = Some(attempt);
        if stream.write_all(text.into_bytes()).await.0.is_err() || matches!(kind, 3 | 5 | 6 | 9) {
            return;
        }
    }
}

pub(super) fn platform(address: SocketAddr) -> Platform {
    let platform = Platform::new(Some(address), Rc::default());
    let instance = Instance {
        id: InstanceId::new("i-1"),
        service: ServiceName::new("s"),
        address,
        zone: ZoneName::new("z"),
        node: NodeName::new("n"),
        beside: address,
        slots: 4,
        draining: false,
    };
    platform.admission.set_slots(4);
    let now = clock::now();
    *platform.life.borrow_mut() = Some(Life { instance, sequence: 1, heard: now, leaving: false, lists_keys: true });
    platform
}

pub(super) fn errand(number: usize) -> Errand {
    let attempt = format!("a{number}");
    let mut headers = http::HeaderMap::new();
    headers.insert("host", http::HeaderValue::from_static("h"));
    headers.insert("ferryhinge-attempt-id", http::HeaderValue::from_str(&attempt).unwrap());
    headers.insert("ferryhinge-line-priority", http::HeaderValue::from_static("7"));
    let now = clock::now();
    Errand {
        request: Request {
            method: http::Method::GET,
            target: format!("/x/{number}"),
            headers,
            body: Default::default(),
            keeps: true,
            from: None,
            presence: Default::default(),
        },
        attempt,
        instance: InstanceId::new("i-1"),
        caller: "caller".into(),
        priority: 1,
        repeats: true,
        planned: Default::default(),
        sort: 1,
        horizon: now + Duration::from_secs(20),
        binding: Default::default(),
        target: now + Duration::from_secs(20),
        patience: Duration::from_secs(20),
        permit: None,
        key: None,
    }
}

#[test]
fn what_is_told_of_a_request_is_true_wherever_the_endpoint_breaks() {
    let outcome = trackbed::kernel::run(async {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let seen = Rc::new(Seen::default());
        let serving = seen.clone();
        monoio::spawn(async move {
            let mut random = Random::seeded(11);
            while let Ok((stream, _)) = listener.accept().await {
                monoio::spawn(misbehave(stream, serving.clone(), Random::seeded(random.draw())));
            }
        });
        let platform = platform(address);
        let (mut answered, mut failed, mut not_run) = (0, 0, 0);
        for number in 0..1500 {
            // What it does next must not hang on what it did before.
            platform.health.start_anew();
            let errand = errand(number);
            let result = platform.run(&errand).await;
            let ran = seen.ran.borrow().contains(&errand.attempt);
            match result.outcome {
                Outcome::Answered(answer) => {
                    assert_eq!(answer.body, format!("body of {}", errand.attempt), "another request's answer");
                    assert!(ran);
                    answered += 1;
                }
                Outcome::NotExecuted | Outcome::Misdirected | Outcome::NotTaken { .. } | Outcome::NotSent => {
                    assert!(!ran, "told as not run, and it ran");
                    not_run += 1;
                }
                Outcome::Failed(_) => failed += 1,
                Outcome::OverHorizon => panic!("nothing was silent"),
            }
        }
        assert!(answered > 300 && failed > 300 && not_run > 50, "{answered} {failed} {not_run}");
    });
    outcome.unwrap();
}

#[test]
fn a_life_that_leaves_gets_nothing_and_another_life_never() {
    let outcome = trackbed::kernel::run(async {
        // Nobody listens there: an errand that went on would be told as not sent.
        let platform = platform(([127, 0, 0, 1], 1).into());
        let mut other = errand(1);
        other.instance = InstanceId::new("i-0");
        assert_matches::assert_matches!(
            platform.run(&other).await.outcome,
            Outcome::NotTaken { why: Passed::Gone, .. }
        );
        platform.life.borrow_mut().as_mut().unwrap().leaving = true;
        assert_matches::assert_matches!(
            platform.run(&errand(2)).await.outcome,
            Outcome::NotTaken { why: Passed::Gone, .. }
        );
    });
    outcome.unwrap();
}

#[test]
fn what_can_not_be_served_in_time_is_turned_away_at_once_and_short_work_goes_first() {
    let outcome = trackbed::kernel::run(async {
        let admission: Rc<Admission> = Rc::default();
        admission.set_slots(1);
        for _ in 0..200 {
            admission.measured(1, Duration::from_millis(100));
            admission.measured(2, Duration::from_millis(10));
        }
        let now = clock::now();
        let asked = |sort: u64, target_millis: u64| Errand {
            sort,
            target: now + Duration::from_millis(target_millis),
            horizon: now + Duration::from_secs(30),
            ..errand(1)
        };
        let slot = admission.admit(&asked(1, 1000).claim(), now).await.ok().unwrap();
        assert!(admission.admit(&asked(1, 120).claim(), now).await.is_err_and(|away| !away.late));
        let order: Rc<RefCell<Vec<u64>>> = Rc::default();
        let mut waiting = Vec::new();
        for sort in [1, 2] {
            let (admission, order, errand) = (admission.clone(), order.clone(), asked(sort, 5000));
            waiting.push(monoio::spawn(async move {
                let slot = admission.admit(&errand.claim(), now).await.ok().unwrap();
                order.borrow_mut().push(sort);
                drop(slot);
            }));
        }
        while admission.counts().1 < 2 {
            // A task of its own, awaited, lets those before it run.
            monoio::spawn(async {}).await;
        }
        drop(slot);
        for task in waiting {
            task.await;
        }
        assert_eq!(*order.borrow(), [2, 1]);
        assert_eq!(admission.counts(), (0, 0));
    });
    outcome.unwrap();
}

#[test]
fn a_long_answer_flows_and_holds_its_slot_and_a_cut_one_does_not_end_well() {
    let outcome = trackbed::kernel::run(async {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        const LENGTH: usize = 3 << 20;
        monoio::spawn(async move {
            for cut in [0, 1000] {
                let (mut stream, _) = listener.accept().await.unwrap();
                let (_, buffer) = stream.read(Vec::with_capacity(4096)).await;
                let text = String::from_utf8_lossy(&buffer).to_ascii_lowercase();
                let attempt = text.split("attempt-id: ").nth(1).unwrap().lines().next().unwrap().to_owned();
                let body: String = std::iter::repeat_n("0123456789abcdef", LENGTH / 16).collect();
                let whole = answer(&attempt, &body, "");
                let _ = stream.write_all(whole.as_bytes()[..whole.len() - cut].to_vec()).await;
            }
        });
        let platform = platform(address);
        for cut in [0, 1000] {
            let Outcome::Answered(mut answer) = platform.run(&errand(cut)).await.outcome else { panic!("answered") };
            let mut flow = answer.flow.take().expect("too long to be held");
            assert_eq!(flow.length() as usize, LENGTH);
            assert_eq!(platform.admission.counts().0, 1, "the endpoint is at it still");
            let mut taken = 0;
            let ended = loop {
                match flow.next().await {
                    Some(bytes) if bytes.is_empty() => break true,
                    Some(bytes) => taken += bytes.len(),
                    None => break false,
                }
            };
            assert_eq!((taken, ended), (LENGTH - cut, cut == 0));
            drop(flow);
            assert_eq!(platform.admission.counts().0, 0);
        }
    });
    outcome.unwrap();
}

#[test]
fn routes_that_can_wait_keep_to_their_slots_while_room_is_kept_and_no_longer() {
    let outcome = trackbed::kernel::run(async {
        let admission: Rc<Admission> = Rc::default();
        admission.set_slots(4);
        let now = clock::now();
        let asked = |sort: u64| Errand { sort, ..errand(1) }.claim();
        let let_in = |sort: u64| {
            let (admission, claim) = (admission.clone(), asked(sort));
            async move { admission.admit(&claim, now).await }
        };
        admission.reserve(Some((vec![7], 1)));
        let crawl = let_in(7).await.ok().unwrap();
        assert!(let_in(7).await.is_err_and(|away| !away.late), "at once, with slots free");
        // Whoever cannot be late has all that is left.
        let urgent = [let_in(1).await.ok().unwrap(), let_in(2).await.ok().unwrap(), let_in(1).await.ok().unwrap()];
        assert_eq!(admission.counts(), (4, 0));
        // One that can wait stands in the queue from before the room was kept: it is passed over.
        admission.reserve(None);
        let order: Rc<RefCell<Vec<u64>>> = Rc::default();
        let mut waiting = Vec::new();
        for sort in [7, 1] {
            let (admission, order, claim) = (admission.clone(), order.clone(), asked(sort));
            waiting.push(monoio::spawn(async move {
                let slot = admission.admit(&claim, now).await.ok().unwrap();
                order.borrow_mut().push(sort);
                slot
            }));
        }
        while admission.counts().1 < 2 {
            monoio::spawn(async {}).await;
        }
        admission.reserve(Some((vec![7], 1)));
        drop(urgent);
        while order.borrow().is_empty() {
            monoio::spawn(async {}).await;
        }
        assert_eq!((order.borrow().clone(), admission.counts()), (vec![1], (2, 1)));
        // The plan is over: it goes in.
        admission.reserve(None);
        for task in waiting {
            drop(task.await);
        }
        drop(crawl);
        assert_eq!((order.borrow().clone(), admission.counts()), (vec![1, 7], (0, 0)));
        // No share is so small that nothing goes.
        admission.reserve(Some((vec![7], 0)));
        assert!(let_in(7).await.is_ok());
    });
    outcome.unwrap();
}
