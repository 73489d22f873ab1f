//! The work that balancers of a cluster share: health checks and watching discovery, each done by one instance for all.
//! It is off unless the operator's file has the section `cluster`.
//!
//! Balancers outside the cluster can follow its endpoint list. This requires the section `distribute` in the files of
//! the cluster's control instances and the section `follow` in those of the followers.
//!
//! | module | holds |
//! | --- | --- |
//! | `member` | [`ClusterMember`]: joins the cluster, registers lease tasks, applies the results of other instances |
//! | `health_check` | the lease task that checks one server |
//! | `endpoint_list` | [`SharedEndpointList`]: the endpoint list, watched by one instance for all |
//! | `gossip_entries` | the endpoint list as gossiped entries |
//! | `list_distributor` | a control instance's side of the distribution |
//! | `list_follower` | [`ListFollower`]: a balancer's side of the distribution |
//! | `error` | [`ClusterError`] |

mod endpoint_list;
mod error;
mod gossip_entries;
mod health_check;
mod list_distributor;
mod list_follower;
mod member;
#[cfg(test)]
#[path = "../../tests/common/wire_fixtures.rs"]
mod wire_fixtures;

pub use endpoint_list::SharedEndpointList;
pub use error::ClusterError;
pub use list_follower::ListFollower;
pub use member::ClusterMember;

use crate::api::{Key, ServerId};
use crate::score;
use spanspur_cluster::control::{self, QueryHandler};
use spanspur_membership::{Identity, Keys};
use std::net::SocketAddr;
use std::path::Path;
use std::time::SystemTime;

/// Scores an instance for a lease, or a source for a follower. The highest score ranks first.
fn score_instance(subject: u64, instance: u64) -> f64 {
    score(Key(subject), ServerId(instance), 1.0)
}

fn derive_keys(secrets: &[String]) -> Keys {
    let secrets = secrets.iter();
    Keys(
        secrets
            .map(|secret| spanspur_membership::Key::new(secret.as_bytes()))
            .collect(),
    )
}

/// Creates the identity of this process. Its incarnation is the current time, in milliseconds since the Unix epoch.
fn new_identity(name: &str, address: SocketAddr) -> Identity {
    let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    Identity {
        name: name.into(),
        address,
        incarnation: unix.unwrap_or_default().as_millis() as u64,
        refutations: 0,
    }
}

fn serve_control_socket(handler: QueryHandler, path: &Path) -> Result<(), ClusterError> {
    control::serve(handler, path).map_err(|source| ClusterError::ControlSocket {
        path: path.to_owned(),
        source,
    })
}
