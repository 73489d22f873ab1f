//! SIGTERM: serve what still arrives, answer all, move every standing connection, and leave.

use super::check;
use super::host::{Host, Order, duration};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// New connections arrive for up to 0.4 s more; a client moved before that could come back here.
const ARRIVALS: Duration = Duration::from_millis(450);
/// The clients are spread over this time, so that they do not fall on the other balancers in one wave.
const SPREAD: Duration = Duration::from_millis(1000);
/// SIGKILL comes no earlier than the longest wait, counted as this at most, and a grace after SIGTERM.
const LONGEST_WAIT: Duration = Duration::from_secs(3);
const GRACE: Duration = Duration::from_millis(700);
/// Before that, the last answers are given and written.
const ANSWER_BEFORE: Duration = Duration::from_millis(450);
const EXIT_BEFORE: Duration = Duration::from_millis(250);
/// How often the rest is looked at.
const TICK: Duration = Duration::from_millis(20);

/// Empties the process; returns when it may exit.
pub async fn run(host: Rc<Host>) {
    let longest_wait = duration(host.node().longest_wait);
    host.leaving.set(true);
    tracing::info!(standing = host.reqs(true).len(), "told to stop");
    let start = Instant::now();
    let kill = start + longest_wait.min(LONGEST_WAIT) + GRACE;
    let moves_end = start + ARRIVALS + SPREAD;
    let mut moved = std::collections::HashSet::new();
    while Instant::now() < kill - EXIT_BEFORE {
        sleep(TICK).await;
        let now = Instant::now();
        if now < start + ARRIVALS {
            continue;
        }
        let mut standing = host.reqs(true);
        let waiting = host.reqs(false);
        if standing.is_empty() && waiting.is_empty() {
            break;
        }
        standing.retain(|id| !moved.contains(id));
        // An even pace: the share of what is left that this tick has of the time left.
        let share = TICK.as_secs_f64() / (moves_end - now).as_secs_f64().max(TICK.as_secs_f64());
        let count = (standing.len() as f64 * share).ceil() as usize;
        for id in standing.into_iter().take(count) {
            moved.insert(id);
            host.order(id, Order::Move);
        }
        if now >= kill - ANSWER_BEFORE {
            waiting
                .into_iter()
                .for_each(|id| host.order(id, Order::Refuse(0)));
        }
    }
    let left = host
        .reqs(true)
        .iter()
        .filter(|id| !moved.contains(id))
        .count();
    if left > 0 {
        check::count("connections that stood at the exit");
    }
}
