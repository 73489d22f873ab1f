//! The control socket's answers keep their names and forms: staff and programs read them.

use spanspur_cluster::control::{self, LeaseRow, LeasesAnswer, MembersAnswer, to_json};
use spanspur_cluster::distribution::{ChangesAnswer, ReplicationStatus};
use spanspur_cluster::node::Member;
use spanspur_cluster::udp_endpoint::Traffic;
use spanspur_distribution::follower::FollowedSourceStatus;
use spanspur_distribution::source::{ChangeStatus, FollowerDelay};
use spanspur_distribution::{FollowerStatus, SourceStatus};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::task::LocalSet;

/// Compares an answer's line, and what is read of the line and written again.
fn check<T: serde::Serialize + serde::de::DeserializeOwned>(answer: &T, line: &str) {
    assert_eq!(to_json(answer), format!("{line}\n"));
    let read: T = serde_json::from_str(line).expect("reads");
    assert_eq!(to_json(&read), format!("{line}\n"));
}

fn counters() -> BTreeMap<String, u64> {
    BTreeMap::from([("received".into(), 1), ("sent".into(), u64::MAX)])
}

#[test]
fn the_answer_about_duties_keeps_its_form() {
    let known = LeaseRow {
        name: "list".into(),
        interval_ms: 1,
        holder: Some("balancer-1".into()),
        term: 2,
        term_age_ms: Some(3),
        completed: 4,
        missed: 5,
        is_quorum_lost: true,
    };
    let unknown = LeaseRow {
        name: "probe/0000000000000001".into(),
        interval_ms: u64::MAX,
        holder: None,
        term: 0,
        term_age_ms: None,
        completed: 0,
        missed: 0,
        is_quorum_lost: false,
    };
    let answer = LeasesAnswer {
        leases: vec![known, unknown],
        remaining_abstention_ms: 6,
    };
    check(
        &answer,
        concat!(
            r#"{"duties":[{"duty":"list","every_ms":1,"holder":"balancer-1","period":2,"since_ms":3,"done":4,"#,
            r#""missed":5,"minority":true},{"duty":"probe/0000000000000001","every_ms":18446744073709551615,"#,
            r#""holder":null,"period":0,"since_ms":null,"done":0,"missed":0,"minority":false}],"abstains_ms":6}"#,
        ),
    );
}

#[test]
fn the_answer_about_members_keeps_its_form() {
    let member = Member {
        name: "balancer-1".into(),
        address: "127.0.0.1:7000".parse().expect("an address"),
        alive: true,
        voter: false,
        is_self: true,
    };
    let answer = MembersAnswer {
        members: vec![member],
        counters: counters(),
    };
    check(
        &answer,
        concat!(
            r#"{"members":[{"name":"balancer-1","address":"127.0.0.1:7000","alive":true,"voter":false,"me":true}],"#,
            r#""counters":{"received":1,"sent":18446744073709551615}}"#,
        ),
    );
}

#[test]
fn a_sources_answer_about_changes_keeps_its_form() {
    let status = SourceStatus {
        name: "control-1".into(),
        incarnation: 1,
        head: 2,
        floor: 3,
        entries: 4,
        newest_version: 5,
        root_hash: 6,
        data_age: Some(7),
        followers: 8,
        primary_followers: 9,
        settled: true,
        changes: vec![ChangeStatus {
            key: 10,
            version: 11,
            age: 12,
            propagated_after: None,
            followers: 13,
        }],
        lagging: 14,
        lagging_followers: vec![FollowerDelay {
            name: "balancer-1".into(),
            delay: 15,
        }],
        disconnected: 16,
        disconnected_followers: Vec::new(),
        backlog: 17,
    };
    let answer = ChangesAnswer {
        status: ReplicationStatus::Source {
            status,
            datagrams_per_second: 18,
        },
        counters: counters(),
    };
    check(
        &answer,
        concat!(
            r#"{"source":{"status":{"name":"control-1","run":1,"head":2,"floor":3,"entries":4,"newest":5,"root":6,"#,
            r#""age":7,"followers":8,"first":9,"settled":true,"changes":[{"key":10,"version":11,"ago":12,"#,
            r#""after":null,"of":13}],"lagging":14,"laggards":[{"name":"balancer-1","since":15}],"dark":16,"#,
            r#""darkened":[],"ahead":17},"rate":18},"counters":{"received":1,"sent":18446744073709551615}}"#,
        ),
    );
}

#[test]
fn a_followers_answer_about_changes_keeps_its_form() {
    let status = FollowerStatus {
        name: "balancer-1".into(),
        entries: 1,
        newest_version: 2,
        root_hash: 3,
        data_age: None,
        synchronized: true,
        disconnected: false,
        resyncing: true,
        sources: vec![FollowedSourceStatus {
            name: "control-1".into(),
            role: 2,
            disconnected: true,
            data_age: Some(4),
        }],
    };
    let answer = ChangesAnswer {
        status: ReplicationStatus::Follower { status },
        counters: BTreeMap::new(),
    };
    check(
        &answer,
        concat!(
            r#"{"follower":{"status":{"name":"balancer-1","entries":1,"newest":2,"root":3,"age":null,"full":true,"#,
            r#""dark":false,"catching_up":true,"sources":[{"name":"control-1","role":2,"silent":true,"age":4}]}},"#,
            r#""counters":{}}"#,
        ),
    );
}

#[test]
fn the_names_of_the_sockets_counters_stay() {
    let names = Traffic::default().named_counters().map(|(name, _)| name);
    let expected = ["sent", "sent-bytes", "received", "received-bytes", "unsent"];
    assert_eq!(names, expected);
}

/// Over a socket: an answer as it is, and what a question gets that is none.
#[test]
fn a_question_that_is_none_is_answered_as_before() {
    let directory = std::env::temp_dir().join(format!("control-answers-{}", std::process::id()));
    std::fs::create_dir_all(&directory).expect("a directory");
    let path = directory.join("control");
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let answers = LocalSet::new().block_on(&runtime, async {
        let answers: control::QueryHandler =
            Rc::new(|question| (question == "known").then(|| to_json(&1)));
        control::serve(answers, &path).expect("a socket");
        let mut heard = Vec::new();
        for question in ["known", "strange"] {
            let path = path.clone();
            let asked = tokio::task::spawn_blocking(move || control::query(&path, question));
            heard.push(asked.await.expect("ends").expect("answers"));
        }
        heard
    });
    std::fs::remove_dir_all(&directory).expect("removed");
    let strange = "{\"error\":\"'strange' is no question here\"}\n";
    assert_eq!(answers, ["1\n", strange]);
}
