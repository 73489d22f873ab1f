//! Which sources a follower follows: those of its own zone before those of its region before the rest, in each of
//! these by rendezvous score, so that followers spread evenly and each source's share changes little with the list.

use crate::{Place, SourceAt};
use std::cmp::Ordering;

/// The sources in the order in which this follower would have them, as indices.
pub fn rank(
    me: u64,
    place: Place,
    sources: &[(u64, SourceAt)],
    score: fn(u64, u64) -> f64,
) -> Vec<usize> {
    let distance = |at: &SourceAt| match at.place {
        p if p.zone == place.zone && p.region == place.region => 0,
        p if p.region == place.region => 1,
        _ => 2,
    };
    let mut order: Vec<usize> = (0..sources.len()).collect();
    order.sort_by(|a, b| {
        let ((a_id, a), (b_id, b)) = (&sources[*a], &sources[*b]);
        let near = distance(a).cmp(&distance(b));
        let scores = score(me, *b_id).partial_cmp(&score(me, *a_id));
        let names = a.name.cmp(&b.name);
        near.then(scores.unwrap_or(Ordering::Equal)).then(names)
    });
    order
}

/// The first two of the order that may be had, the second of another zone than the first if there is one.
pub fn choose(
    order: &[usize],
    sources: &[(u64, SourceAt)],
    may: impl Fn(usize) -> bool,
) -> [Option<usize>; 2] {
    let mut left = order.iter().copied().filter(|i| may(*i));
    let Some(first) = left.next() else {
        return [None, None];
    };
    let zone = |i: usize| (sources[i].1.place.region, sources[i].1.place.zone);
    let others: Vec<usize> = left.collect();
    let apart = others.iter().copied().find(|i| zone(*i) != zone(first));
    [Some(first), apart.or(others.first().copied())]
}
