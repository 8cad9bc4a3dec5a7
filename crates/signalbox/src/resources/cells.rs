//! Small keys: puts that may rest on a revision, and reads that are never stale.

use super::{Body, Context, Decision, Resource, ResourcePlug, bad, not_allowed};
use crate::ledger::{Change, group_of};
use lineside::call::{ControlCall, ControlReturn};
use trackbed::logs::escape;

struct Cells;
inventory::submit! { ResourcePlug(&Cells) }

fn revision(status: u16, revision: u64) -> ControlReturn {
    ControlReturn::new(status, format!("{{\"revision\":{revision}}}"))
}

impl Resource for Cells {
    fn prefix(&self) -> &'static str {
        "/v1/cells/"
    }

    fn decide(&self, name: &str, call: &ControlCall, context: Context<'_>) -> Decision {
        match call.method.as_str() {
            "GET" => Decision::Read(read(name, &context)),
            "PUT" => match Body::read(&call.body) {
                Some(body) => put(name, &body, &context),
                None => bad("the body is not JSON"),
            },
            _ => not_allowed(),
        }
    }
}

fn read(name: &str, context: &Context<'_>) -> ControlReturn {
    match context.committed.groups.get(group_of(name)).and_then(|group| group.cells.get(name)) {
        Some((value, revision)) => {
            ControlReturn::new(200, format!("{{\"value\":\"{}\",\"revision\":{revision}}}", escape(value)))
        }
        None => ControlReturn::fault(404, "no such key"),
    }
}

fn put(name: &str, body: &Body, context: &Context<'_>) -> Decision {
    let Some(value) = body.text("value") else {
        return bad("value is missing: give a text");
    };
    let group = context.proposed.groups.get(group_of(name));
    if let Some(first) = group.and_then(|group| group.revision_of(name, value)) {
        return Decision::Committed(revision(200, first));
    }
    let current = group.and_then(|group| group.cells.get(name)).map(|(_, revision)| *revision).unwrap_or(0);
    if let Some(wanted) = body.number("enabled")
        && wanted != current
    {
        return Decision::Committed(revision(412, current));
    }
    let next = group.map(|group| group.revision).unwrap_or(0) + 1;
    let change = Change::CellPut { name: name.to_owned(), value: value.to_owned(), revision: next };
    Decision::Propose(Box::new(change), revision(200, next))
}
