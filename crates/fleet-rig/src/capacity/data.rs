//! The data path of one balancer, and the tables of what everything rests on.

use super::book::{Book, Given, describe};
use super::figure::{Figure, Unit, digits};
use super::row::{Limit, Mechanism, Row};
use std::collections::BTreeMap;
use std::fmt::Write;

/// What would put a row right that asks more than a core of one process.
const PROCESSES: &str = "a balancer of several processes: missing";

/// What would make a placement cheap while many servers are cold.
const COLD: &str = "a placement that does not look at each cold server for each: missing (`src/balancer/selection.rs`)";

/// Connections that stand at one balancer.
pub fn connections(book: &Book) -> Figure {
    book.given("connections") / book.given("balancers")
}

/// Deliveries a second through one balancer.
pub fn deliveries(book: &Book) -> Figure {
    book.given("deliveries") / book.given("balancers")
}

/// New connections a second at one balancer, by Little's law: what stands over how long one stands.
pub fn arrivals(book: &Book) -> Figure {
    connections(book) / book.given("connection-life")
}

/// Connections a second that come again at one balancer that stays, of those of a lost zone.
fn come_again_zone_lost(book: &Book) -> Figure {
    let zones = book.given("zones");
    // The balancers that stay take the zone's clients, and those that stood at the zone's stream servers.
    let balancers = book.given("balancers") * (zones.clone() - 1.0) / zones.clone();
    let lost = book.given("connections") / zones.clone();
    let at_servers = lost.clone() * (zones.clone() - 1.0) / zones;
    (lost + at_servers) / book.given("come-back") / balancers
}

/// The same while each balancer's come again once, over the time that a release takes.
fn come_again_release(book: &Book) -> Figure {
    connections(book) / (book.given("release-minutes") * 60.0)
}

