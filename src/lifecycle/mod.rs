//! Process lifecycle: startup, signals, configuration reload, draining, graceful shutdown and hot restart.

pub mod accept;
pub mod draining;
pub mod error;
pub mod graceful_shutdown;
pub mod hot_restart;
pub mod logging;
pub mod migration;
pub mod operator_file;
pub mod reload;
pub mod shutdown_schedule;
pub mod signals;
pub mod sockets;
pub mod startup;
