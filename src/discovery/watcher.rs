//! Watches the endpoint list at discovery, poll by poll on one kept-alive connection.

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

/// How long discovery may hold a poll until the list changes. A discovery that falls silent is noticed only after this,
/// and meanwhile servers drain unnoticed. A watch that continues costs discovery nothing, however often it polls.
const LONG_POLL_WAIT: Duration = Duration::from_secs(2);
/// A poll without a response this long after its wait has failed: a discovery that is cut off gives no sign. An update
/// has to be noticed within 6 s, and where all watches fail at once discovery may reject the next poll or two: half of
/// that time is for further polls.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1000);
/// A poll for the full list queues at discovery, which serves one at a time, and all balancers send one after a reload:
/// a poll that is given up loses its place and lengthens the queue. Half of those 6 s.
const FULL_LIST_TIMEOUT: Duration = Duration::from_secs(3);
/// Time to connect to discovery.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause between polls, so that a discovery that always responds at once does not keep this process busy; far below the
/// 200 ms after which discovery ends a watch.
const POLL_PAUSE: Duration = Duration::from_millis(10);
/// Pause before an agent that pushes lists is polled again: its lists count as known whether they are watched or not.
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
    /// The response has another status than 200.
    #[error("status {0}")]
    Status(u16),
    /// The body is no endpoint list.
    #[error(transparent)]
    InvalidList(#[from] EndpointListError),
    /// The list must not be applied.
    #[error(transparent)]
    Implausible(#[from] ImplausibleList),
}

/// Why a list is taken for a fault of discovery.
#[derive(Debug, Error)]
enum ImplausibleList {
    /// A delta in response to a poll for the full list.
    #[error("changes where the whole list was asked for")]
    DeltaForFullList,
    /// A revision before the last one.
    #[error("a list older than the last one")]
    Outdated,
    /// A full list without endpoints, while some are known.
    #[error("a list that names nobody")]
    Empty,
}

/// A poll at discovery.
struct Poll {
    path: String,
    timeout: Duration,
}

/// Watches whenever the balancer requests it, until the watch fails; when to watch again is the balancer's decision.
/// Where lists are pushed the balancer never requests it: the agent, which pushes to those who watch, is watched
/// all the time.
///
/// `revision` is the revision to continue from, `None` to begin with the full list. `shared_list` is what other
/// instances watch for this one.
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
    /// The address of discovery, or of the agent that pushes lists.
    address: SocketAddr,
    /// Revision of the last list; `None` to poll for the full list.
    revision: Option<u64>,
    shared_list: Option<Rc<SharedEndpointList>>,
}

impl Watcher {
    /// Watches, also at a changed address and after another instance has watched, until discovery fails.
    async fn watch_until_failure(&mut self, discovery: &mut watch::Receiver<SocketAddr>) {
        let shared_list = self.shared_list.clone();
        loop {
            self.set_address(*discovery.borrow_and_update());
            let error = tokio::select! {
                biased;
                // The running poll is abandoned at once: its discovery may be silent or outdated.
                Ok(()) = discovery.changed() => continue,
                // Another instance watches for this one: its list is used until it is outdated.
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

    /// Another discovery counts its revisions in its own way: it is polled for the full list first.
    fn set_address(&mut self, address: SocketAddr) {
        if std::mem::replace(&mut self.address, address) == address {
            return;
        }
        self.revision = None;
        if let Some(shared_list) = &self.shared_list {
            shared_list.reset_discovery_revision();
        }
    }

    /// Waits while another instance's list is current; continues from its revision then.
    async fn follow_shared_list(&mut self) {
        tracing::info!("discovery polling suspended: list confirmed by another instance");
        let revision = match &self.shared_list {
            Some(shared_list) => shared_list.wait_until_stale().await,
            None => None,
        };
        tracing::info!("discovery polling resumed: shared list is stale");
        self.revision = revision.or(self.revision);
    }

    fn report_failure(&self, error: &WatchError) {
        tracing::info!(%error, discovery = %self.address, "discovery poll failed");
        if let Some(shared_list) = &self.shared_list {
            shared_list.record_discovery_failure();
        }
        // A request from before was met by the poll that has failed: the backoff from here on is the balancer's.
        pin!(self.runtime.poll_requested.notified()).enable();
        self.runtime.handle_event(Event::DiscoveryFailed);
    }

    /// Polls and applies list after list, until a poll fails.
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
            // An agent serves one client, so there is no queue.
            let timeout = match pushed {
                true => RESPONSE_TIMEOUT,
                false => FULL_LIST_TIMEOUT,
            };
            return Poll { path, timeout };
        };
        // An agent's list counts as known from the start of the process: its first response is not waited for.
        let at_once = pushed && !self.runtime.lifecycle.has_discovery_answered();
        let wait = if at_once {
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

    /// A list that goes back, or is empty, may be a fault of discovery: the last good one stays, and the full list is
    /// polled for. What comes in full then is believed.
    fn validate(&self, list: &EndpointList) -> Result<(), ImplausibleList> {
        let empty = list.complete && list.endpoints.is_empty();
        match self.revision {
            None if !list.complete => Err(ImplausibleList::DeltaForFullList),
            Some(last) if list.revision < last => Err(ImplausibleList::Outdated),
            Some(_) if empty && self.runtime.is_ready() => Err(ImplausibleList::Empty),
            _ => Ok(()),
        }
    }

    /// Applies a list, and passes it on to other instances and to the other processes of this balancer.
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

/// Waits until another instance's list makes a watch of our own needless.
async fn wait_for_shared_list(shared_list: Option<&SharedEndpointList>) {
    match shared_list {
        Some(shared_list) => shared_list.wait_until_confirmed().await,
        None => std::future::pending().await,
    }
}

/// Sends a GET, on the kept connection if there is one.
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
