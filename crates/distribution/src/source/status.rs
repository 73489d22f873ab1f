//! A source's status for operators. Tools read the JSON names, which therefore must not change.

use super::Source;
use super::followers::FollowerState;
use super::propagation::TrackedChange;
use crate::Millis;
use serde::{Deserialize, Serialize};

/// The maximum number of followers in each list of [`SourceStatus`].
pub const MAX_LISTED_FOLLOWERS: usize = 64;

/// A change in [`SourceStatus`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeStatus {
    /// The changed key.
    pub key: u64,
    /// The entry's new version.
    pub version: u64,
    /// How long ago the change arrived at this source, in milliseconds.
    #[serde(rename = "ago")]
    pub age: Millis,
    /// How long after the change's arrival every reachable follower whose primary source this is had confirmed it, in
    /// milliseconds; `None` as long as one has not.
    #[serde(rename = "after")]
    pub propagated_after: Option<Millis>,
    /// The number of followers that have to confirm the change or, once it is propagated, that had to.
    #[serde(rename = "of")]
    pub followers: usize,
}

/// A follower that lags or is disconnected, in [`SourceStatus`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FollowerDelay {
    /// The follower's name; empty until a handshake has provided it.
    pub name: String,
    /// The time since the arrival of the oldest change that the follower has not confirmed, or since the follower was
    /// last heard from, in milliseconds.
    #[serde(rename = "since")]
    pub delay: Millis,
}

/// A source's status.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SourceStatus {
    /// The source's name.
    pub name: String,
    /// The source's incarnation.
    #[serde(rename = "run")]
    pub incarnation: u64,
    /// The sequence number of the source's last change.
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
    /// How long ago the source last heard from a writer, in milliseconds; `None` if it never did.
    #[serde(rename = "age")]
    pub data_age: Option<Millis>,
    /// The number of followers.
    pub followers: usize,
    /// The number of reachable followers whose primary source this is.
    #[serde(rename = "first")]
    pub primary_followers: usize,
    /// Whether followers have had the time to reconnect since the source's start. Until then, a change counts as
    /// propagated only provisionally.
    pub settled: bool,
    /// The last changes, newest first.
    pub changes: Vec<ChangeStatus>,
    /// The number of reachable followers that lag and whose primary source this is.
    pub lagging: usize,
    /// The followers that lag most, up to [`MAX_LISTED_FOLLOWERS`].
    #[serde(rename = "laggards")]
    pub lagging_followers: Vec<FollowerDelay>,
    /// The number of followers that are not reachable and whose last poll named this source as primary. They may have
    /// changed to another source.
    #[serde(rename = "dark")]
    pub disconnected: usize,
    /// The followers disconnected longest, up to [`MAX_LISTED_FOLLOWERS`].
    #[serde(rename = "darkened")]
    pub disconnected_followers: Vec<FollowerDelay>,
    /// How far ahead the source's rate limit is allocated to reservations, in milliseconds.
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

/// The followers with the longest delays, longest first.
fn most_delayed(mut delays: Vec<FollowerDelay>) -> Vec<FollowerDelay> {
    delays.sort_by(|a, b| b.delay.cmp(&a.delay).then(a.name.cmp(&b.name)));
    delays.truncate(MAX_LISTED_FOLLOWERS);
    delays
}
