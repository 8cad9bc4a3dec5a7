//! A door: accepts connections and has a handler answer what comes in on them.

use super::door::{DoorError, DoorLimits};
use super::flow::Flow;
use super::head::Request;
use super::line::Line;
use super::pace::Pacer;
use super::returns::Return;
use crate::net::SocketExt;
use http::Method;
use monoio::net::{TcpListener, TcpStream};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::poll_fn;
use std::net::IpAddr;
use std::pin::pin;
use std::rc::Rc;
use std::task::{Poll, Waker};
use std::time::Duration;

/// What stands behind a door.
pub trait Handler: 'static {
    /// What the door takes of the next request.
    fn limits(&self) -> DoorLimits;
    /// `None` breaks the connection off: no answer can be given that says what happened.
    fn handle(self: Rc<Self>, request: Request) -> impl Future<Output = Option<Return>>;
    /// How long answers go out.
    fn pacer(&self) -> Option<&Pacer> {
        None
    }
    /// What to say of a request that is under way when the process ends. Whether it ran is not known.
    fn cut_short(&self) -> Return {
        Return::text(504, "this process ends before the request did: whether it ran is not known here")
    }
    /// What to say of a request that could not be read.
    fn turned_away(&self, status: u16, reason: &'static str) -> Return {
        Return::text(status, reason)
    }
}

/// How a door stands, for an orderly end.
#[derive(Default)]
pub struct Serving {
    /// Connections now open.
    pub open: Cell<usize>,
    /// Requests read and not yet answered.
    pub under_way: Cell<usize>,
    /// Bytes of bodies read and not yet answered.
    pub held_bytes: Cell<usize>,
    /// Most connections taken at once.
    pub most_open: Cell<usize>,
    /// Every answer from now on ends its connection.
    pub leaving: Cell<bool>,
    /// Requests that come from now on are turned away: they could not be finished.
    pub refuses_new: Cell<bool>,
    /// Whatever is under way gets its final answer now.
    ending: Cell<bool>,
    /// Who is to be woken for it, by the number of the connection. Invariant: only requests under way.
    waiting_for_end: RefCell<HashMap<u64, Waker>>,
    next_connection: Cell<u64>,
}

impl Serving {
    /// Has every request under way answered at once.
    pub fn end(&self) {
        self.leaving.set(true);
        self.ending.set(true);
        self.waiting_for_end.take().into_values().for_each(Waker::wake);
    }

    /// What comes of a connection's piece of work; `None` when the end comes first.
    async fn until_end<T>(&self, connection: u64, work: impl Future<Output = T>) -> Option<T> {
        let mut work = pin!(work);
        let outcome = poll_fn(|context| {
            if let Poll::Ready(outcome) = work.as_mut().poll(context) {
                return Poll::Ready(Some(outcome));
            }
            if self.ending.get() {
                return Poll::Ready(None);
            }
            let mut waiting = self.waiting_for_end.borrow_mut();
            waiting.entry(connection).or_insert_with(|| context.waker().clone()).clone_from(context.waker());
            Poll::Pending
        })
        .await;
        self.waiting_for_end.borrow_mut().remove(&connection);
        outcome
    }
}

struct Count<'a>(&'a Cell<usize>, usize);

impl<'a> Count<'a> {
    fn up(cell: &'a Cell<usize>, amount: usize) -> Self {
        cell.set(cell.get() + amount);
        Self(cell, amount)
    }
}

impl Drop for Count<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - self.1);
    }
}

/// Accepts for ever.
pub async fn serve_listener<H: Handler>(listener: TcpListener, serving: Rc<Serving>, handler: Rc<H>) {
    loop {
        match listener.accept().await {
            Ok((stream, from)) => {
                stream.prepare();
                if serving.open.get() >= serving.most_open.get() {
                    stream.reset_on_close();
                    continue;
                }
                let (serving, handler) = (serving.clone(), handler.clone());
                monoio::spawn(async move { serve_line(stream, from.ip(), &serving, handler).await });
            }
            Err(error) => {
                log::warn!("accepting failed ({error}): tried again shortly");
                monoio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

async fn write(pacer: Option<&Pacer>, line: &mut Line, bytes: Vec<u8>) -> std::io::Result<()> {
    match pacer {
        Some(pacer) => pacer.write(line, bytes).await,
        None => line.write(bytes).await,
    }
}

/// Passes a body on as fast as it is taken; false when it broke off.
async fn pass_on(flow: &mut Flow, line: &mut Line, pacer: Option<&Pacer>) -> bool {
    loop {
        match flow.next().await {
            Some(bytes) if bytes.is_empty() => return true,
            Some(bytes) if write(pacer, line, bytes.to_vec()).await.is_ok() => {}
            _ => return false,
        }
    }
}

async fn serve_line<H: Handler>(stream: TcpStream, from: IpAddr, serving: &Serving, handler: Rc<H>) {
    let _open = Count::up(&serving.open, 1);
    let connection = serving.next_connection.get();
    serving.next_connection.set(connection + 1);
    let mut line = Line::new(stream);
    loop {
        let mut limits = handler.limits();
        limits.room = limits.room.saturating_sub(serving.held_bytes.get() as u64);
        let request = match line.read_request(&limits).await {
            Ok(request) => Request { from: Some(from), ..request },
            Err(DoorError::Declined { status, reason }) => {
                let answer = handler.turned_away(status, reason).closing();
                if line.write(answer.encode(false)).await.is_ok() {
                    // What the requester still sends is read for a moment, so that the answer isn't lost to a reset.
                    let _ = monoio::time::timeout(Duration::from_millis(200), async {
                        for _ in 0..64 {
                            line.held.clear();
                            if !matches!(line.fill(16 << 10).await, Ok(count) if count > 0) {
                                break;
                            }
                        }
                    })
                    .await;
                }
                return;
            }
            Err(DoorError::Ended | DoorError::Broken) => return,
        };
        if serving.refuses_new.get() {
            let answer = handler.turned_away(503, "this process is about to end: the request has not run").closing();
            let _ = write(handler.pacer(), &mut line, answer.encode(request.method == Method::HEAD)).await;
            return;
        }
        let _under_way = Count::up(&serving.under_way, 1);
        let _held = Count::up(&serving.held_bytes, request.body.len());
        let (keeps, bodyless) = (request.keeps, request.method == Method::HEAD);
        let presence = request.presence.clone();
        let work = presence.watch_while(line.closed(), handler.clone().handle(request));
        let mut answer = match serving.until_end(connection, work).await {
            Some(Some(answer)) => answer,
            Some(None) => {
                line.break_off();
                return;
            }
            None => handler.cut_short(),
        };
        answer.closes |= !keeps || serving.leaving.get();
        let closes = answer.closes;
        if write(handler.pacer(), &mut line, answer.encode(bodyless)).await.is_err() {
            return;
        }
        if let Some(flow) = answer.flow.as_mut().filter(|_| !bodyless)
            && !pass_on(flow, &mut line, handler.pacer()).await
        {
            // What ends early must not look complete.
            line.break_off();
            return;
        }
        if closes {
            return;
        }
    }
}

#[cfg(test)]
#[path = "serve_tests.rs"]
mod tests;
