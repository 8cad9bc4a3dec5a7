//! Endpoints that call a core node themselves. Those on machines with a node beside them don't.

use super::{Decision, Desk, Resource, ResourcePlug};
use lineside::call::{ControlCall, ControlReturn};

struct Instances;
inventory::submit! { ResourcePlug(&Instances) }

impl Resource for Instances {
    fn prefix(&self) -> &'static str {
        "/v1/instances/"
    }

    fn decide(&self, _: &str, _: &ControlCall, _: Desk<'_>) -> Decision {
        let message = "endpoints call the node on their own machine: send beats to its control_plane address";
        Decision::Read(ControlReturn::fault(421, message))
    }
}
