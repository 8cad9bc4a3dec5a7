//! This node's own table, looked at over and over and told to the core.

use super::{Pointsman, coordination, core_calls, learn};
use lineside::call::{Ask, CallError, Reply};
use lineside::inspection::RoutesReport;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use timetable::configuration::{DigestPass, Routes, TableDigest};
use trackbed::clock::{self, Moment};

/// Routes looked at in one turn of the loop.
const LOOKED_AT: usize = 64;
const TELL_EVERY: Duration = Duration::from_secs(2);
/// Core nodes told in turn until one takes it.
const ASKED: usize = 3;
const ASK_LIMIT: Duration = Duration::from_millis(500);
/// A second drift within this time shows that fetching anew does not help.
const SOON_AGAIN: Duration = Duration::from_secs(30);

/// One table, and what it came to.
struct Seen {
    digest: TableDigest,
    routes: Rc<Routes>,
}

/// Invariant: what is told was worked out from the table that lookups use, and not remembered from when
/// it was taken.
#[derive(Default)]
pub struct RoutesCheck {
    pass: RefCell<Option<DigestPass>>,
    last: RefCell<Option<Seen>>,
    /// The table that was last found wrong, for whoever asks what was wrong with it.
    wrong: RefCell<Option<Seen>>,
    drifted_at: Cell<Option<Moment>>,
    /// Fetching anew did not help: this node asks not to be given work until it is in step.
    mistrusted: Cell<bool>,
    /// Somebody contradicted this table: it is told at once.
    doubted: Cell<bool>,
}

impl RoutesCheck {
    pub fn is_mistrusted(&self) -> bool {
        self.mistrusted.get()
    }

    pub fn doubt(&self) {
        self.doubted.set(true);
    }

    /// Looks at some more of the table in use.
    pub fn step(&self, routes: Option<&Rc<Routes>>) {
        let Some(routes) = routes else { return };
        let mut pass = self.pass.borrow_mut();
        let going_on = pass.take().filter(|pass| pass.is_of(routes));
        let mut current = going_on.unwrap_or_else(|| DigestPass::begin(routes.clone()));
        match current.step(LOOKED_AT) {
            Some(digest) => *self.last.borrow_mut() = Some(Seen { digest, routes: current.table().clone() }),
            None => *pass = Some(current),
        }
    }

    /// What stands in the table of that root where it differs from the leaves.
    pub fn detail(&self, root: u64, leaves: &[u64]) -> Reply {
        for seen in [&self.wrong, &self.last] {
            if let Some(seen) = seen.borrow().as_ref().filter(|seen| seen.digest.root() == root) {
                let all: Vec<u32> = (0..seen.digest.leaves.len() as u32).collect();
                let differing = seen.digest.differing(leaves);
                // All entries are few bytes beside what a request costs, and they are asked for once.
                let leaves = if differing.is_empty() { &differing } else { &all };
                return Reply::RoutesDetail(seen.routes.entries(leaves));
            }
        }
        Reply::NotNow("that table is not here any more".into())
    }
}

/// Tells the core what the table comes to, and mends it when told that it is wrong.
pub async fn keep(node: Rc<Pointsman>) {
    let mut next = clock::now() + Duration::from_millis(node.random.borrow_mut().below(2000));
    loop {
        monoio::time::sleep(Duration::from_millis(100)).await;
        let now = clock::now();
        if now < next && !node.routes_check.doubted.get() {
            continue;
        }
        next = now + TELL_EVERY;
        let digest = node.routes_check.last.borrow().as_ref().map(|seen| (seen.digest.epoch, seen.digest.root()));
        let Some((epoch, root)) = digest else { continue };
        node.routes_check.doubted.set(false);
        let address = node.roster.borrow().me().address;
        let name = node.live.get().node_name.clone();
        let fleet = node.fleet.borrow().zxid();
        let report = RoutesReport { node: name, life: node.life, address, epoch, root, fleet };
        let mut reply = Err(CallError::NotSent);
        for core in core_calls::cores(&node).into_iter().take(ASKED) {
            reply = node.caller.call_lightly(core, Ask::Routes(report.clone()), ASK_LIMIT).await;
            if matches!(reply, Ok(Reply::Done | Reply::OutOfStep)) {
                coordination::core_spoke(&node);
                break;
            }
        }
        match reply {
            Ok(Reply::OutOfStep) => mend(&node, root).await,
            Ok(Reply::Done) if node.routes_check.mistrusted.replace(false) => {
                log::warn!("routes are in step again: this node takes work");
            }
            _ => {}
        }
    }
}

async fn mend(node: &Rc<Pointsman>, root: u64) {
    let check = &node.routes_check;
    let now = clock::now();
    let again = check.drifted_at.replace(Some(now)).is_some_and(|before| now.since(before) < SOON_AGAIN);
    let last = check.last.take();
    log::error!(
        "routes in use are not those meant for {:?}: the whole is fetched anew",
        last.as_ref().map(|seen| seen.digest.epoch)
    );
    if let Some(seen) = last.filter(|seen| seen.digest.root() == root) {
        *check.wrong.borrow_mut() = Some(seen);
    }
    if again && !check.mistrusted.replace(true) {
        log::error!("routes drifted again: this node asks for no work until they are in step");
    }
    if let Some(Reply::News { news: Some(whole), .. }) =
        core_calls::ask_core(node, Ask::Whole, Duration::from_secs(3)).await
    {
        learn::replace(node, whole);
    }
}
