//! Section `duties`: tasks that one instance performs for the whole cluster, under a lease.

use super::Cluster;
use crate::fault::Problem;
use crate::validation::{FaultCollector, MAX_PROBE_LINE_BYTES, MIN_LIST_AGE_MS};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Tasks that one instance performs in each period for the whole cluster.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Duties {
    /// Health check of each stream server in the list. Disabled if missing.
    pub probe: Option<Probe>,
    /// Watch of discovery for the whole cluster. Disabled if missing.
    pub list: Option<ListDuty>,
}

/// Health check of a stream server: connects and, if a line is configured, sends it and waits for the answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Probe {
    /// Period in milliseconds. Each stream server is checked once per period.
    pub every_ms: u64,
    /// Timeout for connecting, in milliseconds. The health check fails after it.
    #[serde(default = "default_connect_ms")]
    pub connect_ms: u64,
    /// Line to send, without line end. `{period}` is replaced by the number of the period, which only increases for a
    /// given server, and `{instance}` by the name of the instance.
    #[serde(default)]
    pub line: Option<String>,
    /// Required prefix of the answer to the line. Any answer line is accepted if missing.
    #[serde(default)]
    pub expect: Option<String>,
    /// Timeout for the answer, in milliseconds. The health check fails after it.
    #[serde(default = "default_answer_ms")]
    pub answer_ms: u64,
    /// Response time in milliseconds from which a valid answer counts as slow and is used as a message time in
    /// load-balancing decisions.
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

/// Watch of discovery by one instance, which shares the list with all others.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ListDuty {
    /// Period in milliseconds for which one instance is assigned the watch. Usually the same instance is assigned
    /// again.
    pub every_ms: u64,
    /// Age limit of the list, in milliseconds. An instance whose list is older polls discovery itself.
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

fn require_period(location: &str, period_ms: u64, takeover_ms: u64, faults: &mut FaultCollector) {
    faults.require(
        period_ms >= takeover_ms,
        location,
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
        for (location, text) in [
            ("duties.probe.line", &self.line),
            ("duties.probe.expect", &self.expect),
        ] {
            let is_one_line = text.as_deref().is_none_or(is_one_line);
            faults.require(is_one_line, location, Problem::NotOneLine);
        }
        faults.require(
            self.expect.is_none() || self.line.is_some(),
            "duties.probe.expect",
            Problem::ExpectWithoutLine,
        );
    }

    /// Returns the longest duration of a health check, in milliseconds.
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
