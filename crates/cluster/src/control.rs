//! The control socket: a Unix socket that only its owner may connect to. A connection carries a query of one line and
//! its answer, one line of JSON. Operators and their tools read the JSON names of the fields, which must not change.

use crate::driver::ClusterHandle;
use crate::node::{Member, Node};
use serde::{Deserialize, Serialize};
use spanspur_leases::LeaseStatus;
use std::collections::BTreeMap;
use std::io;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::Semaphore;
use tokio::task::spawn_local;
use tokio::time::timeout;

/// Maximum size of a query, in bytes.
const MAX_QUERY_BYTES: u64 = 1024;
/// Maximum time for a query and its answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of connections served at the same time; further connections wait.
const MAX_CONNECTIONS: usize = 8;
/// How long the listener pauses after it failed to accept a connection.
const ACCEPT_ERROR_PAUSE: Duration = Duration::from_millis(50);
/// The mode of the socket: read and write for its owner only.
const OWNER_ONLY: u32 = 0o600;

/// The status of a lease, which the JSON calls a duty.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LeaseRow {
    /// The lease's name.
    #[serde(rename = "duty")]
    pub name: String,
    /// The lease's interval in milliseconds.
    #[serde(rename = "every_ms")]
    pub interval_ms: u64,
    /// The lease's holder, as far as the answering instance knows.
    pub holder: Option<String>,
    /// The last term that the answering instance knows.
    #[serde(rename = "period")]
    pub term: u64,
    /// The age of that term, in milliseconds.
    #[serde(rename = "since_ms")]
    pub term_age_ms: Option<u64>,
    /// The number of terms in which the answering instance ran the task.
    #[serde(rename = "done")]
    pub completed: u64,
    /// The number of terms that passed without a run of the task, as far as the answering instance knows.
    pub missed: u64,
    /// Whether the answering instance should hold the lease but cannot reach a quorum.
    #[serde(rename = "minority")]
    pub is_quorum_lost: bool,
}

/// The answer to `duties`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LeasesAnswer {
    /// Every lease.
    #[serde(rename = "duties")]
    pub leases: Vec<LeaseRow>,
    /// How long the answering instance still abstains from votes on the lease with the longest interval, in
    /// milliseconds.
    #[serde(rename = "abstains_ms")]
    pub remaining_abstention_ms: u64,
}

/// The answer to `members`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MembersAnswer {
    /// The answering instance, and every other that was ever a member or answered a greeting.
    pub members: Vec<Member>,
    /// The numbers of dropped and rejected datagrams and entries, and the traffic of the cluster's socket.
    pub counters: BTreeMap<String, u64>,
}

/// Answers a query with a line of JSON as [`to_json`] formats it; `None` for an unknown query.
pub type QueryHandler = Rc<dyn Fn(&str) -> Option<String>>;

/// Returns the handler of the queries about an instance of a cluster.
pub fn answer_queries(handle: ClusterHandle) -> QueryHandler {
    Rc::new(move |query| match query {
        "duties" => Some(to_json(&describe_leases(&handle))),
        "members" => Some(to_json(&describe_members(&handle))),
        _ => None,
    })
}

/// Opens the socket and answers queries on the current `LocalSet`. Replaces a socket file that an earlier process left
/// behind.
///
/// # Errors
///
/// If another process listens on the socket, or the socket cannot be opened.
pub fn serve(handler: QueryHandler, path: &Path) -> io::Result<()> {
    remove_stale_socket(path)?;
    let listener = UnixListener::bind(path)?;
    std::fs::set_permissions(path, std::fs::Permissions::from_mode(OWNER_ONLY))?;
    spawn_local(accept_connections(listener, handler));
    Ok(())
}

fn remove_stale_socket(path: &Path) -> io::Result<()> {
    match std::os::unix::net::UnixStream::connect(path) {
        Ok(_) => Err(io::Error::new(
            io::ErrorKind::AddrInUse,
            "another process listens on this socket",
        )),
        Err(e) if e.kind() == io::ErrorKind::ConnectionRefused => std::fs::remove_file(path),
        Err(_) => Ok(()),
    }
}

async fn accept_connections(listener: UnixListener, handler: QueryHandler) {
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok(permit) = permits.clone().acquire_owned().await else {
            return;
        };
        match listener.accept().await {
            Ok((stream, _)) => {
                let handler = handler.clone();
                spawn_local(async move {
                    let _ = timeout(ANSWER_TIMEOUT, answer_connection(handler, stream)).await;
                    drop(permit);
                });
            }
            Err(_) => tokio::time::sleep(ACCEPT_ERROR_PAUSE).await,
        }
    }
}

async fn answer_connection(handler: QueryHandler, stream: UnixStream) -> io::Result<()> {
    let (read, mut write) = stream.into_split();
    let mut query = String::new();
    BufReader::new(read.take(MAX_QUERY_BYTES))
        .read_line(&mut query)
        .await?;
    let query = query.trim();
    let unknown_query =
        || to_json(&serde_json::json!({"error": format!("'{query}' is no question here")}));
    let answer = handler(query).unwrap_or_else(unknown_query);
    write.write_all(answer.as_bytes()).await
}

/// Formats an answer as a line of JSON.
pub fn to_json(answer: &impl Serialize) -> String {
    serde_json::to_string(answer).unwrap_or_default() + "\n"
}

/// The status of every lease.
pub fn describe_leases(handle: &ClusterHandle) -> LeasesAnswer {
    handle.with_node(|node, now| {
        let status = node.status(now);
        let longest_interval = status.iter().map(|(_, status)| status.interval).max();
        LeasesAnswer {
            leases: status
                .into_iter()
                .map(|(name, status)| describe_lease(node, name, status))
                .collect(),
            remaining_abstention_ms: longest_interval
                .map_or(0, |interval| node.remaining_abstention(now, interval)),
        }
    })
}

fn describe_lease(node: &Node, name: String, status: LeaseStatus) -> LeaseRow {
    let holder = status.holder.map(|id| match node.instance_name(id) {
        Some(name) => name.to_owned(),
        None => format!("{:016x}", id.0),
    });
    LeaseRow {
        name,
        interval_ms: status.interval,
        holder,
        term: status.term,
        term_age_ms: status.term_age,
        completed: status.completed,
        missed: status.missed,
        is_quorum_lost: status.is_quorum_lost,
    }
}

/// The members, and the counters of the answering instance.
pub fn describe_members(handle: &ClusterHandle) -> MembersAnswer {
    let traffic = handle.traffic().named_counters();
    let dropped = ("news-dropped", handle.dropped_updates());
    handle.with_node(|node, _| {
        let counters = node.counters().into_iter().chain(traffic).chain([dropped]);
        MembersAnswer {
            members: node.members(),
            counters: counters
                .map(|(name, count)| (name.to_owned(), count))
                .collect(),
        }
    })
}

/// Sends a query to a running process and returns its answer.
///
/// # Errors
///
/// If no process listens on the socket, or the process sends nothing for two seconds.
pub fn query(path: &Path, query: &str) -> io::Result<String> {
    use std::io::{BufRead, BufReader, Write};
    let mut stream = std::os::unix::net::UnixStream::connect(path)?;
    stream.set_read_timeout(Some(ANSWER_TIMEOUT))?;
    stream.write_all(format!("{query}\n").as_bytes())?;
    let mut answer = String::new();
    BufReader::new(stream).read_line(&mut answer)?;
    Ok(answer)
}
