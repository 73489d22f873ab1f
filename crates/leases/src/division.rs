//! Who ranks first for a duty and who votes on it, both by weighted rendezvous hashing (Thaler and Ravishankar,
//! 'A name-based mapping scheme for rendezvous', 1996): duties are spread evenly, and an instance that comes or
//! goes moves only the duties that are its own.

use crate::{DutyId, InstanceId};

/// The score of an instance for a duty: the highest ranks first. The balancer passes its own in.
#[derive(Clone, Copy)]
pub struct Ranking(pub fn(u64, u64) -> f64);

impl std::fmt::Debug for Ranking {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Ranking")
    }
}

impl Ranking {
    /// Spreads the bits of a number over all of it.
    pub(crate) fn mix(number: u64) -> u64 {
        xxhash_rust::xxh3::xxh3_64(&number.to_le_bytes())
    }

    /// The instance that ranks first; ties go to the lower id.
    pub fn first<'a>(
        &self,
        duty: DutyId,
        among: impl IntoIterator<Item = &'a InstanceId>,
    ) -> Option<InstanceId> {
        let mut best: Option<(f64, InstanceId)> = None;
        for instance in among {
            let score = (self.0)(duty.0, instance.0);
            if best.is_none_or(|(top, id)| score > top || (score == top && *instance < id)) {
                best = Some((score, *instance));
            }
        }
        best.map(|(_, id)| id)
    }

    /// The first `most` instances in their order.
    pub fn panel(&self, duty: DutyId, voters: &[InstanceId], most: usize) -> Vec<InstanceId> {
        let mut ranked: Vec<(f64, InstanceId)> = voters
            .iter()
            .map(|voter| ((self.0)(duty.0, voter.0), *voter))
            .collect();
        ranked.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        ranked.truncate(most);
        ranked.into_iter().map(|(_, id)| id).collect()
    }
}
