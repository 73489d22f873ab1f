//! Section `duties`: what one instance does for all, under a lease.

use super::Cluster;
use crate::fault::Problem;
use crate::validation::{FaultCollector, MAX_PROBE_LINE_BYTES, MIN_LIST_AGE_MS};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// What is done once a period by one instance for all.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Duties {
    /// Look at each stream server of the list. Off where missing.
    pub probe: Option<Probe>,
    /// Watch discovery for all. Off where missing.
    pub list: Option<ListDuty>,
}

/// Looking at a stream server: connect, and send a line and wait for its answer where one is given.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Probe {
    /// Each stream server is looked at once in this time.
    pub every_ms: u64,
    /// A connection takes no longer than this; otherwise the server is silent.
    #[serde(default = "default_connect_ms")]
    pub connect_ms: u64,
    /// A line to send, without its end. `{period}` becomes the number of the period, which only ever grows for
    /// one server, `{instance}` the instance's name.
    #[serde(default)]
    pub line: Option<String>,
    /// How the answer to that line has to begin; any line will do where missing.
    #[serde(default)]
    pub expect: Option<String>,
    /// The answer takes no longer than this; otherwise the server is silent.
    #[serde(default = "default_answer_ms")]
    pub answer_ms: u64,
    /// From this time on a sound answer counts as slow, and is told to the decisions as the time of a message.
    #[serde(default = "default_slow_ms")]
    pub slow_ms: u64,
}

fn default_connect_ms() -> u64 {
    250
}

fn default_answer_ms() -> u64 {
    500
}

fn default_slow_ms() -> u64 {
    100
}

/// Watching discovery for all instances.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ListDuty {
    /// The watch goes to one instance for this time, and usually stays with it.
    pub every_ms: u64,
    /// News older than this is not trusted: an instance then asks discovery itself.
    pub max_age_ms: u64,
}

impl Duties {
    pub(crate) fn validate(&self, cluster: &Cluster, faults: &mut FaultCollector) {
        let takeover_ms = cluster.pace.takeover_ms();
        if let Some(probe) = &self.probe {
            require_period("duties.probe.every_ms", probe.every_ms, takeover_ms, faults);
        }
        if let Some(list) = &self.list {
            require_period("duties.list.every_ms", list.every_ms, takeover_ms, faults);
        }
        if let Some(probe) = &self.probe {
            probe.validate(faults);
        }
        if let Some(list) = &self.list {
            faults.require(
                list.max_age_ms >= MIN_LIST_AGE_MS,
                "duties.list.max_age_ms",
                Problem::ListAgeTooShort,
            );
        }
    }
}

fn require_period(place: &str, period_ms: u64, takeover_ms: u64, faults: &mut FaultCollector) {
    faults.require(
        period_ms >= takeover_ms,
        place,
        Problem::PeriodTooShort {
            period_ms,
            takeover_ms,
        },
    );
}

impl Probe {
    fn validate(&self, faults: &mut FaultCollector) {
        let longest_ms = self.longest_ms();
        faults.require(
            longest_ms <= self.every_ms / 2,
            "duties.probe",
            Problem::ProbeTooLong { longest_ms },
        );
        faults.require(
            self.connect_ms > 0,
            "duties.probe.connect_ms",
            Problem::NotPositive,
        );
        for (place, text) in [
            ("duties.probe.line", &self.line),
            ("duties.probe.expect", &self.expect),
        ] {
            let is_one_line = text.as_deref().is_none_or(is_one_line);
            faults.require(is_one_line, place, Problem::NotOneLine);
        }
        faults.require(
            self.expect.is_none() || self.line.is_some(),
            "duties.probe.expect",
            Problem::ExpectWithoutLine,
        );
    }

    /// The longest time that one health check takes, in milliseconds.
    fn longest_ms(&self) -> u64 {
        let answer_ms = match self.line {
            Some(_) => self.answer_ms,
            None => 0,
        };
        self.connect_ms.saturating_add(answer_ms)
    }
}

fn is_one_line(text: &str) -> bool {
    text.len() <= MAX_PROBE_LINE_BYTES && !text.contains(['\r', '\n'])
}
