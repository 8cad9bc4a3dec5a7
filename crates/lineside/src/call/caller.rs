//! The calling side: one stream for each sibling, dialled when needed.

use super::messages::{Ask, Reply, SiblingMessage};
use derive_more::{Display, Error};
use futures_channel::oneshot;
use monoio::io::{AsyncWriteRentExt, OwnedWriteHalf, Splitable};
use monoio::net::TcpStream;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use trackbed::net::{FrameReader, StreamHandle, connect, encode_frame};

#[derive(Clone, Debug, PartialEq, Display, Error)]
pub enum CallError {
    #[display("the sibling could not be reached: the call was not sent, ask another")]
    NotSent,
    #[display("the sibling did not answer: the call may have taken effect")]
    NoReply,
}

struct Stream {
    write: RefCell<Option<OwnedWriteHalf<TcpStream>>>,
    handle: RefCell<Option<StreamHandle>>,
    outbox: RefCell<VecDeque<Vec<u8>>>,
    writing: Cell<bool>,
    waiting: RefCell<HashMap<u64, oneshot::Sender<Reply>>>,
    broken: Cell<bool>,
}

/// Calls siblings. Invariant: a stream on which a call went unanswered is broken off, so that
/// nothing held up in it takes effect later.
#[derive(Default)]
pub struct Caller {
    streams: RefCell<HashMap<SocketAddr, Rc<Stream>>>,
    next_number: Cell<u64>,
}

impl Caller {
    pub async fn call(&self, to: SocketAddr, ask: Ask, limit: Duration) -> Result<Reply, CallError> {
        let stream = self.stream(to, limit.min(Duration::from_millis(600))).await?;
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let (sender, receiver) = oneshot::channel();
        stream.waiting.borrow_mut().insert(number, sender);
        stream
            .outbox
            .borrow_mut()
            .push_back(encode_frame(&SiblingMessage::Ask { number, ask }));
        Stream::pump(&stream);
        match monoio::time::timeout(limit, receiver).await {
            Ok(Ok(reply)) => Ok(reply),
            Ok(Err(_)) => {
                self.forget(to, &stream);
                Err(CallError::NoReply)
            }
            Err(_) => {
                stream.break_off();
                self.forget(to, &stream);
                Err(CallError::NoReply)
            }
        }
    }

    fn forget(&self, to: SocketAddr, stream: &Rc<Stream>) {
        let mut streams = self.streams.borrow_mut();
        if streams.get(&to).is_some_and(|known| Rc::ptr_eq(known, stream)) {
            streams.remove(&to);
        }
    }

    async fn stream(&self, to: SocketAddr, limit: Duration) -> Result<Rc<Stream>, CallError> {
        if let Some(stream) = self.streams.borrow().get(&to).filter(|stream| !stream.broken.get()) {
            return Ok(stream.clone());
        }
        let socket = connect(to, limit).await.map_err(|_| CallError::NotSent)?;
        let (read, write) = socket.into_split();
        let stream = Rc::new(Stream {
            handle: RefCell::new(Some(StreamHandle::of(&write))),
            write: RefCell::new(Some(write)),
            outbox: RefCell::default(),
            writing: Cell::new(false),
            waiting: RefCell::default(),
            broken: Cell::new(false),
        });
        self.streams.borrow_mut().insert(to, stream.clone());
        let reading = stream.clone();
        monoio::spawn(async move {
            let mut reader = FrameReader::new(read);
            while let Ok(message) = reader.next::<SiblingMessage>().await {
                if let SiblingMessage::Reply { number, reply } = message
                    && let Some(sender) = reading.waiting.borrow_mut().remove(&number)
                {
                    let _ = sender.send(reply);
                }
            }
            reading.break_off();
        });
        Ok(stream)
    }
}

impl Stream {
    /// Everyone who waits on this stream learns that nothing will come.
    fn break_off(&self) {
        self.broken.set(true);
        self.waiting.borrow_mut().clear();
        if let Some(handle) = self.handle.borrow_mut().take() {
            handle.break_off();
        }
        self.write.borrow_mut().take();
    }

    fn pump(stream: &Rc<Stream>) {
        if stream.writing.replace(true) {
            return;
        }
        let stream = stream.clone();
        monoio::spawn(async move {
            loop {
                let mut bytes = Vec::new();
                for frame in stream.outbox.borrow_mut().drain(..) {
                    bytes.extend_from_slice(&frame);
                }
                let write = stream.write.borrow_mut().take();
                let (Some(mut write), false) = (write, bytes.is_empty()) else {
                    break;
                };
                let (outcome, _) = write.write_all(bytes).await;
                if outcome.is_err() || stream.broken.get() {
                    stream.break_off();
                    break;
                }
                *stream.write.borrow_mut() = Some(write);
                if stream.outbox.borrow().is_empty() {
                    break;
                }
            }
            stream.writing.set(false);
        });
    }
}
