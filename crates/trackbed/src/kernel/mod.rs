//! What every program's loop starts with: the runtime, and the platform's signals.

use crate::config::LocalConfig;
use std::cell::RefCell;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, SystemTime};

/// Runs the one loop of a program on its one thread, on the epoll driver.
pub fn run(main: impl Future<Output = ()>) -> std::io::Result<()> {
    let mut runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new().enable_timer().build()?;
    runtime.block_on(main);
    Ok(())
}

/// The platform's signals, as flags that the loop looks at.
pub struct Signals {
    terminate: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
}

impl Signals {
    /// Takes the signals over from the system's defaults.
    pub fn register() -> std::io::Result<Self> {
        let signals = Self { terminate: Arc::default(), reload: Arc::default() };
        signal_hook::flag::register(signal_hook::consts::SIGTERM, signals.terminate.clone())?;
        signal_hook::flag::register(signal_hook::consts::SIGINT, signals.terminate.clone())?;
        signal_hook::flag::register(signal_hook::consts::SIGHUP, signals.reload.clone())?;
        Ok(signals)
    }

    /// Whether the platform has asked this process to end.
    pub fn terminated(&self) -> bool {
        self.terminate.load(Ordering::Relaxed)
    }

    fn take_reload(&self) -> bool {
        self.reload.swap(false, Ordering::Relaxed)
    }
}

/// The settings in force, read again on SIGHUP and when the file changes.
pub struct LiveConfig {
    path: PathBuf,
    /// Invariant: always a whole, checked set; a faulty file leaves the last good one.
    current: RefCell<Rc<LocalConfig>>,
    seen: RefCell<Option<SystemTime>>,
}

impl LiveConfig {
    /// Settings as they were read from a file.
    pub fn new(path: PathBuf, config: LocalConfig) -> Self {
        let seen = RefCell::new(Self::stamp(&path));
        Self { path, current: RefCell::new(Rc::new(config)), seen }
    }

    /// The settings in force.
    pub fn get(&self) -> Rc<LocalConfig> {
        self.current.borrow().clone()
    }

    fn stamp(path: &PathBuf) -> Option<SystemTime> {
        std::fs::metadata(path).and_then(|metadata| metadata.modified()).ok()
    }

    /// Looks whether there is something to read again.
    pub fn refresh(&self, signals: &Signals) {
        let stamp = Self::stamp(&self.path);
        let asked = signals.take_reload();
        if !asked && stamp == *self.seen.borrow() {
            return;
        }
        *self.seen.borrow_mut() = stamp;
        match LocalConfig::read(&self.path) {
            Ok(config) => *self.current.borrow_mut() = Rc::new(config),
            Err(error) => log::error!("settings kept as they were: {error}"),
        }
    }
}

/// Refreshes the settings twice a second and returns when the platform wants the process to end.
pub async fn watch_platform(signals: &Signals, live: &LiveConfig) {
    let mut beats = 0u32;
    while !signals.terminated() {
        monoio::time::sleep(Duration::from_millis(100)).await;
        beats += 1;
        if beats.is_multiple_of(5) {
            live.refresh(signals);
        }
    }
}
