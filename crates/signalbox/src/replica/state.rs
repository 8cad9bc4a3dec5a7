//! The state machine itself.

use super::effect::{CallId, Effect, Outcome, Route};
use super::membership::{Departing, Departure, next_voters};
use crate::ledger::{Change, Ledger, group_of};
use crate::resources::{self, Context, Decision, Hold, LockMetrics, Places};
use interlocking::zab::{Action, Envelope, Ticket, Voter, Zab};
use lineside::call::{ControlCall, ControlReturn};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use timetable::fleet::{FleetChange, FleetState};
use timetable::packed::Packed;
use trackbed::clock::Moment;
use trackbed::ids::{MemberId, Zxid};

const MAYBE_DEPOSED: &str = "this node may no longer be the primary: ask again";
const PRIMARY_CHANGED: &str = "the primary has changed: ask again";

/// A call that waits until a transaction is committed.
struct WaitingCall {
    call: CallId,
    success: Outcome,
    /// The answer rests on no change of its own, so a majority must stand behind it by the lease.
    needs_lease: bool,
}

/// A call that waits for events of a group of keys.
struct WaitingWatch {
    call: CallId,
    after: u64,
    until: Moment,
}

/// One member. Its parts that the node's other duties read are shared with them.
pub struct Replica {
    zab: Rc<RefCell<Zab>>,
    /// Invariant: exactly what Zab delivered here.
    committed: Rc<RefCell<Ledger>>,
    /// Invariant: only while this member is the primary; `committed` and all that was proposed since.
    proposed: Rc<RefCell<Option<Ledger>>>,
    /// The hold of each lock that is taken. Only while this member is the primary.
    holds: BTreeMap<String, Hold>,
    lock_metrics: LockMetrics,
    waiting: BTreeMap<Zxid, Vec<WaitingCall>>,
    watches: BTreeMap<String, Vec<WaitingWatch>>,
    /// Members that asked this one to be released.
    departing: Departing,
    /// How long events of keys are promised to be kept.
    history: Duration,
}

impl Replica {
    /// A member whose committed state is that of the snapshot Zab starts from.
    pub fn new(zab: Zab, committed: Ledger, history: Duration) -> Self {
        Self {
            zab: Rc::new(RefCell::new(zab)),
            committed: Rc::new(RefCell::new(committed)),
            proposed: Rc::default(),
            holds: BTreeMap::new(),
            lock_metrics: LockMetrics::default(),
            waiting: BTreeMap::new(),
            watches: BTreeMap::new(),
            departing: Departing::default(),
            history,
        }
    }

    /// The order of changes, shared with the duties that read it.
    pub fn zab(&self) -> &Rc<RefCell<Zab>> {
        &self.zab
    }

    /// The committed state, shared with the duties that read it.
    pub fn committed(&self) -> &Rc<RefCell<Ledger>> {
        &self.committed
    }

    /// The state with all that was proposed, shared with the duties that propose.
    pub fn proposed(&self) -> &Rc<RefCell<Option<Ledger>>> {
        &self.proposed
    }

    /// What this member decided of locks as the primary.
    pub fn lock_metrics(&self) -> &LockMetrics {
        &self.lock_metrics
    }

    /// How long events of keys are kept from the next snapshot on.
    pub fn set_history(&mut self, history: Duration) {
        self.history = history;
    }

    /// Whether a majority stands behind this primary, so that no other can be.
    pub fn lease_holds(&self, now: Moment) -> bool {
        self.zab.borrow().lease_holds(now)
    }

    /// Where a call that came to this member is to be decided.
    pub fn route(&self) -> Route {
        let zab = self.zab.borrow();
        match zab.primary() {
            Some(primary) if primary.id == zab.me().id => Route::Here,
            Some(primary) => Route::Forward(primary),
            None => Route::NoPrimary,
        }
    }

    /// The set of voters to be proposed next, where this is the primary and the present one is not right.
    pub fn next_voters(&self, needed: usize, now: Moment) -> Option<Vec<Voter>> {
        next_voters(&self.zab.borrow(), &self.departing, needed, now)
    }

