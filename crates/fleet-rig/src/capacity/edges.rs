//! What the fleet asks of others (discovery, the stream servers, an operator's tool), and the troubles it all has to
//! bear.

use super::book::Book;
use super::data::{arrivals, connections};
use super::figure::{Figure, Unit};
use super::row::{Limit, Mechanism, Row};
use std::fmt::Write;

const WATCH: Mechanism = Mechanism::Is("src/discovery/watcher.rs", "async fn watch");
const ONE_WATCH: Mechanism = Mechanism::Is(
    "src/cluster/endpoint_list.rs",
    "pub struct SharedEndpointList",
);
const OUTS: Mechanism = Mechanism::Is(
    "crates/admin/src/maintenance.rs",
    "pub struct MaintenanceSet",
);
const OUTS_SHARED: &str = "what is out as entries of the distribution: missing";

/// Calls a second at discovery: what waits is renewed so often, and each change ends the wait of all.
fn calls(book: &Book, watchers: Figure, changes: Figure) -> Figure {
    let wait = book.code("src/discovery/watcher.rs", "LONG_POLL_WAIT");
    watchers.clone() / wait + watchers * changes
}

/// Discovery, as this program uses it.
pub fn discovery(book: &Book) -> Vec<Row> {
    let all = || book.given("balancers");
    let mean = book.given("changes-a-day") / 86_400.0;
    let busiest = book.given("changes-busiest-minute") / 60.0;
    let whole = book.at("list, whole, bytes", Unit::Bytes, book.given("servers"));
    let control = || book.given("control-machines");
    let mut rows = Vec::new();
    for (when, changes) in [("mean", mean.clone()), ("busiest minute", busiest.clone())] {
        rows.push(
            Row::new(
                "calls, each balancer watching itself",
                when,
                Unit::Rate,
                calls(book, all(), changes),
            )
            .by(WATCH),
        );
    }
    rows.push(
        Row::new(
            "bytes of whole lists, each balancer asking itself",
            "release of everything at once",
            Unit::Bytes,
            all() * whole.clone(),
        )
        .by(WATCH),
    );
    rows.push(
        Row::new(
            "a whole list in one answer",
            "each start",
            Unit::Bytes,
            whole,
        )
        .limit(Limit::Code(
            book.code("src/discovery/http.rs", "MAX_BODY"),
            "MAX_BODY",
        ))
        .by(WATCH)
        .answer("a whole list in pieces: missing here and at discovery"),
    );
    for (when, changes) in [("mean", mean), ("busiest minute", busiest)] {
        rows.push(
            Row::new(
                "calls, one watch for all",
                when,
                Unit::Rate,
                calls(book, Figure::of(1.0), changes),
            )
            .by(ONE_WATCH),
        );
    }
    rows.push(
        Row::new(
            "calls, one watch for all, none of the control instances hearing it",
            "region cut",
            Unit::Rate,
            calls(book, control(), book.given("changes-a-day") / 86_400.0),
        )
        .by(ONE_WATCH),
    );
    rows
}

/// A stream server, as seen from here.
pub fn server(book: &Book) -> Vec<Row> {
    let servers = || book.given("servers");
    let held = book.given("connections") / servers();
    let room = held.clone() / book.given("server-fill");
    let topic = book.given("largest-topic");
    let place = Mechanism::Is("src/balancer/selection.rs", "fn choose_server");
    let budget = Mechanism::Is("src/balancer/slow_start.rs", "fn available_tokens");
    let cold = book.code("src/balancer/slow_start.rs", "WARM_UP_BUDGET_SHARE") * room.clone()
        / book.given("warm-up");
    vec![
        Row::new("connections that stand", "mean", Unit::Count, held.clone())
            .limit(Limit::Own(room.clone(), "assumed"))
            .by(place),
        Row::new(
            "connections that stand, a zone's servers lost",
            "zone",
            Unit::Count,
            held.clone() * book.given("zones") / (book.given("zones") - 1.0),
        )
        .limit(Limit::Own(room.clone(), "assumed"))
        .by(place),
        Row::new(
            "connections that stand, a region's servers lost",
            "region",
            Unit::Count,
            held.clone() * book.given("regions") / (book.given("regions") - 1.0),
        )
        .limit(Limit::Own(room.clone(), "assumed"))
        .by(place),
        Row::new(
            "deliveries",
            "mean",
            Unit::Rate,
            book.given("deliveries") / servers(),
        ),
        Row::new(
            "of one balancer's connections",
            "mean",
            Unit::Count,
            connections(book) / servers(),
        )
        .by(place),
        Row::new(
            "new connections",
            "mean",
            Unit::Rate,
            arrivals(book) * book.given("balancers") / servers(),
        )
        .by(place),
        Row::new(
            "new connections that a cold one is sent, by all balancers",
            "restart",
            Unit::Rate,
            cold.clone(),
        )
        .by(budget),
        Row::new(
            "of these by one balancer",
            "restart",
            Unit::Rate,
            cold / book.given("balancers"),
        )
        .by(budget),
        Row::new(
            "topics larger than one server's room",
            "all",
            Unit::Count,
            topics_over(book, &room),
        ),
        Row::new(
            "servers that the largest topic needs at least",
            "all",
            Unit::Count,
            topic.clone() / room.clone(),
        ),
        Row::new(
            "listeners of the largest topic at one balancer",
            "all",
            Unit::Count,
            topic.clone() / book.given("balancers"),
        )
        .by(place),
        Row::new(
            "servers that one balancer spreads these over, 1,000 known, no loads or delays told",
            "all",
            Unit::Count,
            book.at(
                "group, 1000 servers",
                Unit::Count,
                topic.clone() / book.given("balancers"),
            ),
        )
        .by(place),
        Row::new(
            "connections of the largest topic at each server that holds some, no loads or delays told",
            "all",
            Unit::Count,
            topic.clone()
                / book.at(
                    "group, 1000 servers",
                    Unit::Count,
                    topic / book.given("balancers"),
                ),
        )
        .limit(Limit::Own(room.clone(), "assumed"))
        .by(Mechanism::Is("src/runtime/latency_tracker.rs", "pub struct LatencyTracker"))
        .answer("servers that tell loads or delays (docs/QUESTIONS.md); without them: missing"),
    ]
}

