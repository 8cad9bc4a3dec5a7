//! Which calls an endpoint is due, and what their answers mean.

use std::time::Duration;
use timetable::shards::{Assignment, KeyRange, certainly_over, renewable_for};
use trackbed::clock::Moment;
use trackbed::ids::Zxid;

/// How long the answer to a grant is waited for. A grant that was broken off by then is not taken later than that.
pub const CALL_LIMIT: Duration = Duration::from_millis(500);
/// How long the answer to a release is waited for: it comes once what ran on the keys has ended.
pub const RELEASE_LIMIT: Duration = Duration::from_secs(8);
/// A hold is renewed when that makes it longer by this share of the longest one.
const RENEWAL_GAIN: f64 = 0.25;
/// How long after a call that brought nothing the same one is due again.
const AGAIN_AFTER: Duration = Duration::from_millis(250);
/// Releases that one endpoint is called for at once: each keeps a connection until the work on its keys has ended.
const MOST_RELEASES: usize = 3;

/// One call that an endpoint is due.
#[derive(Clone, Debug, PartialEq)]
pub enum HoldCall {
    /// It is to hold keys for a time from the call's arrival, or for longer than it does.
    Grant {
        /// The keys.
        range: KeyRange,
        /// Above that of every earlier holder.
        fence: u64,
        /// For how long.
        hold: Duration,
        /// What the last holder left, or empty.
        handover: String,
    },
    /// It is to let go of keys.
    Release {
        /// The keys.
        range: KeyRange,
        /// The fence of their grant.
        fence: u64,
        /// How far the ordered state was known when the call was made.
        seen: Zxid,
    },
}

impl HoldCall {
    /// The keys that the call is about.
    pub fn range(&self) -> KeyRange {
        match self {
            Self::Grant { range, .. } | Self::Release { range, .. } => *range,
        }
    }

    /// The same call, made so much later than it was due: a hold is shorter by that. Nothing where no hold is left.
    pub fn made_later(&self, by: Duration) -> Option<Self> {
        let mut later = self.clone();
        if let Self::Grant { hold, .. } = &mut later {
            *hold = hold.checked_sub(by).filter(|hold| !hold.is_zero())?;
        }
        Some(later)
    }

    /// How long its answer is waited for.
    pub fn limit(&self) -> Duration {
        match self {
            Self::Grant { .. } => CALL_LIMIT,
            Self::Release { .. } => RELEASE_LIMIT,
        }
    }
}

/// What came of a call.
#[derive(Clone, Debug, PartialEq)]
pub enum CallOutcome {
    /// 200. For a release: with what the endpoint hands over.
    Done {
        /// The handover, or empty.
        handover: String,
    },
    /// 409: the endpoint has seen a higher fence.
    HigherFence,
    /// Another 4xx or 421: it was not carried out, and by this endpoint never will be.
    Declined {
        /// The status.
        status: u16,
    },
    /// The connection was refused, and nothing was sent: the endpoint has as many as it accepts, or is over.
    Refused,
    /// It was not reached.
    NotSent,
    /// It may have been carried out.
    Unclear,
}

/// By what holds may be granted.
#[derive(Clone, Copy, Debug)]
pub struct HoldTerms {
    /// When a primary was asked whose word the assignment rests on; nothing where none vouched for it.
    pub vouched: Option<Moment>,
    /// The longest hold.
    pub hold_max: Duration,
    /// How far the ordered state is known.
    pub known: Zxid,
}

/// Keys that an endpoint has let go.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointRelease {
    /// The keys.
    pub range: KeyRange,
    /// What the next holder is to be given.
    pub handover: String,
    /// How far the ordered state was known when the endpoint was called.
    pub seen: Zxid,
}

/// A grant that the endpoint has taken.
#[derive(Clone, Debug)]
struct TakenGrant {
    range: KeyRange,
    fence: u64,
    /// The endpoint holds the keys at least until then.
    until: Moment,
}

