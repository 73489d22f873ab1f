//! Entries reach all stores, however many, and what is lost on the way comes later.

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

/// Publishes at store 0 of so many; `lost` says which of the messages do not arrive. Returns the most messages that
/// any one store sent.
fn publish(
    stores: &mut [GossipStore],
    entries: Vec<GossipEntry>,
    mut lost: impl FnMut(usize) -> bool,
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
        if lost(count) {
            continue;
        }
        let at = to.0 as usize;
        let sends = stores[at]
            .receive(InstanceId(from as u64), message)
            .outgoing;
        queue.extend(sends.into_iter().map(|(to, message)| (at, to, message)));
    }
    sent.values().max().copied().unwrap_or(0)
}

#[test]
fn entries_reach_all_stores_and_none_exceeds_the_fanout() {
    for size in [2, 5, 9, 10, 50, 200] {
        let mut stores = vec![GossipStore::default(); size];
        let most = publish(&mut stores, vec![entry(1, 7)], |_| false);
        assert!(
            stores
                .iter()
                .all(|b| b.get(1).is_some_and(|e| e.version == 7)),
            "{size}"
        );
        assert!(most <= FANOUT, "{size} stores: one sends {most}");
    }
}

#[test]
fn digests_repair_losses_and_an_older_version_never_wins() {
    let mut stores = vec![GossipStore::default(); 20];
    let entries = (0..1000).map(|key| entry(key, 5)).collect();
    publish(&mut stores, entries, |n| n % 3 == 0);
    assert!(stores.iter().any(|b| b.len() < 1000), "nothing was lost");
    let mut rounds = 0;
    while stores.iter().any(|b| b.len() < 1000) {
        rounds += 1;
        assert!(
            rounds < 40,
            "{:?}",
            stores.iter().map(GossipStore::len).collect::<Vec<_>>()
        );
        for at in 0..20 {
            let with = (at + rounds) % 20;
            let ask = stores[at].digest();
            let answers = stores[with].receive(InstanceId(at as u64), ask).outgoing;
            for (to, message) in answers {
                assert_eq!(to.0 as usize, at);
                stores[at].receive(InstanceId(with as u64), message);
            }
        }
    }
    let old = GossipMessage::Entries {
        entries: vec![entry(3, 4)],
        forward_to: Vec::new(),
    };
    assert!(stores[2].receive(InstanceId(9), old).updated.is_empty());
    assert_eq!(stores[2].get(3).map(|e| e.version), Some(5));
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
    let strange = GossipMessage::Digest(vec![1, 2, 3]);
    assert!(store.receive(InstanceId(2), strange).outgoing.is_empty());
}
