//! The calling side: one stream for each peer, dialled when needed.

use super::complaints::Complaints;
use super::messages::{Ask, PeerMessage, Reply, UnknownMessage};
use derive_more::{Display, Error};
use futures_channel::oneshot;
use monoio::io::{AsyncWriteRentExt, OwnedReadHalf, OwnedWriteHalf, Splitable};
use monoio::net::TcpStream;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use trackbed::clock::{self, Moment};
use trackbed::net::{FrameError, FrameReader, StreamHandle, Tally, connect, encode_frame};

const DIAL_LIMIT: Duration = Duration::from_millis(500);
/// How many times its limit a long reply may take while it keeps coming.
const LONG_REPLIES: u32 = 20;
const OUTBOX_BYTES: usize = 48 << 20;

#[derive(Clone, Debug, PartialEq, Display, Error)]
pub enum CallError {
    #[display("the peer could not be reached: the call was not sent, ask another")]
    NotSent,
    #[display("the peer did not answer: the call may have taken effect")]
    NoReply,
}

type Waiting = HashMap<u64, oneshot::Sender<Result<Reply, CallError>>>;

/// An ask on its way, while it can still be taken back.
struct Unsent {
    number: u64,
    /// Nobody waits for its reply after this.
    until: Moment,
}

struct Outgoing {
    frame: Vec<u8>,
    ask: Option<Unsent>,
}

/// Invariant: frames leave in the order in which they were pushed, or the stream is broken.
#[derive(Default)]
struct Stream {
    write: RefCell<Option<OwnedWriteHalf<TcpStream>>>,
    handle: RefCell<Option<StreamHandle>>,
    outbox: RefCell<VecDeque<Outgoing>>,
    outbox_bytes: Cell<usize>,
    pumping: Cell<bool>,
    waiting: RefCell<Waiting>,
    broken: Cell<bool>,
    /// Bytes read so far.
    received: RefCell<Rc<Cell<u64>>>,
    tally: Rc<Cell<Tally>>,
    complaints: Rc<Complaints>,
}

/// Calls peers. Invariant: a stream on which a call went unanswered is broken off, so that
/// nothing held up in it takes effect later.
#[derive(Default)]
pub struct Caller {
    streams: RefCell<HashMap<SocketAddr, Rc<Stream>>>,
    next_number: Cell<u64>,
    tally: Rc<Cell<Tally>>,
    complaints: Rc<Complaints>,
}

impl Caller {
    pub async fn call(&self, to: SocketAddr, ask: Ask, limit: Duration) -> Result<Reply, CallError> {
        self.call_with(to, ask, limit, 1).await
    }

    /// For what takes back by itself whatever it did: a call that goes unanswered leaves the stream as it is.
    pub async fn call_lightly(&self, to: SocketAddr, ask: Ask, limit: Duration) -> Result<Reply, CallError> {
        let stream = self.stream(to);
        let (number, receiver) = self.push_ask(&stream, ask, limit);
        Stream::pump(&stream, to);
        match monoio::time::timeout(limit, receiver).await {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(_)) => Err(CallError::NoReply),
            Err(_) => {
                stream.waiting.borrow_mut().remove(&number);
                Err(CallError::NoReply)
            }
        }
    }

    fn push_ask(
        &self,
        stream: &Stream,
        ask: Ask,
        limit: Duration,
    ) -> (u64, oneshot::Receiver<Result<Reply, CallError>>) {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let (sender, receiver) = oneshot::channel();
        stream.waiting.borrow_mut().insert(number, sender);
        let unsent = Unsent { number, until: clock::now() + limit };
        stream.push(encode_frame(&PeerMessage::Ask { number, ask }), Some(unsent));
        (number, receiver)
    }

    /// For what may be long: the limit is on silence, and all of it may take many times as long.
    pub async fn call_for_much(&self, to: SocketAddr, ask: Ask, limit: Duration) -> Result<Reply, CallError> {
        self.call_with(to, ask, limit, LONG_REPLIES).await
    }

    async fn call_with(&self, to: SocketAddr, ask: Ask, limit: Duration, patience: u32) -> Result<Reply, CallError> {
        let stream = self.stream(to);
        let (_, mut receiver) = self.push_ask(&stream, ask, limit);
        Stream::pump(&stream, to);
        for _ in 0..patience {
            let before = stream.received.borrow().get();
            match monoio::time::timeout(limit, &mut receiver).await {
                Ok(Ok(outcome)) => return outcome,
                Ok(Err(_)) => return Err(CallError::NoReply),
                // A long reply on a narrow way is waited for while it keeps coming.
                Err(_) if stream.received.borrow().get() > before => {}
                Err(_) => break,
            }
        }
        stream.break_off(CallError::NoReply);
        // Told by now, as all who waited on the stream: not sent, if it was still here.
        receiver.await.unwrap_or(Err(CallError::NoReply))
    }

    /// Sends without waiting. What is told to a peer that can't be reached is lost.
    pub fn tell(&self, to: SocketAddr, message: &PeerMessage) {
        let stream = self.stream(to);
        stream.push(encode_frame(message), None);
        if stream.outbox_bytes.get() > OUTBOX_BYTES {
            stream.break_off(CallError::NoReply);
        } else {
            Stream::pump(&stream, to);
        }
    }

    /// What was sent over streams dialled here. Bytes read are those of whole replies.
    pub fn tally(&self) -> Tally {
        self.tally.get()
    }

    fn stream(&self, to: SocketAddr) -> Rc<Stream> {
        let mut streams = self.streams.borrow_mut();
        if let Some(stream) = streams.get(&to).filter(|stream| !stream.broken.get()) {
            return stream.clone();
        }
        let stream =
            Rc::new(Stream { tally: self.tally.clone(), complaints: self.complaints.clone(), ..Stream::default() });
        streams.insert(to, stream.clone());
        stream
    }
}

