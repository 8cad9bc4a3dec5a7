//! An emulated endpoint of the divided service, as a process of its own: it serves requests for keys that it holds,
//! sends heartbeats, and says on standard output what it saw.

mod coldness;
pub mod events;
mod heartbeat;
pub mod holds;
mod messages;
mod server;

use coldness::Coldness;
use events::{Event, shared_micros};
use heartbeat::{beat_for_ever, leave};
use holds::{Hold, Holds};
use messages::Settings;
use server::serve_for_ever;
use std::cell::{Cell, RefCell};
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use trackbed::kernel;
use trackbed::net::bind_tcp;
use trackbed::random::Random;

const LOOK_EVERY: Duration = Duration::from_millis(20);
/// For how long a signalled trouble lasts.
const TROUBLE_LASTS: Duration = Duration::from_secs(2);
/// A clock may run this much slow; those of every second endpoint do.
const SLOW_CLOCK: f64 = 1.02;

struct Endpoint {
    settings: Settings,
    life: String,
    random: RefCell<Random>,
    holds: RefCell<Holds>,
    /// The keys of requests at work.
    running: RefCell<Vec<u16>>,
    /// What was let go since the last acknowledged heartbeat.
    released: RefCell<Vec<(u16, u16, String)>>,
    /// Let go, and still worked on.
    letting_go: RefCell<Vec<(u16, u16)>>,
    loses_answers_until: Cell<u64>,
    silent_until: Cell<u64>,
    is_draining: Cell<bool>,
    /// A heartbeat that said so was acknowledged.
    drain_is_known: Cell<bool>,
    coldness: Coldness,
}

/// Runs an endpoint until its process is killed or asked to end; gives the process's status.
pub fn main(settings: &Path) -> i32 {
    let text = match std::fs::read(settings) {
        Ok(text) => text,
        Err(error) => return fail(&format!("{}: {error}", settings.display())),
    };
    let settings: Settings = match sonic_rs::from_slice(&text) {
        Ok(settings) => settings,
        Err(error) => return fail(&format!("{}: {error}", settings.display())),
    };
    let (lose, silence, end) = (Arc::<AtomicBool>::default(), Arc::<AtomicBool>::default(), Arc::default());
    let cold = Arc::<AtomicBool>::default();
    let signals = [
        signal_hook::flag::register(signal_hook::consts::SIGUSR1, lose.clone()),
        signal_hook::flag::register(signal_hook::consts::SIGUSR2, silence.clone()),
        signal_hook::flag::register(signal_hook::consts::SIGTERM, Arc::clone(&end)),
        signal_hook::flag::register(signal_hook::consts::SIGHUP, cold.clone()),
    ];
    if signals.iter().any(Result::is_err) {
        return fail("signals can't be taken over");
    }
    let mut random = Random::from_system();
    let life = format!("i-{}-{:x}", settings.index, random.draw() as u32);
    let endpoint = Rc::new(Endpoint {
        settings,
        life,
        random: RefCell::new(random),
        holds: RefCell::default(),
        running: RefCell::default(),
        released: RefCell::default(),
        letting_go: RefCell::default(),
        loses_answers_until: Cell::new(0),
        silent_until: Cell::new(0),
        is_draining: Cell::new(false),
        drain_is_known: Cell::new(false),
        coldness: Coldness::default(),
    });
    let outcome = kernel::run(async {
        let listener = match bind_tcp(endpoint.settings.address) {
            Ok(listener) => listener,
            Err(error) => return eprintln!("{}: {error}", endpoint.settings.address),
        };
        Event::Started { at: shared_micros(), life: endpoint.life.clone() }.tell();
        if endpoint.settings.cold.is_some_and(|cold| cold.starts_cold) {
            endpoint.turn_cold();
        }
        monoio::spawn(serve_for_ever(endpoint.clone(), listener));
        monoio::spawn(beat_for_ever(endpoint.clone()));
        while !end.load(Ordering::Relaxed) {
            let until = shared_micros() + TROUBLE_LASTS.as_micros() as u64;
            if lose.swap(false, Ordering::Relaxed) {
                endpoint.loses_answers_until.set(until);
            }
            if silence.swap(false, Ordering::Relaxed) {
                endpoint.silent_until.set(until);
            }
            if cold.swap(false, Ordering::Relaxed) {
                endpoint.turn_cold();
            }
            monoio::time::sleep(LOOK_EVERY).await;
        }
        leave(&endpoint).await;
        Event::Ended { at: shared_micros(), life: endpoint.life.clone() }.tell();
    });
    outcome.is_err() as i32
}

fn fail(reason: &str) -> i32 {
    eprintln!("endpoint: {reason}");
    1
}

impl Endpoint {
    fn clock(&self) -> f64 {
        if self.settings.index % 2 == 1 { SLOW_CLOCK } else { 1.0 }
    }

    fn take(&self, hold: Hold, at: u64) -> Result<(), holds::HigherFenceSeen> {
        let Hold { first, last, fence, until } = hold;
        self.holds.borrow_mut().grant(hold)?;
        Event::Held { at, life: self.life.clone(), first, last, fence, until }.tell();
        Ok(())
    }

    fn let_go(&self, first: u16, last: u16) {
        Event::LetGo { at: shared_micros(), life: self.life.clone(), first, last }.tell();
    }

    fn is_working_on(&self, first: u16, last: u16) -> bool {
        self.running.borrow().iter().any(|key| first <= *key && *key <= last)
    }

    fn handover(&self) -> String {
        format!("{:016x}", self.random.borrow_mut().draw())
    }
}
