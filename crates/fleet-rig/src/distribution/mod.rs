//! The distribution of changes in virtual time: control instances, each a real node of the cluster with a real source
//! beside it, and up to thousands of real followers, down to their sealed datagrams. The network, the clocks, the
//! deaths and pauses come from a seed; a checker that knows what was written judges by what followers hold.
//!
//! | part | holds |
//! | --- | --- |
//! | [`world`] | instances, places, delays, the list's writer, faults |
//! | [`checker`] | what was written, what each follower holds, when changes came into force |
//! | [`chaos`] | faults drawn from a seed, and the verdict after they are over |
//! | [`measure`] | the sized runs: delay, costs, a region's cut, the start of everybody |
//! | [`sockets`] | the same drivers over real loopback sockets in real time |

pub mod chaos;
pub mod checker;
pub mod measure;
pub mod sockets;
pub mod world;

pub use checker::{Checker, Wrong};
pub use world::{Fault, Plan, Planted, World};