/// How many topics have more listeners than one server's room, where sizes fall as a power of the rank from the
/// largest on and add up to all connections.
fn topics_over(book: &Book, room: &Figure) -> Figure {
    let topics = book.given("shards") / book.given("shards-a-topic");
    let (all, largest) = (book.given("connections"), book.given("largest-topic"));
    let sum = all.clone() / largest.clone();
    let (Some(n), Some(sum), Some(over)) = (
        topics.value(),
        sum.value(),
        (largest.clone() / room.clone()).value(),
    ) else {
        return topics + sum + room.clone();
    };
    let adds_up = |power: f64| {
        (1..=n as u64)
            .map(|rank| (rank as f64).powf(-power))
            .sum::<f64>()
    };
    let (mut low, mut high) = (0.0, 8.0);
    for _ in 0..40 {
        let middle = (low + high) / 2.0;
        match adds_up(middle) > sum {
            true => low = middle,
            false => high = middle,
        }
    }
    let ranks = over.max(1.0).powf(1.0 / high).min(n).floor();
    let rest = (topics + all + largest + room.clone()) * 0.0;
    rest + ranks
}

/// What has to be shared at all, and what it would take if it were.
pub fn shared(book: &Book) -> String {
    let of = |name: &str| book.given(name);
    let removed = of("restarts-a-day") * of("replaced-share") * of("removed-kept-days");
    let rows: [(&str, Figure, &str, &str); 9] = [
        (
            "connections",
            of("connections"),
            "no",
            "each is known to the two ends that hold it; a key says where it stands",
        ),
        (
            "shards of topics",
            of("shards"),
            "no",
            "each balancer works out the same ranking from the list of servers",
        ),
        (
            "listeners of the largest topic",
            of("largest-topic"),
            "no",
            "the ranking again; past a server's room the next in it, by what this balancer sees there",
        ),
        (
            "loads and delays of servers",
            of("servers"),
            "no",
            "each balancer hears them on its own connections",
        ),
        (
            "balancers",
            of("balancers"),
            "no",
            "none has to know another; the settings tell how many there are",
        ),
        (
            "stream servers",
            of("servers"),
            "yes",
            "the ranking is the same only over the same list",
        ),
        (
            "settings, servers taken out, budgets",
            of("settings"),
            "yes",
            "an operator says them once, for all",
        ),
        (
            "removed entries",
            removed,
            "yes",
            "or a balancer that comes back brings them back",
        ),
        (
            "members and claims of the control instances",
            of("control-machines"),
            "among these",
            "who may write is settled by a majority of them",
        ),
    ];
    let mut text = String::from(
        "| state | how many | shared | why | bytes, if it were, at each balancer |\n| --- | --- | --- | --- | --- |\n",
    );
    for (what, many, shared, why) in rows {
        let bytes = many.clone() * book.given("entry-bytes");
        let say =
            |figure: &Figure, unit: Unit| figure.value().map_or("-".to_owned(), |v| unit.show(v));
        let _ = writeln!(
            text,
            "| {what} | {} | {shared} | {why} | {} |",
            say(&many, Unit::Count),
            say(&bytes, Unit::Bytes)
        );
    }
    text
}

