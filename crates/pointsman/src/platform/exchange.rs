//! One request at the endpoint, and what its bytes back are worth.

use super::Slot;
use super::process_end::{PassedOn, ProcessEnd};
use crate::dispatch::{ATTEMPT, CALLER, DEADLINE, EXPECTED, Errand, LINE_HEADERS, NOT_EXECUTED, Outcome, Pool, STAMP};
use http::Method;
use std::cell::Cell;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use trackbed::clock::{self, Moment};
use trackbed::http::{Line, OpenConnections, Request, Return, ReturnError, single, write_request};
use trackbed::net::{SocketExt, connect};

const CONNECT_LIMIT: Duration = Duration::from_millis(300);
const BODY_LIMIT: u64 = 64 << 20;
/// The longest answer to a question of this node's own, in bytes.
const LONGEST_OWN_ANSWER: u64 = 64 << 10;
/// An idle connection is not trusted for longer, whatever the endpoint says.
const LONGEST_IDLE: Duration = Duration::from_secs(5);
/// In use so short a time ago that the endpoint can't have forgotten it.
const YOUNG: Duration = Duration::from_millis(150);
/// One that broke off shows how long is too long; each that did not gives some of the trust back.
const LEAST_IDLE: Duration = Duration::from_millis(60);
const TRUST_GROWS: Duration = Duration::from_millis(4);
const KEPT_AMONG_MANY: Duration = Duration::from_millis(2500);
/// How long a new connection is looked at before something that may not run twice is sent over it.
const SHORTEST_LOOK: Duration = Duration::from_micros(1500);
const LONGEST_LOOK: Duration = Duration::from_millis(6);
/// Bytes that an endpoint's machine does not acknowledge for so long never will be.
const UNACKNOWLEDGED: Duration = Duration::from_millis(700);
/// Where it says nothing.
const USUAL_KEEP: Duration = Duration::from_secs(3);
/// Left of the endpoint's own time, within which it may close at any moment.
const KEEP_MARGIN: Duration = Duration::from_millis(700);

/// Connections to endpoints, kept for further use.
pub struct Lines {
    pool: Pool,
    /// For how long an idle connection is taken to be still good.
    trusted_idle: Cell<Duration>,
    /// For how long an idle one is kept at most.
    keeps: Duration,
    /// Opened so far, and used again so far.
    pub opened: Cell<u64>,
    pub reused: Cell<u64>,
}

impl Default for Lines {
    fn default() -> Self {
        Self::new(64, LONGEST_IDLE)
    }
}

impl Lines {
    pub fn new(most_to_one: usize, keeps: Duration) -> Self {
        Self {
            pool: Pool::keeping(most_to_one),
            keeps,
            trusted_idle: Cell::new(LONGEST_IDLE),
            opened: Cell::new(0),
            reused: Cell::new(0),
        }
    }

    /// Where many may open connections to one endpoint, which takes only so many: each keeps one, and
    /// not for long.
    pub fn among_many() -> Self {
        Self::new(1, KEPT_AMONG_MANY)
    }

    pub fn tidy(&self, now: Moment) {
        self.pool.tidy(now);
    }

    pub fn clear(&self, to: SocketAddr) {
        self.pool.clear(to);
    }

    /// Lets go of idle connections that the endpoint has closed.
    pub fn drop_closed(&self, to: SocketAddr) {
        self.pool.drop_closed(to);
    }

    /// Sends a question of this node's own to an endpoint, and reads its answer. Nothing where none comes, or what comes is
    /// no answer to it: an earlier request's may stand in its place.
    pub async fn ask<T>(
        &self,
        address: SocketAddr,
        question: &Request,
        connections: &Rc<OpenConnections>,
        read: impl FnOnce(&Return) -> Option<T>,
    ) -> Option<T> {
        let now = clock::now();
        let mut line = match self.pool.take(address, now, self.trusted_idle.get()) {
            Some((line, _)) => line,
            None => Line::counted(connect(address, CONNECT_LIMIT).await.ok()?, connections),
        };
        let host = address.to_string();
        let bytes = write_request(question, &[("host", host.as_str())], &[]);
        line.write(bytes).await.ok()?;
        let answer = line.read_return(false, LONGEST_OWN_ANSWER).await.ok()?;
        let told = read(&answer).filter(|_| !answer.headers.contains_key(ATTEMPT));
        match told.is_some() && !answer.closes && !line.has_surplus() {
            true => self.pool.keep(address, line, clock::now(), USUAL_KEEP.min(self.keeps)),
            false => line.break_off(),
        }
        told
    }

    /// What the endpoints' answers that are held may take from now on, in bytes.
    pub fn set_answer_room(&self, bytes: u64) {
        self.pool.set_answer_room(bytes);
    }
}

/// By what a request may go to an endpoint. Nothing goes there without.
#[derive(Clone, Copy)]
pub enum RightToSend<'a> {
    /// A slot that is counted here.
    Slot(&'a Slot),
    /// A slot that another gateway counts: it takes the request to be on its way until it hears of its end.
    Permit,
}

impl RightToSend<'_> {
    /// The request's first byte goes out now.
    fn use_now(self) {
        if let Self::Slot(slot) = self {
            slot.goes_out();
        }
    }
}

