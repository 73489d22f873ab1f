//! How long messages take at each backend now: from lines and replies, and from what backends report.
//!
//! The settings name two kinds of notes, a connection's load (microseconds of work a second) and the time of a
//! message at its server (milliseconds). On the socket both come as `LOAD X`, with nothing to mark the kind, so
//! it is told by the figure: a message time comes once a second while it is long, is far smaller than any load
//! but an idle connection's, and goes on from the last one.

use spanspur::api::{Config, Event, ServerId, Time};
use std::collections::HashMap;

/// While messages there take long, the module hears of it this often.
const REPEAT: Time = 1.0;

struct Slow {
    told: Time,
}

/// The backends whose messages take long.
pub struct Delays {
    /// From here on they take long; infinite where no class names an aim for messages.
    threshold: Time,
    slow: HashMap<ServerId, Slow>,
}

impl Delays {
    /// Takes the shortest aim for a message from the settings.
    pub fn new(config: &Config) -> Self {
        let aims = config.classes.iter().filter_map(|class| class.message_aim);
        Self {
            threshold: aims.fold(f64::INFINITY, f64::min) / 3.0,
            slow: HashMap::new(),
        }
    }

    /// Takes one measure; says what the module is to hear: once a second while over, once when clear.
    pub fn measured(&mut self, now: Time, server: ServerId, took: Time) -> Option<Event> {
        if took <= self.threshold {
            return self
                .slow
                .remove(&server)
                .map(|_| Event::Delay(server, took));
        }
        match self.slow.get_mut(&server) {
            Some(slow) if now < slow.told + REPEAT => return None,
            Some(slow) => slow.told = now,
            None => {
                self.slow.insert(server, Slow { told: now });
            }
        }
        Some(Event::Delay(server, took))
    }
}

/// A figure under this is no connection's load, however idle it is: it is a message time.
const LEAST_LOAD: f64 = 800.0;
/// A server with more milliseconds of work piled up than this has dropped its connections.
const MOST_DELAY: f64 = 2_500.0;
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
    Delay(Time),
    /// It could be either: the next one will tell.
    Unclear,
}

/// Tells the two kinds of figures apart.
pub struct Reports {
    tells_delay: bool,
    /// When each backend last reported a message time, and when a figure that could be one; kept while another
    /// may follow, so that backends that have gone leave nothing.
    delays: HashMap<ServerId, Time>,
    unclear: HashMap<ServerId, Time>,
}

impl Reports {
    /// Takes from the settings whether message times are reported at all.
    pub fn new(config: &Config) -> Self {
        Self {
            tells_delay: config.tells_delay,
            delays: HashMap::new(),
            unclear: HashMap::new(),
        }
    }

    /// Reads a figure of a connection there; `first` if it is the connection's first, which is its load.
    pub fn read(&mut self, now: Time, server: ServerId, figure: f64, first: bool) -> Report {
        if !self.tells_delay || figure > MOST_DELAY || (first && figure >= LEAST_LOAD) {
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
        if figure >= LEAST_LOAD && !goes_on {
            let last = self.unclear.insert(server, now);
            if !last.is_some_and(in_time) {
                return Report::Unclear;
            }
        }
        self.delays.insert(server, now);
        Report::Delay(figure / 1000.0)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SERVER: ServerId = ServerId(1);

    fn read(figures: &[(Time, f64, bool)]) -> Vec<Report> {
        let config = Config {
            tells_delay: true,
            ..Config::default()
        };
        let mut reports = Reports::new(&config);
        let one = |f: &(Time, f64, bool)| reports.read(f.0, SERVER, f.1, f.2);
        figures.iter().map(one).collect()
    }

    #[test]
    fn a_message_time_that_grows_past_the_least_load_stays_one_by_its_time() {
        let told = read(&[
            (0.0, 60_000.0, true),
            (0.5, 122.5, false),
            (1.5, 900.0, false),
            (2.5, 1_955.0, false),
            (3.0, 48_000.0, false),
            // An idle connection's load keeps no time.
            (3.2, 1_400.0, false),
            // Another connection there; the server's last word is a second old.
            (3.5, 2_004.0, false),
        ]);
        let times: Vec<bool> = told.iter().map(|r| matches!(r, Report::Delay(_))).collect();
        assert_eq!(
            times,
            [false, true, true, true, false, false, true],
            "{told:?}"
        );
    }

    #[test]
    fn a_small_figure_alone_is_neither_and_a_second_later_it_is_a_message_time() {
        let told = read(&[
            (0.0, 3_600.0, true),
            (9.0, 1_700.0, false),
            (9.4, 1_650.0, false),
        ]);
        assert_eq!(
            told,
            [Report::Load(3_600.0), Report::Unclear, Report::Unclear]
        );
        let told = read(&[(9.0, 1_700.0, false), (10.01, 1_850.0, false)]);
        assert_eq!(told, [Report::Unclear, Report::Delay(1.85)]);
    }

    #[test]
    fn where_the_settings_name_no_message_times_all_figures_are_loads() {
        let mut reports = Reports::new(&Config::default());
        assert_eq!(reports.read(0.0, SERVER, 90.0, false), Report::Load(90.0));
    }
}
