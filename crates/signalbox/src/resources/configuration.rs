//! The operator's configuration.

use super::{Context, Decision, Resource, ResourcePlug, not_allowed};
use crate::ledger::Change;
use lineside::call::{ControlCall, ControlReturn};
use timetable::configuration::{Configuration as Whole, Fault, Patch};
use timetable::fleet::{ConfigChange, FleetChange};
use trackbed::ids::ConfigEpoch;
use trackbed::random::stable_hash;

struct Configuration;
inventory::submit! { ResourcePlug(&Configuration) }

impl Resource for Configuration {
    fn prefix(&self) -> &'static str {
        "/v1/configuration"
    }

    fn decide(&self, _: &str, call: &ControlCall, context: Context<'_>) -> Decision {
        match call.method.as_str() {
            "GET" => Decision::Read(match context.committed.fleet.configuration() {
                Some(configuration) => ControlReturn::new(200, configuration.to_json()),
                None => ControlReturn::fault(404, "no configuration was taken yet: put one with If-Match 0"),
            }),
            "PUT" | "PATCH" => change(call, &context),
            _ => not_allowed(),
        }
    }
}

/// Names a call by all that it says.
fn digest(call: &ControlCall) -> u128 {
    let text = String::from_utf8_lossy(&call.body);
    let head = format!("{} {}", call.method, call.if_match.as_deref().unwrap_or(""));
    let first = stable_hash(&format!("{head}\n{text}"));
    let second = stable_hash(&format!("{text}\n{head}"));
    (first as u128) << 64 | second as u128
}

fn invalid(fault: &Fault) -> Decision {
    Decision::Committed(ControlReturn::fault(400, &fault.to_string()))
}

fn change(call: &ControlCall, context: &Context<'_>) -> Decision {
    let fleet = &context.proposed.fleet;
    let digest = digest(call);
    let done = || ControlReturn::new(200, "{}".into());
    if fleet.has_taken(digest) {
        return Decision::Committed(done());
    }
    let Some(base) = call.if_match.as_deref().and_then(ConfigEpoch::parse) else {
        let message = "If-Match is missing or no version: name the version this builds on, or 0 for the first";
        return Decision::Committed(ControlReturn::fault(400, message));
    };
    // Read first, so that what can't be read is told as such whatever it builds on.
    let read = match call.method.as_str() {
        "PUT" => Whole::parse(&call.body).map(|whole| (whole.epoch, ConfigChange::Whole(whole))),
        _ => Patch::parse(&call.body).map(|patch| (patch.epoch, ConfigChange::Patch(patch))),
    };
    let (epoch, change) = match read {
        Ok(read) => read,
        Err(fault) => return invalid(&fault),
    };
    let current = fleet.epoch();
    if base != current {
        let message = format!("{current} is in place: build on it");
        return Decision::Committed(ControlReturn::fault(412, &message));
    }
    if epoch <= current {
        let message = format!("/version {epoch} does not rise above {current}: choose a higher one");
        return Decision::Committed(ControlReturn::fault(400, &message));
    }
    let next = match (&change, fleet.configuration()) {
        (ConfigChange::Whole(whole), _) => Ok(whole.clone()),
        (ConfigChange::Patch(patch), Some(configuration)) => configuration.patched(patch),
        (ConfigChange::Patch(patch), None) => Whole::default().patched(patch),
    };
    if let Err(fault) = next.and_then(|next| next.check_regions(context.knows_region)) {
        return invalid(&fault);
    }
    Decision::Propose(Box::new(Change::Fleet(FleetChange::Configure { change, digest })), done())
}
