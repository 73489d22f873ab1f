//! The life of the process: signals, configuration reload, graceful shutdown and hot restart.

pub mod graceful_shutdown;
pub mod hot_restart;
pub mod signals;
pub mod startup;
