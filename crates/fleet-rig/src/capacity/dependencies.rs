//! Load of the fleet on its dependencies (discovery, stream servers, operator tools), and the failures and maintenance
//! it has to handle.

use super::data_path::{arrivals, connections};
use super::figure::{Figure, Unit};
use super::inputs::Inputs;
use super::row::{Limit, Mechanism, Row};
use std::fmt::Write;

const WATCH: Mechanism = Mechanism::Implemented("src/discovery/watcher.rs", "async fn watch");
const SHARED_WATCH: Mechanism = Mechanism::Implemented(
    "src/cluster/endpoint_list.rs",
    "pub struct SharedEndpointList",
);
const MAINTENANCE: Mechanism = Mechanism::Implemented(
    "crates/admin/src/maintenance.rs",
    "pub struct MaintenanceSet",
);
const SHARED_MAINTENANCE: &str = "what is out as entries of the distribution: missing";

/// Calls per second at discovery: each watcher renews its long poll after the maximum wait and after each change.
fn discovery_calls(inputs: &Inputs, watchers: Figure, changes: Figure) -> Figure {
    let wait = inputs.constant("src/discovery/watcher.rs", "LONG_POLL_WAIT");
    watchers.clone() / wait + watchers * changes
}

/// Rows for the load on discovery.
pub fn discovery(inputs: &Inputs) -> Vec<Row> {
    let all = || inputs.parameter("balancers");
    let mean = inputs.parameter("changes-a-day") / 86_400.0;
    let busiest = inputs.parameter("changes-busiest-minute") / 60.0;
    let whole = inputs.value_at(
        "list, whole, bytes",
        Unit::Bytes,
        inputs.parameter("servers"),
    );
    let control = || inputs.parameter("control-machines");
    let mut rows = Vec::new();
    for (scenario, changes) in [("mean", mean.clone()), ("busiest minute", busiest.clone())] {
        rows.push(
            Row::new(
                "calls, each balancer watching itself",
                scenario,
                Unit::Rate,
                discovery_calls(inputs, all(), changes),
            )
            .provided_by(WATCH),
        );
    }
    rows.push(
        Row::new(
            "bytes of whole lists, each balancer asking itself",
            "release of everything at once",
            Unit::Bytes,
            all() * whole.clone(),
        )
        .provided_by(WATCH),
    );
    rows.push(
        Row::new(
            "a whole list in one answer",
            "each start",
            Unit::Bytes,
            whole,
        )
        .limit(Limit::Hard(
            inputs.constant("src/discovery/http.rs", "MAX_BODY"),
            "MAX_BODY",
        ))
        .provided_by(WATCH)
        .remedy("a whole list in pieces: missing here and at discovery"),
    );
    for (scenario, changes) in [("mean", mean), ("busiest minute", busiest)] {
        rows.push(
            Row::new(
                "calls, one watch for all",
                scenario,
                Unit::Rate,
                discovery_calls(inputs, Figure::new(1.0), changes),
            )
            .provided_by(SHARED_WATCH),
        );
    }
    rows.push(
        Row::new(
            "calls, one watch for all, none of the control instances hearing it",
            "region cut",
            Unit::Rate,
            discovery_calls(
                inputs,
                control(),
                inputs.parameter("changes-a-day") / 86_400.0,
            ),
        )
        .provided_by(SHARED_WATCH),
    );
    rows
}

