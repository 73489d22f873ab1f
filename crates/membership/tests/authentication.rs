//! Datagrams are dropped that are forged, cut off, damaged, replayed, meant for another incarnation, or too large.

use proptest::prelude::*;
use spanspur_membership::authentication::{
    DatagramKind, MAX_DATAGRAM, MAX_SENDERS, OVERHEAD, VERSION,
};
use spanspur_membership::{DatagramError, Key, Keys, Sessions};

const SECRET: &[u8] = b"the secret of this test";

fn keys(secrets: &[&[u8]]) -> Keys {
    Keys(secrets.iter().map(|s| Key::new(s)).collect())
}

/// Two instances that know each other's incarnations.
fn pair() -> (Sessions, Sessions) {
    let mut a = Sessions::new(1, 100, keys(&[SECRET]));
    let mut b = Sessions::new(2, 200, keys(&[SECRET]));
    let to_b = a.seal_answer(200, b"a").expect("fits");
    assert!(b.open(&to_b).expect("holds").is_new_incarnation);
    let to_a = b.seal_answer(100, b"b").expect("fits");
    assert!(a.open(&to_a).expect("holds").is_new_incarnation);
    (a, b)
}

#[test]
fn a_sealed_datagram_opens_once() {
    let (mut a, mut b) = pair();
    let one = a.seal(2, DatagramKind::Data, b"one").expect("known");
    let two = a.seal(2, DatagramKind::Data, b"two").expect("known");
    let opened = b.open(&two).expect("holds");
    assert_eq!(
        (opened.sender, opened.incarnation, opened.body),
        (1, 100, &b"two"[..])
    );
    assert_eq!(b.open(&one).expect("out of order").body, b"one");
    assert_eq!(b.open(&two).map(|_| ()), Err(DatagramError::Replayed));
    assert_eq!(b.open(&one).map(|_| ()), Err(DatagramError::Replayed));
    assert_eq!(a.seal(3, DatagramKind::Data, b"nobody"), None);
}

#[test]
fn a_recorded_datagram_is_rejected_after_a_restart_of_either_side() {
    let (mut a, mut b) = pair();
    let recorded = a.seal(2, DatagramKind::Data, b"old").expect("known");
    b.open(&recorded).expect("holds");
    // The receiver has restarted: its window is empty, but its incarnation is another.
    let mut reborn = Sessions::new(2, 201, keys(&[SECRET]));
    assert_eq!(
        reborn.open(&recorded).map(|_| ()),
        Err(DatagramError::OtherIncarnation)
    );
    // The sender has restarted, and is heard; what its earlier incarnation sent is still detected.
    let mut again = Sessions::new(1, 101, keys(&[SECRET]));
    let back = b.seal_answer(101, b"b").expect("fits");
    again.open(&back).expect("holds");
    let new = again.seal(2, DatagramKind::Data, b"new").expect("known");
    assert!(b.open(&new).expect("holds").is_new_incarnation);
    assert_eq!(b.open(&recorded).map(|_| ()), Err(DatagramError::Replayed));
    assert_eq!(b.incarnation_of(1), Some(101));
}

#[test]
fn a_key_is_replaced_in_steps_and_an_unknown_one_never_opens() {
    let (mut a, mut b) = pair();
    let send = |a: &mut Sessions, b: &mut Sessions| {
        let bytes = a.seal(2, DatagramKind::Data, b"x").expect("known");
        b.open(&bytes).map(|_| ())
    };
    b.rekey(keys(&[SECRET, b"the next secret"]));
    assert_eq!(send(&mut a, &mut b), Ok(()));
    a.rekey(keys(&[b"the next secret", SECRET]));
    assert_eq!(send(&mut a, &mut b), Ok(()));
    b.rekey(keys(&[b"the next secret"]));
    assert_eq!(send(&mut a, &mut b), Ok(()));
    a.rekey(keys(&[SECRET]));
    assert_eq!(send(&mut a, &mut b), Err(DatagramError::InvalidTag));
}

