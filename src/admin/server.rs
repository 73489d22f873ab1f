//! The second address: the staff's calls, one to a connection.

use super::maintenance_store::MaintenanceStore;
use crate::api::ServerId;
use crate::invariants;
use crate::proxy::closing::send_and_close;
use crate::runtime::Runtime;
use crate::runtime::connection_limit::ConnectionLimit;
use spanspur_admin::maintenance::MaintenanceError;
use spanspur_admin::request::{AdminRequest, MAX_BODY, MAX_HEAD, RequestError, parse_request};
use spanspur_admin::response::Response;
use spanspur_hot_restart::frame::Frame;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Mutex;
use tokio::task::{spawn_blocking, spawn_local};
use tokio::time::{sleep, timeout};

/// Who calls at the same time; for one more, the one that has not finished its call for longest gives way.
pub const CALLERS: usize = 8;
/// A call is whole within this.
const CALL: Duration = Duration::from_secs(5);
/// Pause after accepting failed.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// What the calls change.
struct Desk {
    runtime: Rc<Runtime>,
    kept: Rc<MaintenanceStore>,
    /// One change at a time: each is written before it counts.
    writing: Mutex<()>,
}

/// Responses calls, as long as the process lives.
pub async fn run(runtime: Rc<Runtime>, listener: TcpListener, kept: Rc<MaintenanceStore>) {
    let room = Rc::new(ConnectionLimit::default());
    let desk = Rc::new(Desk {
        runtime,
        kept,
        writing: Mutex::new(()),
    });
    loop {
        let caller = match listener.accept().await {
            Ok((caller, _)) => caller,
            Err(e) => {
                invariants::count("accepting a caller failed");
                tracing::debug!(error = %e, "accept");
                sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let Some(mut place) = room.acquire(CALLERS) else {
            invariants::count("a caller finds no room");
            continue;
        };
        let desk = desk.clone();
        spawn_local(async move {
            let _ = caller.set_nodelay(true);
            let answer = tokio::select! {
                answer = desk.hear(&caller) => answer,
                () = place.evicted() => Some(Response::new(503, "others call: this call was not finished")),
            };
            if let Some(answer) = answer {
                let answer = answer.encode();
                tokio::select! {
                    () = send_and_close(&caller, &answer) => {}
                    () = place.evicted() => {}
                }
            }
        });
        // In a crowd of callers, those that give way have to be gone before the next is accepted.
        tokio::task::yield_now().await;
    }
}

impl Desk {
    /// Reads a call and carries it out; `None` if the caller has gone.
    async fn hear(&self, caller: &TcpStream) -> Option<Response> {
        let call = match timeout(CALL, read_call(caller)).await {
            Ok(call) => call?,
            Err(_) => Err(RequestError::TimedOut),
        };
        let answer = match &call {
            Ok(call) => self.carry_out(call).await,
            Err(error) => error.response(),
        };
        let status = answer.status;
        match call {
            Ok(AdminRequest::Ready) => tracing::debug!(status, "asked whether ready"),
            call => tracing::info!(?call, status, text = answer.text, "called"),
        }
        Some(answer)
    }

    async fn carry_out(&self, call: &AdminRequest) -> Response {
        let runtime = &self.runtime;
        match call {
            AdminRequest::Ready => match (
                runtime.is_ready(),
                runtime.lifecycle.is_accepting(),
                runtime.lifecycle.is_lameduck(),
            ) {
                (false, ..) => Response::new(503, "no stream server is known yet"),
                (_, false, _) => Response::new(503, "another process takes the clients"),
                (_, _, true) if runtime.lifecycle.is_lameduck_requested_here() => {
                    Response::new(503, "is emptied")
                }
                _ => Response::new(200, "takes clients"),
            },
            AdminRequest::Drain(on) => {
                runtime.lifecycle.set_lameduck_requested_here(*on);
                runtime.peer_processes.broadcast(|| Frame::Draining(*on));
                let changed = runtime.lifecycle.set_lameduck(*on);
                Response::new(
                    200,
                    match (on, changed) {
                        (true, true) => "is emptied from now on",
                        (true, false) => "is being emptied already",
                        (false, true) => "takes clients again",
                        (false, false) => "was not being emptied",
                    },
                )
            }
            AdminRequest::Detach(name) => self.change(name, true).await,
            AdminRequest::Attach(name) => self.change(name, false).await,
        }
    }

    /// Takes a backend out or puts it back. Written first, then it counts, then the caller hears.
    async fn change(&self, name: &str, out: bool) -> Response {
        let _one = self.writing.lock().await;
        let (mut outs, now) = (self.runtime.maintenance(), self.runtime.now());
        let id = ServerId::of(name).0;
        let changed = match out {
            true => outs.detach(name, id, now),
            false => outs.attach(name, id, now),
        };
        match changed {
            Err(error) => return Response::new(maintenance_status(error), error.to_string()),
            Ok(false) if out => return Response::new(200, "is out already"),
            Ok(false) => return Response::new(200, "was not out"),
            Ok(true) => {}
        }
        let (kept, written) = (MaintenanceStore::clone(&self.kept), outs.clone());
        let written = spawn_blocking(move || kept.write(&written)).await;
        if let Err(e) = written.map_err(io::Error::other).flatten() {
            invariants::count("the servers taken out could not be written");
            return Response::new(503, format!("cannot be kept, so nothing changes: {e}"));
        }
        self.runtime.merge_maintenance(&outs);
        self.runtime
            .peer_processes
            .broadcast(|| Frame::Maintenance(outs.to_text()));
        Response::new(200, if out { "is out" } else { "may serve again" })
    }
}

/// The status of the response to a change that is rejected.
fn maintenance_status(error: MaintenanceError) -> u16 {
    match error {
        MaintenanceError::NeverListed => 404,
        MaintenanceError::TooMany => 507,
    }
}

/// `None` at the end of the connection before the call is whole.
async fn read_call(caller: &TcpStream) -> Option<Result<AdminRequest, RequestError>> {
    let mut sent = Vec::new();
    loop {
        match parse_request(&sent) {
            Ok(Some(call)) => return Some(Ok(call)),
            Ok(None) => {}
            Err(error) => return Some(Err(error)),
        }
        caller.readable().await.ok()?;
        let mut chunk = [0; 1024];
        let room = (MAX_HEAD + MAX_BODY).saturating_sub(sent.len());
        match caller.try_read(&mut chunk[..room.min(1024)]) {
            Ok(n) if n > 0 => sent.extend_from_slice(&chunk[..n]),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            _ => return None,
        }
    }
}
