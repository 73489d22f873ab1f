//! Compares the control socket's answers with fixture files. Operators' tools read the answers by their JSON names.
//!
//! The fixtures `tests/fixtures/control/*.json` at the root of the repository were written at commit 71566bd.
//! `WRITE_FIXTURES=1` rewrites them, which hides a change of an answer. `tests/control_answers.rs` there checks the
//! sub-commands with the same files.

use serde::Serialize;
use serde::de::DeserializeOwned;
use spanspur_cluster::control::{self, LeaseRow, LeasesAnswer, MembersAnswer, to_json};
use spanspur_cluster::distribution::{ChangesAnswer, ReplicationStatus};
use spanspur_cluster::node::Member;
use spanspur_distribution::follower::{FollowedSourceStatus, FollowerStatus};
use spanspur_distribution::source::{ChangeStatus, FollowerDelay, SourceStatus};
use std::collections::BTreeMap;
use std::path::Path;
use std::rc::Rc;

/// Compares an answer with its fixture, and with itself after it was parsed and formatted again.
fn assert_answer<T: Serialize + DeserializeOwned>(name: &str, answer: &T) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../tests/fixtures/control")
        .join(format!("{name}.json"));
    let formatted = to_json(answer);
    if std::env::var("WRITE_FIXTURES").is_ok_and(|value| value == "1") {
        std::fs::write(&path, &formatted).unwrap_or_else(|e| panic!("{}: {e}", path.display()));
    }
    let fixture =
        std::fs::read_to_string(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()));
    assert_eq!(formatted, fixture, "{name}");
    let parsed: T = serde_json::from_str(&fixture).unwrap_or_else(|e| panic!("{name}: {e}"));
    assert_eq!(
        to_json(&parsed),
        fixture,
        "{name}: parsed and formatted again"
    );
}

fn counters() -> BTreeMap<String, u64> {
    [("news-dropped", 3), ("sent", u64::MAX), ("zero", 0)]
        .map(|(name, count)| (name.to_owned(), count))
        .into()
}

#[test]
fn duties_answer_matches_its_fixture() {
    let lease = |name: &str, holder: Option<&str>, term_age_ms, is_quorum_lost| LeaseRow {
        name: name.into(),
        interval_ms: 5000,
        holder: holder.map(str::to_owned),
        term: 340_123,
        term_age_ms,
        completed: 17,
        missed: 2,
        is_quorum_lost,
    };
    let answer = LeasesAnswer {
        leases: vec![
            lease("probe", Some("n1"), Some(1200), false),
            lease("list", None, None, true),
        ],
        remaining_abstention_ms: 750,
    };
    assert_answer("duties", &answer);
}

#[test]
fn members_answer_matches_its_fixture() {
    let member = |name: &str, address: &str, alive, voter, is_self| Member {
        name: name.into(),
        address: address.parse().expect("a valid address"),
        alive,
        voter,
        is_self,
    };
    let answer = MembersAnswer {
        members: vec![
            member("n1", "127.0.0.1:7000", true, true, true),
            member("n2", "[2001:db8::7]:7000", true, false, false),
            member("n3", "127.0.0.3:7000", false, true, false),
        ],
        counters: counters(),
    };
    assert_answer("members", &answer);
}

#[test]
fn changes_answer_of_a_source_matches_its_fixture() {
    let change = |key, propagated_after| ChangeStatus {
        key,
        version: 41,
        age: 9000,
        propagated_after,
        followers: 512,
    };
    let delay = |name: &str, delay| FollowerDelay {
        name: name.into(),
        delay,
    };
    let status = SourceStatus {
        name: "n1".into(),
        incarnation: 1 << 60,
        head: 900,
        floor: 12,
        entries: 300,
        newest_version: 41,
        root_hash: 0x0123_4567_89ab_cdef,
        data_age: Some(250),
        followers: 1000,
        primary_followers: 512,
        settled: true,
        changes: vec![change(u64::MAX, Some(380)), change(7, None)],
        lagging: 3,
        lagging_followers: vec![delay("b-1", 800), delay("", 400)],
        disconnected: 1,
        disconnected_followers: vec![delay("b-2", 60_000)],
        backlog: 15,
    };
    let status = ReplicationStatus::Source {
        status,
        datagrams_per_second: 4000,
    };
    assert_answer(
        "changes_source",
        &ChangesAnswer {
            status,
            counters: counters(),
        },
    );
}

#[test]
fn changes_answer_of_a_follower_matches_its_fixture() {
    let source = |name: &str, role, disconnected, data_age| FollowedSourceStatus {
        name: name.into(),
        role,
        disconnected,
        data_age,
    };
    let status = FollowerStatus {
        name: "b-1".into(),
        entries: 300,
        newest_version: 41,
        root_hash: 0x0123_4567_89ab_cdef,
        data_age: None,
        synchronized: true,
        disconnected: false,
        resyncing: true,
        sources: vec![
            source("n1", 1, false, Some(120)),
            source("n2", 2, true, None),
            source("n3", 0, false, Some(90_000)),
        ],
    };
    let status = ReplicationStatus::Follower { status };
    assert_answer(
        "changes_follower",
        &ChangesAnswer {
            status,
            counters: counters(),
        },
    );
}

#[test]
fn control_socket_answers_a_known_query_and_rejects_an_unknown_one() {
    let path = std::env::temp_dir().join(format!("spanspur-control-{}.sock", std::process::id()));
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let local = tokio::task::LocalSet::new();
    let handler = Rc::new(|query: &str| {
        (query == "duties").then(|| to_json(&serde_json::json!({"duties": [], "abstains_ms": 0})))
    });
    let socket = path.clone();
    let answers = local.block_on(&runtime, async move {
        control::serve(handler, &socket).expect("the socket opens");
        let send = move || ["duties", "weather"].map(|query| control::query(&socket, query));
        tokio::task::spawn_blocking(send)
            .await
            .expect("the task ends")
    });
    let _ = std::fs::remove_file(&path);
    let answers = answers.map(|answer| answer.expect("an answer"));
    assert_eq!(
        answers,
        [
            "{\"abstains_ms\":0,\"duties\":[]}\n",
            "{\"error\":\"'weather' is no question here\"}\n"
        ]
    );
}
