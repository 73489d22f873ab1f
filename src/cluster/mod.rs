//! What balancers of one cluster do for each other: health checks and the watch on discovery, each done by one
//! instance. All of it is off unless the operator's file has the section `cluster`. Balancers outside the cluster
//! follow it for the endpoint list: that is off unless the file has `distribute` there and `follow` here.
//!
//! | module | holds |
//! | --- | --- |
//! | `member` | [`ClusterMember`]: joins the cluster, registers its lease tasks, applies what other instances find |
//! | `health_check` | the lease task that checks one server |
//! | `endpoint_list` | [`SharedEndpointList`]: the list watched by one instance for all |
//! | `gossip_entries` | the list as gossiped entries |
//! | `list_distributor` | a control instance's end of the distribution |
//! | `list_follower` | [`ListFollower`]: a balancer's end of the distribution |
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

/// The score by which instances rank, for a lease or a follower.
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

/// This process's identity; its incarnation is the time of this call.
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