/// Rows for one stream server.
pub fn server(inputs: &Inputs) -> Vec<Row> {
    let servers = || inputs.parameter("servers");
    let connections_per_server = inputs.parameter("connections") / servers();
    let capacity = connections_per_server.clone() / inputs.parameter("server-fill");
    let topic = inputs.parameter("largest-topic");
    let placement = Mechanism::Implemented("src/balancer/selection.rs", "fn choose_server");
    let slow_start = Mechanism::Implemented("src/balancer/slow_start.rs", "fn available_tokens");
    // New connections per second of a server in slow start.
    let slow_start_rate = inputs.constant("src/balancer/slow_start.rs", "WARM_UP_BUDGET_SHARE")
        * capacity.clone()
        / inputs.parameter("warm-up");
    vec![
        Row::new("connections that stand", "mean", Unit::Count, connections_per_server.clone())
            .limit(Limit::Internal(capacity.clone(), "assumed"))
            .provided_by(placement),
        Row::new(
            "connections that stand, a zone's servers lost",
            "zone",
            Unit::Count,
            connections_per_server.clone() * inputs.parameter("zones") / (inputs.parameter("zones") - 1.0),
        )
        .limit(Limit::Internal(capacity.clone(), "assumed"))
        .provided_by(placement),
        Row::new(
            "connections that stand, a region's servers lost",
            "region",
            Unit::Count,
            connections_per_server.clone() * inputs.parameter("regions") / (inputs.parameter("regions") - 1.0),
        )
        .limit(Limit::Internal(capacity.clone(), "assumed"))
        .provided_by(placement),
        Row::new(
            "deliveries",
            "mean",
            Unit::Rate,
            inputs.parameter("deliveries") / servers(),
        ),
        Row::new(
            "of one balancer's connections",
            "mean",
            Unit::Count,
            connections(inputs) / servers(),
        )
        .provided_by(placement),
        Row::new(
            "new connections",
            "mean",
            Unit::Rate,
            arrivals(inputs) * inputs.parameter("balancers") / servers(),
        )
        .provided_by(placement),
        Row::new(
            "new connections that a cold one is sent, by all balancers",
            "restart",
            Unit::Rate,
            slow_start_rate.clone(),
        )
        .provided_by(slow_start),
        Row::new(
            "of these by one balancer",
            "restart",
            Unit::Rate,
            slow_start_rate / inputs.parameter("balancers"),
        )
        .provided_by(slow_start),
        Row::new(
            "topics larger than one server's room",
            "all",
            Unit::Count,
            topics_larger_than(inputs, &capacity),
        ),
        Row::new(
            "servers that the largest topic needs at least",
            "all",
            Unit::Count,
            topic.clone() / capacity.clone(),
        ),
        Row::new(
            "listeners of the largest topic at one balancer",
            "all",
            Unit::Count,
            topic.clone() / inputs.parameter("balancers"),
        )
        .provided_by(placement),
        Row::new(
            "servers that one balancer spreads these over, 1,000 known, no loads or delays told",
            "all",
            Unit::Count,
            inputs.value_at(
                "group, 1000 servers",
                Unit::Count,
                topic.clone() / inputs.parameter("balancers"),
            ),
        )
        .provided_by(placement),
        Row::new(
            "connections of the largest topic at each server that holds some, no loads or delays told",
            "all",
            Unit::Count,
            topic.clone()
                / inputs.value_at(
                    "group, 1000 servers",
                    Unit::Count,
                    topic / inputs.parameter("balancers"),
                ),
        )
        .limit(Limit::Internal(capacity.clone(), "assumed"))
        .provided_by(Mechanism::Implemented("src/runtime/latency_tracker.rs", "pub struct LatencyTracker"))
        .remedy("servers that tell loads or delays (docs/QUESTIONS.md); without them: missing"),
    ]
}

/// Number of topics with more listeners than one server's capacity. Topic sizes are modeled as a power law of the rank
/// that starts at the largest topic and adds up to all connections.
fn topics_larger_than(inputs: &Inputs, capacity: &Figure) -> Figure {
    let topics = inputs.parameter("shards") / inputs.parameter("shards-a-topic");
    let (all, largest) = (
        inputs.parameter("connections"),
        inputs.parameter("largest-topic"),
    );
    let sum = all.clone() / largest.clone();
    let (Some(n), Some(sum), Some(largest_ratio)) = (
        topics.value(),
        sum.value(),
        (largest.clone() / capacity.clone()).value(),
    ) else {
        return topics + sum + capacity.clone();
    };
    let total_size = |power: f64| {
        (1..=n as u64)
            .map(|rank| (rank as f64).powf(-power))
            .sum::<f64>()
    };
    // Finds the exponent of the power law by bisection.
    let (mut low, mut high) = (0.0, 8.0);
    for _ in 0..40 {
        let middle = (low + high) / 2.0;
        match total_size(middle) > sum {
            true => low = middle,
            false => high = middle,
        }
    }
    let ranks = largest_ratio.max(1.0).powf(1.0 / high).min(n).floor();
    // Adds nothing to the value, but keeps the sources of the inputs.
    let provenance = (topics + all + largest + capacity.clone()) * 0.0;
    provenance + ranks
}

/// Table of the kinds of state: which have to be shared between balancers, and their size if shared.
pub fn shared_state(inputs: &Inputs) -> String {
    let of = |name: &str| inputs.parameter(name);
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
    for (name, count, shared, reason) in rows {
        let bytes = count.clone() * inputs.parameter("entry-bytes");
        let format =
            |figure: &Figure, unit: Unit| figure.value().map_or("-".to_owned(), |v| unit.format(v));
        let _ = writeln!(
            text,
            "| {name} | {} | {shared} | {reason} | {} |",
            format(&count, Unit::Count),
            format(&bytes, Unit::Bytes)
        );
    }
    text
}

