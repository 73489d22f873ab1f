//! Tests and measures fleets: clusters of real nodes (`spanspur_cluster::Node`) in virtual time, and of real processes
//! on loopback, with seeded fault injection and a checker that knows the true state.
#![forbid(unsafe_code)]

pub mod capacity;
pub mod charts;
pub mod checker;
pub mod data_path;
pub mod distribution;
pub mod measure;
pub mod meter;
pub mod real;
pub mod scale;
pub mod series;
pub mod soak;
pub mod sockets;
pub mod world;

pub use checker::{Act, CheckReport, Checker};
pub use world::{Fault, Plan, World};

use spanspur_leases::ranking::Ranking;
use xxhash_rust::xxh3::xxh3_64;

/// The ranking of instances for a lease that all runs use. The score is -1 / ln(h), as in the balancer, where h is a
/// hash of lease and instance in (0, 1).
pub fn ranking() -> Ranking {
    Ranking(|lease, instance| {
        let mut bytes = [0; 16];
        bytes[..8].copy_from_slice(&lease.to_le_bytes());
        bytes[8..].copy_from_slice(&instance.to_le_bytes());
        let h = ((xxh3_64(&bytes) >> 12) as f64 + 0.5) / (1u64 << 52) as f64;
        -1.0 / h.ln()
    })
}