impl Stream {
    fn push(&self, frame: Vec<u8>, ask: Option<Unsent>) {
        self.outbox_bytes.set(self.outbox_bytes.get() + frame.len());
        let mut tally = self.tally.get();
        tally.sent += 1;
        tally.sent_bytes += frame.len() as u64;
        self.tally.set(tally);
        self.outbox.borrow_mut().push_back(Outgoing { frame, ask });
    }

    fn settle(&self, number: u64, outcome: Result<Reply, CallError>) {
        let sender = self.waiting.borrow_mut().remove(&number);
        if let Some(sender) = sender {
            let _ = sender.send(outcome);
        }
    }

    /// All that is to be written next. An ask whose time ran out here, as in a process that was stopped,
    /// must not take effect behind its asker's back.
    fn take_outbox(&self) -> Vec<u8> {
        let now = clock::now();
        let mut bytes = Vec::new();
        for Outgoing { frame, ask } in self.outbox.borrow_mut().drain(..) {
            match ask {
                Some(ask) if ask.until <= now => self.settle(ask.number, Err(CallError::NotSent)),
                _ => bytes.extend_from_slice(&frame),
            }
        }
        self.outbox_bytes.set(0);
        bytes
    }

    /// Everyone who waits on this stream learns that nothing will come. What has not left the outbox never will.
    fn break_off(&self, error: CallError) {
        self.broken.set(true);
        for Outgoing { ask, .. } in self.outbox.borrow_mut().drain(..) {
            if let Some(ask) = ask {
                self.settle(ask.number, Err(CallError::NotSent));
            }
        }
        for (_, sender) in self.waiting.borrow_mut().drain() {
            let _ = sender.send(Err(error.clone()));
        }
        if let Some(handle) = self.handle.borrow_mut().take() {
            handle.break_off();
        }
        self.write.borrow_mut().take();
    }

    async fn dial(stream: &Rc<Stream>, to: SocketAddr) -> bool {
        let Ok(socket) = connect(to, DIAL_LIMIT).await else {
            stream.break_off(CallError::NotSent);
            return false;
        };
        if stream.broken.get() {
            return false;
        }
        let (read, write) = socket.into_split();
        *stream.handle.borrow_mut() = Some(StreamHandle::of(&write));
        *stream.write.borrow_mut() = Some(write);
        let reading = stream.clone();
        monoio::spawn(async move {
            let mut reader = FrameReader::new(read);
            *reading.received.borrow_mut() = reader.received();
            reading.read_replies(&mut reader).await;
            reading.break_off(CallError::NoReply);
        });
        true
    }

    async fn read_replies(&self, reader: &mut FrameReader<OwnedReadHalf<TcpStream>>) {
        let received = reader.received();
        let mut counted = 0;
        loop {
            let message = reader.next::<PeerMessage>().await;
            let mut tally = self.tally.get();
            tally.received += message.is_ok() as u64;
            tally.received_bytes += received.get() - counted;
            counted = received.get();
            self.tally.set(tally);
            match message {
                Ok(PeerMessage::Reply { number, reply }) => self.settle(number, Ok(reply)),
                Ok(_) => {}
                Err(error) => {
                    self.complaints.tell_of_stream(&error);
                    let FrameError::Unknown { body } = error else { return };
                    if let UnknownMessage::Reply(number) = UnknownMessage::read(&body) {
                        self.settle(number, Err(CallError::NoReply));
                    }
                }
            }
        }
    }

    fn pump(stream: &Rc<Stream>, to: SocketAddr) {
        if stream.pumping.replace(true) {
            return;
        }
        let stream = stream.clone();
        monoio::spawn(async move {
            let dialled = stream.handle.borrow().is_some() || Self::dial(&stream, to).await;
            while dialled && !stream.broken.get() {
                let bytes = stream.take_outbox();
                if bytes.is_empty() {
                    break;
                }
                let write = stream.write.borrow_mut().take();
                let Some(mut write) = write else { break };
                let (outcome, _) = write.write_all(bytes).await;
                if outcome.is_err() {
                    stream.break_off(CallError::NoReply);
                } else if !stream.broken.get() {
                    *stream.write.borrow_mut() = Some(write);
                }
            }
            stream.pumping.set(false);
        });
    }
}
