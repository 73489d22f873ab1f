//! Simulation of the distribution, which replicates entries from control instances to balancers (followers). It runs in
//! virtual time: control instances, each a real cluster node with a real source, and up to thousands of real followers,
//! including their encrypted datagrams. Network, clocks, crashes and pauses are drawn from a seed; a checker that
//! records all writes verifies what the followers hold.
//!
//! | module | contents |
//! | --- | --- |
//! | [`world`] | instances, locations, network delays, the writer of the list, faults |
//! | [`checker`] | record of writes, of what each follower holds, and of when changes took effect |
//! | [`chaos`] | runs with random faults drawn from a seed, checked after recovery |
//! | [`measure`] | measurements at fleet size: delay, costs, a region cut off, simultaneous starts |
//! | [`sockets`] | the production drivers over loopback sockets in real time |

pub mod chaos;
pub mod checker;
pub mod measure;
pub mod sockets;
pub mod world;

pub use checker::{Checker, Violation};
pub use world::{Fault, InjectedBug, Plan, World};
