//! Both sides of a call against peers that answer late, twice, never, or in a way unknown here.

use super::complaints::Complaints;
use super::messages::UnknownMessage;
use super::*;
use monoio::net::{TcpListener, TcpStream};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use trackbed::clock::Moment;
use trackbed::net::{FrameError, FrameReader, encode_frame};

const LIMIT: Duration = Duration::from_secs(2);
const LONGEST_FRAME: usize = 1 << 20;
const SHORT: Duration = Duration::from_millis(60);
/// The kind's byte of an ask that only a later version knows.
const LATER_ASK: u8 = 250;

fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

fn text(text: &str) -> Reply {
    Reply::Text(text.into())
}

fn forecast(service: &str) -> Ask {
    Ask::Forecast { service: Some(service.into()) }
}

/// A stream as a peer made for tests has it.
struct Side {
    reader: FrameReader<TcpStream>,
    /// The same socket once more.
    writer: std::net::TcpStream,
}

impl Side {
    fn of(stream: TcpStream) -> Self {
        use std::os::fd::{AsRawFd, BorrowedFd};
        // SAFETY: the stream is open, and the descriptor is only doubled.
        let descriptor = unsafe { BorrowedFd::borrow_raw(stream.as_raw_fd()) };
        let writer = std::net::TcpStream::from(descriptor.try_clone_to_owned().unwrap());
        Self { reader: FrameReader::new(stream), writer }
    }

    async fn accept(listener: &TcpListener) -> Self {
        Self::of(listener.accept().await.unwrap().0)
    }

    async fn dial(to: SocketAddr) -> Self {
        Self::of(trackbed::net::connect(to, LIMIT).await.unwrap())
    }

    async fn next_ask(&mut self) -> (u64, Ask) {
        match self.reader.next::<PeerMessage>().await {
            Ok(PeerMessage::Ask { number, ask }) => (number, ask),
            other => panic!("an ask: {other:?}"),
        }
    }

    async fn next_reply(&mut self) -> Option<(u64, Reply)> {
        match monoio::time::timeout(LIMIT, self.reader.next::<PeerMessage>()).await {
            Ok(Ok(PeerMessage::Reply { number, reply })) => Some((number, reply)),
            _ => None,
        }
    }

    fn send(&mut self, bytes: &[u8]) {
        use std::io::Write;
        self.writer.write_all(bytes).unwrap();
    }

    fn reply(&mut self, number: u64, reply: Reply) {
        self.send(&encode_frame(&PeerMessage::Reply { number, reply }));
    }
}

#[test]
fn a_doubled_or_surplus_reply_is_nobody_else_s() {
    let ended = trackbed::kernel::run(async {
        let (listener, address) = listen();
        monoio::spawn(async move {
            let mut side = Side::accept(&listener).await;
            loop {
                let (number, ask) = side.next_ask().await;
                let Ask::Forecast { service: Some(service) } = ask else { panic!("{ask:?}") };
                // Of calls that have ended, of calls to come, and twice.
                side.reply(number.wrapping_sub(1), text("late"));
                side.reply(number + 1000, text("of nobody"));
                side.reply(number, text(&service));
                side.reply(number, text("twice"));
            }
        });
        let caller = Caller::default();
        for round in 0..50 {
            let asked = format!("s{round}");
            let reply = caller.call(address, forecast(&asked), LIMIT).await;
            assert_eq!(reply, Ok(text(&asked)));
        }
    });
    ended.unwrap();
}

#[test]
fn a_late_reply_on_a_stream_given_up_is_not_taken_for_a_later_call_s() {
    let ended = trackbed::kernel::run(async {
        let (listener, address) = listen();
        let caller = Rc::new(Caller::default());
        let calling = caller.clone();
        let first = monoio::spawn(async move { calling.call(address, forecast("first"), SHORT).await });
        let mut old = Side::accept(&listener).await;
        let (first_number, _) = old.next_ask().await;
        assert_eq!(first.await, Err(CallError::NoReply));
        let calling = caller.clone();
        let second = monoio::spawn(async move { calling.call(address, forecast("second"), LIMIT).await });
        let mut new = Side::accept(&listener).await;
        let (second_number, _) = new.next_ask().await;
        assert_ne!(first_number, second_number, "a number belongs to one call only");
        // The peer comes to: what it says on the old stream is heard by nobody.
        use std::io::Write;
        for number in [first_number, second_number] {
            let _ = old.writer.write_all(&encode_frame(&PeerMessage::Reply { number, reply: text("old") }));
        }
        new.reply(first_number, text("late"));
        new.reply(second_number, text("new"));
        assert_eq!(second.await, Ok(text("new")));
    });
    ended.unwrap();
}