/// Sends a request to an endpoint and reads its answer. `process_end` learns of every connection and of every request that
/// stays without an answer, where this node is the only one that reaches the endpoint.
pub async fn at_endpoint(
    address: SocketAddr,
    lines: &Lines,
    errand: &Errand,
    right: RightToSend<'_>,
    process_end: Option<&ProcessEnd>,
) -> Outcome {
    let now = clock::now();
    // An endpoint may have forgotten an idle connection, and what is sent over it then is lost: what may
    // not be sent again goes only over one that was in use just now.
    let longest = match errand.repeats {
        true => lines.trusted_idle.get(),
        false => lines.trusted_idle.get().min(YOUNG),
    };
    let (line, rested) = match lines.pool.take(address, now, longest) {
        Some((line, rested)) => {
            lines.reused.set(lines.reused.get() + 1);
            (line, Some(rested))
        }
        None => match connect(address, CONNECT_LIMIT.min(errand.left(now))).await {
            Ok(stream) => {
                lines.opened.set(lines.opened.get() + 1);
                stream.give_up_after(UNACKNOWLEDGED);
                if !errand.repeats {
                    // An endpoint that has connections enough takes one more and resets it: that shows at
                    // once, and before anything was sent it is sure that nothing ran.
                    monoio::time::sleep(clock::now().since(now).clamp(SHORTEST_LOOK, LONGEST_LOOK)).await;
                    if !stream.is_quiet() {
                        return Outcome::NotSent;
                    }
                }
                let line = match process_end {
                    Some(end) => Line::counted(stream, end.connections()),
                    None => Line::new(stream),
                };
                if errand.request.presence.has_left() {
                    lines.pool.keep(address, line, clock::now(), USUAL_KEEP.min(lines.keeps));
                    return Outcome::abandoned();
                }
                (line, None)
            }
            Err(error) => {
                if let Some(end) = process_end.filter(|_| error.kind() == ErrorKind::ConnectionRefused) {
                    lines.drop_closed(address);
                    end.refused(clock::now());
                }
                return Outcome::NotSent;
            }
        },
    };
    let outcome = exchange(lines, address, line, errand, right, process_end).await;
    if let Some(rested) = rested {
        let trusted = lines.trusted_idle.get();
        let next = match outcome {
            Outcome::Failed(_) => trusted.min(rested.mul_f64(0.7)).max(LEAST_IDLE),
            _ => (trusted + TRUST_GROWS).min(LONGEST_IDLE),
        };
        lines.trusted_idle.set(next);
    }
    outcome
}

async fn exchange(
    lines: &Lines,
    address: SocketAddr,
    mut line: Line,
    errand: &Errand,
    right: RightToSend<'_>,
    process_end: Option<&ProcessEnd>,
) -> Outcome {
    let left = errand.left(clock::now());
    if left < Duration::from_millis(1) {
        return Outcome::NotSent;
    }
    let passed_on = process_end.map(|end| end.passed_on(left));
    let deadline = left.as_millis().max(1).to_string();
    let mut replaced = vec![(EXPECTED, errand.instance.as_str()), (DEADLINE, deadline.as_str())];
    if !errand.caller.is_empty() {
        // Where requests begin at a gateway, no service runs there.
        replaced.push((CALLER, &errand.caller));
    }
    let bytes = write_request(&errand.request, &replaced, &LINE_HEADERS);
    let bodyless = errand.request.method == Method::HEAD;
    let whole = async move {
        right.use_now();
        line.write(bytes).await.map_err(|_| ReturnError::Cut)?;
        let (answer, line) = line.read_return_or_flow(bodyless, BODY_LIMIT, lines.pool.reserve_answer()).await?;
        if single(&answer.headers, ATTEMPT) == Some(errand.attempt.as_str()) {
            return Ok((answer, line, true));
        }
        // A surplus answer to an earlier request may stand in this one's place: the next is looked at,
        // and the line is not used again.
        let misplaced = ReturnError::Malformed("the answer belongs to another request");
        let Some(line) = line else { return Err(misplaced) };
        let reservation = lines.pool.reserve_answer();
        let (next, line) = line.read_return_or_flow(bodyless, BODY_LIMIT, reservation).await?;
        match single(&next.headers, ATTEMPT) == Some(errand.attempt.as_str()) {
            true => Ok((next, line, false)),
            false => Err(misplaced),
        }
    };
    match monoio::time::timeout(left, whole).await {
        // In both cases the line went with the exchange, and is closed.
        Err(_) => Outcome::OverHorizon,
        Ok(Err(_)) => Outcome::Failed("the endpoint's answer broke off or can't be read"),
        Ok(Ok((mut answer, line, in_step))) => {
            match &mut answer.flow {
                Some(flow) => flow.end_by(errand.horizon),
                None => passed_on.into_iter().for_each(PassedOn::answered),
            }
            match line {
                Some(line) if in_step && !answer.closes && !line.has_surplus() => {
                    let keep = match answer.keep_alive {
                        Some(seconds) => Duration::from_secs(seconds).saturating_sub(KEEP_MARGIN),
                        None => USUAL_KEEP,
                    };
                    lines.pool.keep(address, line, clock::now(), keep.min(lines.keeps));
                }
                Some(line) => line.break_off(),
                None => {}
            }
            judge(answer)
        }
    }
}

/// What an endpoint's whole answer says of the request.
fn judge(answer: Return) -> Outcome {
    let not_run = answer.headers.contains_key(NOT_EXECUTED);
    match answer.status {
        421 => Outcome::Misdirected,
        429 | 503 | 408 | 400 if not_run => Outcome::NotExecuted,
        // These promise that it has not run, and the endpoint does not say so.
        429 | 503 | 408 => Outcome::Failed("the endpoint turned the request away without saying that it has not run"),
        200..300 if !answer.headers.contains_key(STAMP) => Outcome::Failed("the answer lacks the endpoint's stamp"),
        200..300 if answer.headers.contains_key(http::header::CONTENT_ENCODING) => {
            Outcome::Failed("the answer is not the endpoint's body")
        }
        _ => Outcome::Answered(answer),
    }
}
