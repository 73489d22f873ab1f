//! The control plane of a balancer and of a control instance, for two designs: all balancers in one gossip, as it
//! runs today, and each balancer following two of the few control instances.

use super::book::Book;
use super::figure::{Figure, Unit};
use super::row::{Limit, Mechanism, Row};
use serde_json::json;

/// What answers the rows that one gossip of all balancers is over in.
pub const DISTRIBUTION: &str = "distribution from the control instances";

/// Bytes of a random 64-bit id as a variable-length number: ten for the upper half, nine for nearly all others.
const ID_BYTES: f64 = 9.5;
/// `seal::MAX_SENDERS` before the distribution raised it, as the flat cluster was measured.
const SENDERS_BEFORE: f64 = 1024.0;

const BOARD_FILE: &str = "crates/leases/src/gossip_store.rs";
const SEAL_FILE: &str = "crates/membership/src/authentication.rs";
const SOURCE_FILE: &str = "crates/distribution/src/source/mod.rs";
const LIMITS_FILE: &str = "crates/distribution/src/source/config.rs";
const WIRE_FILE: &str = "crates/distribution/src/messages/mod.rs";

const NODE: Mechanism = Mechanism::Is("crates/cluster/src/node.rs", "pub struct Node");
const SEAL: Mechanism = Mechanism::Is(SEAL_FILE, "MAX_SENDERS");
const BOARD: Mechanism = Mechanism::Is(BOARD_FILE, "fn disseminate");
const VOTE: Mechanism = Mechanism::Is("crates/leases/src/acceptor.rs", "MAX_LEASES");
const FOLLOWER: Mechanism = Mechanism::Is(
    "crates/distribution/src/follower/mod.rs",
    "pub struct Follower",
);
const SOURCE: Mechanism = Mechanism::Is(SOURCE_FILE, "pub struct Source");
const STORE: Mechanism = Mechanism::Is(
    "crates/distribution/src/store/mod.rs",
    "pub struct EntryStore",
);
const PACE: Mechanism = Mechanism::Is(
    "crates/distribution/src/rate_limiter.rs",
    "pub struct RateLimiter",
);

fn bytes(book: &Book) -> Limit {
    Limit::Letter(book.given("control-bytes"))
}

fn core(book: &Book) -> Limit {
    Limit::Letter(book.given("control-core"))
}

fn memory(book: &Book) -> Limit {
    Limit::Letter(book.given("control-memory-mb") * 1e6)
}

fn in_force(book: &Book) -> Limit {
    Limit::Letter(book.given("in-force-s"))
}

/// What has to be held of servers and settings: those there are, and those removed since the store began.
pub fn entries(book: &Book) -> Figure {
    book.given("servers") + book.given("settings") + removed(book) * book.given("removed-kept-days")
}

/// Entries removed a day: a server that is replaced comes back under another name.
fn removed(book: &Book) -> Figure {
    book.given("restarts-a-day") * book.given("replaced-share")
}