    /// A member is about to end, and asks to be released within the limit.
    pub fn begin_departure(&mut self, member: MemberId, limit: Duration, now: Moment) -> Departure {
        self.departing.note(member, now);
        Departure::begin(&self.zab.borrow(), member, limit, now)
    }

    /// A message of another member.
    pub fn handle(&mut self, envelope: Envelope, now: Moment) -> Vec<Effect> {
        let actions = self.zab.borrow_mut().handle(envelope, now);
        self.advance(actions, now)
    }

    /// A write and all before it is on disk.
    pub fn durable(&mut self, ticket: Ticket, now: Moment) -> Vec<Effect> {
        let actions = self.zab.borrow_mut().durable(ticket, now);
        self.advance(actions, now)
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Moment) -> Vec<Effect> {
        let actions = self.zab.borrow_mut().tick(now);
        let mut effects = self.advance(actions, now);
        self.finish_due_watches(now, &mut effects);
        effects
    }

    /// Decides a call of an operator or an application. Its answer is among these effects or later ones.
    pub fn call(&mut self, id: CallId, call: &ControlCall, places: Places<'_>, now: Moment) -> Vec<Effect> {
        let Some((resource, name)) = resources::find(&call.path) else {
            return vec![Effect::answer(id, ControlReturn::fault(404, "no such resource"))];
        };
        let Some(decision) = self.decide(resource, name, call, places, now) else {
            return vec![Effect::answer(id, ControlReturn::not_now(PRIMARY_CHANGED))];
        };
        match decision {
            Decision::Read(answer) => vec![Effect::answer(id, self.under_lease(answer, now))],
            Decision::Committed(answer) => self.answer_when_committed(id, Outcome::Answered(answer), now),
            Decision::Propose(change, answer) => match self.propose(*change, now) {
                Some((zxid, actions)) => {
                    let success = Outcome::Answered(answer);
                    self.wait_until_committed(zxid, WaitingCall { call: id, success, needs_lease: false });
                    self.advance(actions, now)
                }
                None => vec![Effect::answer(id, ControlReturn::not_now(PRIMARY_CHANGED))],
            },
            Decision::Watch { group, after, wait_millis } => {
                let until = now + Duration::from_millis(wait_millis);
                self.watch(group, WaitingWatch { call: id, after, until }, now)
            }
        }
    }

    /// Orders a change of the fleet; `change` gives none where the state proposed so far holds it already.
    pub fn order_fleet(
        &mut self,
        id: CallId,
        change: impl FnOnce(&FleetState) -> Option<FleetChange>,
        now: Moment,
    ) -> Vec<Effect> {
        let change = match self.proposed.borrow().as_ref() {
            Some(proposed) => change(&proposed.fleet),
            None => return vec![Effect::Finish { call: id, outcome: Outcome::NotPrimary }],
        };
        let Some(change) = change else {
            return self.answer_when_committed(id, Outcome::Committed, now);
        };
        match self.propose(Change::Fleet(change), now) {
            Some((zxid, actions)) => {
                let waiting = WaitingCall { call: id, success: Outcome::Committed, needs_lease: false };
                self.wait_until_committed(zxid, waiting);
                self.advance(actions, now)
            }
            None => vec![Effect::Finish { call: id, outcome: Outcome::NotPrimary }],
        }
    }

    /// Orders a change that nobody waits for.
    pub fn order(&mut self, change: Change, now: Moment) -> Vec<Effect> {
        match self.propose(change, now) {
            Some((_, actions)) => self.advance(actions, now),
            None => Vec::new(),
        }
    }