#[test]
fn invalid_sizes_and_versions_are_rejected() {
    let (mut a, mut b) = pair();
    let most = vec![7; MAX_DATAGRAM - OVERHEAD];
    let bytes = a.seal(2, DatagramKind::Data, &most).expect("fits");
    assert_eq!(bytes.len(), MAX_DATAGRAM);
    assert_eq!(b.open(&bytes).expect("holds").body, most);
    assert_eq!(a.seal(2, DatagramKind::Data, &[0; MAX_DATAGRAM]), None);
    let long = vec![VERSION; MAX_DATAGRAM + 1];
    assert_eq!(b.open(&long).map(|_| ()), Err(DatagramError::InvalidSize));
    assert_eq!(b.open(&[]).map(|_| ()), Err(DatagramError::InvalidSize));
    let mut other = bytes.clone();
    other[0] = VERSION + 1;
    assert_eq!(
        b.open(&other).map(|_| ()),
        Err(DatagramError::UnsupportedVersion)
    );
}

/// As many senders as are named, and no more; one that is forgotten makes room, and understands us when it is back.
#[test]
fn senders_are_bounded_and_a_forgotten_one_comes_back() {
    // 2,100 balancers, and about as many again that they replaced.
    const { assert!(MAX_SENDERS >= 4096) };
    let mut all = Sessions::new(1, 100, keys(&[SECRET]));
    let hello = |id: u64| {
        let sender = Sessions::new(id, 7, keys(&[SECRET]));
        sender.seal_answer(100, b"hello").expect("fits")
    };
    let mut first = Sessions::new(2, 7, keys(&[SECRET]));
    let ours = all.seal_answer(7, b"us").expect("fits");
    assert!(first.open(&ours).expect("holds").is_new_incarnation);
    for id in 2..MAX_SENDERS as u64 + 2 {
        assert!(all.open(&hello(id)).is_ok());
    }
    assert_eq!(
        all.open(&hello(1_000_000)).map(|_| ()),
        Err(DatagramError::TooManySenders)
    );
    for _ in 0..50 {
        let bytes = all.seal(2, DatagramKind::Data, b"news").expect("known");
        assert!(first.open(&bytes).is_ok());
    }
    all.forget(2);
    assert!(all.open(&hello(1_000_000)).is_ok());
    all.forget(1_000_000);
    let back = first.seal(1, DatagramKind::Data, b"here").expect("known");
    assert!(all.open(&back).expect("holds").is_new_incarnation);
    // Numbers go on above those used before, so the other end does not hold them for a replay.
    let bytes = all.seal(2, DatagramKind::Data, b"news").expect("known");
    assert_eq!(
        first.open(&bytes).map(|opened| opened.is_new_incarnation),
        Ok(false)
    );
}

proptest! {
    #[test]
    fn a_flipped_bit_or_a_truncation_is_rejected(body in prop::collection::vec(any::<u8>(), 0..200), at: prop::sample::Index, bit in 0..8_u8, cut: prop::sample::Index) {
        let (mut a, mut b) = pair();
        let whole = a.seal(2, DatagramKind::Data, &body).expect("known");
        let mut bytes = whole.clone();
        bytes[at.index(whole.len())] ^= 1_u8 << bit;
        prop_assert!(b.open(&bytes).is_err());
        prop_assert!(b.open(&whole[..cut.index(whole.len())]).is_err());
        prop_assert_eq!(b.open(&whole).expect("holds").body, body);
    }

    #[test]
    fn random_bytes_never_open(bytes in prop::collection::vec(any::<u8>(), 0..1500)) {
        let (_, mut b) = pair();
        prop_assert!(b.open(&bytes).is_err());
    }

    /// In any order and with any repetition, each number opens at most once, and always if it is not too old.
    #[test]
    fn each_number_opens_once(order in prop::collection::vec(0_usize..300, 1..600)) {
        let (mut a, mut b) = pair();
        let sealed: Vec<_> = (0..300).map(|_| a.seal(2, DatagramKind::Data, b"n").expect("known")).collect();
        let mut seen = std::collections::BTreeSet::new();
        for n in order {
            prop_assert_eq!(b.open(&sealed[n]).is_ok(), seen.insert(n));
        }
    }
}
