//! Watches of a group of keys.

use super::{Context, Decision, Resource, ResourcePlug, bad, not_allowed};
use crate::ledger::Ledger;
use lineside::call::{ControlCall, ControlReturn};
use trackbed::logs::escape;

struct Watch;
inventory::submit! { ResourcePlug(&Watch) }

const LONGEST_WAIT_MILLIS: u64 = 60_000;

impl Resource for Watch {
    fn prefix(&self) -> &'static str {
        "/v1/watch/"
    }

    fn decide(&self, name: &str, call: &ControlCall, context: Context<'_>) -> Decision {
        if call.method != "GET" {
            return not_allowed();
        }
        let number = |wanted: &str| {
            call.query.split('&').find_map(|pair| pair.split_once('=').filter(|(name, _)| *name == wanted))
        };
        let read = |wanted: &str| match number(wanted) {
            None => Some(0),
            Some((_, value)) => value.parse::<u64>().ok(),
        };
        let (Some(after), Some(wait_millis)) = (read("after"), read("wait_ms")) else {
            return bad("after and wait_ms must be whole numbers");
        };
        if after == 0 {
            let revision = context.committed.groups.get(name).map(|group| group.revision).unwrap_or(0);
            return Decision::Read(ControlReturn::new(200, format!("{{\"events\":[],\"revision\":{revision}}}")));
        }
        Decision::Watch { group: name.to_owned(), after, wait_millis: wait_millis.min(LONGEST_WAIT_MILLIS) }
    }
}

/// The answer to a watch, or nothing while there is nothing to tell.
pub fn look(ledger: &Ledger, group: &str, after: u64, last_look: bool) -> Option<ControlReturn> {
    let none = || ControlReturn::new(200, format!("{{\"events\":[],\"revision\":{after}}}"));
    let Some(group) = ledger.groups.get(group) else {
        return last_look.then(none);
    };
    let Some(events) = group.after(after) else {
        return Some(ControlReturn::fault(410, "that revision is older than the history kept: read the keys anew"));
    };
    let events: Vec<String> = events
        .map(|event| {
            let (name, value) = (escape(&event.name), escape(&event.value));
            format!("{{\"name\":\"{name}\",\"value\":\"{value}\",\"revision\":{}}}", event.revision)
        })
        .collect();
    if events.is_empty() {
        return last_look.then(none);
    }
    let revision = group.revision;
    Some(ControlReturn::new(200, format!("{{\"events\":[{}],\"revision\":{revision}}}", events.join(","))))
}