/// The calls to one life of an endpoint.
///
/// Invariants: no release is called while a grant of one of its keys is under way; and while a grant of a key may still be
/// taken, though its answer was lost, no release of that key counts. The keys are then free only when the hold has
/// certainly run out. Nothing but the endpoint's answer to a release, or that end, counts as letting go.
#[derive(Default)]
pub struct HoldCalls {
    /// When calls were first due. Whoever called before has granted nothing since.
    began: Option<Moment>,
    /// Keys that the endpoint may hold by grants that it has taken, each until when at most.
    possible: Vec<(KeyRange, Moment)>,
    taken: Vec<TakenGrant>,
    under_way: Vec<HoldCall>,
    /// Keys of grants without a clear answer, and until when a hold may rest on them.
    unclear: Vec<(KeyRange, Moment)>,
    /// Grants that the endpoint refused, since it has seen a higher fence: the same one is never made again.
    refused: Vec<(KeyRange, u64)>,
    /// Revoked keys that the endpoint let go, each with its revocation.
    let_go: Vec<(KeyRange, Zxid)>,
    /// No call is due before.
    rests_until: Option<Moment>,
}

fn overlaps(one: KeyRange, other: KeyRange) -> bool {
    one.intersection(other).is_some()
}

impl HoldCalls {
    /// The calls to be made now. Each is under way until [`HoldCalls::answered`].
    pub fn due(&mut self, assignment: &Assignment, terms: HoldTerms, now: Moment) -> Vec<HoldCall> {
        self.forget_what_is_over(assignment, now);
        self.began.get_or_insert(now);
        if self.rests_until.is_some_and(|until| now < until) {
            return Vec::new();
        }
        let mut due = self.releases_due(assignment, terms.known);
        let releasing = self.under_way.iter().filter(|call| matches!(call, HoldCall::Release { .. })).count();
        due.truncate(MOST_RELEASES.saturating_sub(releasing));
        // The endpoint stops new work on them when the call arrives.
        due.iter().for_each(|release| self.no_longer_taken(release.range()));
        due.extend(self.grants_due(assignment, terms, now));
        self.under_way.extend(due.iter().cloned());
        due
    }

    /// Revoked keys whose last hold has certainly run out, whether or not the endpoint could be called.
    pub fn run_out(&mut self, assignment: &Assignment, terms: HoldTerms, now: Moment) -> Vec<EndpointRelease> {
        self.forget_what_is_over(assignment, now);
        let former_are_over = self.began.is_some_and(|began| now.since(began) > certainly_over(terms.hold_max));
        if !former_are_over {
            return Vec::new();
        }
        let may_be_held = |range: KeyRange| {
            let granted = self.possible.iter().chain(&self.unclear);
            granted.map(|(granted, _)| granted).any(|granted| overlaps(*granted, range)) || self.is_under_way(range)
        };
        let open = assignment.revoked.iter().filter(|row| !self.has_let_go(row.range, row.revoked));
        let over: Vec<KeyRange> = open.map(|row| row.range).filter(|range| !may_be_held(*range)).collect();
        over.into_iter().filter_map(|range| self.let_go(range, "", terms.known, assignment)).collect()
    }

    fn forget_what_is_over(&mut self, assignment: &Assignment, now: Moment) {
        self.possible.retain(|(_, until)| now < *until);
        self.taken.retain(|taken| now < taken.until);
        self.unclear.retain(|(_, until)| now < *until);
        let is_held = |range, fence| assignment.held.iter().any(|row| row.fence == fence && overlaps(row.range, range));
        self.refused.retain(|(range, fence)| is_held(*range, *fence));
        let is_revoked =
            |range, revoked| assignment.revoked.iter().any(|row| row.revoked == revoked && overlaps(row.range, range));
        self.let_go.retain(|(range, revoked)| is_revoked(*range, *revoked));
    }

    fn is_under_way(&self, range: KeyRange) -> bool {
        self.under_way.iter().any(|call| overlaps(call.range(), range))
    }

    fn has_let_go(&self, range: KeyRange, revoked: Zxid) -> bool {
        self.let_go.iter().any(|(let_go, by)| *by == revoked && let_go.covers(range))
    }

    fn releases_due(&self, assignment: &Assignment, known: Zxid) -> Vec<HoldCall> {
        let open = assignment.revoked.iter().filter(|row| !self.has_let_go(row.range, row.revoked));
        let free = open.filter(|row| !self.is_under_way(row.range));
        free.filter_map(|row| Some(HoldCall::Release { range: row.range, fence: row.fence?, seen: known })).collect()
    }