    /// Takes in what Zab did, and says what is to be carried out.
    pub fn advance(&mut self, actions: Vec<Action>, now: Moment) -> Vec<Effect> {
        let mut effects = Vec::with_capacity(actions.len());
        for action in actions {
            match action {
                Action::Send { to, message } => {
                    let from = self.zab.borrow().me().clone();
                    let envelope = Envelope { from, to: to.id, message };
                    effects.push(Effect::Send { to: to.address, envelope });
                }
                Action::Persist { ticket, records } => effects.push(Effect::Persist { ticket, records }),
                Action::Deliver { zxid, payload } => match Packed::read::<Change>(&payload) {
                    Ok(change) => self.deliver(zxid, change, Packed::from_bytes(payload), now, &mut effects),
                    Err(error) => log::error!("a transaction can't be read ({error}): upgrade this node"),
                },
                Action::DeliverSnapshot { zxid, state } => self.adopt_snapshot(zxid, &state, now, &mut effects),
                Action::Ready { epoch } => {
                    self.take_over(now);
                    effects.push(Effect::BecamePrimary { epoch });
                }
                Action::Deposed => self.step_down(&mut effects),
            }
        }
        self.finish_committed_calls(now, &mut effects);
        effects
    }

    fn decide(
        &mut self,
        resource: &dyn resources::Resource,
        name: &str,
        call: &ControlCall,
        places: Places<'_>,
        now: Moment,
    ) -> Option<Decision> {
        let proposed = self.proposed.borrow();
        let context = Context {
            proposed: proposed.as_ref()?,
            committed: &self.committed.borrow(),
            holds: &mut self.holds,
            lock_metrics: &self.lock_metrics,
            now,
            places,
        };
        Some(resource.decide(name, call, context))
    }

    fn under_lease(&self, answer: ControlReturn, now: Moment) -> ControlReturn {
        match self.lease_holds(now) {
            true => answer,
            false => ControlReturn::not_now(MAYBE_DEPOSED),
        }
    }

    /// Broadcasts one change, and builds the next on it. A change that the ledger would refuse is not broadcast.
    fn propose(&mut self, change: Change, now: Moment) -> Option<(Zxid, Vec<Action>)> {
        let mut proposed = self.proposed.borrow_mut();
        let ledger = proposed.as_mut()?;
        if let Err(refusal) = ledger.check(&change) {
            log::error!("a change is not proposed, as no member would apply it: {refusal}");
            return None;
        }
        let payload = Packed::pack(&change).into_bytes();
        let (zxid, actions) = self.zab.borrow_mut().propose(vec![payload], now)?;
        if let Err(refusal) = ledger.apply(zxid, change, now) {
            log::error!("the change proposed at {zxid} will be refused by every member: {refusal}");
        }
        Some((zxid, actions))
    }

    fn wait_until_committed(&mut self, zxid: Zxid, waiting: WaitingCall) {
        self.waiting.entry(zxid).or_default().push(waiting);
    }

    /// Finishes a call once all that was proposed so far is committed: its outcome rests on it.
    fn answer_when_committed(&mut self, call: CallId, success: Outcome, now: Moment) -> Vec<Effect> {
        let last = self.zab.borrow().history().last();
        self.wait_until_committed(last, WaitingCall { call, success, needs_lease: true });
        let mut effects = Vec::new();
        self.finish_committed_calls(now, &mut effects);
        effects
    }

    fn finish_committed_calls(&mut self, now: Moment, effects: &mut Vec<Effect>) {
        let delivered = self.zab.borrow().delivered();
        while let Some(first) = self.waiting.first_entry() {
            if *first.key() > delivered {
                return;
            }
            for waiting in first.remove() {
                let assured = !waiting.needs_lease || self.lease_holds(now);
                let outcome = if assured { waiting.success } else { unknown_like(&waiting.success) };
                effects.push(Effect::Finish { call: waiting.call, outcome });
            }
        }
    }

    fn deliver(&mut self, zxid: Zxid, change: Change, payload: Packed, now: Moment, effects: &mut Vec<Effect>) {
        let group = match &change {
            Change::CellPut { name, .. } => Some(group_of(name).to_owned()),
            _ => None,
        };
        let is_fleet = matches!(change, Change::Fleet(_));
        let is_configuration = matches!(change, Change::Fleet(FleetChange::Configure { .. }));
        if let Err(refusal) = self.committed.borrow_mut().apply_delivered(zxid, change, payload, now) {
            log::error!("the change at {zxid} is left out by every member: {refusal}");
            return;
        }
        if let Some(group) = group {
            self.look_again(&group, now, effects);
        }
        if is_configuration {
            self.tell_configuration(effects);
        }
        if is_fleet {
            effects.push(Effect::FleetMoved);
        }
    }

