//! How long messages take at each backend now: from lines and replies, and from what backends report.
//!
//! The settings name two kinds of notes, a connection's load (microseconds of work a second) and the time of a
//! message at its server (milliseconds). On the socket both come as `LOAD X`, with nothing to mark the kind, so
//! it is told by the figure: a message time comes once a second while it is long, is far smaller than any load
//! but an idle connection's, and goes on from the last one.

use crate::api::{BalancerConfig, Event, ServerId, Time};
use std::collections::HashMap;

/// The shortest aim for a message, where the settings name one.
fn shortest_aim(config: &BalancerConfig) -> Option<Time> {
    let aims = config
        .classes
        .iter()
        .filter_map(|class| class.message_latency_objective);
    aims.reduce(f64::min)
}

/// While messages there take long, the module hears of it this often.
const REPEAT: Time = 1.0;

struct Slow {
    told: Time,
}

/// The backends whose messages take long.
pub struct LatencyTracker {
    /// From here on they take long; infinite where no class names an aim for messages.
    threshold: Time,
    slow: HashMap<ServerId, Slow>,
}

impl LatencyTracker {
    /// Takes the shortest aim for a message from the settings.
    pub fn new(config: &BalancerConfig) -> Self {
        Self {
            threshold: shortest_aim(config).unwrap_or(f64::INFINITY) / 3.0,
            slow: HashMap::new(),
        }
    }

    /// Takes one measure; says what the module is to hear: once a second while over, once when clear.
    pub fn measured(&mut self, now: Time, server: ServerId, took: Time) -> Option<Event> {
        if took <= self.threshold {
            return self.slow.remove(&server).map(|_| Event::LatencyReport {
                server,
                message_latency: took,
            });
        }
        match self.slow.get_mut(&server) {
            Some(slow) if now < slow.told + REPEAT => return None,
            Some(slow) => slow.told = now,
            None => {
                self.slow.insert(server, Slow { told: now });
            }
        }
        Some(Event::LatencyReport {
            server,
            message_latency: took,
        })
    }
}

/// A figure under this share of the mean load is no connection's, however idle it is: it is a message time. An idle
/// connection's load is a hundredth of the mean and more.
const LEAST_LOAD: f64 = 0.009;
/// A server whose messages take longer than so many of the shortest aims has dropped its connections.
const MOST_DELAY: f64 = 10.0;
/// The mean load is taken over about so many figures.
const LOADS: f64 = 100.0;
/// Between the two, a figure is a message time if it comes a second, or two, after another of the kind, give or
/// take this: an idle connection's load is as small, but keeps no time.
const SECOND: Time = 1.0;
const SECONDS: Time = 2.0;
const GIVE: Time = 0.05;

/// What a figure on a connection is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Report {
    /// The connection's load, in microseconds of work a second.
    Load(f64),
    /// The time that a message takes at its backend.
    MessageTime(Time),
    /// It could be either: the next one will tell.
    Ambiguous,
}

/// Tells the two kinds of figures apart.
pub struct ReportClassifier {
    /// The most milliseconds that a message time may be; none is where the settings name no such reports, or no aim.
    most_delay: f64,
    /// The mean of the loads, 0 before the first, and of how many.
    usual: (f64, f64),
    /// When each backend last reported a message time, and when a figure that could be one; kept while another
    /// may follow, so that backends that have gone leave nothing.
    delays: HashMap<ServerId, Time>,
    unclear: HashMap<ServerId, Time>,
}

impl ReportClassifier {
    /// Takes from the settings whether message times are reported at all, and how long they may be.
    pub fn new(config: &BalancerConfig) -> Self {
        let aim = shortest_aim(config).filter(|_| config.reports_latency);
        Self {
            most_delay: aim.map_or(0.0, |aim| MOST_DELAY * aim * 1000.0),
            usual: (0.0, 0.0),
            delays: HashMap::new(),
            unclear: HashMap::new(),
        }
    }

    /// Reads a figure of a connection there; `first` if it is the connection's first, which is its load.
    pub fn read(&mut self, now: Time, server: ServerId, figure: f64, first: bool) -> Report {
        let least = LEAST_LOAD * self.usual.0;
        if figure > self.most_delay || (first && figure >= least) {
            let (mean, count) = (self.usual.0, (self.usual.1 + 1.0).min(LOADS));
            self.usual = (mean + (figure - mean) / count, count);
            return Report::Load(figure);
        }
        let may_follow = |_: &ServerId, at: &mut Time| now - *at <= SECONDS * SECOND + GIVE;
        self.delays.retain(may_follow);
        self.unclear.retain(may_follow);
        let in_time = |at: Time| {
            let seconds = ((now - at) / SECOND).round();
            (1.0..=SECONDS).contains(&seconds) && (now - at - seconds * SECOND).abs() <= GIVE
        };
        let goes_on = self.delays.get(&server).is_some_and(|at| in_time(*at));
        if figure >= least && !goes_on {
            let last = self.unclear.insert(server, now);
            if !last.is_some_and(in_time) {
                return Report::Ambiguous;
            }
        }
        self.delays.insert(server, now);
        Report::MessageTime(figure / 1000.0)
    }
}

#[cfg(test)]
mod tests;
