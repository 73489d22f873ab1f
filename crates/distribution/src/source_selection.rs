//! Selection of the sources that a follower polls. Sources in the follower's zone rank first, then those in its
//! region, then all others. Within each group they rank by rendezvous score, which spreads followers evenly and moves
//! few followers when the list of sources changes.

use crate::{Location, SourceEndpoint};
use std::cmp::Ordering;

/// An index into a follower's list of sources.
pub(crate) type SourceIndex = usize;

/// A configured source and the id with which it seals its datagrams.
#[derive(Clone, Debug)]
pub(crate) struct KnownSource {
    pub(crate) id: u64,
    pub(crate) endpoint: SourceEndpoint,
}

/// The role of a source for a follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Role {
    /// The source that tracks which changes this follower has confirmed, and reports it if it lags or is disconnected.
    Primary,
    /// The second source that is polled.
    Secondary,
}

impl Role {
    /// The number of the role in a status, where 0 means none.
    pub(crate) fn number(self) -> u8 {
        match self {
            Self::Primary => 1,
            Self::Secondary => 2,
        }
    }
}

/// The sources that a follower polls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Assignment {
    pub(crate) primary: Option<SourceIndex>,
    pub(crate) secondary: Option<SourceIndex>,
}

impl Assignment {
    pub(crate) fn is_empty(&self) -> bool {
        self.primary.is_none() && self.secondary.is_none()
    }

    /// The assigned sources, the primary first.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (Role, SourceIndex)> + use<> {
        let primary = self.primary.map(|source| (Role::Primary, source));
        let secondary = self.secondary.map(|source| (Role::Secondary, source));
        primary.into_iter().chain(secondary)
    }

    pub(crate) fn role_of(&self, source: SourceIndex) -> Option<Role> {
        let mut assigned = self.iter();
        assigned.find_map(|(role, other)| (other == source).then_some(role))
    }

    pub(crate) fn contains(&self, source: SourceIndex) -> bool {
        self.role_of(source).is_some()
    }
}

/// The sources in order of preference of the follower with this id and location.
pub(crate) fn rank_sources(
    follower: u64,
    location: Location,
    sources: &[KnownSource],
    score: fn(u64, u64) -> f64,
) -> Vec<SourceIndex> {
    let mut order: Vec<SourceIndex> = (0..sources.len()).collect();
    order.sort_by(|a, b| {
        let (a, b) = (&sources[*a], &sources[*b]);
        let by_distance = distance(location, a).cmp(&distance(location, b));
        // The highest score comes first.
        let by_score = score(follower, b.id).partial_cmp(&score(follower, a.id));
        let by_name = a.endpoint.name.cmp(&b.endpoint.name);
        by_distance
            .then(by_score.unwrap_or(Ordering::Equal))
            .then(by_name)
    });
    order
}

/// 0 in the same zone, 1 in the same region, 2 otherwise.
fn distance(from: Location, source: &KnownSource) -> u8 {
    let to = source.endpoint.location;
    match to.region == from.region {
        true if to.zone == from.zone => 0,
        true => 1,
        false => 2,
    }
}

/// Assigns the roles to available sources. The primary is the first one in order of preference. The secondary is the
/// next one in another zone or, if there is none, the next one.
pub(crate) fn assign_roles(
    order: &[SourceIndex],
    sources: &[KnownSource],
    is_available: impl Fn(SourceIndex) -> bool,
) -> Assignment {
    let mut available = order.iter().copied().filter(|i| is_available(*i));
    let Some(primary) = available.next() else {
        return Assignment::default();
    };
    let others: Vec<SourceIndex> = available.collect();
    let location = |source: SourceIndex| sources[source].endpoint.location;
    let other_zone = others
        .iter()
        .copied()
        .find(|source| location(*source) != location(primary));
    Assignment {
        primary: Some(primary),
        secondary: other_zone.or(others.first().copied()),
    }
}
