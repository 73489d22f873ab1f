//! Process startup: command line, configuration, logging, sockets, then the tasks that serve until SIGTERM.

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

/// File extension of the hot restart socket, which is in the same directory as the maintenance file.
const SOCKET_EXTENSION: &str = "sock";

/// Runs the program: a subcommand, or the balancer until SIGTERM.
pub fn run() -> ExitCode {
    let options = match Cli::run() {
        Invocation::Finished(exit_code) => return exit_code,
        Invocation::Serve(options) => options,
    };
    let operator = operator_file::read(&options);
    logging::start(operator.as_ref().map_or(LogFormat::Text, |o| o.log.format));
    let result = operator
        .map_err(StartupError::from)
        .and_then(|operator| serve(options, operator));
    invariants::log_counters();
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            tracing::error!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn serve(options: Serve, operator: OperatorConfig) -> Result<(), StartupError> {
    let config = ProcessConfig::from_env(LoadReason::Start)?;
    // Must come before this process opens a descriptor: if the configured number is not open, the kernel could
    // assign it to a file of this process.
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

    let (hot_restart, predecessor) = start_admin_and_hot_restart(&runtime, sockets.admin).await;
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
        hot_restart.announce_ready(predecessor).await;
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

/// Applies the maintenance file and the state of a running predecessor, then starts the admin server.
async fn start_admin_and_hot_restart(
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
    // The predecessor keeps accepting clients until this process is ready.
    runtime.lifecycle.set_accepting(predecessor.is_none());
    if let Some(listener) = listener {
        spawn_local(admin::server::run(runtime.clone(), listener, store));
        spawn_local(draining::run(runtime.clone()));
    }
    (hot_restart, predecessor)
}

/// Loads the maintenance file and applies it.
fn restore_maintenance(runtime: &Rc<Runtime>, store: &MaintenanceStore) {
    let Some(maintenance) = store.read() else {
        return;
    };
    let servers: Vec<&str> = maintenance.names().collect();
    tracing::info!(servers = servers.join(" "), "servers under maintenance");
    runtime.merge_maintenance(&maintenance);
}

/// Enables hot restarts if the listening socket for clients is inherited from the platform. Otherwise each process
/// would bind a socket of its own, and a successor could not accept clients on the predecessor's.
fn set_up_hot_restart(runtime: &Rc<Runtime>, store: &MaintenanceStore) -> Option<Rc<HotRestart>> {
    runtime.process_config().accept_fd?;
    let socket_path = store.sibling_path(SOCKET_EXTENSION)?;
    Some(HotRestart::new(runtime.clone(), socket_path))
}

/// Applies the cached endpoint list. Returns the revision to watch from, or `None` to poll for the full list.
fn start_from_cache(
    runtime: &Rc<Runtime>,
    cached: EndpointList,
    operator: &OperatorConfig,
) -> Option<u64> {
    // Revision 0 is valid, so a missing list is recognized by having no endpoints. A process that watches discovery on
    // behalf of other instances does not continue from the cached revision either: it needs the full list as discovery
    // has it.
    let needs_full_list = cached.endpoints.is_empty() || operator.duties.list.is_some();
    let revision = Some(cached.revision).filter(|_| !needs_full_list);
    runtime.update_endpoints(UpdateKind::Cached, cached);
    revision
}

/// The cluster member or list follower that this process runs, if configured.
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

    /// Returns the endpoint list that this process shares with other instances, if it is a member or a follower.
    fn shared_list(&self) -> Option<Rc<SharedEndpointList>> {
        let member_list = self.member.as_ref().map(|member| member.endpoint_list());
        let follower = self.list_follower.as_ref();
        member_list.or(follower.map(|follower| follower.endpoint_list()))
    }
}
