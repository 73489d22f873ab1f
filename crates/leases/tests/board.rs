//! Results reach all boards, however many, and what is lost on the way comes later.

use spanspur_leases::InstanceId;
use spanspur_leases::board::{Board, Entry, FANOUT, MAX_VALUE, News};
use std::collections::BTreeMap;

fn entry(key: u64, version: u64) -> Entry {
    Entry {
        key,
        version,
        value: version.to_le_bytes().into(),
    }
}

/// Publishes at board 0 of so many; `lost` says which of the messages do not arrive. Returns the most messages that
/// any one board sent.
fn publish(
    boards: &mut [Board],
    entries: Vec<Entry>,
    mut lost: impl FnMut(usize) -> bool,
) -> usize {
    let others: Vec<InstanceId> = (1..boards.len() as u64).map(InstanceId).collect();
    let mut sent: BTreeMap<usize, usize> = BTreeMap::new();
    let mut queue: Vec<(usize, InstanceId, News)> = Vec::new();
    let first = boards[0].publish(entries, &others);
    queue.extend(first.into_iter().map(|(to, news)| (0, to, news)));
    let mut count = 0;
    while let Some((from, to, news)) = queue.pop() {
        count += 1;
        *sent.entry(from).or_default() += 1;
        if lost(count) {
            continue;
        }
        let at = to.0 as usize;
        let (_, sends) = boards[at].receive(InstanceId(from as u64), news);
        queue.extend(sends.into_iter().map(|(to, news)| (at, to, news)));
    }
    sent.values().max().copied().unwrap_or(0)
}

#[test]
fn news_reaches_all_and_no_board_sends_more_than_its_share() {
    for size in [2, 5, 9, 10, 50, 200] {
        let mut boards = vec![Board::default(); size];
        let most = publish(&mut boards, vec![entry(1, 7)], |_| false);
        assert!(
            boards
                .iter()
                .all(|b| b.get(1).is_some_and(|e| e.version == 7)),
            "{size}"
        );
        assert!(most <= FANOUT, "{size} boards: one sends {most}");
    }
}

#[test]
fn what_was_lost_comes_with_a_comparison_and_an_older_value_never_wins() {
    let mut boards = vec![Board::default(); 20];
    let entries = (0..1000).map(|key| entry(key, 5)).collect();
    publish(&mut boards, entries, |n| n % 3 == 0);
    assert!(boards.iter().any(|b| b.len() < 1000), "nothing was lost");
    let mut rounds = 0;
    while boards.iter().any(|b| b.len() < 1000) {
        rounds += 1;
        assert!(
            rounds < 40,
            "{:?}",
            boards.iter().map(Board::len).collect::<Vec<_>>()
        );
        for at in 0..20 {
            let with = (at + rounds) % 20;
            let ask = boards[at].compare();
            let (_, answers) = boards[with].receive(InstanceId(at as u64), ask);
            for (to, news) in answers {
                assert_eq!(to.0 as usize, at);
                boards[at].receive(InstanceId(with as u64), news);
            }
        }
    }
    let old = News::Entries(vec![entry(3, 4)], Vec::new());
    assert!(boards[2].receive(InstanceId(9), old).0.is_empty());
    assert_eq!(boards[2].get(3).map(|e| e.version), Some(5));
}

#[test]
fn a_value_over_the_bound_is_refused_and_counted() {
    let mut board = Board::default();
    let large = Entry {
        key: 1,
        version: 1,
        value: vec![0; MAX_VALUE + 1],
    };
    assert!(board.publish(vec![large], &[InstanceId(2)]).is_empty());
    assert_eq!((board.len(), board.refused), (0, 1));
    let strange = News::Compare(vec![1, 2, 3]);
    assert!(board.receive(InstanceId(2), strange).1.is_empty());
}
