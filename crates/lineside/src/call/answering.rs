//! The answering side.

use super::messages::{Ask, PeerMessage, Reply};
use monoio::io::{AsyncWriteRentExt, OwnedWriteHalf, Splitable};
use monoio::net::{TcpListener, TcpStream};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use trackbed::net::{FrameReader, SocketExt, encode_frame};

pub trait Answering: 'static {
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
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                stream.prepare();
                let answering = answering.clone();
                monoio::spawn(async move { serve_peer(stream, answering).await });
            }
            Err(error) => {
                log::warn!("accepting a peer failed ({error}): tried again shortly");
                monoio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

async fn serve_peer<A: Answering>(stream: TcpStream, answering: Rc<A>) {
    let (read, write) = stream.into_split();
    let outbox = Rc::new(Outbox { write: RefCell::new(Some(write)), ..Outbox::default() });
    let mut reader = FrameReader::new(read);
    while let Ok(message) = reader.next::<PeerMessage>().await {
        match message {
            PeerMessage::Zab(bytes) => answering.on_zab(&bytes),
            PeerMessage::Ask { number, ask } => {
                let (answering, outbox) = (answering.clone(), outbox.clone());
                monoio::spawn(async move {
                    let reply = answering.answer(ask).await;
                    let frame = encode_frame(&PeerMessage::Reply { number, reply });
                    outbox.frames.borrow_mut().extend_from_slice(&frame);
                    outbox.pump().await;
                });
            }
            PeerMessage::Release { number, sign, span_micros } => {
                answering.on_release(number, sign, Duration::from_micros(span_micros as u64))
            }
            PeerMessage::Reply { .. } => return,
        }
    }
}

impl Outbox {
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
