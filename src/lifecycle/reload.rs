//! Reload at SIGHUP: the configuration and the operator's file as they are now come into effect.

use super::error::ReloadError;
use super::operator_file;
use crate::cli::Serve;
use crate::cluster::{ClusterMember, ListFollower};
use crate::config::{LoadReason, ProcessConfig};
use crate::runtime::Runtime;
use spanspur_operator_config::OperatorConfig;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::watch;

/// What a reload brings into effect, and where.
pub struct Reload {
    /// The runtime of the process.
    pub runtime: Rc<Runtime>,
    /// The address of discovery.
    pub discovery: watch::Sender<SocketAddr>,
    /// The options of the command line.
    pub options: Serve,
    /// The operator's file as it is in effect.
    pub operator: OperatorConfig,
    /// The membership of this process in a cluster.
    pub cluster_member: Option<Rc<ClusterMember>>,
    /// The control instances that this process follows.
    pub list_follower: Option<Rc<ListFollower>>,
}

impl Reload {
    /// All or nothing: a file that is unreadable or invalid must not replace the old state, nor keep half of the other
    /// file's changes.
    pub fn run(&mut self) {
        match self.read() {
            Ok((config, operator)) => self.apply(config, operator),
            Err(error) => tracing::error!(%error, "not reloaded, configuration unchanged"),
        }
    }

    fn read(&self) -> Result<(ProcessConfig, OperatorConfig), ReloadError> {
        let config = ProcessConfig::from_env(LoadReason::Reload)
            .and_then(|config| config.replace(&self.runtime.process_config()))?;
        let operator = operator_file::read(&self.options)?;
        self.operator
            .check_reload(&operator)
            .map_err(ReloadError::FixedSettings)?;
        Ok((config, operator))
    }

    fn apply(&mut self, config: ProcessConfig, operator: OperatorConfig) {
        tracing::info!(discovery = %config.discovery, "configuration reloaded");
        // First the address, then the balancer's request to poll it.
        let discovery = config.discovery;
        self.discovery
            .send_if_modified(|address| std::mem::replace(address, discovery) != discovery);
        self.runtime.apply_config(config);
        if let Some(member) = &self.cluster_member {
            member.configure(operator.clone());
        }
        if let (Some(follower), Some(follow)) = (&self.list_follower, &operator.follow) {
            follower.configure(follow);
        }
        self.operator = operator;
    }
}