#[test]
fn a_process_stopped_before_it_wrote_an_ask_does_not_send_it_when_it_goes_on() {
    let ended = trackbed::kernel::run(async {
        let (listener, address) = listen();
        let heard: Rc<RefCell<Vec<Ask>>> = Rc::default();
        let hearing = heard.clone();
        monoio::spawn(async move {
            let mut side = Side::accept(&listener).await;
            while let Ok(PeerMessage::Ask { number, ask }) = side.reader.next::<PeerMessage>().await {
                hearing.borrow_mut().push(ask);
                side.reply(number, Reply::Done);
            }
        });
        let caller = Rc::new(Caller::default());
        assert_eq!(caller.call(address, Ask::Knock, LIMIT).await, Ok(Reply::Done));
        for lightly in [true, false] {
            let calling = caller.clone();
            let call = monoio::spawn(async move {
                match lightly {
                    true => calling.call_lightly(address, forecast("stale"), SHORT).await,
                    false => calling.call(address, forecast("stale"), SHORT).await,
                }
            });
            // Runs after the ask was pushed and before the stream's own task writes it.
            monoio::spawn(async { std::thread::sleep(SHORT * 3) }).await;
            assert!(call.await.is_err());
            assert_eq!(caller.call(address, Ask::Knock, LIMIT).await, Ok(Reply::Done));
        }
        assert_eq!(*heard.borrow(), vec![Ask::Knock; 3], "an ask was run after its caller had given up");
    });
    ended.unwrap();
}

#[test]
fn an_ask_that_never_left_is_told_as_not_sent() {
    let ended = trackbed::kernel::run(async {
        let (listener, address) = listen();
        let caller = Caller::default();
        // Fills what the peer's machine takes in without the peer.
        caller.tell(address, &PeerMessage::Zab(vec![0; 40 << 20]));
        let _held = listener.accept().await.unwrap();
        monoio::time::sleep(SHORT).await;
        let before = caller.call_lightly(address, Ask::Knock, SHORT).await;
        assert_eq!(before, Err(CallError::NoReply), "it may still leave");
        assert_eq!(caller.call(address, Ask::Knock, SHORT).await, Err(CallError::NotSent));
    });
    ended.unwrap();
}

#[test]
fn an_ask_on_a_stream_that_ends_may_have_taken_effect() {
    let ended = trackbed::kernel::run(async {
        let (listener, address) = listen();
        monoio::spawn(async move {
            loop {
                let mut side = Side::accept(&listener).await;
                let _ = side.next_ask().await;
                // The ask was read, and nothing is said of it.
                let _ = side.writer.shutdown(std::net::Shutdown::Both);
            }
        });
        let caller = Caller::default();
        for _ in 0..5 {
            assert_eq!(caller.call(address, Ask::Knock, LIMIT).await, Err(CallError::NoReply));
        }
    });
    ended.unwrap();
}

/// Never answers a forecast.
#[derive(Default)]
struct Silent {
    answered: Cell<u32>,
}

impl Answering for Silent {
    fn longest_frame(&self) -> usize {
        LONGEST_FRAME
    }

    fn on_zab(&self, _: &[u8]) {}
    fn on_release(&self, _: u64, _: u8, _: Duration) {}
    async fn answer(self: Rc<Self>, ask: Ask) -> Reply {
        if matches!(ask, Ask::Forecast { .. }) {
            monoio::time::sleep(Duration::from_secs(60)).await;
        }
        self.answered.set(self.answered.get() + 1);
        Reply::Done
    }
}

#[test]
fn bytes_that_are_no_frame_end_the_stream_at_once_and_nothing_else() {
    let ended = trackbed::kernel::run(async {
        let (listener, address) = listen();
        monoio::spawn(serve_peers(listener, Rc::new(Silent::default())));
        let knock = PeerMessage::Ask { number: 7, ask: Ask::Knock };
        let hanging = encode_frame(&PeerMessage::Ask { number: 6, ask: forecast("never") });
        let mut flipped = encode_frame(&knock);
        *flipped.last_mut().unwrap() ^= 1;
        let too_long = [0xff; 8].to_vec();
        for spoilt in [flipped, too_long] {
            let mut side = Side::dial(address).await;
            side.send(&hanging);
            side.send(&spoilt);
            // With an ask still under way the stream must not look alive.
            let ended = monoio::time::timeout(LIMIT, side.reader.next::<PeerMessage>()).await;
            assert!(matches!(ended, Ok(Err(FrameError::Closed | FrameError::Io(_)))), "{ended:?}");
        }
        let mut side = Side::dial(address).await;
        side.send(&encode_frame(&knock));
        assert_eq!(side.next_reply().await, Some((7, Reply::Done)));
    });
    ended.unwrap();
}

