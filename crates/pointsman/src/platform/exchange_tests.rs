//! What one request at an endpoint comes to when the endpoint is silent, late, or somebody else.

use super::tests::{answer, errand, platform};
use super::*;
use assert_matches::assert_matches;
use monoio::io::{AsyncReadRent, AsyncWriteRentExt};
use monoio::net::{TcpListener, TcpStream};
use std::pin::pin;
use trackbed::net::SocketExt;

const SHORT: Duration = Duration::from_millis(80);
/// A test that waits longer has failed: so many slices in which this process ran.
const LIMIT_SLICES: usize = 30;
const LIMIT_SLICE: Duration = Duration::from_millis(100);

/// What comes of some work within the limit. A time in which the whole process stood still counts as one slice.
async fn within_limit<T>(work: impl Future<Output = T>, wanted: &str) -> T {
    let mut work = pin!(work);
    for _ in 0..LIMIT_SLICES {
        if let Ok(outcome) = monoio::time::timeout(LIMIT_SLICE, &mut work).await {
            return outcome;
        }
    }
    panic!("{wanted}: nothing within the limit");
}

/// A connection as the endpoint has it.
struct Side(TcpStream);

impl Side {
    async fn accept(listener: &TcpListener) -> Self {
        Self(within_limit(listener.accept(), "a connection of its own").await.unwrap().0)
    }

    /// The id of the next request; none when the connection ends first.
    async fn next_attempt(&mut self) -> Option<String> {
        let mut text = String::new();
        while !text.ends_with("\r\n\r\n") {
            let read = self.0.read(Vec::with_capacity(4096));
            let (outcome, buffer) = within_limit(read, "a request, or the end").await;
            if !matches!(outcome, Ok(1..)) {
                return None;
            }
            text.push_str(&String::from_utf8_lossy(&buffer));
        }
        let mut lines = text.lines().filter_map(|line| line.split_once(": "));
        lines.find(|(name, _)| *name == "ferryhinge-attempt-id").map(|(_, value)| value.to_owned())
    }

    async fn send(&mut self, text: &str) {
        let _ = self.0.write_all(text.as_bytes().to_vec()).await;
    }

    async fn answer(&mut self, attempt: &str) {
        self.send(&own_answer(attempt)).await;
    }

    fn reset(self) {
        self.0.reset_on_close();
    }
}

fn own_answer(attempt: &str) -> String {
    answer(attempt, &format!("body of {attempt}"), "")
}

/// One that may run once only.
fn once(number: usize) -> Errand {
    Errand { repeats: false, ..errand(number) }
}

fn start() -> (TcpListener, Rc<Platform>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let platform = Rc::new(platform(listener.local_addr().unwrap()));
    (listener, platform)
}

fn go(platform: &Rc<Platform>, errand: Errand) -> monoio::task::JoinHandle<Outcome> {
    let platform = platform.clone();
    monoio::spawn(async move {
        platform.health.start_anew();
        platform.run(&errand).await.outcome
    })
}

fn is_own(outcome: &Outcome, number: usize) -> bool {
    matches!(outcome, Outcome::Answered(answer) if answer.body == format!("body of a{number}"))
}

#[test]
fn a_request_cut_off_right_after_it_was_written_may_have_run() {
    let ended = trackbed::kernel::run(async {
        let (listener, platform) = start();
        for number in 0..20 {
            let under_way = go(&platform, once(number));
            let mut side = Side::accept(&listener).await;
            assert_eq!(side.next_attempt().await, Some(format!("a{number}")));
            side.reset();
            assert_matches!(under_way.await, Outcome::Failed(_));
        }
        // The same over a connection that was good a moment ago.
        let under_way = go(&platform, once(50));
        let mut side = Side::accept(&listener).await;
        side.next_attempt().await;
        side.answer("a50").await;
        assert!(is_own(&under_way.await, 50));
        let under_way = go(&platform, once(51));
        assert_eq!(side.next_attempt().await.as_deref(), Some("a51"), "the connection is used again");
        side.reset();
        assert_matches!(under_way.await, Outcome::Failed(_));
    });
    ended.unwrap();
}

#[test]
fn an_endpoint_that_comes_to_after_its_caller_gave_up_answers_nobody() {
    let ended = trackbed::kernel::run(async {
        let (listener, platform) = start();
        let first = go(&platform, once(1));
        let mut stopped = Side::accept(&listener).await;
        stopped.next_attempt().await;
        stopped.answer("a1").await;
        assert!(is_own(&first.await, 1));
        let given_up = go(&platform, Errand { horizon: clock::now() + SHORT, ..once(2) });
        assert_matches!(given_up.await, Outcome::OverHorizon, "it may have run, and is not refused");
        let next = go(&platform, once(3));
        let mut fresh = Side::accept(&listener).await;
        assert_eq!(fresh.next_attempt().await.as_deref(), Some("a3"));
        // It goes on now, reads what was written to it, and answers.
        assert_eq!(stopped.next_attempt().await.as_deref(), Some("a2"));
        stopped.answer("a2").await;
        stopped.answer("a3").await;
        fresh.send(&answer("a3", "body of a3", "")).await;
        assert!(is_own(&next.await, 3));
        assert_eq!(stopped.next_attempt().await, None, "nothing more goes over that connection");
    });
    ended.unwrap();
}

