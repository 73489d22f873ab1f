//! HTTP server on the admin address, with one request per connection. Its clients are named callers, to tell them from
//! the balancer's clients.

use super::maintenance_store::MaintenanceStore;
use crate::api::ServerId;
use crate::invariants;
use crate::proxy::closing::send_and_close;
use crate::runtime::Runtime;
use crate::runtime::connection_limit::{ConnectionLimit, ConnectionPermit};
use spanspur_admin::maintenance::{MaintenanceError, MaintenanceSet};
use spanspur_admin::request::{AdminRequest, MAX_BODY, MAX_HEAD, RequestError, parse_request};
use spanspur_admin::response::Response;
use spanspur_hot_restart::frame::Frame;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Mutex;
use tokio::task::{spawn_blocking, spawn_local, yield_now};
use tokio::time::{sleep, timeout};

/// Limit on concurrent callers. For a further caller, the one whose request has been incomplete for longest is evicted.
const MAX_CALLERS: usize = 8;
/// Timeout for receiving a request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Status of a request that was executed.
const STATUS_OK: u16 = 200;
/// Size of the read buffer, in bytes.
const READ_CHUNK: usize = 1024;

/// State that the requests read and change.
struct AdminServer {
    runtime: Rc<Runtime>,
    store: Rc<MaintenanceStore>,
    /// Serializes changes: each change is written to the file before it is applied.
    change_lock: Mutex<()>,
}

