//! Heartbeats of an emulated endpoint, what their answers bring, and its leaving.

use super::events::{Event, shared_micros};
use super::holds::Hold;
use super::messages::{Heartbeat, HeartbeatAnswer};
use super::{Endpoint, LOOK_EVERY};
use bytes::Bytes;
use http::Method;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use trackbed::http::{Client, Request};

/// An endpoint moves on to the next address after a second.
const HEARTBEAT_LIMIT: Duration = Duration::from_secs(1);
const LETTING_GO_EVERY: Duration = Duration::from_millis(80);
/// An endpoint that leaves ends after so long, acknowledged or not.
const LEAVES_WITHIN: Duration = Duration::from_secs(2);
/// How long it serves on after it was acknowledged as leaving.
const SERVES_ON: Duration = Duration::from_millis(1200);

impl Endpoint {
    /// What a heartbeat says.
    fn heartbeat(&self, sequence: u64) -> String {
        let now = shared_micros();
        let lists = self.settings.lists;
        let holds = || {
            let held = self.holds.borrow().all(now);
            let rows: Vec<_> = held.iter().map(|hold| (hold.first, hold.last, hold.fence)).collect();
            rows
        };
        let heartbeat = Heartbeat {
            service_name: &self.settings.service,
            address: self.settings.address,
            zone: &self.settings.zone,
            version: "v1",
            capacity_slots: self.settings.slots,
            lifecycle_state: if self.is_draining.get() { "draining" } else { "ready" },
            cold_remaining_s: self.coldness.remaining_seconds(now),
            sequence,
            holds: lists.then(holds),
            released: lists.then(|| self.released.borrow().clone()),
        };
        sonic_rs::to_string(&heartbeat).unwrap_or_default()
    }

    /// Takes what a heartbeat that was sent at `sent` was answered.
    fn heard(&self, answer: &[u8], sent: u64, told: usize) -> Option<SocketAddr> {
        let answer: HeartbeatAnswer = sonic_rs::from_slice(answer).ok()?;
        self.released.borrow_mut().drain(..told);
        if let (true, Some(rows), Some(hold_s)) = (self.settings.lists, answer.holds, answer.hold_s) {
            let until = sent + (hold_s * self.clock() * 1e6) as u64;
            let holds: Vec<Hold> =
                rows.into_iter().map(|(first, last, fence, _)| Hold { first, last, fence, until }).collect();
            let now = shared_micros();
            let let_go = self.holds.borrow_mut().replace(holds, now);
            for hold in self.holds.borrow().all(now) {
                let Hold { first, last, fence, until } = hold;
                Event::Held { at: now, life: self.life.clone(), first, last, fence, until }.tell();
            }
            let_go.iter().for_each(|(first, last)| self.let_go(*first, *last));
            self.letting_go.borrow_mut().extend(let_go);
        }
        answer.heartbeat_target
    }

    /// Moves what is not worked on any more to what was released; true while anything is left.
    fn finish_letting_go(&self) -> bool {
        let letting_go = std::mem::take(&mut *self.letting_go.borrow_mut());
        for (first, last) in letting_go {
            match self.is_working_on(first, last) {
                true => self.letting_go.borrow_mut().push((first, last)),
                false => self.released.borrow_mut().push((first, last, self.handover())),
            }
        }
        !self.letting_go.borrow().is_empty() || !self.released.borrow().is_empty()
    }
}

/// Sends heartbeats for as long as the process runs.
pub(super) async fn beat_for_ever(endpoint: Rc<Endpoint>) {
    let period = Duration::from_secs_f64(endpoint.settings.heartbeat_s);
    let mut target = 0;
    let mut told_target: Option<SocketAddr> = None;
    for sequence in 1.. {
        while shared_micros() < endpoint.silent_until.get() {
            monoio::time::sleep(LOOK_EVERY).await;
        }
        let letting_go = endpoint.finish_letting_go();
        let says_draining = endpoint.is_draining.get();
        let told = endpoint.released.borrow().len();
        let address = told_target.unwrap_or(endpoint.settings.heartbeats[target]);
        let sent = shared_micros();
        let path = format!("/v1/instances/{}", endpoint.life);
        let request = Request::json(Method::PUT, path, endpoint.heartbeat(sequence));
        match Client::new(address).call(&request, HEARTBEAT_LIMIT).await {
            Ok(answer) if answer.is_success() => {
                told_target = endpoint.heard(&answer.body, sent, told).or(told_target);
                endpoint.drain_is_known.set(says_draining);
                monoio::time::sleep(if letting_go { LETTING_GO_EVERY } else { period }).await;
            }
            _ => {
                told_target = None;
                target = (target + 1) % endpoint.settings.heartbeats.len();
                monoio::time::sleep(LETTING_GO_EVERY).await;
            }
        }
    }
}

/// Says that it leaves, serves on for a while, signs off.
pub(super) async fn leave(endpoint: &Endpoint) {
    endpoint.is_draining.set(true);
    let last = shared_micros() + LEAVES_WITHIN.as_micros() as u64;
    while !endpoint.drain_is_known.get() && shared_micros() < last {
        monoio::time::sleep(LOOK_EVERY).await;
    }
    monoio::time::sleep(SERVES_ON).await;
    let path = format!("/v1/instances/{}", endpoint.life);
    let request = Request::own(Method::DELETE, path, &[], Bytes::new());
    for address in &endpoint.settings.heartbeats {
        if Client::new(*address).call(&request, HEARTBEAT_LIMIT).await.is_ok_and(|answer| answer.is_success()) {
            return;
        }
    }
}