#[test]
fn a_surplus_answer_is_no_other_request_s_whenever_it_comes() {
    let ended = trackbed::kernel::run(async {
        for comes_before_the_next in [true, false] {
            let (listener, platform) = start();
            let first = go(&platform, once(1));
            let mut side = Side::accept(&listener).await;
            side.next_attempt().await;
            side.answer("a1").await;
            assert!(is_own(&first.await, 1));
            if comes_before_the_next {
                side.answer("a1").await;
                monoio::time::sleep(Duration::from_millis(5)).await;
                let next = go(&platform, once(2));
                let mut fresh = Side::accept(&listener).await;
                assert_eq!(fresh.next_attempt().await.as_deref(), Some("a2"));
                fresh.answer("a2").await;
                assert!(is_own(&next.await, 2));
                continue;
            }
            let next = go(&platform, once(2));
            assert_eq!(side.next_attempt().await.as_deref(), Some("a2"));
            side.answer("a1").await;
            side.answer("a2").await;
            assert!(is_own(&next.await, 2));
            // Who sends one too many may send more.
            assert_eq!(side.next_attempt().await, None, "the connection is not used again");
        }
    });
    ended.unwrap();
}

#[test]
fn an_answer_to_another_request_is_none_even_where_it_promises_something() {
    let ended = trackbed::kernel::run(async {
        let turned_away = "HTTP/1.1 503 No\r\nFerryhinge-Not-Executed: 1\r\nContent-Length: 0\r\n\
                           Ferryhinge-Attempt-Id: somebody-else\r\n\r\n";
        let gone = turned_away.replace("503 No", "421 No");
        for text in [turned_away, &gone, &own_answer("somebody-else")] {
            let (listener, platform) = start();
            let under_way = go(&platform, once(1));
            let mut side = Side::accept(&listener).await;
            side.next_attempt().await;
            side.send(text).await;
            side.reset();
            assert_matches!(under_way.await, Outcome::Failed(_), "{text}");
        }
    });
    ended.unwrap();
}

#[test]
fn only_the_endpoint_s_own_promise_counts_as_not_run() {
    let ended = trackbed::kernel::run(async {
        let (listener, platform) = start();
        for (number, status) in [429, 503, 408, 400].into_iter().enumerate() {
            for promises in [true, false] {
                let under_way = go(&platform, once(number));
                let mut side = Side::accept(&listener).await;
                let attempt = side.next_attempt().await.unwrap();
                let promise = if promises { "Ferryhinge-Not-Executed: 1\r\n" } else { "" };
                side.send(&format!(
                    "HTTP/1.1 {status} No\r\n{promise}Ferryhinge-Attempt-Id: {attempt}\r\nConnection: close\r\n\
                     Content-Length: 0\r\n\r\n"
                ))
                .await;
                let outcome = under_way.await;
                assert_eq!(matches!(outcome, Outcome::NotExecuted), promises, "{status}: {outcome:?}");
            }
        }
    });
    ended.unwrap();
}

#[test]
fn an_address_with_a_new_owner_runs_nothing_meant_for_the_old_one() {
    let ended = trackbed::kernel::run(async {
        let (listener, platform) = start();
        let first = go(&platform, once(1));
        let mut old = Side::accept(&listener).await;
        old.next_attempt().await;
        old.answer("a1").await;
        assert!(is_own(&first.await, 1));
        // It ends with a connection kept to it; another endpoint listens there and turns away what is not its own.
        drop(old);
        monoio::time::sleep(Duration::from_millis(5)).await;
        let next = go(&platform, once(2));
        let mut new = Side::accept(&listener).await;
        assert_eq!(new.next_attempt().await.as_deref(), Some("a2"), "over a connection of its own");
        new.send("HTTP/1.1 421 No\r\nFerryhinge-Attempt-Id: a2\r\nContent-Length: 0\r\n\r\n").await;
        assert_matches!(next.await, Outcome::Misdirected);
    });
    ended.unwrap();
}

#[test]
fn answers_without_a_length_take_no_more_memory_than_there_is_for_answers() {
    const ROOM: usize = 100_000;
    const PIECE: usize = 10_000;
    let ended = trackbed::kernel::run(async {
        let (listener, platform) = start();
        platform.lines.set_answer_room(ROOM as u64);
        let head = "HTTP/1.1 200 OK\r\nFerryhinge-Attempt-Id: a1\r\nFerryhinge-Server-Stamp: s\r\n";
        let piece = format!("{PIECE:x}\r\n{}\r\n", "x".repeat(PIECE));
        for (pieces, is_held) in [(9, true), (30, false), (9, true)] {
            let under_way = go(&platform, once(1));
            let mut side = Side::accept(&listener).await;
            side.next_attempt().await;
            side.send(&format!("{head}Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n")).await;
            for _ in 0..pieces {
                side.send(&piece).await;
            }
            side.send("0\r\n\r\n").await;
            match under_way.await {
                Outcome::Answered(answer) => assert!(is_held && answer.body.len() == pieces * PIECE),
                Outcome::Failed(_) => assert!(!is_held),
                outcome => panic!("{pieces} pieces: {outcome:?}"),
            }
        }
    });
    ended.unwrap();
}
