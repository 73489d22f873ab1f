//! Weighted rendezvous hashing, tested through the public interface.

mod common;
use common::*;
use spanspur::api::*;
use spanspur::score;

/// Key, server, weight and expected score.
const REFERENCE_SCORES: [(u64, u64, f64, f64); 5] = [
    (0x1, 0x2, 1.0, 0.9223249287758876),
    (
        0x123456789abcdef0,
        0xfedcba9876543210,
        1.0,
        1.773687899587765,
    ),
    (0xffffffffffffffff, 0x1, 2.5, 2.9042938918396835),
    (0xdeadbeef, 0xcafebabe12345678, 0.25, 0.1144652509150851),
    (0x2a, 0x2a, 1.0, 8.477700618859894),
];

#[test]
fn scores_agree_with_reference_values() {
    // Computed independently of the code under test, with Python's exact integers and math.log.
    for (key, server, weight, expected) in REFERENCE_SCORES {
        let actual = score(Key(key), ServerId(server), weight);
        assert!(
            (actual / expected - 1.0).abs() < 1e-12,
            "key {key}, server {server}: {actual} instead of {expected}"
        );
    }
}

#[test]
fn keys_and_server_ids_are_xxh3_hashes() {
    // Reference values of 64-bit XXH3 with seed 0.
    assert_eq!(Key::of("").0, 0x2d06_8005_38d3_94c2);
    assert_eq!(
        ServerId::of("10.18.74.7:8083").0,
        Key::of("10.18.74.7:8083").0
    );
}

#[test]
fn extreme_hashes_give_finite_scores() {
    for x in [0, 1, u64::MAX, u64::MAX - 1, 1 << 63] {
        for y in [0, 1, u64::MAX, x.wrapping_mul(3)] {
            let actual = score(Key(x), ServerId(y), 1.0);
            assert!(
                actual.is_finite() && actual > 0.0,
                "key {x}, server {y}: {actual}"
            );
        }
    }
}

#[test]
fn servers_get_keys_in_proportion_to_their_weights() {
    let weights = [1.0, 2.0, 3.0, 0.5];
    let endpoints: Vec<Endpoint> = (0..4)
        .map(|i| Endpoint {
            weight: weights[i],
            ..endpoint(i as u64)
        })
        .collect();
    let mut balancer = TestBalancer::new(config());
    balancer.update_endpoints(0.0, UpdateKind::Full, &endpoints);
    let keys = 20_000;
    let mut counts = [0usize; 4];
    for i in 0..keys {
        let to = balancer
            .place(0.0, Key::of(&format!("key {i}")))
            .expect("a server");
        counts[endpoints
            .iter()
            .position(|entry| entry.id == to)
            .expect("a listed server")] += 1;
    }
    for (count, weight) in counts.iter().zip(weights) {
        let share = weight / 6.5;
        // Four standard deviations of a binomial count.
        let bound = 4.0 * (keys as f64 * share * (1.0 - share)).sqrt();
        assert!(
            (*count as f64 - keys as f64 * share).abs() < bound,
            "{counts:?}"
        );
    }
}

#[test]
fn unusable_weights_count_as_one() {
    let unusable = [0.0, -3.0, f64::NAN, f64::INFINITY];
    let endpoints: Vec<Endpoint> = (0..4)
        .map(|i| Endpoint {
            weight: unusable[i],
            ..endpoint(i as u64)
        })
        .collect();
    let weight_one: Vec<Endpoint> = (0..4).map(endpoint).collect();
    let (mut a, mut b) = (TestBalancer::new(config()), TestBalancer::new(config()));
    a.update_endpoints(0.0, UpdateKind::Full, &endpoints);
    b.update_endpoints(0.0, UpdateKind::Full, &weight_one);
    for i in 0..500 {
        let key = Key::of(&format!("key {i}"));
        assert_eq!(a.place(0.0, key), b.place(0.0, key));
    }
}

#[test]
fn adding_or_removing_a_server_moves_only_its_own_keys() {
    let endpoints: Vec<Endpoint> = (0..10).map(endpoint).collect();
    let (mut with_all, mut without_first) =
        (TestBalancer::new(config()), TestBalancer::new(config()));
    with_all.update_endpoints(0.0, UpdateKind::Full, &endpoints);
    without_first.update_endpoints(0.0, UpdateKind::Full, &endpoints[1..]);
    let mut moved = 0;
    for i in 0..2000 {
        let key = Key::of(&format!("key {i}"));
        let (with, without) = (with_all.place(0.0, key), without_first.place(0.0, key));
        assert_ne!(without, Some(endpoints[0].id));
        if with != without {
            assert_eq!(with, Some(endpoints[0].id));
            moved += 1;
        }
    }
    assert!(
        (100..320).contains(&moved),
        "{moved} of 2000 keys moved, about 200 expected"
    );
}

#[test]
fn balancers_with_the_same_endpoints_in_any_order_agree() {
    let endpoints: Vec<Endpoint> = (0..20).map(endpoint).collect();
    let reversed: Vec<Endpoint> = endpoints.iter().rev().copied().collect();
    let mut a = TestBalancer::new(config());
    let mut b = TestBalancer::with_seed(config(), 99);
    a.update_endpoints(0.0, UpdateKind::Full, &endpoints);
    b.update_endpoints(0.0, UpdateKind::Cached, &reversed);
    for i in 0..500 {
        let key = Key::of(&format!("key {i}"));
        assert_eq!(a.place(0.0, key), b.place(0.0, key));
    }
}

#[test]
fn the_placement_key_is_the_group_else_the_client_else_the_request() {
    let endpoints: Vec<Endpoint> = (0..20).map(endpoint).collect();
    let first_ranked = |key: Key| {
        let by_score = |a: &&Endpoint, b: &&Endpoint| {
            score(key, a.id, 1.0)
                .partial_cmp(&score(key, b.id, 1.0))
                .expect("finite")
        };
        endpoints.iter().max_by(by_score).map(|entry| entry.id)
    };
    let mut balancer = TestBalancer::new(config());
    balancer.update_endpoints(0.0, UpdateKind::Full, &endpoints);
    let (group, client) = (Some(Key::of("shop")), Some(Key::of("till")));
    for (group, client) in [(group, client), (None, client), (None, None)] {
        let id = balancer.next_id();
        let request = Request {
            group,
            key: client,
            ..Request::new(id, 0, 2.0)
        };
        let expected = first_ranked(group.or(client).unwrap_or(Key(id.0)));
        assert_eq!(balancer.request(0.0, request), expected);
    }
}
