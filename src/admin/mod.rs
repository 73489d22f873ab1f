//! Administration of the running balancer: I/O for `spanspur-admin`.

pub mod maintenance_store;
pub mod server;

pub use maintenance_store::MaintenanceStore;