fn later_ask(number: u64) -> Vec<u8> {
    encode_frame(&(1u8, number, LATER_ASK))
}

#[test]
fn an_ask_of_a_later_version_is_declined_and_the_stream_goes_on() {
    let ended = trackbed::kernel::run(async {
        let (listener, address) = listen();
        let answering = Rc::new(Silent::default());
        monoio::spawn(serve_peers(listener, answering.clone()));
        let mut side = Side::dial(address).await;
        for number in 0..200 {
            side.send(&later_ask(number));
        }
        for number in 0..200 {
            let Some((told, Reply::NotNow(why))) = side.next_reply().await else { panic!("declined") };
            assert_eq!(told, number);
            assert!(why.contains("upgrade"), "{why}");
        }
        assert_eq!(answering.answered.get(), 0);
        side.send(&encode_frame(&PeerMessage::Ask { number: 300, ask: Ask::Knock }));
        assert_eq!(side.next_reply().await, Some((300, Reply::Done)));
    });
    ended.unwrap();
}

#[test]
fn a_reply_of_a_later_version_ends_its_own_call_only() {
    let ended = trackbed::kernel::run(async {
        let (listener, address) = listen();
        let caller = Rc::new(Caller::default());
        let call = |service: &'static str| {
            let caller = caller.clone();
            monoio::spawn(async move { caller.call(address, forecast(service), LIMIT).await })
        };
        let (first, second) = (call("first"), call("second"));
        let mut side = Side::accept(&listener).await;
        let (one, _) = side.next_ask().await;
        let (other, _) = side.next_ask().await;
        side.send(&encode_frame(&(2u8, one, LATER_ASK)));
        side.reply(other, text("second"));
        assert_eq!(first.await, Err(CallError::NoReply));
        assert_eq!(second.await, Ok(text("second")));
    });
    ended.unwrap();
}

#[test]
fn the_number_of_an_unknown_message_is_where_it_always_was() {
    let ask = borsh::to_vec(&PeerMessage::Ask { number: 77, ask: Ask::Knock }).unwrap();
    let reply = borsh::to_vec(&PeerMessage::Reply { number: 78, reply: Reply::Done }).unwrap();
    let zab = borsh::to_vec(&PeerMessage::Zab(vec![1; 20])).unwrap();
    assert_eq!(UnknownMessage::read(&ask), UnknownMessage::Ask(77));
    assert_eq!(UnknownMessage::read(&reply), UnknownMessage::Reply(78));
    assert_eq!(UnknownMessage::read(&zab), UnknownMessage::Other);
    assert_eq!(UnknownMessage::read(&ask[..5]), UnknownMessage::Other);
}

#[test]
fn bad_input_is_logged_at_a_bounded_rate() {
    let complaints = Complaints::default();
    let told = (0..60_000u64).filter(|millis| complaints.is_due(Moment::from_micros(millis * 1000))).count();
    assert_eq!(told, 6);
}

#[test]
fn a_stream_to_an_address_with_a_new_owner_brings_the_old_one_s_reply_to_nobody() {
    let ended = trackbed::kernel::run(async {
        let (listener, address) = listen();
        let caller = Rc::new(Caller::default());
        let calling = caller.clone();
        let first = monoio::spawn(async move { calling.call(address, forecast("for A"), LIMIT).await });
        let mut side = Side::accept(&listener).await;
        let (number, _) = side.next_ask().await;
        // A ends, with the ask unanswered; B listens there.
        drop(side);
        assert_eq!(first.await, Err(CallError::NoReply), "never sent again by itself to whoever is there now");
        let calling = caller.clone();
        let second = monoio::spawn(async move { calling.call(address, forecast("for B"), LIMIT).await });
        let mut side = Side::accept(&listener).await;
        let (next, ask) = side.next_ask().await;
        assert_eq!(ask, forecast("for B"), "what was meant for A is not sent to B");
        side.reply(number, text("to A's call"));
        side.reply(next, text("B's"));
        assert_eq!(second.await, Ok(text("B's")));
    });
    ended.unwrap();
}