    fn adopt_snapshot(&mut self, zxid: Zxid, state: &[u8], now: Moment, effects: &mut Vec<Effect>) {
        match Ledger::decode(state, self.history, now) {
            Ok(ledger) => *self.committed.borrow_mut() = ledger,
            Err(error) => log::error!("the snapshot at {zxid} can't be read ({error}): upgrade this node"),
        }
        self.tell_configuration(effects);
        effects.push(Effect::FleetMoved);
    }

    fn tell_configuration(&self, effects: &mut Vec<Effect>) {
        let routes = self.committed.borrow().fleet.routes().cloned();
        effects.extend(routes.map(Effect::ConfigurationCommitted));
    }

    /// Every hold is counted anew: what the last primary granted without an order ends before this does.
    fn take_over(&mut self, now: Moment) {
        let committed = self.committed.borrow();
        self.holds =
            committed.locks.iter().map(|(lock, record)| (lock.clone(), Hold::counted_from(now, record))).collect();
        log::info!("counts the holds of {} locks from now on", self.holds.len());
        *self.proposed.borrow_mut() = Some(committed.for_proposals());
    }

    /// Nobody who waits here can be told any more what came of the call.
    fn step_down(&mut self, effects: &mut Vec<Effect>) {
        self.proposed.borrow_mut().take();
        self.holds.clear();
        for waiting in std::mem::take(&mut self.waiting).into_values().flatten() {
            let outcome = unknown_like(&waiting.success);
            effects.push(Effect::Finish { call: waiting.call, outcome });
        }
        for watch in std::mem::take(&mut self.watches).into_values().flatten() {
            effects.push(Effect::answer(watch.call, ControlReturn::not_now(PRIMARY_CHANGED)));
        }
        effects.push(Effect::Deposed);
    }

    fn watch(&mut self, group: String, watch: WaitingWatch, now: Moment) -> Vec<Effect> {
        match self.look(&group, &watch, now) {
            Some(answer) => vec![Effect::answer(watch.call, answer)],
            None => {
                self.watches.entry(group).or_default().push(watch);
                Vec::new()
            }
        }
    }

    /// The answer to a watch, or nothing while there is nothing to tell.
    fn look(&self, group: &str, watch: &WaitingWatch, now: Moment) -> Option<ControlReturn> {
        let is_due = now >= watch.until;
        let answer = resources::watch_look(&self.committed.borrow(), group, watch.after, is_due)?;
        Some(self.under_lease(answer, now))
    }

    fn look_again(&mut self, group: &str, now: Moment, effects: &mut Vec<Effect>) {
        let Some(watches) = self.watches.remove(group) else { return };
        let mut left = Vec::new();
        for watch in watches {
            match self.look(group, &watch, now) {
                Some(answer) => effects.push(Effect::answer(watch.call, answer)),
                None => left.push(watch),
            }
        }
        if !left.is_empty() {
            self.watches.insert(group.to_owned(), left);
        }
    }

    fn finish_due_watches(&mut self, now: Moment, effects: &mut Vec<Effect>) {
        let is_due = |watches: &Vec<WaitingWatch>| watches.iter().any(|watch| now >= watch.until);
        let due: Vec<String> =
            self.watches.iter().filter(|(_, watches)| is_due(watches)).map(|(group, _)| group.clone()).collect();
        for group in due {
            self.look_again(&group, now, effects);
        }
    }
}

/// What a call is told when its outcome can't be known: in the manner its success would have been.
fn unknown_like(success: &Outcome) -> Outcome {
    match success {
        Outcome::Answered(_) => Outcome::Answered(ControlReturn::unknown()),
        _ => Outcome::Unknown,
    }
}
