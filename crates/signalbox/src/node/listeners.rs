//! The HTTP listener of the control API, for operators and applications.

use super::memory::MemoryShares;
use super::{Signalbox, aggregation, beats, fleet_view, forecast, inspection, primary};
use crate::resources;
use lineside::call::ControlCall;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use trackbed::http::{BodyLimits, DoorLimits, Handler, JsonReturn, Request, Return, Serving, serve_listener};
use trackbed::metrics;
use trackbed::net::bind_tcp;

/// Answers the requests of the control API.
struct ControlListener(Rc<Signalbox>);

/// Binds `address` and serves the control API there until the node ends.
///
/// # Errors
///
/// The error of the bind, such as an address that is in use already.
pub fn open(address: SocketAddr, node: &Rc<Signalbox>) -> std::io::Result<Rc<Serving>> {
    let serving = Rc::new(Serving::default());
    serving.most_open.set((node.live.get().limits.file_descriptors as usize).saturating_sub(400).max(64));
    monoio::spawn(serve_listener(bind_tcp(address)?, serving.clone(), Rc::new(ControlListener(node.clone()))));
    Ok(serving)
}

/// When a call that was turned away for lack of room may be sent again.
const RETRY_AFTER_SECONDS: &str = "0.5";

impl Handler for ControlListener {
    fn limits(&self) -> DoorLimits {
        DoorLimits { header_bytes: 32 << 10, idle_time: Duration::from_secs(60), ..DoorLimits::default() }
    }

    fn body_limits(&self, request: &Request, _: &DoorLimits) -> BodyLimits {
        let shares = MemoryShares::of(self.0.live.get().limits.memory_mb);
        match request.path() == resources::CONFIGURATION_PATH {
            true => shares.configuration(),
            false => shares.call(),
        }
    }

    async fn handle(self: Rc<Self>, request: Request) -> Option<Return> {
        if request.path() == fleet_view::PATH {
            return Some(match request.method {
                http::Method::GET => {
                    let verdicts = inspection::verdicts_anywhere(&self.0).await;
                    Return::json(200, fleet_view::write(&self.0, verdicts))
                }
                _ => Return::fault(405, "the fleet can only be read here"),
            });
        }
        if request.path() == metrics::PATH {
            return Some(metrics::answer(&self.0.metrics.registry));
        }
        if request.path() == aggregation::PATH && request.method == http::Method::GET {
            return Some(Return::json(200, aggregation::view(&self.0)));
        }
        if request.path() == forecast::PATH && request.method == http::Method::GET {
            let service = request.query().split('&').find_map(|pair| pair.strip_prefix("service="));
            return Some(match forecast::report_anywhere(&self.0, service).await {
                Some(report) => Return::json(200, report),
                None => Return::fault(503, "no primary with a majority just now: ask again")
                    .with_header("retry-after", "0.5"),
            });
        }
        if request.path().starts_with(beats::PREFIX) {
            return Some(beats::answer(&self.0, &request).await);
        }
        if request.presence.has_left() {
            // As after a stall: the caller has gone elsewhere, and may have gone on to something that this would undo.
            self.0.metrics.abandoned.inc();
            return None;
        }
        let call = ControlCall {
            method: request.method.as_str().to_owned(),
            path: request.path().to_owned(),
            query: request.query().to_owned(),
            if_match: request.header("if-match").map(str::to_owned),
            body: request.body,
        };
        let is_long_read = call.path == resources::CONFIGURATION_PATH && call.method == "GET";
        let read = is_long_read.then(|| self.0.configuration_turns.begin_read());
        if let Some(None) = read {
            return Some(self.turned_away(503, "too many reads of the configuration are under way"));
        }
        let answer = primary::answer_anywhere(&self.0, call).await;
        let mut back = Return::json(answer.status, answer.body);
        back.guard = read.flatten();
        if let Some(millis) = answer.retry_after_millis {
            back = back.with_header("retry-after", &format!("{:.3}", millis as f64 / 1000.0));
        }
        Some(back)
    }

    fn turned_away(&self, status: u16, reason: &str) -> Return {
        let answer = Return::fault(status, reason);
        match status {
            503 => answer.with_header("retry-after", RETRY_AFTER_SECONDS),
            _ => answer,
        }
    }
}