/// Changes in the minute of each trouble.
fn minutes(book: &Book) -> [(&'static str, Figure); 7] {
    let a_server = || book.given("changes-a-server");
    let servers = || book.given("servers");
    [
        ("mean", book.given("changes-a-day") / 1440.0),
        ("busiest minute", book.given("changes-busiest-minute")),
        ("a stream server's machine, in a minute", a_server()),
        (
            "a rack of stream servers, in a minute",
            book.given("rack-machines") * a_server(),
        ),
        (
            "a zone, in a minute",
            servers() / book.given("zones") * a_server(),
        ),
        (
            "a region healed after its cut, in a minute",
            book.given("changes-a-day") * book.given("region-cut-s") / 86_400.0,
        ),
        (
            "a release of everything: every server within the day",
            servers() * a_server() / 1440.0,
        ),
    ]
}

/// Today's cluster, with every balancer in it: one balancer.
pub fn balancer_flat(book: &Book) -> Vec<Row> {
    let all = || book.given("balancers");
    let row = |what: &str, when, unit, comes| {
        Row::new(what, when, unit, comes)
            .by(NODE)
            .answer(DISTRIBUTION)
    };
    let fanout = || book.code(BOARD_FILE, "FANOUT");
    let ids = (all() - fanout()) / fanout();
    let mut rows = vec![
        row(
            "sessions with others, before this sitting",
            "all",
            Unit::Count,
            all(),
        )
        .limit(Limit::Code(
            Figure::of(SENDERS_BEFORE),
            "seal::MAX_SENDERS, as it was",
        ))
        .by(SEAL),
        row("sessions with others, now", "all", Unit::Count, all())
            .limit(Limit::Code(
                book.code(SEAL_FILE, "MAX_SENDERS"),
                "seal::MAX_SENDERS",
            ))
            .by(SEAL),
        row(
            "ids that the first datagrams of a change name, bytes",
            "each change",
            Unit::Bytes,
            ids * ID_BYTES,
        )
        .limit(Limit::Code(
            book.code(SEAL_FILE, "MAX_DATAGRAM"),
            "seal::MAX_DATAGRAM",
        ))
        .by(BOARD),
        row("entries on the board", "all", Unit::Count, entries(book))
            .limit(Limit::Code(
                book.code(BOARD_FILE, "MAX_KEYS"),
                "board::MAX_KEYS",
            ))
            .by(BOARD)
            .answer("removed entries that are forgotten in time: missing"),
        row(
            "datagrams, both ways",
            "at rest",
            Unit::Rate,
            book.at("flat-datagrams", Unit::Rate, all()) * 2.0,
        ),
    ];
    // What one sends another receives; of a change each sends and receives about one entry.
    let rest = || book.at("flat-bytes", Unit::ByteRate, all()) * 2.0;
    for (when, changes) in minutes(book) {
        let news = changes / 60.0 * book.given("entry-bytes") * 2.0;
        rows.push(row("bytes, both ways", when, Unit::ByteRate, rest() + news).limit(bytes(book)));
    }
    rows.push(
        row(
            "processor",
            "at rest",
            Unit::Cores,
            book.at("flat-cpu", Unit::Cores, all()),
        )
        .limit(core(book)),
    );
    rows.push(
        row(
            "memory, 256 entries",
            "at rest",
            Unit::Bytes,
            book.at("flat-memory", Unit::Bytes, all()),
        )
        .limit(memory(book)),
    );
    // Where its first datagrams do not fit, a change reaches none of those that they would name.
    let fits = rows[2].times().is_some_and(|times| times <= 1.0);
    let news = match fits {
        true => book.at_if_ever("flat-news", "flat-bytes", Unit::Seconds, all()),
        false => Figure::of(f64::INFINITY).resting_on("ids", "the row on ids above".to_owned()),
    };
    rows.push(
        row(
            "until a change is in force everywhere, by news alone",
            "at rest",
            Unit::Seconds,
            news,
        )
        .limit(in_force(book)),
    );
    let ever = |name, unit| book.at_if_ever(name, "flat-bytes", unit, all());
    let all_start = "release of everything at once";
    rows.push(row(
        "until all know of all",
        all_start,
        Unit::Seconds,
        ever("flat-join", Unit::Seconds),
    ));
    rows.push(row(
        "bytes that one sends until then",
        all_start,
        Unit::Bytes,
        ever("flat-join-bytes", Unit::Bytes),
    ));
    rows.push(row(
        "processor time of one until then",
        all_start,
        Unit::Seconds,
        ever("flat-join-cpu", Unit::Seconds),
    ));
    rows.push(row(
        "datagrams of all, put off for want of a session",
        all_start,
        Unit::Count,
        ever("flat-put-off", Unit::Count),
    ));
    rows
}

/// Following: one balancer.
pub fn balancer_follow(book: &Book) -> Vec<Row> {
    let all = || book.given("balancers");
    let row = |what: &str, when, unit, comes| Row::new(what, when, unit, comes).by(FOLLOWER);
    let rest = || book.at("follow-bytes", Unit::ByteRate, all());
    let full = || entries(book) * book.given("entry-bytes");
    let mut rows = vec![
        row("entries held", "all", Unit::Count, entries(book))
            .limit(Limit::Code(
                book.code(BOARD_FILE, "MAX_KEYS"),
                "store::MAX_ENTRIES",
            ))
            .by(STORE)
            .answer("removed entries that are forgotten in time: missing"),
        row(
            "days of removed entries until the store is full",
            "all",
            Unit::Count,
            (book.code(BOARD_FILE, "MAX_KEYS") - book.given("servers") - book.given("settings"))
                / removed(book),
        )
        .by(STORE),
        row(
            "datagrams, both ways",
            "at rest",
            Unit::Rate,
            book.at("follow-datagrams", Unit::Rate, all()),
        ),
    ];
    for (when, changes) in minutes(book) {
        // A change comes from both sources.
        let news = changes / 60.0 * book.given("entry-bytes") * 2.0;
        rows.push(
            row("bytes, both ways", when, Unit::ByteRate, rest() + news)
                .limit(bytes(book))
                .answer("a change told by one of the two sources alone: missing"),
        );
    }
    let a_day = full() * book.given("restarts-a-day") / all() / 86_400.0;
    rows.push(
        row(
            "bytes, both ways",
            "490 restarts, shared out over the day",
            Unit::ByteRate,
            rest() + a_day,
        )
        .limit(bytes(book)),
    );
    rows.push(row(
        "bytes of one start, all in all",
        "a restart",
        Unit::Bytes,
        full(),
    ));
    rows.push(row(
        "until full, p50",
        "a restart",
        Unit::Seconds,
        book.at("follow-full-entries", Unit::Seconds, entries(book)),
    ));
    for (entries, servers) in [(630, "630 entries"), (5000, "5,000 entries")] {
        for (starting, what) in [
            (350.0, "a region at once"),
            (2100.0, "release of everything at once"),
        ] {
            rows.push(row(
                &format!("until all are full, {servers}"),
                what,
                Unit::Seconds,
                started(book, entries, starting, "/until_full/last"),
            ));
        }
    }
    rows.push(
        row(
            "processor",
            "at rest",
            Unit::Cores,
            book.at("follow-cpu", Unit::Cores, all()),
        )
        .limit(core(book)),
    );
    rows.push(
        row(
            "memory, 630 entries",
            "at rest",
            Unit::Bytes,
            book.at("follow-memory", Unit::Bytes, all()),
        )
        .limit(memory(book)),
    );
    rows.push(
        row(
            "memory, all entries",
            "all",
            Unit::Bytes,
            book.at("follow-memory-entries", Unit::Bytes, entries(book)),
        )
        .limit(memory(book)),
    );
    let delay = |what: &str, pointer| book.played("delays", "what", json!(what), pointer, 1e-3);
    for (what, when) in [
        (
            "1% loss",
            "5,700 a day and a burst of 100 in a minute, 1% loss",
        ),
        ("5% loss", "the same, 5% loss"),
        (
            "5% loss, two of the nine dead",
            "the same, 5% loss, two of the nine dead",
        ),
        (
            "5% loss, the writer and another die in the burst",
            "the same, 5% loss, the writer and another die in the burst",
        ),
    ] {
        rows.push(
            row(
                "until a change is in force, 99 in 100",
                when,
                Unit::Seconds,
                delay(what, "/each/p99"),
            )
            .limit(Limit::Own(Figure::of(3.0), "this project's own")),
        );
        rows.push(
            row(
                "until a change is in force everywhere, the last",
                when,
                Unit::Seconds,
                delay(what, "/everywhere/last"),
            )
            .limit(in_force(book)),
        );
    }
    for (what, when) in [
        (
            "a region for an hour",
            "a region healed after an hour, 240 changes, 630 entries",
        ),
        (
            "a region for an hour, 5,000 entries",
            "a region healed after an hour, 240 changes, 5,000 entries",
        ),
    ] {
        let cut = |pointer, by| book.played("cuts", "what", json!(what), pointer, by);
        rows.push(
            row(
                "until what was missed is in force, the last",
                when,
                Unit::Seconds,
                cut("/each/last", 1e-3),
            )
            .limit(in_force(book)),
        );
        let each = || cut("/followers", 1.0);
        rows.push(
            row(
                "bytes of a balancer in the minute after, over rest",
                when,
                Unit::Bytes,
                cut("/bytes", 1.0) / each(),
            )
            .limit(Limit::Own(cut("/all", 1.0) / each(), "all entries anew"))
            .answer(
                "sources of a healed region that are whole before they are followed again: missing",
            ),
        );
        rows.push(
            row("until the region's own control instances hold all", when, Unit::Seconds, cut("/control", 1e-3))
                .by(BOARD)
                .limit(in_force(book))
                .answer("a comparison of boards that sends what differs alone: missing (`crates/leases/src/gossip_store.rs`)"),
        );
    }
    rows
}

/// A figure, in ms, of the start of so many at once.
fn started(book: &Book, entries: u32, starting: f64, pointer: &str) -> Figure {
    let starts = book.plays.get("starts").and_then(|list| list.as_array());
    let play = starts.and_then(|plays| {
        plays.iter().find(|play| {
            let is =
                |field: &str, value: f64| play.get(field).and_then(|v| v.as_f64()) == Some(value);
            is("entries", f64::from(entries)) && is("starting", starting)
        })
    });
    let name = format!("distribution.json: starts, {starting} of {entries} entries");
    match play.and_then(|play| play.pointer(pointer)?.as_f64()) {
        Some(ms) => Figure::of(ms / 1000.0)
            .resting_on(&name, format!("`{name}` (one play at the whole size)")),
        None => Figure::lacking(name),
    }
}

/// Today's cluster: a control instance is an instance like all, with the duties besides.
pub fn control_flat(book: &Book) -> Vec<Row> {
    let duties = || {
        Limit::Code(
            book.code("crates/leases/src/acceptor.rs", "MAX_LEASES"),
            "vote::MAX_DUTIES",
        )
    };
    vec![
        Row::new(
            "duties voted on: one for the list",
            "all",
            Unit::Count,
            Figure::of(1.0),
        )
        .limit(duties())
        .by(VOTE),
        Row::new(
            "duties voted on, with a probe of each server",
            "all",
            Unit::Count,
            book.given("servers") + 1.0,
        )
        .limit(duties())
        .by(VOTE),
    ]
}

/// Following: one control instance.
pub fn control_follow(book: &Book) -> Vec<Row> {
    let all = || book.given("balancers");
    let nine = || book.given("control-machines");
    let row = |what: &str, when, unit, comes| Row::new(what, when, unit, comes).by(SOURCE);
    let one_core = || Limit::Own(Figure::of(1.0), "this project's own");
    let most = || Limit::Code(book.code(SEAL_FILE, "MAX_SENDERS"), "source::MAX_FOLLOWERS");
    let mut rows = Vec::new();
    // With fewer of the nine each bears as much as in a fleet that is so many times as large.
    let situations = [
        ("mean", Figure::of(1.0)),
        ("a control machine lost", nine() / (nine() - 1.0)),
        ("two of the nine lost", nine() / (nine() - 2.0)),
        ("all but one lost", nine() / 2.0),
    ];
    for (when, times) in situations {
        let followers = all() * times.clone() * 2.0 / nine();
        rows.push(row("followers", when, Unit::Count, followers).limit(most()));
        let size = || all() * times.clone();
        rows.push(row(
            "datagrams, both ways, the busiest",
            when,
            Unit::Rate,
            book.at("control-datagrams", Unit::Rate, size()),
        ));
        rows.push(row(
            "bytes, both ways, the busiest",
            when,
            Unit::ByteRate,
            book.at("control-bytes", Unit::ByteRate, size()),
        ));
        rows.push(
            row(
                "processor, the busiest",
                when,
                Unit::Cores,
                book.at("control-cpu", Unit::Cores, size()),
            )
            .limit(one_core()),
        );
        rows.push(row(
            "memory, 630 entries",
            when,
            Unit::Bytes,
            book.at("control-memory", Unit::Bytes, size()),
        ));
    }
    // It holds what a balancer holds, and its node's board holds it once more.
    let a_row = book.slope("follow-memory-entries", Unit::Bytes, &entries(book));
    rows.push(row(
        "memory, all entries, on the board too",
        "mean",
        Unit::Bytes,
        book.at("control-memory", Unit::Bytes, all()) + (entries(book) - 630.0) * a_row * 2.0,
    ));
    let news = |changes: Figure| changes / 60.0 * book.given("entry-bytes") * all() * 2.0 / nine();
    for (when, changes) in minutes(book) {
        rows.push(row(
            "bytes of changes, to all followers",
            when,
            Unit::ByteRate,
            news(changes),
        ));
    }
    let budget = || {
        let rows = book.code(SEAL_FILE, "MAX_DATAGRAM") - 50.0 - book.code(WIRE_FILE, "MAX_HEADER");
        book.field(LIMITS_FILE, "datagrams_per_second") * rows
    };
    let full = || entries(book) * book.given("entry-bytes");
    rows.push(
        row(
            "bytes of starts",
            "490 restarts, shared out over the day",
            Unit::ByteRate,
            full() * book.given("restarts-a-day") / nine() / 86_400.0,
        )
        .limit(Limit::Own(budget(), "its stated rate"))
        .by(PACE),
    );
    // A region has nine over six of them, so some have one alone: all of the region are its.
    let region = all() / book.given("regions");
    rows.push(
        row(
            "until a region's balancers are full from its one control instance, at the stated rate",
            "a region at once, release of everything at once",
            Unit::Seconds,
            region * full() / budget(),
        )
        .by(PACE),
    );
    rows.push(
        row(
            "until all are full from one control instance",
            "all but one lost, all start at once",
            Unit::Seconds,
            all() * full() / budget(),
        )
        .by(PACE),
    );
    // Whoever takes the duty `list` over tells every server anew. Where the log of arrivals holds that, each of a
    // follower's two sources tells it; else the follower compares with one of them.
    let kept = book.field(LIMITS_FILE, "change_log_capacity");
    let copies = match (book.given("servers").value(), kept.value()) {
        (Some(servers), Some(kept)) if servers <= kept => 2.0,
        _ => 1.0,
    };
    rows.push(
        row(
            "until all have what a new holder of the duty `list` tells anew, and what changes behind it",
            "the holder's machine lost, or restarted",
            Unit::Seconds,
            all() * copies / nine() * book.given("servers") * book.given("entry-bytes") / budget(),
        )
        .limit(in_force(book))
        .by(Mechanism::Is("src/cluster/endpoint_list/publisher.rs", "async fn lead_term"))
        .answer("a new holder that tells only what differs: missing"),
    );
    let asks = all();
    rows.push(
        row("asks a second", "all but one lost", Unit::Rate, asks).limit(Limit::Code(
            book.field(LIMITS_FILE, "requests_per_second"),
            "Limits::requests_per_second",
        )),
    );
    rows
}
