//! Weighted rendezvous hashing (highest random weight): each key ranks all servers, and balancers with
//! the same endpoint list agree on the ranking without communication.

use super::api::{EndpointState, Key, ServerId};
use super::random::{mix64, unit_fraction};
use super::servers::Server;

/// The weighted rendezvous score of a server for a key: the highest wins. A server wins a share of the
/// keys that is proportional to its weight.
pub fn score(key: Key, server: ServerId, weight: f64) -> f64 {
    score_of_hash(hash(key, server), weight)
}

/// The score that belongs to a hash of [`hash`].
pub(super) fn score_of_hash(hash: f64, weight: f64) -> f64 {
    -weight / libm::log(hash)
}

/// The hash of a key and a server as a fraction inside (0, 1).
pub(super) fn hash(key: Key, server: ServerId) -> f64 {
    unit_fraction(mix64(key.0.wrapping_mul(3) ^ server.0))
}

/// How many ready servers a key ranks before this one, all at their full weight.
pub(super) fn full_weight_rank(key: Key, server: &Server, servers: &[Server]) -> usize {
    let full_score = |server: &Server| score(key, server.endpoint.id, server.endpoint.weight);
    let own_score = full_score(server);
    servers
        .iter()
        .filter(|other| {
            other.endpoint.state == EndpointState::Ready && full_score(other) > own_score
        })
        .count()
}
