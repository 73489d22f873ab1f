//! The second address: the staff's calls, one to a connection.

use super::maintenance_store::MaintenanceStore;
use crate::api::ServerId;
use crate::invariants;
use crate::proxy::closing::send_and_close;
use crate::runtime::Runtime;
use crate::runtime::connection_limit::ConnectionLimit;
use spanspur_admin::call::{Answer, Call, MAX_BODY, MAX_HEAD, read};
use spanspur_admin::outs::No;
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

/// Answers calls, as long as the process lives.
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
                () = place.evicted() => Some(Answer::new(503, "others call: this call was not finished")),
            };
            if let Some(answer) = answer {
                let answer = answer.bytes();
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
    async fn hear(&self, caller: &TcpStream) -> Option<Answer> {
        let call = match timeout(CALL, read_call(caller)).await {
            Ok(call) => call?,
            Err(_) => Err(Answer::new(408, "the call was not whole in time")),
        };
        let answer = match &call {
            Ok(call) => self.carry_out(call).await,
            Err(answer) => answer.clone(),
        };
        let status = answer.status;
        match call {
            Ok(Call::Ready) => tracing::debug!(status, "asked whether ready"),
            call => tracing::info!(?call, status, text = answer.text, "called"),
        }
        Some(answer)
    }

    async fn carry_out(&self, call: &Call) -> Answer {
        let runtime = &self.runtime;
        match call {
            Call::Ready => match (
                runtime.is_ready(),
                runtime.lifecycle.is_accepting(),
                runtime.lifecycle.is_lameduck(),
            ) {
                (false, ..) => Answer::new(503, "no stream server is known yet"),
                (_, false, _) => Answer::new(503, "another process takes the clients"),
                (_, _, true) if runtime.lifecycle.is_lameduck_requested_here() => {
                    Answer::new(503, "is emptied")
                }
                _ => Answer::new(200, "takes clients"),
            },
            Call::Lameduck(on) => {
                runtime.lifecycle.set_lameduck_requested_here(*on);
                runtime.peer_processes.broadcast(|| Frame::Lameduck(*on));
                let changed = runtime.lifecycle.set_lameduck(*on);
                Answer::new(
                    200,
                    match (on, changed) {
                        (true, true) => "is emptied from now on",
                        (true, false) => "is being emptied already",
                        (false, true) => "takes clients again",
                        (false, false) => "was not being emptied",
                    },
                )
            }
            Call::Detach(name) => self.change(name, true).await,
            Call::Attach(name) => self.change(name, false).await,
        }
    }

    /// Takes a backend out or puts it back. Written first, then it counts, then the caller hears.
    async fn change(&self, name: &str, out: bool) -> Answer {
        let _one = self.writing.lock().await;
        let (mut outs, now) = (self.runtime.maintenance(), self.runtime.now());
        let id = ServerId::of(name).0;
        let changed = match out {
            true => outs.detach(name, id, now),
            false => outs.attach(name, id, now),
        };
        match changed {
            Err(No::NeverListed) => {
                return Answer::new(404, "no list has ever named this stream server");
            }
            Err(No::TooMany) => return Answer::new(507, "too many stream servers are out"),
            Ok(false) if out => return Answer::new(200, "is out already"),
            Ok(false) => return Answer::new(200, "was not out"),
            Ok(true) => {}
        }
        let (kept, written) = (MaintenanceStore::clone(&self.kept), outs.clone());
        let written = spawn_blocking(move || kept.write(&written)).await;
        if let Err(e) = written.map_err(io::Error::other).flatten() {
            invariants::count("the servers taken out could not be written");
            return Answer::new(503, format!("cannot be kept, so nothing changes: {e}"));
        }
        self.runtime.merge_maintenance(&outs);
        self.runtime
            .peer_processes
            .broadcast(|| Frame::Outs(outs.write()));
        Answer::new(200, if out { "is out" } else { "may serve again" })
    }
}

/// `None` at the end of the connection before the call is whole.
async fn read_call(caller: &TcpStream) -> Option<Result<Call, Answer>> {
    let mut sent = Vec::new();
    loop {
        match read(&sent) {
            Ok(Some(call)) => return Some(Ok(call)),
            Ok(None) => {}
            Err(answer) => return Some(Err(answer)),
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
