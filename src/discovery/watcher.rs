//! Watches the endpoint list at discovery. A watch is a sequence of long polls on a kept-alive connection; it ends when
//! a poll fails.

use crate::api::Event;
use crate::cluster::SharedEndpointList;
use crate::discovery::endpoint_list::{EndpointList, EndpointListError};
use crate::discovery::http::{Connection, HttpError, Response};
use crate::invariants;
use crate::runtime::Runtime;
use crate::transfer::list_update_frame;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// How long discovery may hold a poll until the list changes. If discovery stops responding, this process notices only
/// after this time plus [`RESPONSE_TIMEOUT`], and until then does not learn that a server drains. Frequent polls do no
/// harm: a watch that continues costs discovery nothing, however often it polls.
const LONG_POLL_WAIT: Duration = Duration::from_secs(2);
/// How long after its wait a poll times out. Without the timeout, a partition from discovery would go unnoticed. An
/// update has to be noticed within 6 s. If all watches fail at once, discovery may reject the next poll or two, so the
/// wait and this timeout together take half of that time and leave the rest for further polls.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1000);
/// Timeout of a poll for the full list: half of the 6 s within which an update has to be noticed. It is longer than
/// [`RESPONSE_TIMEOUT`] because discovery queues these polls and serves one at a time, and after a reload all balancers
/// send one. A poll that is abandoned loses its place in the queue and makes the queue longer.
const FULL_LIST_TIMEOUT: Duration = Duration::from_secs(3);
/// Timeout for connecting to discovery.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause between polls, so that a discovery service that always responds at once does not keep this process busy. Far
/// below the 200 ms without a poll after which discovery ends a watch.
const POLL_PAUSE: Duration = Duration::from_millis(10);
/// Pause before an agent that pushes lists is polled again after a failure. Short, because the agent's current list
/// counts as known to this process even while no watch runs.
const AGENT_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Why a watch ended.
#[derive(Debug, Error)]
enum WatchError {
    /// No response in time.
    #[error("timed out")]
    TimedOut,
    /// No connection in time.
    #[error("connecting timed out")]
    ConnectTimedOut,
    /// The request failed.
    #[error(transparent)]
    Http(#[from] HttpError),
    /// The status of the response is not 200.
    #[error("unexpected status {0}")]
    Status(u16),
    /// The body is not an endpoint list.
    #[error(transparent)]
    InvalidList(#[from] EndpointListError),
    /// The list is probably a fault of discovery and is not applied.
    #[error(transparent)]
    Implausible(#[from] ImplausibleList),
}

/// Why a list is not applied: it is treated as a fault of discovery.
#[derive(Debug, Error)]
enum ImplausibleList {
    /// A delta in response to a poll for the full list.
    #[error("delta received where the full list was requested")]
    DeltaForFullList,
    /// A revision older than the last one.
    #[error("list is older than the last one")]
    Outdated,
    /// A full list without endpoints, while some are known.
    #[error("full list without endpoints")]
    Empty,
}

/// A poll of discovery.
struct Poll {
    path: String,
    timeout: Duration,
}

/// Runs the watches, and never returns. Whenever the balancer requests a poll, a watch starts and lasts until a poll
/// fails; the balancer decides when to watch again. With pushed discovery the balancer requests no polls: an agent
/// pushes lists to its watchers, so it is watched all the time.
///
/// `discovery` has the address of the discovery service or the agent. `revision` is the revision to continue from,
/// `None` to begin with the full list. `shared_list` is the list that other instances share with this one.
pub async fn run(
    runtime: Rc<Runtime>,
    mut discovery: watch::Receiver<SocketAddr>,
    revision: Option<u64>,
    shared_list: Option<Rc<SharedEndpointList>>,
) {
    let address = *discovery.borrow_and_update();
    let mut watcher = Watcher {
        runtime,
        address,
        revision,
        shared_list,
    };
    loop {
        if !watcher.runtime.has_pushed_discovery() {
            watcher.runtime.poll_requested.notified().await;
        }
        watcher.watch_until_failure(&mut discovery).await;
    }
}

struct Watcher {
    runtime: Rc<Runtime>,
    /// The address of the discovery service, or of the agent that pushes lists.
    address: SocketAddr,
    /// The revision of the last list; `None` to poll for the full list.
    revision: Option<u64>,
    /// The list that other instances share with this one, if there is such a list.
    shared_list: Option<Rc<SharedEndpointList>>,
}

impl Watcher {
    /// Watches until a poll of discovery fails, and reports the failure to the balancer. A failed poll of an agent is
    /// repeated instead. Starts a new watch when the address changes, and after another instance's list was followed.
    async fn watch_until_failure(&mut self, discovery: &mut watch::Receiver<SocketAddr>) {
        let shared_list = self.shared_list.clone();
        loop {
            self.set_address(*discovery.borrow_and_update());
            let error = tokio::select! {
                biased;
                // Abandons the running poll at once: the previous discovery may be unresponsive or outdated.
                Ok(()) = discovery.changed() => continue,
                // Another instance watches discovery and shares its list, which is used until it is stale.
                () = wait_for_shared_list(shared_list.as_deref()) => {
                    self.follow_shared_list().await;
                    continue;
                }
                error = self.watch() => error,
            };
            if !self.runtime.has_pushed_discovery() {
                return self.report_failure(&error);
            }
            invariants::count("endpoint list watch on the agent ended");
            tracing::debug!(%error, agent = %self.address, "poll of the discovery agent failed");
            sleep(AGENT_RETRY_PAUSE).await;
        }
    }

    /// Sets the address to poll. If it changes, the next poll is for the full list, as revisions of different discovery
    /// services are not comparable.
    fn set_address(&mut self, address: SocketAddr) {
        if std::mem::replace(&mut self.address, address) == address {
            return;
        }
        self.revision = None;
        if let Some(shared_list) = &self.shared_list {
            shared_list.reset_discovery_revision();
        }
    }

    /// Waits until the list of another instance is stale. The next poll then continues from its revision.
    async fn follow_shared_list(&mut self) {
        tracing::info!("discovery polling suspended: list confirmed by another instance");
        let revision = match &self.shared_list {
            Some(shared_list) => shared_list.wait_until_stale().await,
            None => None,
        };
        tracing::info!("discovery polling resumed: shared list is stale");
        self.revision = revision.or(self.revision);
    }

    /// Reports to the balancer that discovery failed, so that it schedules the next poll.
    fn report_failure(&self, error: &WatchError) {
        tracing::info!(%error, discovery = %self.address, "discovery poll failed");
        if let Some(shared_list) = &self.shared_list {
            shared_list.record_discovery_failure();
        }
        // Clears a poll request that is still pending: the poll that has failed served it, and the balancer decides on
        // the backoff before the next one.
        pin!(self.runtime.poll_requested.notified()).enable();
        self.runtime.handle_event(Event::DiscoveryFailed);
    }

    /// Polls and applies lists until a poll fails.
    async fn watch(&mut self) -> WatchError {
        let mut connection = None;
        loop {
            match self.poll(&mut connection).await {
                Ok(list) => self.apply(list),
                Err(error) => return error,
            }
            sleep(POLL_PAUSE).await;
        }
    }

    /// Polls once. Without a `connection`, opens one, and keeps it there for the next poll if it can be reused.
    async fn poll(
        &mut self,
        connection: &mut Option<Connection>,
    ) -> Result<EndpointList, WatchError> {
        let poll = self.next_poll();
        tracing::debug!(path = poll.path, "discovery poll");
        let response = timeout(poll.timeout, get(connection, self.address, &poll.path));
        let response = response.await.map_err(|_| WatchError::TimedOut)??;
        if response.status != 200 {
            return Err(WatchError::Status(response.status));
        }
        let list = EndpointList::parse(&response.body)?;
        if let Err(error) = self.validate(&list) {
            invariants::count("implausible endpoint list from discovery");
            self.revision = None;
            return Err(error.into());
        }
        Ok(list)
    }

    fn next_poll(&self) -> Poll {
        let pushed = self.runtime.has_pushed_discovery();
        let Some(revision) = self.revision else {
            let path = "/api/targets".to_owned();
            // An agent serves a single client, so there is no queue.
            let timeout = match pushed {
                true => RESPONSE_TIMEOUT,
                false => FULL_LIST_TIMEOUT,
            };
            return Poll { path, timeout };
        };
        // An agent's list counts as known from the start of the process, so polls do not wait for a change until the
        // agent has responded once.
        let respond_at_once = pushed && !self.runtime.lifecycle.has_discovery_answered();
        let wait = if respond_at_once {
            Duration::ZERO
        } else {
            LONG_POLL_WAIT
        };
        let milliseconds = wait.as_millis();
        Poll {
            path: format!("/api/targets?since={revision}&timeout_ms={milliseconds}"),
            timeout: wait + RESPONSE_TIMEOUT,
        }
    }

    /// Checks whether a list may be applied. An older or empty list may be a fault of discovery: the last good list is
    /// kept, and the next poll is for the full list, which is accepted even if it is older or empty.
    fn validate(&self, list: &EndpointList) -> Result<(), ImplausibleList> {
        let empty = list.complete && list.endpoints.is_empty();
        match self.revision {
            None if !list.complete => Err(ImplausibleList::DeltaForFullList),
            Some(last) if list.revision < last => Err(ImplausibleList::Outdated),
            Some(_) if empty && self.runtime.is_ready() => Err(ImplausibleList::Empty),
            _ => Ok(()),
        }
    }

    /// Applies a list, and sends it to other instances and to the other processes of this balancer.
    fn apply(&mut self, list: EndpointList) {
        tracing::debug!(
            revision = list.revision,
            complete = list.complete,
            entries = list.endpoints.len(),
            "endpoint list received"
        );
        self.revision = Some(list.revision);
        self.runtime.lifecycle.set_discovery_answered();
        let kind = list.update_kind();
        if let Some(shared_list) = &self.shared_list {
            shared_list.record_discovered(&list);
        }
        let processes = &self.runtime.peer_processes;
        processes.broadcast(|| list_update_frame(&list));
        self.runtime.update_endpoints(kind, list);
    }
}

/// Waits until another instance confirms the shared list, so that this instance need not watch discovery.
async fn wait_for_shared_list(shared_list: Option<&SharedEndpointList>) {
    match shared_list {
        Some(shared_list) => shared_list.wait_until_confirmed().await,
        None => std::future::pending().await,
    }
}

/// Sends a GET request, on the kept-alive connection if there is one.
async fn get(
    kept: &mut Option<Connection>,
    address: SocketAddr,
    path: &str,
) -> Result<Response, WatchError> {
    let mut connection = match kept.take().filter(Connection::is_idle) {
        Some(connection) => connection,
        None => connect(address).await?,
    };
    let response = connection.get(path).await?;
    if connection.is_reusable() {
        *kept = Some(connection);
    }
    Ok(response)
}

async fn connect(address: SocketAddr) -> Result<Connection, WatchError> {
    let connection = timeout(CONNECT_TIMEOUT, Connection::open(address)).await;
    let connection = connection.map_err(|_| WatchError::ConnectTimedOut)?;
    Ok(connection.map_err(HttpError::from)?)
}
