//! Gossip entries reach all stores at any cluster size, and digests repair lost messages.

use spanspur_leases::InstanceId;
use spanspur_leases::gossip_store::{
    FANOUT, GossipEntry, GossipMessage, GossipStore, MAX_VALUE_BYTES,
};
use std::collections::BTreeMap;

fn entry(key: u64, version: u64) -> GossipEntry {
    GossipEntry {
        key,
        version,
        value: version.to_le_bytes().into(),
    }
}

/// Publishes entries at store 0 and delivers all messages, except those for whose sequence number `is_lost` returns
/// true. Returns the highest number of messages that one store sent.
fn publish(
    stores: &mut [GossipStore],
    entries: Vec<GossipEntry>,
    mut is_lost: impl FnMut(usize) -> bool,
) -> usize {
    let others: Vec<InstanceId> = (1..stores.len() as u64).map(InstanceId).collect();
    let mut sent: BTreeMap<usize, usize> = BTreeMap::new();
    let mut queue: Vec<(usize, InstanceId, GossipMessage)> = Vec::new();
    let first = stores[0].publish(entries, &others);
    queue.extend(first.into_iter().map(|(to, message)| (0, to, message)));
    let mut count = 0;
    while let Some((from, to, message)) = queue.pop() {
        count += 1;
        *sent.entry(from).or_default() += 1;
        if is_lost(count) {
            continue;
        }
        let index = to.0 as usize;
        let sends = stores[index]
            .receive(InstanceId(from as u64), message)
            .outgoing;
        queue.extend(sends.into_iter().map(|(to, message)| (index, to, message)));
    }
    sent.values().max().copied().unwrap_or(0)
}

#[test]
fn entries_reach_all_stores_and_none_exceeds_the_fanout() {
    for size in [2, 5, 9, 10, 50, 200] {
        let mut stores = vec![GossipStore::default(); size];
        let max_sent = publish(&mut stores, vec![entry(1, 7)], |_| false);
        assert!(
            stores
                .iter()
                .all(|store| store.get(1).is_some_and(|entry| entry.version == 7)),
            "{size} stores: not all hold the entry"
        );
        assert!(
            max_sent <= FANOUT,
            "{size} stores: one sends {max_sent} messages"
        );
    }
}

#[test]
fn digests_repair_losses_and_an_older_version_never_wins() {
    let mut stores = vec![GossipStore::default(); 20];
    let entries = (0..1000).map(|key| entry(key, 5)).collect();
    publish(&mut stores, entries, |count| count % 3 == 0);
    assert!(
        stores.iter().any(|store| store.len() < 1000),
        "no entry was lost"
    );
    let mut rounds = 0;
    while stores.iter().any(|store| store.len() < 1000) {
        rounds += 1;
        assert!(
            rounds < 40,
            "{:?}",
            stores.iter().map(GossipStore::len).collect::<Vec<_>>()
        );
        for index in 0..20 {
            let peer = (index + rounds) % 20;
            let digest = stores[index].digest();
            let answers = stores[peer]
                .receive(InstanceId(index as u64), digest)
                .outgoing;
            for (to, message) in answers {
                assert_eq!(to.0 as usize, index);
                stores[index].receive(InstanceId(peer as u64), message);
            }
        }
    }
    let old = GossipMessage::Entries {
        entries: vec![entry(3, 4)],
        forward_to: Vec::new(),
    };
    assert!(stores[2].receive(InstanceId(9), old).updated.is_empty());
    assert_eq!(stores[2].get(3).map(|entry| entry.version), Some(5));
}

#[test]
fn a_value_over_the_limit_is_rejected_and_counted() {
    let mut store = GossipStore::default();
    let large = GossipEntry {
        key: 1,
        version: 1,
        value: vec![0; MAX_VALUE_BYTES + 1],
    };
    assert!(store.publish(vec![large], &[InstanceId(2)]).is_empty());
    assert_eq!((store.len(), store.rejected_entries), (0, 1));
    let invalid_digest = GossipMessage::Digest(vec![1, 2, 3]);
    assert!(
        store
            .receive(InstanceId(2), invalid_digest)
            .outgoing
            .is_empty()
    );
}
