//! A follower's status for operators. Tools read the JSON names, which therefore must not change.

use super::{Follower, elapsed_since};
use crate::Millis;
use crate::source_selection::{Role, SourceIndex};
use serde::{Deserialize, Serialize};

/// A source in [`FollowerStatus`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FollowedSourceStatus {
    /// The source's name.
    pub name: String,
    /// 1 for the primary source, 2 for the secondary, 0 for the others.
    pub role: u8,
    /// Whether the source is disconnected.
    #[serde(rename = "silent")]
    pub disconnected: bool,
    /// The age of the data received from the source, in milliseconds; `None` until the follower has held all entries of
    /// the source after it had heard from a writer.
    #[serde(rename = "age")]
    pub data_age: Option<Millis>,
}

/// A follower's status.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FollowerStatus {
    /// The follower's name.
    pub name: String,
    /// The number of entries, tombstones included.
    pub entries: usize,
    /// The highest version.
    #[serde(rename = "newest")]
    pub newest_version: u64,
    /// The hash over all keys and versions.
    #[serde(rename = "root")]
    pub root_hash: u64,
    /// The age of the data, in milliseconds, see [`Follower::data_age`].
    #[serde(rename = "age")]
    pub data_age: Option<Millis>,
    /// Whether the follower has held, at least once, all entries of a source that had heard from a writer.
    #[serde(rename = "full")]
    pub synchronized: bool,
    /// Whether all sources are disconnected.
    #[serde(rename = "dark")]
    pub disconnected: bool,
    /// Whether a resynchronization is in progress.
    #[serde(rename = "catching_up")]
    pub resyncing: bool,
    /// The sources, in order of preference.
    pub sources: Vec<FollowedSourceStatus>,
}

impl Follower {
    /// The status for operators.
    pub fn status(&self, now: Millis) -> FollowerStatus {
        let preference = self.preference.iter();
        let sources = preference.map(|source| self.source_status(now, *source));
        FollowerStatus {
            name: self.channel.name().to_owned(),
            entries: self.store.len(),
            newest_version: self.store.newest_version(),
            root_hash: self.store.root_hash(),
            data_age: self.data_age(now),
            synchronized: self.synchronized,
            disconnected: self.disconnected,
            resyncing: self.resync.is_some(),
            sources: sources.collect(),
        }
    }

    fn source_status(&self, now: Millis, source: SourceIndex) -> FollowedSourceStatus {
        let state = &self.states[source];
        FollowedSourceStatus {
            name: self.sources[source].endpoint.name.clone(),
            role: self.assignment.role_of(source).map_or(0, Role::number),
            disconnected: state.is_disconnected(),
            data_age: state.synced_as_of.map(|time| elapsed_since(time, now)),
        }
    }
}
