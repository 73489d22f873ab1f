//! How many descriptors fit into the memory that the processes of a balancer may use together.
//!
//! What clients make a process hold is bounded by the client: received bytes that are not forwarded yet
//! ([`MAX_LINE`](crate::protocol::client::MAX_LINE) in each direction), one task, and one entry in each table of
//! requests. The number of clients is therefore all that has to be limited to keep within a memory limit.

/// Memory of a process apart from its clients, in bytes: the program, the endpoint lists, the state of the balancer.
const PROCESS_MEMORY: usize = 6 << 20;
/// Maximum memory that clients make the process hold for each descriptor, in bytes. A client has one descriptor until its
/// request is sent on, then a second one for its backend.
const MEMORY_PER_DESCRIPTOR: usize = 12 << 10;
/// Descriptors that are allowed whatever the memory limit: a limit that is below the needs of the program itself must not
/// keep it from serving.
const MIN_DESCRIPTORS: usize = 64;

/// Returns how many descriptors `processes` processes may hold together within `memory_limit` bytes.
pub fn descriptors_within(memory_limit: usize, processes: usize) -> usize {
    let client_memory = memory_limit.saturating_sub(processes * PROCESS_MEMORY);
    (client_memory / MEMORY_PER_DESCRIPTOR).max(MIN_DESCRIPTORS)
}
