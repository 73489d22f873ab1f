//! A monotonic clock, anchored at the Unix time at which it was started.

use crate::api::Time;
use std::time::{Duration, Instant, SystemTime};

/// The duration that stands in for spans that a [`Duration`] cannot represent, such as infinity.
const FALLBACK_SPAN: Duration = Duration::from_secs(4260);

/// A clock that never goes back. Its times are Unix times, like those of discovery.
pub struct Clock {
    started: Instant,
    started_unix: Time,
}

impl Clock {
    /// Starts a clock anchored at the current Unix time.
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        Self {
            started: Instant::now(),
            started_unix: unix.unwrap_or_default().as_secs_f64(),
        }
    }

    /// The current time, in seconds since the Unix epoch.
    pub fn now(&self) -> Time {
        self.started_unix + self.started.elapsed().as_secs_f64()
    }

    /// The instant at which this clock shows `time`.
    pub fn instant(&self, time: Time) -> tokio::time::Instant {
        (self.started + duration(time - self.started_unix)).into()
    }

    /// Time since the clock was started.
    pub fn uptime(&self) -> Duration {
        self.started.elapsed()
    }
}

/// Converts a span in seconds to a duration. Negative spans become zero.
pub fn duration(span: Time) -> Duration {
    Duration::try_from_secs_f64(span.max(0.0)).unwrap_or(FALLBACK_SPAN)
}