/// Serves admin requests until the process exits.
pub async fn run(runtime: Rc<Runtime>, listener: TcpListener, store: Rc<MaintenanceStore>) {
    let callers = Rc::new(ConnectionLimit::default());
    let server = Rc::new(AdminServer {
        runtime,
        store,
        change_lock: Mutex::new(()),
    });
    loop {
        let caller = match listener.accept().await {
            Ok((caller, _)) => caller,
            Err(error) => {
                invariants::count("accepting an admin caller failed");
                tracing::debug!(%error, "admin caller not accepted");
                sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let Some(permit) = callers.acquire(MAX_CALLERS) else {
            invariants::count("too many admin callers");
            continue;
        };
        spawn_local(server.clone().serve(caller, permit));
        // At the limit, lets an evicted connection close before the next caller is accepted.
        yield_now().await;
    }
}

impl AdminServer {
    async fn serve(self: Rc<Self>, caller: TcpStream, mut permit: ConnectionPermit) {
        let _ = caller.set_nodelay(true);
        let request = tokio::select! {
            request = receive_request(&caller) => request,
            () = permit.evicted() => return reject_evicted(&caller),
        };
        let Some(request) = request else { return };
        // A change that has begun is completed and answered.
        permit.become_unevictable();
        let response = self.answer(request).await.encode();
        permit.become_idle();
        tokio::select! {
            () = send_and_close(&caller, &response) => {}
            () = permit.evicted() => {}
        }
    }

    /// Executes a request, if it is valid, and logs it.
    async fn answer(&self, request: Result<AdminRequest, RequestError>) -> Response {
        let response = match &request {
            Ok(request) => self.execute(request).await,
            Err(error) => error.response(),
        };
        let status = response.status;
        match request {
            Ok(AdminRequest::Ready) => tracing::debug!(status, "readiness request"),
            request if request.is_ok() && status == STATUS_OK => {
                tracing::info!(?request, status, text = response.text, "admin request");
            }
            // Counted, so that callers at full speed do not fill the log.
            request => {
                invariants::count("admin request refused");
                tracing::debug!(
                    ?request,
                    status,
                    text = response.text,
                    "admin request refused"
                );
            }
        }
        response
    }

    async fn execute(&self, request: &AdminRequest) -> Response {
        match request {
            AdminRequest::Ready => self.readiness(),
            AdminRequest::Drain(draining) => self.set_draining(*draining),
            AdminRequest::Detach(name) => self.detach(name).await,
            AdminRequest::Attach(name) => self.attach(name).await,
        }
    }

    fn readiness(&self) -> Response {
        let lifecycle = &self.runtime.lifecycle;
        if !self.runtime.is_ready() {
            return Response::new(503, "no stream server is known yet");
        }
        if !lifecycle.is_accepting() {
            return Response::new(503, "another process takes the clients");
        }
        // A process that took over draining from its predecessor reports ready: otherwise the platform would not
        // replace the predecessor.
        if lifecycle.is_draining() && lifecycle.is_draining_requested_here() {
            return Response::new(503, "is emptied");
        }
        Response::new(STATUS_OK, "takes clients")
    }

    fn set_draining(&self, draining: bool) -> Response {
        let runtime = &self.runtime;
        runtime.lifecycle.set_draining_requested_here(draining);
        runtime
            .peer_processes
            .broadcast(|| Frame::Draining(draining));
        let changed = runtime.lifecycle.set_draining(draining);
        let text = match (draining, changed) {
            (true, true) => "is emptied from now on",
            (true, false) => "is being emptied already",
            (false, true) => "takes clients again",
            (false, false) => "was not being emptied",
        };
        Response::new(STATUS_OK, text)
    }

    async fn detach(&self, name: &str) -> Response {
        let _guard = self.change_lock.lock().await;
        let (mut maintenance, now) = (self.runtime.maintenance(), self.runtime.now());
        match maintenance.detach(name, ServerId::of(name).0, now) {
            Err(error) => maintenance_response(error),
            Ok(false) => Response::new(STATUS_OK, "is out already"),
            Ok(true) => self.store_and_apply(&maintenance, "is out").await,
        }
    }

    async fn attach(&self, name: &str) -> Response {
        let _guard = self.change_lock.lock().await;
        let (mut maintenance, now) = (self.runtime.maintenance(), self.runtime.now());
        match maintenance.attach(name, ServerId::of(name).0, now) {
            Err(error) => maintenance_response(error),
            Ok(false) => Response::new(STATUS_OK, "was not out"),
            Ok(true) => self.store_and_apply(&maintenance, "may serve again").await,
        }
    }

    /// Writes the servers under maintenance to the file, then applies them and sends them to the other processes.
    /// Returns a response with `text`, or 503 if the file cannot be written.
    async fn store_and_apply(&self, maintenance: &MaintenanceSet, text: &str) -> Response {
        let (store, written) = (MaintenanceStore::clone(&self.store), maintenance.clone());
        let written = spawn_blocking(move || store.write(&written)).await;
        if let Err(error) = written.map_err(io::Error::other).flatten() {
            invariants::count("maintenance file not written");
            return Response::new(503, format!("cannot be kept, so nothing changes: {error}"));
        }
        self.runtime.merge_maintenance(maintenance);
        let processes = &self.runtime.peer_processes;
        processes.broadcast(|| Frame::Maintenance(maintenance.to_text()));
        Response::new(STATUS_OK, text)
    }
}

/// Rejects a caller whose place is needed, without waiting for it to close. What it has sent is read first: closing a
/// socket with unread bytes would reset the connection, and the caller could lose the response.
fn reject_evicted(caller: &TcpStream) {
    invariants::count("admin caller evicted");
    let _ = caller.try_read(&mut [0; MAX_HEAD + MAX_BODY]);
    let response = Response::new(503, "others call: this call was not finished");
    let _ = caller.try_write(&response.encode());
}

fn maintenance_response(error: MaintenanceError) -> Response {
    let status = match error {
        MaintenanceError::NeverListed => 404,
        MaintenanceError::TooMany => 507,
    };
    Response::new(status, error.to_string())
}

/// Receives a request within its timeout. Returns `None` if the connection ends before the request is complete.
async fn receive_request(caller: &TcpStream) -> Option<Result<AdminRequest, RequestError>> {
    let received = timeout(REQUEST_TIMEOUT, read_request(caller)).await;
    received.unwrap_or(Some(Err(RequestError::TimedOut)))
}

/// Reads a request. Returns `None` if the connection ends before the request is complete.
async fn read_request(caller: &TcpStream) -> Option<Result<AdminRequest, RequestError>> {
    let mut received = Vec::new();
    loop {
        if let Some(request) = parse_request(&received).transpose() {
            return Some(request);
        }
        caller.readable().await.ok()?;
        let mut chunk = [0; READ_CHUNK];
        let limit = (MAX_HEAD + MAX_BODY).saturating_sub(received.len());
        match caller.try_read(&mut chunk[..limit.min(READ_CHUNK)]) {
            Ok(read) if read > 0 => received.extend_from_slice(&chunk[..read]),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            _ => return None,
        }
    }
}
