//! Numbers that only rise.

use super::{Context, Decision, Resource, ResourcePlug, not_allowed};
use crate::ledger::Change;
use lineside::call::{ControlCall, ControlReturn};

struct Numbers;
inventory::submit! { ResourcePlug(&Numbers) }

impl Resource for Numbers {
    fn prefix(&self) -> &'static str {
        "/v1/numbers/"
    }

    fn decide(&self, name: &str, call: &ControlCall, context: Context<'_>) -> Decision {
        if call.method != "POST" {
            return not_allowed();
        }
        let value = context.proposed.numbers.get(name).copied().unwrap_or(0) + 1;
        let answer = ControlReturn::new(200, format!("{{\"value\":{value}}}"));
        Decision::Propose(Box::new(Change::Number { name: name.to_owned(), value }), answer)
    }
}
