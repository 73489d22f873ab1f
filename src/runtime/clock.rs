//! A monotonic clock, anchored at the Unix time at which it was started.

use crate::api::Time;
use std::time::{Duration, Instant, SystemTime};

/// Used in place of a span that a [`Duration`] cannot represent, such as infinity.
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

    /// The instant at which this clock shows `time`. A time before the start of the clock becomes the start.
    pub fn instant(&self, time: Time) -> tokio::time::Instant {
        (self.started + duration(time - self.started_unix)).into()
    }

    /// Time since the clock was started.
    pub fn uptime(&self) -> Duration {
        self.started.elapsed()
    }
}

/// Converts a span in seconds to a duration. Negative spans become zero, and spans that are too long `FALLBACK_SPAN`.
pub fn duration(span: Time) -> Duration {
    Duration::try_from_secs_f64(span.max(0.0)).unwrap_or(FALLBACK_SPAN)
}
