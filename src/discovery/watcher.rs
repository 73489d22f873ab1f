//! The director: discovery's list, watched call by call on one kept-alive connection.

use crate::api::{Event, UpdateKind};
use crate::cluster::SharedEndpointList;
use crate::discovery::endpoint_list::EndpointList;
use crate::discovery::http::{Connection, Response};
use crate::invariants;
use crate::lifecycle::hot_restart;
use crate::runtime::Runtime;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// How long a call may wait at discovery for something new. A discovery that falls silent is noticed only after
/// this, and meanwhile backends drain and go untold. A watch that goes on costs it nothing, however often it is renewed.
const WAIT: Duration = Duration::from_secs(2);
/// Past that, a call without an answer has failed: discovery is cut off and gives no sign. What a silent watch
/// misses counts as told after 6 s, and where all fall silent at once the next call is turned away, maybe the one
/// after it too: half of that time is for asking again.
const SILENCE: Duration = Duration::from_millis(1000);
/// A call for the whole list stands in line at discovery, which handles one call at a time, and all balancers ask after
/// a reload: one that is given up sooner has lost its place and makes the line longer. Half of those 6 s.
const LINE: Duration = Duration::from_secs(3);

/// Connecting to discovery takes no longer than this.
const CONNECT: Duration = Duration::from_secs(1);
/// A discovery that answers at once each time must not keep us busy; far under the 200 ms that end a watch.
const PAUSE: Duration = Duration::from_millis(10);
/// Where lists are pushed, what the agent has counts as told whether it is watched or not: it is asked again so soon.
const AGENT_PAUSE: Duration = Duration::from_millis(50);

/// Watches whenever the module asks for it, until the watch fails; when to try again is the module's choice. Where lists
/// are pushed the module never asks: the agent, which pushes to whoever watches, is watched all the time.
pub async fn run(
    runtime: Rc<Runtime>,
    mut discovery: watch::Receiver<SocketAddr>,
    mut listed: Option<u64>,
    news: Option<Rc<SharedEndpointList>>,
) {
    let mut at = *discovery.borrow_and_update();
    loop {
        if !runtime.has_pushed_discovery() {
            runtime.poll_requested.notified().await;
        }
        loop {
            // Another discovery counts its versions as it likes: it is asked for everything first.
            let place = *discovery.borrow_and_update();
            if std::mem::replace(&mut at, place) != place {
                listed = None;
                if let Some(news) = &news {
                    news.reset_discovery_revision();
                }
            }
            tokio::select! {
                biased;
                // The running watch is left at once: its discovery may fall silent or tell old news.
                Ok(()) = discovery.changed() => {}
                // Another instance watches for us: its news is taken until it is too old.
                () = relieved(news.as_deref()) => {
                    listed = outsourced(news.as_deref()).await.or(listed);
                }
                what = follow(&runtime, at, &mut listed, news.as_deref()) => {
                    if runtime.has_pushed_discovery() {
                        invariants::count("a watch on the agent that pushes lists has ended");
                        tracing::debug!(what, agent = %at, "the watch ends");
                        sleep(AGENT_PAUSE).await;
                        continue;
                    }
                    tracing::info!(what, discovery = %at, "the watch on discovery ends");
                    if let Some(news) = &news {
                        news.record_discovery_failure();
                    }
                    // A wish from before was met by the call that has failed: the pause from here on is the module's.
                    pin!(runtime.poll_requested.notified()).enable();
                    runtime.handle_event(Event::DiscoveryFailed);
                    break;
                }
            }
        }
    }
}

/// Waits until another instance's news makes our own watch needless.
async fn relieved(news: Option<&SharedEndpointList>) {
    match news {
        Some(news) => news.wait_until_confirmed().await,
        None => std::future::pending().await,
    }
}

/// Waits until that news is too old: the revision to go on from.
async fn outsourced(news: Option<&SharedEndpointList>) -> Option<u64> {
    tracing::info!("another instance watches discovery for this one");
    let since = news?.wait_until_stale().await;
    tracing::info!("this instance watches discovery itself");
    since
}

/// Takes list after list, until a call fails: says why.
async fn follow(
    runtime: &Rc<Runtime>,
    at: SocketAddr,
    listed: &mut Option<u64>,
    news: Option<&SharedEndpointList>,
) -> String {
    let mut kept = None;
    loop {
        let (path, wait) = match listed {
            Some(revision) => {
                // What an agent has counts from our first moment on: its first answer is not waited for.
                let now = runtime.has_pushed_discovery() && !runtime.discovery_answered.get();
                let wait = if now { Duration::ZERO } else { WAIT };
                let ms = wait.as_millis();
                let path = format!("/api/targets?since={revision}&timeout_ms={ms}");
                (path, wait)
            }
            None => ("/api/targets".to_owned(), Duration::ZERO),
        };
        // An agent has one caller, so nobody stands in line there.
        let patience = match listed {
            None if !runtime.has_pushed_discovery() => LINE,
            _ => wait + SILENCE,
        };
        tracing::debug!(path, "calls discovery");
        let call = timeout(patience, call(&mut kept, at, &path)).await;
        let call = call.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()));
        let list = call
            .map_err(|e| e.to_string())
            .and_then(|answer| match answer.status {
                200 => EndpointList::parse(&answer.body),
                status => Err(format!("status {status}")),
            });
        let list = match list.and_then(|list| plausible(runtime, list, listed)) {
            Ok(list) => list,
            Err(what) => return what,
        };
        tracing::debug!(
            revision = list.revision,
            complete = list.complete,
            entries = list.members.len(),
            "a list"
        );
        *listed = Some(list.revision);
        runtime.discovery_answered.set(true);
        let kind = if list.complete {
            UpdateKind::Full
        } else {
            UpdateKind::Delta
        };
        if let Some(news) = news {
            news.record_discovered(&list);
        }
        runtime.notify_peer_processes(|| hot_restart::news(&list));
        runtime.update_endpoints(kind, list);
        sleep(PAUSE).await;
    }
}

/// A list that goes back, or leaves nobody, may be a fault of discovery's: the last good one stands, and the whole list
/// is asked for. What comes whole then is believed.
fn plausible(
    runtime: &Runtime,
    list: EndpointList,
    listed: &mut Option<u64>,
) -> Result<EndpointList, String> {
    let nobody = list.complete && list.members.is_empty();
    let odd = match *listed {
        None if !list.complete => "changes where the whole list was asked for",
        Some(last) if list.revision < last => "a list older than the last one",
        Some(_) if nobody && runtime.is_ready() => "a list that names nobody",
        _ => return Ok(list),
    };
    invariants::count("a list from discovery is not plausible");
    *listed = None;
    Err(odd.to_owned())
}

/// One call, on the kept connection if there is one.
async fn call(kept: &mut Option<Connection>, at: SocketAddr, path: &str) -> io::Result<Response> {
    let mut connection = match kept.take().filter(Connection::quiet) {
        Some(connection) => connection,
        None => timeout(CONNECT, Connection::open(at)).await??,
    };
    let answer = connection.get(path).await?;
    if connection.alive {
        *kept = Some(connection);
    }
    Ok(answer)
}
