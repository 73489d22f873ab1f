//! How long messages take at each backend now, from lines and replies.

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
