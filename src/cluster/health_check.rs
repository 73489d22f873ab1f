//! The health check of one server, done by one instance for all: connects and, if the operator has configured a line,
//! sends it and waits for the answer.

use crate::api::ServerId;
use serde::{Deserialize, Serialize};
use spanspur_cluster::ClusterHandle;
use spanspur_cluster::lease_task::{GrantClock, LeaseTask, TaskFuture};
use spanspur_leases::{GossipEntry, LeaseGrant, LeaseId};
use spanspur_operator_config::Probe;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::time::timeout;

#[cfg(test)]
mod tests;

/// Maximum size of an answer, in bytes.
const MAX_ANSWER_BYTES: u64 = 4096;

/// The result of a health check. It is gossiped as postcard: the order of variants must not change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HealthCheckResult {
    /// The server accepts connections.
    Connected,
    /// The server answers as expected.
    Answered {
        /// The response time in milliseconds.
        ms: u32,
    },
    /// The server answers as expected, but not within the operator's `slow_ms`.
    Slow {
        /// The response time in milliseconds.
        ms: u32,
    },
    /// The server refuses connections, closes the connection, or gives an unexpected answer.
    Refused,
    /// The connection or the answer timed out.
    TimedOut,
}

impl HealthCheckResult {
    /// Decodes the value of an entry.
    ///
    /// # Errors
    ///
    /// If the value is not a valid result.
    pub fn decode(value: &[u8]) -> Result<Self, postcard::Error> {
        postcard::from_bytes(value)
    }

    /// Whether the server should be ejected.
    pub fn is_unhealthy(self) -> bool {
        matches!(self, Self::Refused | Self::TimedOut)
    }

    fn is_healthy(self) -> bool {
        matches!(self, Self::Connected | Self::Answered { .. })
    }

    /// Whether both results are healthy, so that the new one need not be published.
    fn confirms(self, previous: Self) -> bool {
        self.is_healthy() && previous.is_healthy()
    }
}

/// The lease task that checks one server.
pub struct HealthCheckTask {
    /// The server.
    pub server: ServerId,
    /// The address at which the server accepts connections.
    pub address: SocketAddr,
    /// The operator's settings.
    pub settings: Probe,
    /// This instance's name.
    pub instance: Rc<str>,
    /// The cluster, which has the previous result.
    pub handle: ClusterHandle,
}

impl HealthCheckTask {
    /// The key of the result in the gossip store.
    pub fn result_key(&self) -> u64 {
        LeaseId::of(&self.name()).0
    }
}

impl LeaseTask for HealthCheckTask {
    fn name(&self) -> String {
        format!("probe/{}", self.server)
    }

    fn interval_ms(&self) -> u64 {
        self.settings.every_ms
    }

    fn run(&self, grant: LeaseGrant, clock: GrantClock) -> TaskFuture {
        let (key, handle) = (self.result_key(), self.handle.clone());
        let check = HealthCheck {
            address: self.address,
            settings: self.settings.clone(),
            instance: self.instance.clone(),
            grant,
            clock,
        };
        Box::pin(async move {
            let Some(result) = check.run().await else {
                return Vec::new();
            };
            let previous = previous_result(&handle, key);
            if previous.is_some_and(|previous| result.confirms(previous)) {
                return Vec::new();
            }
            vec![GossipEntry {
                key,
                version: grant.fencing_token,
                // Encoding into memory does not fail for this type.
                value: postcard::to_stdvec(&result).unwrap_or_default(),
            }]
        })
    }
}

fn previous_result(handle: &ClusterHandle, key: u64) -> Option<HealthCheckResult> {
    let value = handle.with_node(|node, _| {
        let entry = node.gossip_store().get(key);
        entry.map(|entry| entry.value.clone())
    });
    HealthCheckResult::decode(&value?).ok()
}

/// One run of the check.
struct HealthCheck {
    address: SocketAddr,
    settings: Probe,
    instance: Rc<str>,
    grant: LeaseGrant,
    clock: GrantClock,
}

impl HealthCheck {
    /// Checks the server; `None` if the grant expired before the line was sent.
    async fn run(&self) -> Option<HealthCheckResult> {
        if !self.clock.is_valid(&self.grant) {
            return None;
        }
        let connect_timeout = Duration::from_millis(self.settings.connect_ms);
        let stream = match timeout(connect_timeout, TcpStream::connect(self.address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(_)) => return Some(HealthCheckResult::Refused),
            Err(_) => return Some(HealthCheckResult::TimedOut),
        };
        let Some(template) = &self.settings.line else {
            return Some(HealthCheckResult::Connected);
        };
        // The grant may have expired meanwhile: connecting takes time, and the process may have been frozen.
        if !self.clock.is_valid(&self.grant) {
            return None;
        }
        Some(
            self.check_answer(stream, &self.fill_template(template))
                .await,
        )
    }

    fn fill_template(&self, template: &str) -> String {
        template
            .replace("{period}", &self.grant.fencing_token.to_string())
            .replace("{instance}", &self.instance)
    }

    async fn check_answer(&self, stream: TcpStream, line: &str) -> HealthCheckResult {
        let started_at = Instant::now();
        let answer_timeout = Duration::from_millis(self.settings.answer_ms);
        let answer = match timeout(answer_timeout, exchange_line(stream, line)).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(_)) => return HealthCheckResult::Refused,
            Err(_) => return HealthCheckResult::TimedOut,
        };
        let ms = started_at.elapsed().as_millis() as u32;
        let expected = self.settings.expect.as_deref().unwrap_or("");
        if !answer.ends_with('\n') || !answer.starts_with(expected) {
            return HealthCheckResult::Refused;
        }
        match u64::from(ms) >= self.settings.slow_ms {
            true => HealthCheckResult::Slow { ms },
            false => HealthCheckResult::Answered { ms },
        }
    }
}

async fn exchange_line(mut stream: TcpStream, line: &str) -> io::Result<String> {
    stream.write_all(format!("{line}\r\n").as_bytes()).await?;
    let mut answer = String::new();
    let mut reader = BufReader::new(stream.take(MAX_ANSWER_BYTES));
    reader.read_line(&mut answer).await?;
    Ok(answer)
}
