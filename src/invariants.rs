//! What must hold: an assertion in debug builds, a counter in release builds.

use std::cell::RefCell;
use std::collections::BTreeMap;

thread_local! {
    static BROKEN: RefCell<BTreeMap<&'static str, u64>> = const { RefCell::new(BTreeMap::new()) };
}

/// Says whether `fact` holds. Where it does not, a debug build stops and a release build counts and logs it.
pub fn holds(fact: bool, what: &'static str) -> bool {
    debug_assert!(fact, "{what}");
    if !fact {
        count(what);
    }
    fact
}

/// Counts something that others may cause, such as malformed input; a debug build goes on too.
pub fn count(what: &'static str) {
    let times = BROKEN.with_borrow_mut(|broken| {
        let times = broken.entry(what).or_default();
        *times += 1;
        *times
    });
    // The log stays readable under a flood: powers of two only.
    if times.is_power_of_two() {
        tracing::warn!(counter = what, times, "so far");
    }
}

/// Logs every counter, for the end of the process.
pub fn log_all() {
    BROKEN.with_borrow(|broken| {
        for (what, times) in broken {
            tracing::info!(counter = what, times, "in all");
        }
    });
}
