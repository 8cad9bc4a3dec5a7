//! A door: accepts connections and has a handler answer what comes in on them.

use super::door::{BodyLimits, DoorError, DoorLimits};
use super::flow::Flow;
use super::head::Request;
use super::line::Line;
use super::pace::Pacer;
use super::reservation::Reservation;
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

/// How long a client that was turned away may go on sending, and how long it may pause meanwhile.
const LINGER_LIMIT: Duration = Duration::from_secs(2);
const LINGER_IDLE: Duration = Duration::from_millis(200);
const LINGER_READ_BYTES: usize = 64 << 10;

/// What stands behind a door.
pub trait Handler: 'static {
    /// What the door takes of the next request.
    fn limits(&self) -> DoorLimits;
    /// What the door takes of the body that belongs to a head. The request has no body yet.
    fn body_limits(&self, _: &Request, limits: &DoorLimits) -> BodyLimits {
        limits.body
    }
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
    fn turned_away(&self, status: u16, reason: &str) -> Return {
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
    /// Bytes reserved for bodies that are read, or were read and not yet answered.
    pub held_bytes: Rc<Cell<usize>>,
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

/// One of those that a cell counts, until it is dropped.
struct Counted<'a>(&'a Cell<usize>);

impl<'a> Counted<'a> {
    fn new(cell: &'a Cell<usize>) -> Self {
        cell.set(cell.get() + 1);
        Self(cell)
    }
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
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

/// Reads the next request whole, with the memory that its body takes.
async fn read_request<H: Handler>(
    line: &mut Line,
    serving: &Serving,
    handler: &H,
) -> Result<(Request, Reservation), DoorError> {
    let limits = handler.limits();
    let head = line.read_request_head(&limits).await?;
    let body_limits = handler.body_limits(&head.request, &limits);
    let mut reservation = Reservation::new(&serving.held_bytes, body_limits.room);
    let request = line.read_request_body(head, &body_limits, limits.body_time, &mut reservation).await?;
    Ok((request, reservation))
}

/// Reads and drops what a client still sends after it was turned away: closing at once would reset the connection,
/// and the answer might be lost with it.
async fn linger(mut line: Line, serving: &Serving) {
    let drop_rest = async {
        while !serving.leaving.get() {
            line.held.clear();
            match monoio::time::timeout(LINGER_IDLE, line.fill(LINGER_READ_BYTES)).await {
                Ok(Ok(1..)) => {}
                _ => return,
            }
        }
    };
    let _ = monoio::time::timeout(LINGER_LIMIT, drop_rest).await;
}

async fn serve_line<H: Handler>(stream: TcpStream, from: IpAddr, serving: &Serving, handler: Rc<H>) {
    let _open = Counted::new(&serving.open);
    let connection = serving.next_connection.get();
    serving.next_connection.set(connection + 1);
    let mut line = Line::new(stream);
    loop {
        let (request, _reserved) = match read_request(&mut line, serving, &*handler).await {
            Ok((request, reserved)) => (Request { from: Some(from), ..request }, reserved),
            Err(DoorError::Declined { status, reason }) => {
                let answer = handler.turned_away(status, &reason).closing();
                if line.write(answer.encode(false)).await.is_ok() {
                    linger(line, serving).await;
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
        let _under_way = Counted::new(&serving.under_way);
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
