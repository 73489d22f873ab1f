//! Startup of the process: command line, configuration, log, sockets, then the tasks that serve until SIGTERM.

use super::error::StartupError;
use super::hot_restart::{HotRestart, PredecessorLink};
use super::reload::Reload;
use super::signals::Signals;
use super::sockets::ListeningSockets;
use super::{accept, draining, graceful_shutdown, logging, operator_file};
use crate::admin::{self, MaintenanceStore};
use crate::api::UpdateKind;
use crate::cli::{Cli, Invocation, Serve};
use crate::cluster::{ClusterMember, ListFollower, SharedEndpointList};
use crate::config::{LoadReason, ProcessConfig};
use crate::discovery::endpoint_list::EndpointList;
use crate::discovery::watcher;
use crate::invariants;
use crate::runtime::Runtime;
use socket2::Socket;
use spanspur_operator_config::{LogFormat, OperatorConfig};
use spanspur_socket_activation::take_listening_socket;
use std::process::ExitCode;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::{LocalSet, spawn_local};

/// Extension of the hot restart socket, which is beside the maintenance file.
const SOCKET_EXTENSION: &str = "sock";

/// Runs the program: a sub-command, or the balancer until it is told to stop.
pub fn run() -> ExitCode {
    let options = match Cli::run() {
        Invocation::Finished(exit_code) => return exit_code,
        Invocation::Serve(options) => options,
    };
    let operator = operator_file::read(&options);
    logging::start(operator.as_ref().map_or(LogFormat::Text, |o| o.log.format));
    let served = operator
        .map_err(StartupError::from)
        .and_then(|operator| serve(options, operator));
    invariants::log_counters();
    match served {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            tracing::error!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn serve(options: Serve, operator: OperatorConfig) -> Result<(), StartupError> {
    let config = ProcessConfig::from_env(LoadReason::Start)?;
    // Before anything is opened here: the number of a closed descriptor would be given to something else.
    let inherited = config.accept_fd.map(take_listening_socket).transpose()?;
    let event_loop = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(StartupError::EventLoop)?;
    let serve = serve_until_terminated(config, operator, options, inherited);
    LocalSet::new().block_on(&event_loop, serve)
}

async fn serve_until_terminated(
    mut config: ProcessConfig,
    operator: OperatorConfig,
    options: Serve,
    inherited: Option<Socket>,
) -> Result<(), StartupError> {
    let signals = Signals::new().map_err(StartupError::Signals)?;
    let sockets = ListeningSockets::open(&config, inherited)?;
    tracing::info!(
        name = config.name,
        address = %config.listen,
        cached_endpoints = config.cached_endpoints.endpoints.len(),
        "listening"
    );
    let cached = std::mem::take(&mut config.cached_endpoints);
    let (discovery, discovery_changes) = watch::channel(config.discovery);
    let runtime = Rc::new(Runtime::new(config));

    let (hot_restart, predecessor) = continue_balancer(&runtime, sockets.admin).await;
    let revision = match &predecessor {
        Some(predecessor) => predecessor.revision,
        None => start_from_cache(&runtime, cached, &operator),
    };
    let cluster = ClusterTasks::start(&runtime, &operator).await?;
    let shared_list = cluster.shared_list();
    let watch = watcher::run(runtime.clone(), discovery_changes, revision, shared_list);
    spawn_local(watch);
    spawn_local(accept::run(runtime.clone(), sockets.clients));
    if let Some(hot_restart) = &hot_restart {
        hot_restart.take_clients(predecessor).await;
    }
    runtime.lifecycle.set_accepting(true);

    let reload = Reload {
        runtime: runtime.clone(),
        discovery,
        options,
        operator,
        cluster_member: cluster.member.clone(),
        list_follower: cluster.list_follower,
    };
    signals.reload_until_terminated(reload).await;
    if let Some(member) = cluster.member {
        member.leave();
    }
    graceful_shutdown::run(runtime, hot_restart.as_deref()).await;
    Ok(())
}

/// Continues from the maintenance file and from a predecessor, and answers the staff.
async fn continue_balancer(
    runtime: &Rc<Runtime>,
    listener: Option<TcpListener>,
) -> (Option<Rc<HotRestart>>, Option<PredecessorLink>) {
    let store = Rc::new(MaintenanceStore::open(&runtime.process_config().name));
    restore_maintenance(runtime, &store);
    let hot_restart = set_up_hot_restart(runtime, &store);
    let predecessor = match &hot_restart {
        Some(hot_restart) => hot_restart.connect_to_predecessor().await,
        None => None,
    };
    // The predecessor accepts the clients until this process is ready.
    runtime.lifecycle.set_accepting(predecessor.is_none());
    if let Some(listener) = listener {
        spawn_local(admin::server::run(runtime.clone(), listener, store));
        spawn_local(draining::run(runtime.clone()));
    }
    (hot_restart, predecessor)
}

/// Brings the maintenance file into effect.
fn restore_maintenance(runtime: &Rc<Runtime>, store: &MaintenanceStore) {
    let Some(maintenance) = store.read() else {
        return;
    };
    let servers: Vec<&str> = maintenance.names().collect();
    tracing::info!(servers = servers.join(" "), "servers under maintenance");
    runtime.merge_maintenance(&maintenance);
}

/// Hot restarts need a clients' socket that the platform holds: only then two processes can accept one after the other.
fn set_up_hot_restart(runtime: &Rc<Runtime>, store: &MaintenanceStore) -> Option<Rc<HotRestart>> {
    runtime.process_config().accept_fd?;
    let socket_path = store.path_beside(SOCKET_EXTENSION)?;
    Some(HotRestart::new(runtime.clone(), socket_path))
}

/// Begins with the cached endpoint list; returns the revision to watch from, `None` for the full list.
fn start_from_cache(
    runtime: &Rc<Runtime>,
    cached: EndpointList,
    operator: &OperatorConfig,
) -> Option<u64> {
    // Revisions start from 0: only a process that knows no endpoint polls for the full list. One that watches for
    // others has to know the full list too, as discovery has it.
    let poll_full_list = cached.endpoints.is_empty() || operator.duties.list.is_some();
    let revision = Some(cached.revision).filter(|_| !poll_full_list);
    runtime.update_endpoints(UpdateKind::Cached, cached);
    revision
}

/// The part of this process in a cluster, or as a follower of one.
struct ClusterTasks {
    member: Option<Rc<ClusterMember>>,
    list_follower: Option<Rc<ListFollower>>,
}

impl ClusterTasks {
    async fn start(runtime: &Rc<Runtime>, operator: &OperatorConfig) -> Result<Self, StartupError> {
        Ok(Self {
            member: ClusterMember::start(runtime, operator).await?,
            list_follower: ListFollower::start(runtime, operator).await?,
        })
    }

    /// The endpoint list that other instances watch for this one, if any do.
    fn shared_list(&self) -> Option<Rc<SharedEndpointList>> {
        let of_member = self.member.as_ref().map(|member| member.endpoint_list());
        let follower = self.list_follower.as_ref();
        of_member.or(follower.map(|follower| follower.endpoint_list()))
    }
}
