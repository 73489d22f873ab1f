//! Weighted rendezvous hashing (highest random weight): each key ranks all servers. Balancers with the same
//! endpoint list compute the same ranking without communication.

use super::api::{EndpointState, Key, ServerId};
use super::random::{mix64, unit_fraction};
use super::servers::Server;

/// The weighted rendezvous score of a server for a key. The server with the highest score gets the key, so
/// that each server gets a share of the keys proportional to its weight. The weight must be finite and
/// positive; the score is positive.
pub fn score(key: Key, server: ServerId, weight: f64) -> f64 {
    score_of_hash(hash(key, server), weight)
}

/// The score for a hash returned by [`hash`].
pub(super) fn score_of_hash(hash: f64, weight: f64) -> f64 {
    -weight / libm::log(hash)
}

/// Hashes a key and a server to a fraction strictly inside (0, 1).
pub(super) fn hash(key: Key, server: ServerId) -> f64 {
    unit_fraction(mix64(key.0.wrapping_mul(3) ^ server.0))
}

/// Number of ready servers that a key ranks above this server, all at full weight.
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