/// Rows for operator tools.
pub fn operator(inputs: &Inputs) -> Vec<Row> {
    let balancers = || inputs.parameter("balancers");
    let servers = || inputs.parameter("servers");
    let servers_in_one_of = |areas: Figure| servers() / areas;
    let bound = || {
        Limit::Hard(
            inputs.constant("crates/admin/src/maintenance.rs", "MAX_ENTRIES"),
            "maintenance::MAX_ENTRIES",
        )
    };
    let members = Mechanism::Implemented("crates/cluster/src/control.rs", "MAX_CONNECTIONS");
    vec![
        Row::new(
            "calls to take one server out everywhere",
            "each",
            Unit::Count,
            balancers(),
        )
        .provided_by(Mechanism::Missing("one call for all balancers"))
        .remedy(SHARED_MAINTENANCE),
        Row::new(
            "calls to take out and put back, a day",
            "490 restarts, all of servers",
            Unit::Count,
            inputs.parameter("restarts-a-day") * balancers() * 2.0,
        )
        .provided_by(MAINTENANCE)
        .remedy(SHARED_MAINTENANCE),
        Row::new(
            "servers out at once",
            "rack",
            Unit::Count,
            inputs.parameter("rack-machines"),
        )
        .limit(bound())
        .provided_by(MAINTENANCE),
        Row::new(
            "servers out at once",
            "zone",
            Unit::Count,
            servers_in_one_of(inputs.parameter("zones")),
        )
        .limit(bound())
        .provided_by(MAINTENANCE),
        Row::new(
            "servers out at once",
            "region",
            Unit::Count,
            servers_in_one_of(inputs.parameter("regions")),
        )
        .limit(bound())
        .provided_by(MAINTENANCE),
        Row::new(
            "rows of `members`, one gossip of all",
            "each",
            Unit::Count,
            balancers(),
        )
        .provided_by(members),
        Row::new(
            "rows of `members`, the control instances alone",
            "each",
            Unit::Count,
            inputs.parameter("control-machines"),
        )
        .provided_by(members),
        Row::new(
            "who lags, and since when a change is in force",
            "each",
            Unit::Count,
            balancers(),
        )
        .provided_by(Mechanism::Implemented(
            "crates/distribution/src/source/status.rs",
            "pub fn status",
        ))
        .remedy(super::control::DISTRIBUTION),
    ]
}

/// Table of failures and maintenance events, with their frequency and extent.
pub fn failure_scenarios(inputs: &Inputs) -> String {
    let parameter = |name: &str| inputs.parameter(name);
    let one = Figure::new(1.0);
    let zero = Figure::new(0.0);
    let day = Figure::new(86_400.0);
    let connections_per_balancer = connections(inputs);
    let connections_per_server = parameter("connections") / parameter("servers");
    let balancers_in_one_of = |areas: Figure| parameter("balancers") / areas;
    let rows: Vec<(&str, Figure, Figure, Figure, Figure, Figure)> = vec![
        // Event, times per year, balancers, servers, connections that reconnect, configuration changes.
        (
            "a balancer's machine",
            parameter("failures-a-day") * 365.0,
            one.clone(),
            zero.clone(),
            connections_per_balancer.clone(),
            zero.clone(),
        ),
        (
            "a stream server's machine",
            parameter("failures-a-day") * 365.0,
            zero.clone(),
            one.clone(),
            connections_per_server.clone(),
            parameter("changes-a-server"),
        ),
        (
            "a rack of balancers",
            Figure::new(365.0) / parameter("rack-every-days"),
            parameter("rack-machines"),
            zero.clone(),
            connections_per_balancer.clone() * parameter("rack-machines"),
            zero.clone(),
        ),
        (
            "a rack of stream servers",
            Figure::new(365.0) / parameter("rack-every-days"),
            zero.clone(),
            parameter("rack-machines"),
            connections_per_server.clone() * parameter("rack-machines"),
            parameter("rack-machines") * parameter("changes-a-server"),
        ),
        (
            "a zone",
            Figure::new(365.0) / parameter("zone-every-days"),
            balancers_in_one_of(parameter("zones")),
            parameter("servers") / parameter("zones"),
            // Connections at the zone's balancers, and those of other balancers at the zone's servers.
            parameter("connections") / parameter("zones")
                * (Figure::new(2.0) - Figure::new(1.0) / parameter("zones")),
            parameter("servers") / parameter("zones") * parameter("changes-a-server"),
        ),
        (
            "a region cut off for an hour, and healed",
            parameter("region-cuts-a-year"),
            balancers_in_one_of(parameter("regions")),
            parameter("servers") / parameter("regions"),
            zero.clone(),
            parameter("changes-a-day") * parameter("region-cut-s") / day.clone(),
        ),
        (
            "490 restarts, a day",
            Figure::new(365.0),
            parameter("restarts-a-day"),
            zero.clone(),
            connections_per_balancer.clone() * parameter("restarts-a-day"),
            zero.clone(),
        ),
        (
            "a release of all balancers",
            parameter("releases-a-year"),
            parameter("balancers"),
            zero.clone(),
            parameter("connections"),
            zero,
        ),
    ];
    let mut text = String::from(
        "| trouble | times a year | balancers | stream servers | connections that come again, none handed over | changes of configuration |\n| --- | --- | --- | --- | --- | --- |\n",
    );
    for (name, times, balancers, servers, connections, changes) in rows {
        let format = |f: Figure| {
            f.value()
                .map_or("not measured".to_owned(), |v| Unit::Count.format(v))
        };
        let _ = writeln!(
            text,
            "| {name} | {} | {} | {} | {} | {} |",
            format(times),
            format(balancers),
            format(servers),
            format(connections),
            format(changes)
        );
    }
    text
}
