//! The operator's file: a JSON file that enables optional parts of the program. Without the file, all of them are
//! disabled.
//!
//! [`OperatorConfig`] and its sections are the types of the file, and the JSON schema is generated from them. [`parse`]
//! checks a file against the schema and against the rules that the schema cannot express. It reports every fault with
//! its location before any setting is applied.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod fault;
mod parse;
mod reload;
mod section;
mod validation;

pub use fault::{Fault, Faults, Problem};
pub use parse::{parse, schema};
pub use section::{
    Cluster, Control, Distribute, Duties, Follow, FollowedSource, ListDuty, Log, LogFormat,
    OperatorConfig, Pace, Probe,
};
