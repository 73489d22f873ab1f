//! Administration of the running balancer: the driver of `spanspur-admin`.

pub mod maintenance_store;
pub mod server;

pub use maintenance_store::MaintenanceStore;
