//! The answering side.

use super::complaints::Complaints;
use super::messages::{Ask, PeerMessage, Reply, UnknownMessage};
use monoio::io::{AsyncWriteRentExt, OwnedWriteHalf, Splitable};
use monoio::net::{TcpListener, TcpStream};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use trackbed::net::{FrameError, FrameReader, SocketExt, StreamHandle, encode_frame};

pub trait Answering: 'static {
    /// The longest message that is taken, in bytes.
    fn longest_frame(&self) -> usize;
    /// A message of Zab, in order with those before it on the same stream.
    fn on_zab(&self, bytes: &[u8]);
    /// A slot given out comes back.
    fn on_release(&self, number: u64, sign: u8, span: Duration);
    fn answer(self: Rc<Self>, ask: Ask) -> impl Future<Output = Reply>;
}

#[derive(Default)]
struct Outbox {
    frames: RefCell<Vec<u8>>,
    write: RefCell<Option<OwnedWriteHalf<TcpStream>>>,
    pumping: Cell<bool>,
}

/// Accepts peers for ever.
pub async fn serve_peers<A: Answering>(listener: TcpListener, answering: Rc<A>) {
    let complaints = Rc::new(Complaints::default());
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                stream.prepare();
                let (answering, complaints) = (answering.clone(), complaints.clone());
                monoio::spawn(async move { serve_peer(stream, answering, complaints).await });
            }
            Err(error) => {
                log::warn!("accepting a peer failed ({error}): tried again shortly");
                monoio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

/// Serves a stream until it ends or can't be understood. Then it is broken off both ways: a caller whose
/// asks nobody reads any more must not wait for answers.
async fn serve_peer<A: Answering>(stream: TcpStream, answering: Rc<A>, complaints: Rc<Complaints>) {
    let (read, write) = stream.into_split();
    let handle = StreamHandle::of(&write);
    let outbox = Rc::new(Outbox { write: RefCell::new(Some(write)), ..Outbox::default() });
    let mut reader = FrameReader::new(read).with_longest(answering.longest_frame());
    loop {
        match reader.next::<PeerMessage>().await {
            Ok(PeerMessage::Reply { .. }) => break,
            Ok(message) => take_message(message, &answering, &outbox),
            Err(error) => {
                complaints.tell_of_stream(&error);
                let FrameError::Unknown { body } = error else { break };
                decline_unknown(&body, &outbox);
            }
        }
    }
    handle.break_off();
}

fn take_message<A: Answering>(message: PeerMessage, answering: &Rc<A>, outbox: &Rc<Outbox>) {
    match message {
        PeerMessage::Zab(bytes) => answering.on_zab(&bytes),
        PeerMessage::Ask { number, ask } => {
            let (answering, outbox) = (answering.clone(), outbox.clone());
            monoio::spawn(async move {
                let reply = answering.answer(ask).await;
                outbox.send(&PeerMessage::Reply { number, reply }).await;
            });
        }
        PeerMessage::Release { number, sign, span_micros } => {
            answering.on_release(number, sign, Duration::from_micros(span_micros as u64))
        }
        PeerMessage::Reply { .. } => {}
    }
}

/// An ask that this version doesn't know was not carried out, and its asker is told so.
fn decline_unknown(body: &[u8], outbox: &Rc<Outbox>) {
    if let UnknownMessage::Ask(number) = UnknownMessage::read(body) {
        let outbox = outbox.clone();
        let reply = Reply::NotNow("this node runs an earlier version, which doesn't know this call: upgrade it".into());
        monoio::spawn(async move { outbox.send(&PeerMessage::Reply { number, reply }).await });
    }
}

impl Outbox {
    async fn send(&self, message: &PeerMessage) {
        self.frames.borrow_mut().extend_from_slice(&encode_frame(message));
        self.pump().await;
    }

    async fn pump(&self) {
        if self.pumping.replace(true) {
            return;
        }
        loop {
            let bytes = std::mem::take(&mut *self.frames.borrow_mut());
            let write = self.write.borrow_mut().take();
            let (Some(mut write), false) = (write, bytes.is_empty()) else {
                break;
            };
            if write.write_all(bytes).await.0.is_err() {
                return;
            }
            *self.write.borrow_mut() = Some(write);
            if self.frames.borrow().is_empty() {
                break;
            }
        }
        self.pumping.set(false);
    }
}
