//! Estimates for the data path of one balancer, and the tables of parameters and series.

use super::figure::{Figure, Unit, format_number};
use super::inputs::{Inputs, Parameter, describe};
use super::row::{Limit, Mechanism, Row};
use std::collections::BTreeMap;
use std::fmt::Write;

/// Remedy for rows that need more than the one core of a process.
const MULTIPLE_PROCESSES: &str = "a balancer of several processes: missing";

/// Remedy for expensive placements while many servers are cold, that is, in slow start.
const CHEAPER_PLACEMENT: &str = "a placement that does not look at each cold server for each: missing (`src/balancer/selection.rs`)";

/// Established connections at one balancer.
pub fn connections(inputs: &Inputs) -> Figure {
    inputs.parameter("connections") / inputs.parameter("balancers")
}

/// Deliveries per second through one balancer. A delivery is one message relayed from a stream server to a client.
pub fn deliveries(inputs: &Inputs) -> Figure {
    inputs.parameter("deliveries") / inputs.parameter("balancers")
}

/// New connections per second at one balancer, by Little's law: established connections divided by their lifetime.
pub fn arrivals(inputs: &Inputs) -> Figure {
    connections(inputs) / inputs.parameter("connection-life")
}

/// Reconnects per second at one surviving balancer after the loss of a zone.
fn reconnects_after_zone_loss(inputs: &Inputs) -> Figure {
    let zones = inputs.parameter("zones");
    // The surviving balancers take over the zone's clients, and reconnect their own clients whose stream server was in
    // the zone.
    let balancers = inputs.parameter("balancers") * (zones.clone() - 1.0) / zones.clone();
    let lost = inputs.parameter("connections") / zones.clone();
    let lost_at_servers = lost.clone() * (zones.clone() - 1.0) / zones;
    (lost + lost_at_servers) / inputs.parameter("come-back") / balancers
}

/// Reconnects per second at one balancer during a release, in which every connection reconnects once.
fn reconnects_during_release(inputs: &Inputs) -> Figure {
    connections(inputs) / (inputs.parameter("release-minutes") * 60.0)
}

