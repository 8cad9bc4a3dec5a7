//! Zones whose endpoints are to get nothing.

use super::{Context, Decision, Resource, ResourcePlug, bad, not_allowed};
use crate::ledger::Change;
use lineside::call::{ControlCall, ControlReturn};
use timetable::fleet::FleetChange;
use trackbed::ids::ZoneName;

struct Evacuations;
inventory::submit! { ResourcePlug(&Evacuations) }

impl Resource for Evacuations {
    fn prefix(&self) -> &'static str {
        "/v1/evacuations/"
    }

    fn decide(&self, name: &str, call: &ControlCall, context: Context<'_>) -> Decision {
        if !matches!(call.method.as_str(), "POST" | "DELETE") {
            return not_allowed();
        }
        if !call.body.is_empty() {
            return bad("an evacuation takes no body: the zone stands in the path");
        }
        let zone = ZoneName::new(name);
        let fleet = &context.proposed.fleet;
        let is_known = (context.places.knows_zone)(&zone) || fleet.instances().any(|instance| instance.zone == zone);
        if !is_known {
            return Decision::Read(ControlReturn::fault(
                404,
                &format!("zone {name} is not known: name one of the settings"),
            ));
        }
        let change = match (call.method.as_str(), fleet.is_evacuated(&zone)) {
            ("POST", false) => FleetChange::Evacuate(zone),
            ("DELETE", true) => FleetChange::EndEvacuation(zone),
            // The same order once more.
            _ => return Decision::Committed(done()),
        };
        Decision::Propose(Box::new(Change::Fleet(change)), done())
    }
}

fn done() -> ControlReturn {
    ControlReturn::new(200, "{}".into())
}
