//! Forged, truncated, corrupted, replayed and oversized datagrams are rejected, and so are datagrams that are addressed
//! to another incarnation.

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
    assert!(b.open(&to_b).expect("opens").is_new_incarnation);
    let to_a = b.seal_answer(100, b"b").expect("fits");
    assert!(a.open(&to_a).expect("opens").is_new_incarnation);
    (a, b)
}

#[test]
fn a_sealed_datagram_opens_once() {
    let (mut a, mut b) = pair();
    let one = a.seal(2, DatagramKind::Data, b"one").expect("known");
    let two = a.seal(2, DatagramKind::Data, b"two").expect("known");
    let opened = b.open(&two).expect("opens");
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
    b.open(&recorded).expect("opens");
    // The receiver restarts: its replay window is empty, but its incarnation is another one.
    let mut restarted_receiver = Sessions::new(2, 201, keys(&[SECRET]));
    assert_eq!(
        restarted_receiver.open(&recorded).map(|_| ()),
        Err(DatagramError::OtherIncarnation)
    );
    // The sender restarts: its new incarnation is accepted, and a datagram of its earlier incarnation is still
    // rejected.
    let mut restarted_sender = Sessions::new(1, 101, keys(&[SECRET]));
    let answer = b.seal_answer(101, b"b").expect("fits");
    restarted_sender.open(&answer).expect("opens");
    let new = restarted_sender
        .seal(2, DatagramKind::Data, b"new")
        .expect("known");
    assert!(b.open(&new).expect("opens").is_new_incarnation);
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
    let largest_body = vec![7; MAX_DATAGRAM - OVERHEAD];
    let bytes = a.seal(2, DatagramKind::Data, &largest_body).expect("fits");
    assert_eq!(bytes.len(), MAX_DATAGRAM);
    assert_eq!(b.open(&bytes).expect("opens").body, largest_body);
    assert_eq!(a.seal(2, DatagramKind::Data, &[0; MAX_DATAGRAM]), None);
    let oversized = vec![VERSION; MAX_DATAGRAM + 1];
    assert_eq!(
        b.open(&oversized).map(|_| ()),
        Err(DatagramError::InvalidSize)
    );
    assert_eq!(b.open(&[]).map(|_| ()), Err(DatagramError::InvalidSize));
    let mut other_version = bytes.clone();
    other_version[0] = VERSION + 1;
    assert_eq!(
        b.open(&other_version).map(|_| ()),
        Err(DatagramError::UnsupportedVersion)
    );
}

/// At most [`MAX_SENDERS`] senders are remembered. Forgetting one makes room for another, and a forgotten sender that
/// comes back accepts the datagrams sent to it.
#[test]
fn remembered_senders_are_limited_and_a_forgotten_one_can_come_back() {
    // Room for 2,100 balancers and 1,996 predecessors that they replaced.
    const { assert!(MAX_SENDERS >= 4096) };
    let mut sessions = Sessions::new(1, 100, keys(&[SECRET]));
    let answer_from = |id: u64| {
        let sender = Sessions::new(id, 7, keys(&[SECRET]));
        sender.seal_answer(100, b"hello").expect("fits")
    };
    let mut first = Sessions::new(2, 7, keys(&[SECRET]));
    let answer = sessions.seal_answer(7, b"us").expect("fits");
    assert!(first.open(&answer).expect("opens").is_new_incarnation);
    for id in 2..MAX_SENDERS as u64 + 2 {
        assert!(sessions.open(&answer_from(id)).is_ok());
    }
    assert_eq!(
        sessions.open(&answer_from(1_000_000)).map(|_| ()),
        Err(DatagramError::TooManySenders)
    );
    for _ in 0..50 {
        let bytes = sessions
            .seal(2, DatagramKind::Data, b"news")
            .expect("known");
        assert!(first.open(&bytes).is_ok());
    }
    sessions.forget(2);
    assert!(sessions.open(&answer_from(1_000_000)).is_ok());
    sessions.forget(1_000_000);
    let back = first.seal(1, DatagramKind::Data, b"here").expect("known");
    assert!(sessions.open(&back).expect("opens").is_new_incarnation);
    // The sequence numbers continue above those used before, so the peer does not take the datagram for a replay.
    let bytes = sessions
        .seal(2, DatagramKind::Data, b"news")
        .expect("known");
    assert_eq!(
        first.open(&bytes).map(|opened| opened.is_new_incarnation),
        Ok(false)
    );
}

proptest! {
    #[test]
    fn a_flipped_bit_or_a_truncation_is_rejected(body in prop::collection::vec(any::<u8>(), 0..200), position: prop::sample::Index, bit in 0..8_u8, length: prop::sample::Index) {
        let (mut a, mut b) = pair();
        let whole = a.seal(2, DatagramKind::Data, &body).expect("known");
        let mut bytes = whole.clone();
        bytes[position.index(whole.len())] ^= 1_u8 << bit;
        prop_assert!(b.open(&bytes).is_err());
        prop_assert!(b.open(&whole[..length.index(whole.len())]).is_err());
        prop_assert_eq!(b.open(&whole).expect("opens").body, body);
    }

    #[test]
    fn random_bytes_never_open(bytes in prop::collection::vec(any::<u8>(), 0..1500)) {
        let (_, mut b) = pair();
        prop_assert!(b.open(&bytes).is_err());
    }

    /// In any order and with any repetition, a datagram opens the first time and never again. All numbers fit into the
    /// replay window.
    #[test]
    fn each_sequence_number_opens_exactly_once(order in prop::collection::vec(0_usize..300, 1..600)) {
        let (mut a, mut b) = pair();
        let sealed: Vec<_> = (0..300).map(|_| a.seal(2, DatagramKind::Data, b"n").expect("known")).collect();
        let mut seen = std::collections::BTreeSet::new();
        for index in order {
            prop_assert_eq!(b.open(&sealed[index]).is_ok(), seen.insert(index));
        }
    }
}
