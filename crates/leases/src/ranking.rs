//! Chooses the preferred instance and the voter set of a lease by weighted rendezvous hashing (Thaler and Ravishankar,
//! 'A name-based mapping scheme for rendezvous', 1996). Leases are spread evenly, and an instance that joins or leaves
//! moves only its own leases.

use crate::{InstanceId, LeaseId};

/// A function that scores an instance for a lease, given the lease's id and the instance's id. The highest score ranks
/// first. The balancer supplies the function.
#[derive(Clone, Copy)]
pub struct Ranking(pub fn(u64, u64) -> f64);

impl std::fmt::Debug for Ranking {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Ranking")
    }
}

#[derive(Clone, Copy)]
struct Candidate {
    score: f64,
    instance: InstanceId,
}

impl Ranking {
    /// Hashes a number, so that similar numbers give unrelated results.
    pub(crate) fn hash_number(number: u64) -> u64 {
        xxhash_rust::xxh3::xxh3_64(&number.to_le_bytes())
    }

    /// The preferred instance for a lease: the one with the highest score, or, at equal scores, with the lowest id.
    pub fn preferred_instance<'a>(
        &self,
        lease: LeaseId,
        instances: impl IntoIterator<Item = &'a InstanceId>,
    ) -> Option<InstanceId> {
        let mut best: Option<Candidate> = None;
        for instance in instances {
            let candidate = self.score_candidate(lease, *instance);
            let is_better = best.is_none_or(|best| {
                candidate.score > best.score
                    || (candidate.score == best.score && candidate.instance < best.instance)
            });
            if is_better {
                best = Some(candidate);
            }
        }
        best.map(|best| best.instance)
    }

    /// The voters of a lease: the first `max_voters` of `voters` by rank, highest first.
    pub fn voter_set(
        &self,
        lease: LeaseId,
        voters: &[InstanceId],
        max_voters: usize,
    ) -> Vec<InstanceId> {
        let mut ranked: Vec<Candidate> = voters
            .iter()
            .map(|voter| self.score_candidate(lease, *voter))
            .collect();
        ranked.sort_by(|a, b| {
            let by_score = b.score.total_cmp(&a.score);
            by_score.then(a.instance.cmp(&b.instance))
        });
        ranked.truncate(max_voters);
        ranked
            .into_iter()
            .map(|candidate| candidate.instance)
            .collect()
    }

    fn score_candidate(&self, lease: LeaseId, instance: InstanceId) -> Candidate {
        Candidate {
            score: (self.0)(lease.0, instance.0),
            instance,
        }
    }
}