/// The data path's rows.
pub fn rows(book: &Book) -> Vec<Row> {
    let core = || Limit::Own(Figure::of(1.0), "one process runs on one core");
    let relay = Mechanism::Is("src/proxy/relay.rs", "pub fn relay(");
    let place = Mechanism::Is("src/balancer/selection.rs", "fn choose_server");
    let list = Mechanism::Is("src/discovery/watcher.rs", "async fn watch");
    let stand = connections(book);
    let memory = || Limit::Own(book.given("balancer-memory") * 1e9, "assumed");
    let zones = book.given("zones");
    let more = zones.clone() / (zones - 1.0);
    let a_delivery = book.slope("delivery, processor", Unit::Seconds, &deliveries(book));
    let an_opening = || book.slope("opening, processor", Unit::Seconds, &arrivals(book));
    let mut rows = vec![
        Row::new("connections that stand", "all", Unit::Count, stand.clone()),
        Row::new(
            "descriptors, two a connection",
            "all",
            Unit::Count,
            stand.clone() * 2.0,
        )
        .by(Mechanism::Is(
            "src/runtime/connection_limit.rs",
            "pub struct ConnectionLimit",
        )),
        Row::new(
            "memory of the process for what stands",
            "all",
            Unit::Bytes,
            stand.clone() * book.slope("standing, memory", Unit::Bytes, &stand),
        )
        .limit(memory())
        .by(relay),
        Row::new(
            "memory of the kernel for what stands",
            "all",
            Unit::Bytes,
            stand.clone() * book.slope("standing, kernel", Unit::Bytes, &stand),
        )
        .limit(memory())
        .by(Mechanism::Outside("the kernel")),
    ];
    let at_top = || deliveries(book) * book.given("deliveries-busiest");
    let opened_at_top = || arrivals(book) * book.given("arrivals-busiest");
    let (warm, half_cold) = ("placement, none cold", "placement, half cold");
    let situations = [
        ("mean", deliveries(book), arrivals(book), warm),
        ("busiest minute", at_top(), opened_at_top(), warm),
        (
            "zone lost, in the busiest minute",
            at_top() * more,
            opened_at_top() + come_again_zone_lost(book),
            warm,
        ),
        (
            "release of all balancers, in the busiest minute",
            at_top(),
            opened_at_top() + come_again_release(book),
            warm,
        ),
        (
            "half of the servers cold, in the busiest minute",
            at_top(),
            opened_at_top(),
            half_cold,
        ),
    ];
    for (when, delivered, opened, series) in situations {
        let placed = opened.clone() * book.at(series, Unit::Seconds, book.given("servers"));
        let relayed = delivered * a_delivery.clone();
        // An opening was measured with one server known: its placement is as good as none.
        let all = relayed.clone() + placed.clone() + opened.clone() * an_opening();
        rows.push(Row::new("new connections", when, Unit::Rate, opened).by(place));
        rows.push(
            Row::new("processor for placements alone", when, Unit::Cores, placed)
                .limit(core())
                .by(place)
                .answer(COLD),
        );
        rows.push(Row::new("processor for deliveries alone", when, Unit::Cores, relayed).by(relay));
        rows.push(
            Row::new(
                "processor for openings, placements and deliveries",
                when,
                Unit::Cores,
                all,
            )
            .limit(core())
            .by(relay)
            .answer(PROCESSES),
        );
    }
    rows.push(
        Row::new(
            "a delivery's time on the way, 99 in 100",
            "mean",
            Unit::Seconds,
            book.at("delivery, time", Unit::Seconds, deliveries(book)),
        )
        .limit(Limit::Letter(book.given("delivery-ms") / 1000.0))
        .by(relay),
    );
    rows.push(
        Row::new(
            "bytes of deliveries, in and out",
            "busiest minute",
            Unit::ByteRate,
            deliveries(book)
                * book.given("deliveries-busiest")
                * book.given("delivery-bytes")
                * 2.0,
        )
        .by(relay),
    );
    for servers in [90.0, 1000.0, 5000.0, 20_000.0] {
        for (series, cold) in [
            ("placement, none cold", "all warm"),
            ("placement, half cold", "half cold"),
        ] {
            rows.push(
                Row::new(
                    format!("a placement at {} servers, {cold}", digits(servers)),
                    "each",
                    Unit::Seconds,
                    book.at(series, Unit::Seconds, Figure::of(servers)),
                )
                .by(place),
            );
        }
    }
    for (series, what) in [
        ("list, whole, time", "a whole list taken in"),
        ("list, one entry, time", "a list of one entry taken in"),
    ] {
        rows.push(
            Row::new(
                what,
                "each",
                Unit::Seconds,
                book.at(series, Unit::Seconds, book.given("servers")),
            )
            .limit(Limit::Letter(book.given("delivery-ms") / 1000.0))
            .by(list)
            .answer("a whole list taken in by pieces: missing"),
        );
    }
    let changes = book.given("changes-busiest-minute") / 60.0;
    rows.push(
        Row::new(
            "processor for lists of one entry",
            "busiest minute",
            Unit::Cores,
            changes
                * book.at(
                    "list, one entry, time",
                    Unit::Seconds,
                    book.given("servers"),
                ),
        )
        .limit(Limit::Letter(book.given("control-core")))
        .by(list),
    );
    rows.push(
        Row::new(
            "standing connections told to move, when a balancer is emptied",
            "restart without a successor",
            Unit::Rate,
            stand
                / (book.code("src/lifecycle/draining.rs", "DRAIN_TIME")
                    - book.code("src/lifecycle/draining.rs", "ARRIVAL_TIME")),
        )
        .by(Mechanism::Is(
            "crates/admin/src/drain_schedule.rs",
            "pub struct DrainSchedule",
        )),
    );
    rows
}

/// Assumptions, or the letter's figures, as a table.
pub fn given_table(given: &BTreeMap<String, Given>, assumed: bool) -> String {
    let mut text = String::from(match assumed {
        true => "| name | value | unit | why | asked under |\n| --- | --- | --- | --- | --- |\n",
        false => "| name | value | unit | where |\n| --- | --- | --- | --- |\n",
    });
    for (name, given) in given {
        let _ = write!(
            text,
            "| {name} | {} | {} | {} |",
            digits(given.value),
            given.unit,
            given.why
        );
        if assumed {
            let _ = write!(text, " {} |", given.asked.as_deref().unwrap_or("not asked"));
        }
        text.push('\n');
    }
    text
}

/// All series with what they are and what makes them.
pub fn series_table(book: &Book) -> String {
    let mut text = String::from(
        "| series | what | by | sizes and fit | runs | command |\n| --- | --- | --- | --- | --- | --- |\n",
    );
    for (name, series) in &book.measured.0 {
        let _ = writeln!(
            text,
            "| `{name}` | {} | {} | {} | {} | `{}` |",
            series.what,
            series.size,
            describe(series, 0.0),
            series.runs,
            series.command
        );
    }
    text
}
