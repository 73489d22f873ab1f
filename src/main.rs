//! The balancer on real sockets.
#![forbid(unsafe_code)]

mod net;

use net::host::Host;
use net::room::Room;
use net::signals::Signals;
use net::{check, director, drain, req};
use spanspur::api::ListKind;
use spanspur::config::{Node, When};
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::watch;
use tokio::task::{LocalSet, spawn_local};

/// Connections that wait to be accepted: a crowd may come at once.
const BACKLOG: u32 = 1024;
/// Pause after accepting failed: descriptors that ran out come back when connections end.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    let served = Node::from_env(When::Start).and_then(|node| {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build();
        let runtime = runtime.map_err(|e| format!("no runtime: {e}"))?;
        LocalSet::new().block_on(&runtime, run(node))
    });
    check::log_all();
    match served {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => {
            log::error!("{what}");
            ExitCode::FAILURE
        }
    }
}

async fn run(mut node: Node) -> Result<(), String> {
    let signals = Signals::new().map_err(|e| format!("no signals: {e}"))?;
    let listener = listen(&node).map_err(|e| format!("key 'listen': {}: {e}", node.listen))?;
    log::info!(
        "{} listens on {}, {} servers known",
        node.name,
        node.listen,
        node.known.members.len()
    );
    let known = std::mem::take(&mut node.known);
    let (discovery, watched) = watch::channel(node.discovery);
    let host = Rc::new(Host::new(node));
    // Versions start from 0: only a node that knows no server asks for the whole list.
    let listed = Some(known.revision).filter(|_| !known.members.is_empty());
    host.list(ListKind::Cached, known);
    spawn_local(director::run(host.clone(), watched, listed));
    spawn_local(accept(host.clone(), listener));
    signals.serve(&host, &discovery).await;
    drain::run(host).await;
    Ok(())
}

fn listen(node: &Node) -> std::io::Result<TcpListener> {
    let socket = if node.listen.is_ipv4() {
        TcpSocket::new_v4()
    } else {
        TcpSocket::new_v6()
    }?;
    // A restart under the same address must not wait for old connections to time out.
    socket.set_reuseaddr(true)?;
    socket.bind(node.listen)?;
    socket.listen(BACKLOG)
}

async fn accept(host: Rc<Host>, listener: TcpListener) {
    let room = Rc::new(Room::default());
    loop {
        match listener.accept().await {
            Ok((client, _)) => {
                match room.enter(host.node().sockets) {
                    Some(place) => drop(spawn_local(req::serve(host.clone(), client, place))),
                    None => req::turn_away(&client),
                }
                // In a crowd, those that give way for the next have to be gone before it is accepted.
                tokio::task::yield_now().await;
            }
            Err(e) => {
                check::count("accepting failed");
                log::debug!("accept: {e}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}
