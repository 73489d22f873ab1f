//! Invariant checks, and counters of unusual events. A violated invariant panics in a debug build and is counted in a
//! release build.

use std::cell::RefCell;
use std::collections::BTreeMap;

thread_local! {
    static COUNTERS: RefCell<BTreeMap<&'static str, u64>> = const { RefCell::new(BTreeMap::new()) };
}

/// Checks an invariant and returns whether it holds. If it does not, a debug build panics and a release build counts
/// the violation under the description.
pub fn holds(invariant: bool, description: &'static str) -> bool {
    debug_assert!(invariant, "{description}");
    if !invariant {
        count(description);
    }
    invariant
}

/// Counts an event that peers may cause, such as malformed input, or a violated invariant. The event is logged when the
/// count is a power of two, so that the log stays readable under a flood.
pub fn count(counter: &'static str) {
    let count = COUNTERS.with_borrow_mut(|counters| {
        let count = counters.entry(counter).or_default();
        *count += 1;
        *count
    });
    if count.is_power_of_two() {
        tracing::warn!(counter, count, "event counted");
    }
}

/// Logs all counters. Called when the process exits.
pub fn log_counters() {
    COUNTERS.with_borrow(|counters| {
        for (counter, count) in counters {
            tracing::info!(counter, count, "final count");
        }
    });
}
