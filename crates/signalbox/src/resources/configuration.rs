//! The operator's configuration.

use super::{Context, Decision, Resource, ResourcePlug, not_allowed};
use crate::ledger::Change;
use lineside::call::{ControlCall, ControlReturn};
use sha2::{Digest, Sha256};
use timetable::configuration::{Fault, Patch};
use timetable::fleet::{ConfigChange, FleetChange};
use trackbed::ids::ConfigEpoch;

/// Where the configuration is put, changed and read.
pub const CONFIGURATION_PATH: &str = "/v1/configuration";

struct Configuration;
inventory::submit! { ResourcePlug(&Configuration) }

impl Resource for Configuration {
    fn prefix(&self) -> &'static str {
        CONFIGURATION_PATH
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

/// Names an order by all that it says, so that its repeat is known for what it is.
///
/// This is SHA-256 over method, `If-Match` and the raw bytes of the body, each behind its length so
/// that no two orders encode alike, cut off to the 128 bits that the fleet's state keeps. Two orders
/// with one name would have to be found by about 2^64 trials.
pub(super) fn digest(call: &ControlCall) -> u128 {
    let mut hasher = Sha256::new();
    hash_field(&mut hasher, Some(call.method.as_bytes()));
    hash_field(&mut hasher, call.if_match.as_deref().map(str::as_bytes));
    hash_field(&mut hasher, Some(&call.body));
    let mut kept = [0; size_of::<u128>()];
    kept.copy_from_slice(&hasher.finalize()[..size_of::<u128>()]);
    u128::from_be_bytes(kept)
}

/// Takes in whether the field is there, its length, and its bytes.
fn hash_field(hasher: &mut Sha256, field: Option<&[u8]>) {
    hasher.update([field.is_some() as u8]);
    let bytes = field.unwrap_or_default();
    hasher.update((bytes.len() as u64).to_be_bytes());
    hasher.update(bytes);
}

/// An order that may have been taken so long ago that this is forgotten.
fn forgotten() -> Decision {
    let message = "whether this was taken can't be told any more: read the configuration back";
    Decision::Committed(ControlReturn::fault(504, message))
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
        "PUT" => fleet.parse_next(&call.body).map(|whole| (whole.epoch, ConfigChange::Whole(whole))),
        _ => Patch::parse(&call.body).map(|patch| (patch.epoch, ConfigChange::Patch(patch))),
    };
    let (epoch, change) = match read {
        Ok(read) => read,
        Err(fault) => return invalid(&fault),
    };
    let current = fleet.epoch();
    if fleet.oldest_remembered_order().is_some_and(|oldest| base < oldest) {
        return forgotten();
    }
    if base != current {
        let message = format!("{current} is in place: build on it");
        return Decision::Committed(ControlReturn::fault(412, &message));
    }
    if epoch <= current {
        let message = format!("/version {epoch} does not rise above {current}: choose a higher one");
        return Decision::Committed(ControlReturn::fault(400, &message));
    }
    if let Err(fault) =
        fleet.next_configuration(&change).and_then(|next| next.check_regions(context.places.knows_region))
    {
        return invalid(&fault);
    }
    Decision::Propose(Box::new(Change::Fleet(FleetChange::Configure { change, digest })), done())
}
