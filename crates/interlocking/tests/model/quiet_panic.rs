//! Turns a failed assertion of the state machine into a value, without the message on standard error.

use std::cell::Cell;
use std::panic::{AssertUnwindSafe, catch_unwind, set_hook, take_hook};
use std::sync::Once;

thread_local! {
    static QUIET: Cell<bool> = const { Cell::new(false) };
}

static HOOK: Once = Once::new();

/// The result, or what the panic said.
pub fn catch<T>(run: impl FnOnce() -> T) -> Result<T, String> {
    HOOK.call_once(install_hook);
    QUIET.set(true);
    let outcome = catch_unwind(AssertUnwindSafe(run));
    QUIET.set(false);
    outcome.map_err(|payload| {
        let text = payload.downcast_ref::<&str>().map(|text| text.to_string());
        text.or_else(|| payload.downcast_ref::<String>().cloned()).unwrap_or_default()
    })
}

fn install_hook() {
    let usual = take_hook();
    set_hook(Box::new(move |info| {
        if !QUIET.get() {
            usual(info);
        }
    }));
}
