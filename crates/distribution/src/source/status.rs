//! A source's status for operators. The JSON names are read by tools and stay.

use super::Source;
use super::followers::FollowerState;
use super::propagation::TrackedChange;
use crate::Millis;
use serde::{Deserialize, Serialize};

/// The most followers in a list of a status.
pub const MAX_LISTED_FOLLOWERS: usize = 64;

/// A change in [`SourceStatus`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeStatus {
    /// Its key.
    pub key: u64,
    /// Its version.
    pub version: u64,
    /// How long ago it arrived at this source, in milliseconds.
    #[serde(rename = "ago")]
    pub age: Millis,
    /// How long after its arrival every reachable follower whose primary source this is had confirmed it, in
    /// milliseconds.
    #[serde(rename = "after")]
    pub propagated_after: Option<Millis>,
    /// How many followers have to confirm it.
    #[serde(rename = "of")]
    pub followers: usize,
}

/// A follower that lags or is disconnected, in [`SourceStatus`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FollowerDelay {
    /// Its name; empty until it is known.
    pub name: String,
    /// Milliseconds since the arrival of the oldest change that it has not confirmed, or since it was last heard
    /// from.
    #[serde(rename = "since")]
    pub delay: Millis,
}

/// A source's status.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SourceStatus {
    /// Its name.
    pub name: String,
    /// Its incarnation.
    #[serde(rename = "run")]
    pub incarnation: u64,
    /// The sequence number of its last change.
    pub head: u64,
    /// Cursors below this sequence number are too old.
    pub floor: u64,
    /// The number of entries, tombstones included.
    pub entries: usize,
    /// The highest version.
    #[serde(rename = "newest")]
    pub newest_version: u64,
    /// The hash over all keys and versions.
    #[serde(rename = "root")]
    pub root_hash: u64,
    /// The age of its own data, in milliseconds.
    #[serde(rename = "age")]
    pub data_age: Option<Millis>,
    /// The number of followers.
    pub followers: usize,
    /// Of these, the reachable ones whose primary source it is.
    #[serde(rename = "first")]
    pub primary_followers: usize,
    /// Its followers have had the time to come back since its start; until then a change counts as propagated only
    /// provisionally.
    pub settled: bool,
    /// The last changes, newest first.
    pub changes: Vec<ChangeStatus>,
    /// The number of reachable primary followers that lag.
    pub lagging: usize,
    /// Those that lag most, up to [`MAX_LISTED_FOLLOWERS`].
    #[serde(rename = "laggards")]
    pub lagging_followers: Vec<FollowerDelay>,
    /// The number of primary followers that can't be reached. They may follow another source.
    #[serde(rename = "dark")]
    pub disconnected: usize,
    /// Those disconnected longest, up to [`MAX_LISTED_FOLLOWERS`].
    #[serde(rename = "darkened")]
    pub disconnected_followers: Vec<FollowerDelay>,
    /// How far ahead its rate limit is allocated, in milliseconds.
    #[serde(rename = "ahead")]
    pub backlog: Millis,
}

impl Source {
    /// The status for operators.
    pub fn status(&self, now: Millis) -> SourceStatus {
        let lagging = self.lagging_followers(now);
        let disconnected = self.disconnected_followers(now);
        let primary_followers = self.followers.reachable_primary(now).count();
        let changes = self.tracker.newest_first();
        let changes = changes.map(|change| change_status(now, change, primary_followers));
        SourceStatus {
            name: self.channel.name().to_owned(),
            incarnation: self.channel.incarnation(),
            head: self.log.head(),
            floor: self.log.floor(),
            entries: self.store.len(),
            newest_version: self.store.newest_version(),
            root_hash: self.store.root_hash(),
            data_age: self.data_age(now),
            followers: self.followers.len(),
            primary_followers,
            settled: self.is_settled(now),
            changes: changes.collect(),
            lagging: lagging.len(),
            lagging_followers: most_delayed(lagging),
            disconnected: disconnected.len(),
            disconnected_followers: most_delayed(disconnected),
            backlog: self.rate_limiter.backlog(now),
        }
    }

    fn lagging_followers(&self, now: Millis) -> Vec<FollowerDelay> {
        let lagging = |follower: &FollowerState| {
            let delay = self.tracker.lag(now, follower.confirmed)?;
            let name = follower.name.clone();
            Some(FollowerDelay { name, delay })
        };
        let reachable = self.followers.reachable_primary(now);
        reachable.filter_map(lagging).collect()
    }

    fn disconnected_followers(&self, now: Millis) -> Vec<FollowerDelay> {
        let primary = self.followers.primary();
        let disconnected = primary.filter(|follower| !follower.is_reachable(now));
        let delays = disconnected.map(|follower| FollowerDelay {
            name: follower.name.clone(),
            delay: now.saturating_sub(follower.last_heard),
        });
        delays.collect()
    }
}

fn change_status(now: Millis, change: &TrackedChange, followers: usize) -> ChangeStatus {
    let propagated = change.propagated;
    ChangeStatus {
        key: change.key,
        version: change.version,
        age: now.saturating_sub(change.received_at),
        propagated_after: propagated.map(|done| done.at - change.received_at),
        followers: propagated.map_or(followers, |done| done.followers),
    }
}

/// The first followers by descending delay.
fn most_delayed(mut delays: Vec<FollowerDelay>) -> Vec<FollowerDelay> {
    delays.sort_by(|a, b| b.delay.cmp(&a.delay).then(a.name.cmp(&b.name)));
    delays.truncate(MAX_LISTED_FOLLOWERS);
    delays
}
