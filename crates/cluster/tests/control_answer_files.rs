//! The answers of the control socket, as lines of JSON: programs read them by the names of their fields.
//!
//! The fixtures `tests/fixtures/control/*.json` at the root of the repository were written by the tree at 71566bd
//! (`WRITE_FIXTURES=1` writes them anew); rewriting them hides a change of an answer. The sub-commands are held to
//! the same files by `tests/control_answers.rs` there.

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

/// Holds an answer to its fixture, and to itself when it is read and written again.
fn assert_answer<T: Serialize + DeserializeOwned>(name: &str, answer: &T) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../tests/fixtures/control")
        .join(format!("{name}.json"));
    let written = to_json(answer);
    if std::env::var("WRITE_FIXTURES").is_ok_and(|value| value == "1") {
        std::fs::write(&path, &written).unwrap_or_else(|e| panic!("{}: {e}", path.display()));
    }
    let kept = std::fs::read_to_string(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()));
    assert_eq!(written, kept, "{name}");
    let read: T = serde_json::from_str(&kept).unwrap_or_else(|e| panic!("{name}: {e}"));
    assert_eq!(to_json(&read), kept, "{name}: read and written again");
}

fn counters() -> BTreeMap<String, u64> {
    [("news-dropped", 3), ("sent", u64::MAX), ("zero", 0)]
        .map(|(name, count)| (name.to_owned(), count))
        .into()
}

#[test]
fn what_is_said_of_duties_has_the_text_of_the_fixture() {
    let row = |name: &str, holder: Option<&str>, term_age_ms, is_quorum_lost| LeaseRow {
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
            row("probe", Some("n1"), Some(1200), false),
            row("list", None, None, true),
        ],
        remaining_abstention_ms: 750,
    };
    assert_answer("duties", &answer);
}

#[test]
fn what_is_said_of_members_has_the_text_of_the_fixture() {
    let member = |name: &str, address: &str, alive, voter, is_self| Member {
        name: name.into(),
        address: address.parse().expect("an address"),
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
fn what_a_source_says_of_changes_has_the_text_of_the_fixture() {
    let change = |key, after| ChangeStatus {
        key,
        version: 41,
        age: 9000,
        propagated_after: after,
        followers: 512,
    };
    let behind = |name: &str, since| FollowerDelay {
        name: name.into(),
        delay: since,
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
        lagging_followers: vec![behind("b-1", 800), behind("", 400)],
        disconnected: 1,
        disconnected_followers: vec![behind("b-2", 60_000)],
        backlog: 15,
    };
    let end = ReplicationStatus::Source {
        status,
        datagrams_per_second: 4000,
    };
    let counters = counters();
    assert_answer(
        "changes_source",
        &ChangesAnswer {
            status: end,
            counters,
        },
    );
}

#[test]
fn what_a_follower_says_of_changes_has_the_text_of_the_fixture() {
    let link = |name: &str, role, silent, age| FollowedSourceStatus {
        name: name.into(),
        role,
        disconnected: silent,
        data_age: age,
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
            link("n1", 1, false, Some(120)),
            link("n2", 2, true, None),
            link("n3", 0, false, Some(90_000)),
        ],
    };
    let end = ReplicationStatus::Follower { status };
    let counters = counters();
    assert_answer(
        "changes_follower",
        &ChangesAnswer {
            status: end,
            counters,
        },
    );
}

#[test]
fn a_question_is_a_line_and_what_is_none_is_answered_in_these_words() {
    let path = std::env::temp_dir().join(format!("spanspur-control-{}.sock", std::process::id()));
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let local = tokio::task::LocalSet::new();
    let answers = Rc::new(|question: &str| {
        (question == "duties")
            .then(|| to_json(&serde_json::json!({"duties": [], "abstains_ms": 0})))
    });
    let asked = path.clone();
    let said = local.block_on(&runtime, async move {
        control::serve(answers, &asked).expect("a socket");
        let ask = move || ["duties", "weather"].map(|word| control::query(&asked, word));
        tokio::task::spawn_blocking(ask).await.expect("asked")
    });
    let _ = std::fs::remove_file(&path);
    let said = said.map(|answer| answer.expect("an answer"));
    assert_eq!(
        said,
        [
            "{\"abstains_ms\":0,\"duties\":[]}\n",
            "{\"error\":\"'weather' is no question here\"}\n"
        ]
    );
}
