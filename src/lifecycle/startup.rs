//! Startup of the process: command line, configuration, logging, sockets, then the tasks that serve.

use crate::admin::Service;
use crate::api::UpdateKind;
use crate::cli::{Cli, Serve};
use crate::cluster::{ClusterMember, ListFollower};
use crate::config::{LoadReason, ProcessConfig};
use crate::discovery::watcher;
use crate::invariants;
use crate::lifecycle::graceful_shutdown;
use crate::lifecycle::signals::{Reload, Signals};
use crate::proxy::{listener, request};
use crate::runtime::Runtime;
use spanspur_operator_config::{Format, Operator};
use std::io::IsTerminal;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::{LocalSet, spawn_local};
use tracing_subscriber::EnvFilter;

/// Pause after accepting failed: descriptors that ran out come back when connections end.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Runs the program: a sub-command, or the balancer until it is told to stop.
pub fn run() -> ExitCode {
    let serve = match Cli::run() {
        Ok(done) => return done,
        Err(serve) => serve,
    };
    let operator = read_operator(&serve);
    log_as(operator.as_ref().map_or(Format::Text, |o| o.log.format));
    let both =
        operator.and_then(|operator| Ok((ProcessConfig::from_env(LoadReason::Start)?, operator)));
    let served = both.and_then(|(node, operator)| {
        // Before anything is opened here: a closed descriptor's number would be given to something of ours.
        let inherited = node
            .accept_fd
            .map(spanspur_socket_activation::listening)
            .transpose();
        let inherited = inherited.map_err(|e| format!("BALANCER_ACCEPT_FD: {e}"))?;
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build();
        let runtime = runtime.map_err(|e| format!("no runtime: {e}"))?;
        LocalSet::new().block_on(
            &runtime,
            serve_until_shutdown(node, operator, serve, inherited),
        )
    });
    invariants::log_all();
    match served {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => {
            tracing::error!("{what}");
            ExitCode::FAILURE
        }
    }
}

/// The operator's file, if one is given.
pub fn read_operator(serve: &Serve) -> Result<Operator, String> {
    let Some(path) = &serve.operator else {
        return Ok(Operator::default());
    };
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    spanspur_operator_config::parse(&text).map_err(|faults| {
        format!(
            "{}: {}",
            path.display(),
            spanspur_operator_config::sentence(&faults)
        )
    })
}

/// Starts the log, on standard error; what it holds is chosen by `RUST_LOG`, `info` where that is not set.
fn log_as(format: Format) {
    let chosen = std::env::var("RUST_LOG")
        .ok()
        .filter(|text| !text.is_empty());
    let filter = EnvFilter::builder().parse_lossy(chosen.as_deref().unwrap_or("info"));
    let log = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .with_ansi(std::io::stderr().is_terminal());
    match format {
        Format::Text => log.init(),
        Format::Json => log.json().flatten_event(true).init(),
    }
}

async fn serve_until_shutdown(
    mut node: ProcessConfig,
    operator: Operator,
    serve: Serve,
    inherited: Option<socket2::Socket>,
) -> Result<(), String> {
    let signals = Signals::new().map_err(|e| format!("no signals: {e}"))?;
    let listener = match inherited {
        Some(socket) => listener::inherited(socket, node.listen)
            .map_err(|e| format!("BALANCER_ACCEPT_FD: {e}"))?,
        None => listener::bind(node.listen)
            .map_err(|e| format!("key 'listen': {}: {e}", node.listen))?,
    };
    let calls = node.operator.map(listener::bind).transpose();
    let calls = calls.map_err(|e| format!("key 'operator': {e}"))?;
    tracing::info!(
        name = node.name,
        address = %node.listen,
        servers_known = node.known.members.len(),
        "listens"
    );
    let known = std::mem::take(&mut node.known);
    let (discovery, watched) = watch::channel(node.discovery);
    let runtime = Rc::new(Runtime::new(node));
    // Versions start from 0: only a node that knows no server asks for the whole list.
    // One that watches for others has to know the whole list too, as discovery has it.
    let ask_all = known.members.is_empty() || operator.duties.list.is_some();
    let listed = Some(known.revision).filter(|_| !ask_all);
    let service = Service::start(&runtime, calls).await;
    let listed = match service.resumed() {
        Some(revision) => revision,
        None => {
            runtime.update_endpoints(UpdateKind::Cached, known);
            listed
        }
    };
    let shared = ClusterMember::start(&runtime, &operator).await;
    let shared = shared.map_err(|e| e.to_string())?;
    let followed = ListFollower::start(&runtime, &operator).await;
    let followed = followed.map_err(|e| e.to_string())?;
    let news = shared.as_ref().map(|shared| shared.endpoint_list());
    let news = news.or(followed.as_ref().map(|followed| followed.endpoint_list()));
    spawn_local(watcher::run(runtime.clone(), watched, listed, news));
    spawn_local(accept(runtime.clone(), listener));
    service.takes_clients(&runtime).await;
    let reload = Reload::new(
        runtime.clone(),
        discovery,
        serve,
        operator,
        shared.clone(),
        followed,
    );
    signals.serve(reload).await;
    if let Some(shared) = shared {
        shared.leave();
    }
    graceful_shutdown::run(runtime, &service).await;
    Ok(())
}

async fn accept(runtime: Rc<Runtime>, listener: TcpListener) {
    let mut on = runtime.accepting.subscribe();
    loop {
        if on.wait_for(|on| *on).await.is_err() {
            return;
        }
        let accepted = tokio::select! {
            biased;
            _ = on.changed() => continue,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((client, _)) => {
                match runtime.connection_limit.enter(runtime.descriptor_limit()) {
                    Some(place) => {
                        let reader = request::Reader::new(&runtime);
                        drop(spawn_local(request::serve(
                            runtime.clone(),
                            client,
                            place,
                            reader,
                        )));
                    }
                    None => {
                        let runtime = runtime.clone();
                        spawn_local(async move { request::turn_away(&runtime, &client).await });
                    }
                }
                // In a crowd, those that give way for the next have to be gone before it is accepted.
                tokio::task::yield_now().await;
            }
            Err(e) => {
                invariants::count("accepting failed");
                tracing::debug!(error = %e, "accept");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}
