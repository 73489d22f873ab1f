//! The health check of one server, for all instances: connects, and sends a line and waits for its answer where the
//! operator gives one.

use crate::api::ServerId;
use serde::{Deserialize, Serialize};
use spanspur_cluster::ClusterHandle;
use spanspur_cluster::lease_task::{GrantClock, LeaseTask, TaskResult};
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

/// Bytes of an answer at most.
const MAX_ANSWER_BYTES: u64 = 4096;

/// What a health check has found. It is gossiped as postcard: variants keep their order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HealthCheckResult {
    /// The server accepts connections.
    Connected,
    /// It answers.
    Answered {
        /// The time until the answer, in milliseconds.
        ms: u32,
    },
    /// It answers, slower than the operator wants.
    Slow {
        /// The time until the answer, in milliseconds.
        ms: u32,
    },
    /// It refuses connections, or answers something else than it should.
    Refused,
    /// Nothing comes back in time.
    TimedOut,
}

impl HealthCheckResult {
    /// Decodes an entry's value.
    ///
    /// # Errors
    ///
    /// If the value is no result.
    pub fn decode(value: &[u8]) -> Result<Self, postcard::Error> {
        postcard::from_bytes(value)
    }

    /// Whether the server should get nothing new.
    pub fn is_unhealthy(self) -> bool {
        matches!(self, Self::Refused | Self::TimedOut)
    }

    fn is_healthy(self) -> bool {
        matches!(self, Self::Connected | Self::Answered { .. })
    }

    /// Whether this result only confirms that the server is healthy, so that it need not be published.
    fn confirms(self, previous: Self) -> bool {
        self.is_healthy() && previous.is_healthy()
    }
}

/// The lease task to check one server.
pub struct HealthCheckTask {
    /// The server.
    pub server: ServerId,
    /// Where it takes connections.
    pub address: SocketAddr,
    /// The operator's settings.
    pub settings: Probe,
    /// This instance's name.
    pub instance: Rc<str>,
    /// The cluster, for the previous result.
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

    fn run(&self, grant: LeaseGrant, clock: GrantClock) -> TaskResult {
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

/// One check.
struct HealthCheck {
    address: SocketAddr,
    settings: Probe,
    instance: Rc<str>,
    grant: LeaseGrant,
    clock: GrantClock,
}

impl HealthCheck {
    /// Checks the server; `None` if the grant expired before anything was done.
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
        // Connecting may have taken long, or the process may have been frozen.
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
