//! Claims of request ids by two processes of one balancer.

use spanspur_hot_restart::request_ids::{ClaimTable, Role};

const ID: u64 = 0x0123_4567_89ab_cdef;

fn tables() -> (ClaimTable, ClaimTable) {
    (
        ClaimTable::new(Role::Predecessor),
        ClaimTable::new(Role::Successor),
    )
}

#[test]
fn an_id_that_is_registered_in_the_other_process_is_denied() {
    let (older, newer) = tables();
    for table in [&older, &newer] {
        assert!(!table.decide(ID, true));
        assert!(table.decide(ID, false));
    }
}

#[test]
fn an_id_claimed_by_both_processes_at_once_is_granted_to_one_of_them() {
    let (mut older, mut newer) = tables();
    older.begin(ID).expect("free");
    newer.begin(ID).expect("free");
    let granted_to_newer = older.decide(ID, false);
    let granted_to_older = newer.decide(ID, false);
    assert_eq!((granted_to_older, granted_to_newer), (true, false));
}

#[test]
fn a_granted_id_is_denied_to_the_other_process_until_the_claim_ends() {
    let (older, newer) = tables();
    for mut table in [older, newer] {
        let number = table.begin(ID).expect("free");
        table.record_grant(number);
        assert!(!table.decide(ID, false));
        table.end(ID);
        assert!(table.decide(ID, false));
    }
}

#[test]
fn an_id_is_claimed_for_one_request_of_a_process_at_a_time() {
    let (_, mut table) = tables();
    let first = table.begin(ID).expect("free");
    assert_eq!(table.begin(ID), None);
    table.end(ID);
    let second = table.begin(ID).expect("free again");
    // The late grant of an ended claim is not taken for that of the next one.
    table.record_grant(first);
    assert!(table.decide(ID, false));
    table.record_grant(second);
    assert!(!table.decide(ID, false));
}