/// An operator's tool.
pub fn operator(book: &Book) -> Vec<Row> {
    let balancers = || book.given("balancers");
    let servers = || book.given("servers");
    let out = |share: Figure| servers() / share;
    let bound = || {
        Limit::Code(
            book.code("crates/admin/src/maintenance.rs", "MAX_ENTRIES"),
            "maintenance::MAX_ENTRIES",
        )
    };
    let members = Mechanism::Is("crates/cluster/src/control.rs", "MAX_CONNECTIONS");
    vec![
        Row::new(
            "calls to take one server out everywhere",
            "each",
            Unit::Count,
            balancers(),
        )
        .by(Mechanism::Missing("one call for all balancers"))
        .answer(OUTS_SHARED),
        Row::new(
            "calls to take out and put back, a day",
            "490 restarts, all of servers",
            Unit::Count,
            book.given("restarts-a-day") * balancers() * 2.0,
        )
        .by(OUTS)
        .answer(OUTS_SHARED),
        Row::new(
            "servers out at once",
            "rack",
            Unit::Count,
            book.given("rack-machines"),
        )
        .limit(bound())
        .by(OUTS),
        Row::new(
            "servers out at once",
            "zone",
            Unit::Count,
            out(book.given("zones")),
        )
        .limit(bound())
        .by(OUTS),
        Row::new(
            "servers out at once",
            "region",
            Unit::Count,
            out(book.given("regions")),
        )
        .limit(bound())
        .by(OUTS),
        Row::new(
            "rows of `members`, one gossip of all",
            "each",
            Unit::Count,
            balancers(),
        )
        .by(members),
        Row::new(
            "rows of `members`, the control instances alone",
            "each",
            Unit::Count,
            book.given("control-machines"),
        )
        .by(members),
        Row::new(
            "who lags, and since when a change is in force",
            "each",
            Unit::Count,
            balancers(),
        )
        .by(Mechanism::Is(
            "crates/distribution/src/source/status.rs",
            "pub fn status",
        ))
        .answer(super::control::DISTRIBUTION),
    ]
}

/// What each trouble comes to.
pub fn troubles(book: &Book) -> String {
    let g = |name: &str| book.given(name);
    let one = Figure::of(1.0);
    let none = Figure::of(0.0);
    let day = Figure::of(86_400.0);
    let held = connections(book);
    let at_server = g("connections") / g("servers");
    let balancers = |of: Figure| g("balancers") / of;
    let rows: Vec<(&str, Figure, Figure, Figure, Figure, Figure)> = vec![
        // trouble, times a year, balancers, servers, connections that come again, changes
        (
            "a balancer's machine",
            g("failures-a-day") * 365.0,
            one.clone(),
            none.clone(),
            held.clone(),
            none.clone(),
        ),
        (
            "a stream server's machine",
            g("failures-a-day") * 365.0,
            none.clone(),
            one.clone(),
            at_server.clone(),
            g("changes-a-server"),
        ),
        (
            "a rack of balancers",
            Figure::of(365.0) / g("rack-every-days"),
            g("rack-machines"),
            none.clone(),
            held.clone() * g("rack-machines"),
            none.clone(),
        ),
        (
            "a rack of stream servers",
            Figure::of(365.0) / g("rack-every-days"),
            none.clone(),
            g("rack-machines"),
            at_server.clone() * g("rack-machines"),
            g("rack-machines") * g("changes-a-server"),
        ),
        (
            "a zone",
            Figure::of(365.0) / g("zone-every-days"),
            balancers(g("zones")),
            g("servers") / g("zones"),
            // Those at its balancers, and those of other balancers at its servers.
            g("connections") / g("zones") * (Figure::of(2.0) - Figure::of(1.0) / g("zones")),
            g("servers") / g("zones") * g("changes-a-server"),
        ),
        (
            "a region cut off for an hour, and healed",
            g("region-cuts-a-year"),
            balancers(g("regions")),
            g("servers") / g("regions"),
            none.clone(),
            g("changes-a-day") * g("region-cut-s") / day.clone(),
        ),
        (
            "490 restarts, a day",
            Figure::of(365.0),
            g("restarts-a-day"),
            none.clone(),
            held.clone() * g("restarts-a-day"),
            none.clone(),
        ),
        (
            "a release of all balancers",
            g("releases-a-year"),
            g("balancers"),
            none.clone(),
            g("connections"),
            none,
        ),
    ];
    let mut text = String::from(
        "| trouble | times a year | balancers | stream servers | connections that come again, none handed over | changes of configuration |\n| --- | --- | --- | --- | --- | --- |\n",
    );
    for (name, times, balancers, servers, connections, changes) in rows {
        let say = |f: Figure| {
            f.value()
                .map_or("not measured".to_owned(), |v| Unit::Count.show(v))
        };
        let _ = writeln!(
            text,
            "| {name} | {} | {} | {} | {} | {} |",
            say(times),
            say(balancers),
            say(servers),
            say(connections),
            say(changes)
        );
    }
    text
}
