//! The operator's file: one JSON file that switches parts of the program on. Without it they are all off.
//!
//! [`OperatorConfig`] and its sections are the types of the file, and its JSON schema is made from them. [`parse`] checks
//! a file against the schema and the rules that the schema cannot express, and names every fault with its place before
//! anything is taken over.
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