/// Rows for the data path of one balancer: connections, placements and deliveries.
pub fn rows(inputs: &Inputs) -> Vec<Row> {
    let core = || Limit::Internal(Figure::new(1.0), "one process runs on one core");
    let relay = Mechanism::Implemented("src/proxy/relay.rs", "pub fn relay(");
    let placement = Mechanism::Implemented("src/balancer/selection.rs", "fn choose_server");
    let watch = Mechanism::Implemented("src/discovery/watcher.rs", "async fn watch");
    let established = connections(inputs);
    let memory = || Limit::Internal(inputs.parameter("balancer-memory") * 1e9, "assumed");
    let zones = inputs.parameter("zones");
    let zone_loss_factor = zones.clone() / (zones - 1.0);
    let per_delivery = inputs.slope("delivery, processor", Unit::Seconds, &deliveries(inputs));
    let per_opening = || inputs.slope("opening, processor", Unit::Seconds, &arrivals(inputs));
    let mut rows = vec![
        Row::new(
            "connections that stand",
            "all",
            Unit::Count,
            established.clone(),
        ),
        Row::new(
            "descriptors, two a connection",
            "all",
            Unit::Count,
            established.clone() * 2.0,
        )
        .provided_by(Mechanism::Implemented(
            "src/runtime/connection_limit.rs",
            "pub struct ConnectionLimit",
        )),
        Row::new(
            "memory of the process for what stands",
            "all",
            Unit::Bytes,
            established.clone() * inputs.slope("standing, memory", Unit::Bytes, &established),
        )
        .limit(memory())
        .provided_by(relay),
        Row::new(
            "memory of the kernel for what stands",
            "all",
            Unit::Bytes,
            established.clone() * inputs.slope("standing, kernel", Unit::Bytes, &established),
        )
        .limit(memory())
        .provided_by(Mechanism::External("the kernel")),
    ];
    let busiest_deliveries = || deliveries(inputs) * inputs.parameter("deliveries-busiest");
    let busiest_arrivals = || arrivals(inputs) * inputs.parameter("arrivals-busiest");
    let (warm, half_cold) = ("placement, none cold", "placement, half cold");
    let scenarios = [
        ("mean", deliveries(inputs), arrivals(inputs), warm),
        (
            "busiest minute",
            busiest_deliveries(),
            busiest_arrivals(),
            warm,
        ),
        (
            "zone lost, in the busiest minute",
            busiest_deliveries() * zone_loss_factor,
            busiest_arrivals() + reconnects_after_zone_loss(inputs),
            warm,
        ),
        (
            "release of all balancers, in the busiest minute",
            busiest_deliveries(),
            busiest_arrivals() + reconnects_during_release(inputs),
            warm,
        ),
        (
            "half of the servers cold, in the busiest minute",
            busiest_deliveries(),
            busiest_arrivals(),
            half_cold,
        ),
    ];
    for (scenario, delivered, opened, series) in scenarios {
        let placed =
            opened.clone() * inputs.value_at(series, Unit::Seconds, inputs.parameter("servers"));
        let relayed = delivered * per_delivery.clone();
        // Openings were measured with a single known server, so they include next to no placement cost.
        let all = relayed.clone() + placed.clone() + opened.clone() * per_opening();
        rows.push(Row::new("new connections", scenario, Unit::Rate, opened).provided_by(placement));
        rows.push(
            Row::new(
                "processor for placements alone",
                scenario,
                Unit::Cores,
                placed,
            )
            .limit(core())
            .provided_by(placement)
            .remedy(CHEAPER_PLACEMENT),
        );
        rows.push(
            Row::new(
                "processor for deliveries alone",
                scenario,
                Unit::Cores,
                relayed,
            )
            .provided_by(relay),
        );
        rows.push(
            Row::new(
                "processor for openings, placements and deliveries",
                scenario,
                Unit::Cores,
                all,
            )
            .limit(core())
            .provided_by(relay)
            .remedy(MULTIPLE_PROCESSES),
        );
    }
    rows.push(
        Row::new(
            "a delivery's time on the way, 99 in 100",
            "mean",
            Unit::Seconds,
            inputs.value_at("delivery, time", Unit::Seconds, deliveries(inputs)),
        )
        .limit(Limit::Requirement(inputs.parameter("delivery-ms") / 1000.0))
        .provided_by(relay),
    );
    rows.push(
        Row::new(
            "bytes of deliveries, in and out",
            "busiest minute",
            Unit::ByteRate,
            deliveries(inputs)
                * inputs.parameter("deliveries-busiest")
                * inputs.parameter("delivery-bytes")
                * 2.0,
        )
        .provided_by(relay),
    );
    for servers in [90.0, 1000.0, 5000.0, 20_000.0] {
        for (series, cold) in [
            ("placement, none cold", "all warm"),
            ("placement, half cold", "half cold"),
        ] {
            rows.push(
                Row::new(
                    format!("a placement at {} servers, {cold}", format_number(servers)),
                    "each",
                    Unit::Seconds,
                    inputs.value_at(series, Unit::Seconds, Figure::new(servers)),
                )
                .provided_by(placement),
            );
        }
    }
    for (series, quantity) in [
        ("list, whole, time", "a whole list taken in"),
        ("list, one entry, time", "a list of one entry taken in"),
    ] {
        rows.push(
            Row::new(
                quantity,
                "each",
                Unit::Seconds,
                inputs.value_at(series, Unit::Seconds, inputs.parameter("servers")),
            )
            .limit(Limit::Requirement(inputs.parameter("delivery-ms") / 1000.0))
            .provided_by(watch)
            .remedy("a whole list taken in by pieces: missing"),
        );
    }
    let changes = inputs.parameter("changes-busiest-minute") / 60.0;
    rows.push(
        Row::new(
            "processor for lists of one entry",
            "busiest minute",
            Unit::Cores,
            changes
                * inputs.value_at(
                    "list, one entry, time",
                    Unit::Seconds,
                    inputs.parameter("servers"),
                ),
        )
        .limit(Limit::Requirement(inputs.parameter("control-core")))
        .provided_by(watch),
    );
    rows.push(
        Row::new(
            "standing connections told to move, when a balancer is emptied",
            "restart without a successor",
            Unit::Rate,
            established
                / (inputs.constant("src/lifecycle/draining.rs", "DRAIN_TIME")
                    - inputs.constant("src/lifecycle/draining.rs", "ARRIVAL_TIME")),
        )
        .provided_by(Mechanism::Implemented(
            "crates/admin/src/drain_schedule.rs",
            "pub struct DrainSchedule",
        )),
    );
    rows
}

/// Formats assumptions or requirements as a Markdown table.
pub fn parameter_table(parameters: &BTreeMap<String, Parameter>, assumptions: bool) -> String {
    let mut text = String::from(match assumptions {
        true => "| name | value | unit | why | asked under |\n| --- | --- | --- | --- | --- |\n",
        false => "| name | value | unit | where |\n| --- | --- | --- | --- |\n",
    });
    for (name, parameter) in parameters {
        let _ = write!(
            text,
            "| {name} | {} | {} | {} |",
            format_number(parameter.value),
            parameter.unit,
            parameter.reason
        );
        if assumptions {
            let _ = write!(
                text,
                " {} |",
                parameter.question.as_deref().unwrap_or("not asked")
            );
        }
        text.push('\n');
    }
    text
}

/// Formats all series, with their description and the command that produces them.
pub fn series_table(inputs: &Inputs) -> String {
    let mut text = String::from(
        "| series | what | by | sizes and fit | runs | command |\n| --- | --- | --- | --- | --- | --- |\n",
    );
    for (name, series) in &inputs.measured.0 {
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