    fn grants_due(&self, assignment: &Assignment, terms: HoldTerms, now: Moment) -> Vec<HoldCall> {
        let longest = terms.vouched.and_then(|vouched| renewable_for(vouched, now, terms.hold_max));
        // The endpoint counts from the call's arrival, which may be that much later.
        let Some(hold) = longest.map(|hold| hold.saturating_sub(CALL_LIMIT)).filter(|hold| !hold.is_zero()) else {
            return Vec::new();
        };
        let gain = terms.hold_max.mul_f64(RENEWAL_GAIN);
        let is_fresh = |range: KeyRange, fence: u64| {
            let taken = self.taken.iter().filter(|taken| taken.fence == fence && taken.range.covers(range));
            taken.map(|taken| taken.until).max().is_some_and(|until| now + hold < until + gain)
        };
        let stale = assignment.held.iter().filter(|row| !is_fresh(row.range, row.fence));
        let is_refused = |range: KeyRange, fence: u64| {
            self.refused.iter().any(|(refused, by)| *by == fence && overlaps(*refused, range))
        };
        let free = stale.filter(|row| !self.is_under_way(row.range) && !is_refused(row.range, row.fence));
        let grant = |row: &timetable::shards::AssignedRange| HoldCall::Grant {
            range: row.range,
            fence: row.fence,
            hold,
            handover: row.handover.clone(),
        };
        free.map(grant).collect()
    }

    /// Takes in what came of a call that was due at `sent`. Gives what the endpoint has let go, for the core.
    pub fn answered(
        &mut self,
        call: &HoldCall,
        outcome: &CallOutcome,
        assignment: &Assignment,
        hold_max: Duration,
        sent: Moment,
        now: Moment,
    ) -> Option<EndpointRelease> {
        if let Some(at) = self.under_way.iter().position(|other| other == call) {
            self.under_way.swap_remove(at);
        }
        match (call, outcome) {
            (HoldCall::Grant { range, fence, hold, .. }, CallOutcome::Done { .. }) => {
                self.taken.retain(|taken| !(taken.fence == *fence && range.covers(taken.range)));
                self.taken.push(TakenGrant { range: *range, fence: *fence, until: sent + *hold });
                // It counts from the arrival, which was before the answer.
                let over = now + certainly_over(*hold);
                self.possible.retain(|(possible, until)| !range.covers(*possible) || *until > over);
                self.possible.push((*range, over));
                None
            }
            (HoldCall::Grant { range, .. }, CallOutcome::Unclear) => {
                self.unclear.push((*range, now + certainly_over(hold_max)));
                self.rest(now);
                None
            }
            (HoldCall::Grant { range, fence, .. }, CallOutcome::HigherFence) => {
                log::error!("an endpoint refused keys {range} under fence {fence}: it has seen a higher one");
                self.refused.push((*range, *fence));
                None
            }
            (HoldCall::Release { range, seen, .. }, CallOutcome::Done { handover }) => {
                self.let_go(*range, handover, *seen, assignment)
            }
            _ => {
                self.rest(now);
                None
            }
        }
    }

    fn no_longer_taken(&mut self, range: KeyRange) {
        let taken = std::mem::take(&mut self.taken);
        let left =
            |taken: TakenGrant| taken.range.without(range).map(move |range| TakenGrant { range, ..taken.clone() });
        self.taken = taken.into_iter().flat_map(left).collect();
    }

    fn rest(&mut self, now: Moment) {
        self.rests_until = Some(now + AGAIN_AFTER);
    }

    fn let_go(
        &mut self,
        range: KeyRange,
        handover: &str,
        seen: Zxid,
        assignment: &Assignment,
    ) -> Option<EndpointRelease> {
        self.no_longer_taken(range);
        let revoked = assignment.revoked.iter().filter(|row| row.revoked <= seen && row.range.covers(range));
        self.let_go.extend(revoked.map(|row| (range, row.revoked)));
        if self.unclear.iter().any(|(unclear, _)| overlaps(*unclear, range)) {
            return None;
        }
        Some(EndpointRelease { range, handover: handover.to_owned(), seen })
    }

    /// What the endpoint is known to hold, each range until when at least.
    pub fn held(&self) -> Vec<(KeyRange, Moment)> {
        self.taken.iter().map(|taken| (taken.range, taken.until)).collect()
    }
}
