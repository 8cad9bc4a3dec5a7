//! What a go at another node comes to when that node is silent, late, reset, or answers twice.

use super::pool::Pool;
use super::remote::deliver;
use super::{Errand, Outcome, Passed};
use assert_matches::assert_matches;
use monoio::io::{AsyncReadRent, AsyncWriteRentExt};
use monoio::net::{TcpListener, TcpStream};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use trackbed::clock;
use trackbed::http::{Pacer, Request};
use trackbed::ids::InstanceId;
use trackbed::net::SocketExt;

const SHORT: Duration = Duration::from_millis(80);
const IDLE: Duration = Duration::from_secs(9);

fn errand(attempt: &str, span: Duration) -> Errand {
    let mut headers = http::HeaderMap::new();
    headers.insert("ferryhinge-attempt-id", http::HeaderValue::from_str(attempt).unwrap());
    let horizon = clock::now() + span;
    let request = Request {
        method: http::Method::GET,
        target: "/x".into(),
        headers,
        body: Default::default(),
        keeps: true,
        from: None,
        presence: Default::default(),
    };
    Errand {
        request,
        attempt: attempt.to_owned(),
        instance: InstanceId::new("i-1"),
        caller: "s".into(),
        priority: 1,
        repeats: false,
        planned: Default::default(),
        sort: 1,
        horizon,
        binding: Default::default(),
        target: horizon,
        patience: span,
        permit: None,
        key: None,
    }
}

fn told(attempt: &str, word: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nferryhinge-line-outcome: {word}\r\nferryhinge-attempt-id: {attempt}\r\n\
         content-length: {}\r\n\r\n{attempt}",
        attempt.len()
    )
}

/// The peer, and this node's connections to it.
struct Ends {
    listener: TcpListener,
    address: SocketAddr,
    pool: Rc<Pool>,
}

impl Ends {
    fn new() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        Self { listener, address, pool: Rc::default() }
    }

    fn go(&self, errand: Errand) -> monoio::task::JoinHandle<Outcome> {
        let (pool, address) = (self.pool.clone(), self.address);
        monoio::spawn(async move { deliver(&pool, &Pacer::default(), address, &errand).await.outcome })
    }

    async fn accept(&self) -> TcpStream {
        let accepted = monoio::time::timeout(IDLE, self.listener.accept()).await;
        accepted.expect("a connection of its own").unwrap().0
    }

    fn has_kept_one(&self) -> bool {
        self.pool.take(self.address, clock::now(), IDLE).is_some()
    }
}

async fn read_request(stream: &mut TcpStream) -> String {
    let (outcome, buffer) = stream.read(Vec::with_capacity(4096)).await;
    outcome.unwrap();
    String::from_utf8(buffer).unwrap()
}

async fn send(stream: &mut TcpStream, text: String) {
    let _ = stream.write_all(text.into_bytes()).await;
}

#[test]
fn a_peer_reset_after_the_request_was_written_may_have_passed_it_on() {
    let ended = trackbed::kernel::run(async {
        let ends = Ends::new();
        let under_way = ends.go(errand("a1", IDLE));
        let mut peer = ends.accept().await;
        read_request(&mut peer).await;
        peer.reset_on_close();
        drop(peer);
        assert_matches!(under_way.await, Outcome::Failed(_));
        assert!(!ends.has_kept_one());
    });
    ended.unwrap();
}

#[test]
fn a_peer_that_comes_to_late_answers_nobody() {
    let ended = trackbed::kernel::run(async {
        let ends = Ends::new();
        let under_way = ends.go(errand("a1", SHORT));
        let mut stopped = ends.accept().await;
        assert_matches!(under_way.await, Outcome::OverHorizon);
        let next = ends.go(errand("a2", IDLE));
        let mut fresh = ends.accept().await;
        assert!(read_request(&mut fresh).await.contains("a2"));
        // It reads the request still, and what it says of it goes nowhere.
        assert!(read_request(&mut stopped).await.contains("a1"));
        send(&mut stopped, told("a1", "answered") + &told("a2", "answered")).await;
        send(&mut fresh, told("a2", "busy")).await;
        assert_matches!(next.await, Outcome::NotTaken { why: Passed::Busy, .. });
    });
    ended.unwrap();
}

#[test]
fn a_peer_s_answer_to_another_request_tells_nothing() {
    let ended = trackbed::kernel::run(async {
        for word in ["answered", "not-sent", "busy", "not-executed", "gone"] {
            let ends = Ends::new();
            let under_way = ends.go(errand("a1", IDLE));
            let mut peer = ends.accept().await;
            read_request(&mut peer).await;
            send(&mut peer, told("a0", word)).await;
            assert_matches!(under_way.await, Outcome::Failed(_), "{word}");
            assert!(!ends.has_kept_one());
        }
        // Neither does a word that isn't known here, nor an answer with none.
        for text in [told("a1", "of-a-later-version"), told("a1", "x").replace("line-outcome", "other")] {
            let ends = Ends::new();
            let under_way = ends.go(errand("a1", IDLE));
            let mut peer = ends.accept().await;
            read_request(&mut peer).await;
            send(&mut peer, text).await;
            assert_matches!(under_way.await, Outcome::Failed(_));
        }
    });
    ended.unwrap();
}

#[test]
fn a_connection_with_an_answer_too_many_is_not_used_again() {
    let ended = trackbed::kernel::run(async {
        for is_late in [false, true] {
            let ends = Ends::new();
            let under_way = ends.go(errand("a1", IDLE));
            let mut peer = ends.accept().await;
            read_request(&mut peer).await;
            let surplus = told("a1", "not-sent");
            send(&mut peer, told("a1", "answered") + if is_late { "" } else { &surplus }).await;
            assert_matches!(under_way.await, Outcome::Answered(answer) if answer.body == "a1");
            if is_late {
                send(&mut peer, surplus).await;
                monoio::time::sleep(Duration::from_millis(5)).await;
            }
            assert!(!ends.has_kept_one(), "late: {is_late}");
        }
    });
    ended.unwrap();
}

#[test]
fn only_what_was_never_written_counts_as_not_sent() {
    let ended = trackbed::kernel::run(async {
        let ends = Ends::new();
        assert_matches!(ends.go(errand("a1", Duration::ZERO)).await, Outcome::NotSent);
        let Ends { listener, address, pool } = ends;
        drop(listener);
        let nobody = deliver(&pool, &Pacer::default(), address, &errand("a2", IDLE)).await;
        assert_matches!(nobody.outcome, Outcome::NotSent);
    });
    ended.unwrap();
}
