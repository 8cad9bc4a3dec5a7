//! Calls of operators and applications, as a primary decides them and applies what comes of them.

use super::Target;
use interlocking::zab::{Image, Timing, Voter, Zab};
use lineside::call::ControlCall;
use signalbox::ledger::Ledger;
use signalbox::replica::{CallId, Effect, Replica};
use signalbox::resources::Places;
use std::time::Duration;
use trackbed::clock::Moment;
use trackbed::ids::MemberId;

const HISTORY: Duration = Duration::from_secs(20);
const STEP: Duration = Duration::from_millis(50);
/// Steps in which a single member becomes the primary.
const ELECTION_STEPS: usize = 100;
/// Calls after which the state begins anew, so that it stays small.
const CALLS_OF_ONE_STATE: u64 = 2_000;

/// A request line, the version that the call builds on, and the body.
const EXAMPLES: [&str; 10] = [
    "POST /v1/locks/l\n\n{\"holder\":\"a\",\"hold_s\":2}",
    "PUT /v1/locks/l\n\n{\"holder\":\"a\",\"fence_token\":1,\"hold_s\":2}",
    "DELETE /v1/locks/l\n\n{\"holder\":\"a\",\"fence_token\":1}",
    "POST /v1/numbers/n\n\n{}",
    "PUT /v1/cells/g.k\n\n{\"value\":\"v\",\"enabled\":0}",
    "GET /v1/watch/g.?after=0&wait_ms=10\n\n",
    "POST /v1/evacuations/z\n\n",
    "DELETE /v1/evacuations/z\n\n",
    "PUT /v1/configuration\n0\n{\"version\":\"r1\",\"routes\":{},\"services\":{}}",
    "PATCH /v1/configuration\nr1\n{\"version\":\"r2\",\"upserts\":{\"services\":{\"s\":{}}}}",
];

pub(super) fn target() -> Target {
    let mut member = Member::start();
    Target::of_json("call", &EXAMPLES, move |input| {
        if member.calls == CALLS_OF_ONE_STATE {
            member = Member::start();
        }
        member.call(read_call(input));
    })
}

/// Reads a call off the lines of an example; what is missing is empty.
fn read_call(input: &[u8]) -> ControlCall {
    let mut lines = input.splitn(3, |byte| *byte == b'\n');
    let mut text = || String::from_utf8_lossy(lines.next().unwrap_or_default()).into_owned();
    let (first, base) = (text(), text());
    let (method, target) = first.split_once(' ').unwrap_or(("PUT", "/v1/configuration"));
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    ControlCall {
        method: method.into(),
        path: path.into(),
        query: query.into(),
        if_match: (!base.is_empty()).then_some(base),
        body: lines.next().unwrap_or(input).to_vec().into(),
    }
}

/// The only member of a core.
struct Member {
    replica: Replica,
    now: Moment,
    calls: u64,
}

impl Member {
    fn start() -> Self {
        let now = Moment::from_micros(1_000_000);
        let voter = Voter { id: MemberId(1), address: ([10, 0, 0, 1], 80).into() };
        let zab = Zab::start(Image::empty(MemberId(1), vec![voter.clone()]), voter, Timing::default(), 1, now);
        let mut member = Self { replica: Replica::new(zab, Ledger::new(HISTORY), HISTORY), now, calls: 0 };
        for _ in 0..ELECTION_STEPS {
            member.tick();
        }
        assert!(member.replica.zab().borrow().is_primary(), "it is alone");
        member
    }

    fn tick(&mut self) {
        self.now = self.now + STEP;
        let effects = self.replica.tick(self.now);
        self.carry_out(effects);
    }

    /// Every write is durable at once.
    fn carry_out(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            if let Effect::Persist { ticket, .. } = effect {
                let effects = self.replica.durable(ticket, self.now);
                self.carry_out(effects);
            }
        }
    }

    /// Decides a call. What was ordered is applied, and a member that starts anew reads the same state.
    fn call(&mut self, call: ControlCall) {
        self.calls += 1;
        self.now = self.now + Duration::from_millis(1);
        let effects = self.replica.call(CallId(self.calls), &call, Places::ANY, self.now);
        self.carry_out(effects);
        if self.calls.is_multiple_of(100) {
            self.tick();
            let state = self.replica.committed().borrow().encode();
            let again = Ledger::decode(&state, HISTORY, self.now).map(|ledger| ledger.encode());
            assert_eq!(again.ok(), Some(state));
        }
    }
}
