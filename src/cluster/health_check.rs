//! One look at one stream server, for all instances: connect, and send a line and wait for its answer where the
//! operator gives one.

use crate::api::ServerId;
use serde::{Deserialize, Serialize};
use spanspur_cluster::ClusterHandle;
use spanspur_cluster::lease_task::{GrantClock, LeaseTask, TaskResult};
use spanspur_leases::GossipEntry;
use spanspur_leases::{LeaseGrant, LeaseId};
use spanspur_operator_config::Probe;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::time::timeout;

#[cfg(test)]
mod tests;

/// The longest answer that is read.
const MAX_ANSWER: u64 = 4096;

/// What a probe has found.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Probed {
    /// It takes connections.
    Up,
    /// It answers.
    Answered {
        /// After so many milliseconds.
        ms: u32,
    },
    /// It answers, slower than the operator wants.
    Slow {
        /// After so many milliseconds.
        ms: u32,
    },
    /// It refuses connections, or answers something else than it should.
    Refused,
    /// Nothing comes back in time.
    Silent,
}

impl Probed {
    /// Reads an entry's value.
    pub fn read(value: &[u8]) -> Result<Self, postcard::Error> {
        postcard::from_bytes(value)
    }

    /// Nothing new should go there.
    pub fn is_down(self) -> bool {
        matches!(self, Self::Refused | Self::Silent)
    }

    /// Not news after `before`: nobody has to be told again that all is well.
    fn confirms(self, before: Self) -> bool {
        let well = |p: Self| matches!(p, Self::Up | Self::Answered { .. });
        well(self) && well(before)
    }
}

/// The duty to probe one server.
pub struct ProbeDuty {
    /// Which.
    pub server: ServerId,
    /// Where.
    pub address: SocketAddr,
    /// How.
    pub settings: Probe,
    /// This instance's name.
    pub instance: Rc<str>,
    /// The board, for what was found before.
    pub handle: ClusterHandle,
}

impl ProbeDuty {
    /// Its key on the board.
    pub fn key(&self) -> u64 {
        LeaseId::of(&self.name()).0
    }
}

impl LeaseTask for ProbeDuty {
    fn name(&self) -> String {
        format!("probe/{}", self.server)
    }

    fn interval_ms(&self) -> u64 {
        self.settings.every_ms
    }

    fn run(&self, grant: LeaseGrant, clock: GrantClock) -> TaskResult {
        let (key, address, handle) = (self.key(), self.address, self.handle.clone());
        let (settings, instance) = (self.settings.clone(), self.instance.clone());
        Box::pin(async move {
            let Some(found) = look(address, &settings, &instance, grant, clock).await else {
                return Vec::new();
            };
            let before =
                handle.with_node(|node, _| node.gossip_store().get(key).map(|e| e.value.clone()));
            let before = before.and_then(|value| Probed::read(&value).ok());
            if before.is_some_and(|before| found.confirms(before)) {
                return Vec::new();
            }
            let value = postcard::to_stdvec(&found).unwrap_or_default();
            vec![GossipEntry {
                key,
                version: grant.fencing_token,
                value,
            }]
        })
    }
}

/// `None`: the grant ran out before anything was done.
async fn look(
    address: SocketAddr,
    settings: &Probe,
    instance: &str,
    grant: LeaseGrant,
    clock: GrantClock,
) -> Option<Probed> {
    let span = Duration::from_millis;
    if !clock.is_valid(&grant) {
        return None;
    }
    let mut stream = match timeout(span(settings.connect_ms), TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(_)) => return Some(Probed::Refused),
        Err(_) => return Some(Probed::Silent),
    };
    let Some(line) = &settings.line else {
        return Some(Probed::Up);
    };
    let line = line
        .replace("{period}", &grant.fencing_token.to_string())
        .replace("{instance}", instance);
    // Connecting may have taken long, or the process may have stood still.
    if !clock.is_valid(&grant) {
        return None;
    }
    let start = Instant::now();
    let asked = async {
        stream.write_all(format!("{line}\r\n").as_bytes()).await?;
        let mut answer = String::new();
        let mut lines = BufReader::new((&mut stream).take(MAX_ANSWER));
        lines.read_line(&mut answer).await?;
        std::io::Result::Ok(answer)
    };
    let answer = match timeout(span(settings.answer_ms), asked).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(_)) => return Some(Probed::Refused),
        Err(_) => return Some(Probed::Silent),
    };
    let ms = start.elapsed().as_millis() as u32;
    let expected = settings.expect.as_deref().unwrap_or("");
    Some(
        match answer.ends_with('\n') && answer.starts_with(expected) {
            false => Probed::Refused,
            true if u64::from(ms) >= settings.slow_ms => Probed::Slow { ms },
            true => Probed::Answered { ms },
        },
    )
}
