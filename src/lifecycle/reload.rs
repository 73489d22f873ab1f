//! Reload on SIGHUP: reads the configuration and the operator's file again and applies them.

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

/// The state that a reload replaces, and the components that it updates.
pub struct Reload {
    /// The runtime that the new configuration is applied to.
    pub runtime: Rc<Runtime>,
    /// Sends a changed discovery address to the watcher.
    pub discovery: watch::Sender<SocketAddr>,
    /// The command-line options.
    pub options: Serve,
    /// The operator's settings currently in effect.
    pub operator: OperatorConfig,
    /// The cluster member of this process, if any.
    pub cluster_member: Option<Rc<ClusterMember>>,
    /// The follower of other instances' endpoint list, if any.
    pub list_follower: Option<Rc<ListFollower>>,
}

impl Reload {
    /// Reloads the configuration and the operator's file. If one of them is unreadable or invalid, or changes a setting
    /// that requires a restart, nothing is applied and the error is logged.
    pub fn run(&mut self) {
        match self.read() {
            Ok((config, operator)) => self.apply(config, operator),
            Err(error) => tracing::error!(%error, "not reloaded, configuration unchanged"),
        }
    }

    fn read(&self) -> Result<(ProcessConfig, OperatorConfig), ReloadError> {
        let config = ProcessConfig::from_env(LoadReason::Reload)
            .and_then(|config| config.into_replacement_of(&self.runtime.process_config()))?;
        let operator = operator_file::read(&self.options)?;
        self.operator
            .check_reload(&operator)
            .map_err(ReloadError::FixedSettings)?;
        Ok((config, operator))
    }

    fn apply(&mut self, config: ProcessConfig, operator: OperatorConfig) {
        tracing::info!(discovery = %config.discovery, "configuration reloaded");
        // The address must be set before the new configuration makes the balancer poll it.
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
