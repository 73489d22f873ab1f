//! Control-plane estimates for a balancer and a control instance, for two designs: one gossip cluster of all balancers
//! (flat), and balancers that each follow two of the control instances (follow). A duty is a task that one instance at
//! a time runs while it holds the task's lease.

use super::figure::{Figure, Unit};
use super::inputs::Inputs;
use super::row::{Limit, Mechanism, Row};
use serde_json::json;

/// Remedy named in the rows of the flat design, in which it may exceed its limits.
pub const DISTRIBUTION: &str = "distribution from the control instances";

/// Mean bytes of a random 64-bit id as a varint: ten for ids in the upper half, nine for nearly all others.
const ID_BYTES: f64 = 9.5;
/// The value of `MAX_SENDERS` with which the flat cluster was measured. Distribution needed a higher limit.
const FORMER_MAX_SENDERS: f64 = 1024.0;

const GOSSIP_FILE: &str = "crates/leases/src/gossip_store.rs";
const AUTHENTICATION_FILE: &str = "crates/membership/src/authentication.rs";
const SOURCE_FILE: &str = "crates/distribution/src/source/mod.rs";
const SOURCE_CONFIG_FILE: &str = "crates/distribution/src/source/config.rs";
const MESSAGES_FILE: &str = "crates/distribution/src/messages/mod.rs";

const NODE: Mechanism = Mechanism::Implemented("crates/cluster/src/node.rs", "pub struct Node");
const AUTHENTICATION: Mechanism = Mechanism::Implemented(AUTHENTICATION_FILE, "MAX_SENDERS");
const GOSSIP: Mechanism = Mechanism::Implemented(GOSSIP_FILE, "fn disseminate");
const ACCEPTOR: Mechanism = Mechanism::Implemented("crates/leases/src/acceptor.rs", "MAX_LEASES");
const FOLLOWER: Mechanism = Mechanism::Implemented(
    "crates/distribution/src/follower/mod.rs",
    "pub struct Follower",
);
const SOURCE: Mechanism = Mechanism::Implemented(SOURCE_FILE, "pub struct Source");
const STORE: Mechanism = Mechanism::Implemented(
    "crates/distribution/src/store/mod.rs",
    "pub struct EntryStore",
);
const RATE_LIMITER: Mechanism = Mechanism::Implemented(
    "crates/distribution/src/rate_limiter.rs",
    "pub struct RateLimiter",
);

fn bandwidth_limit(inputs: &Inputs) -> Limit {
    Limit::Requirement(inputs.parameter("control-bytes"))
}

fn cpu_limit(inputs: &Inputs) -> Limit {
    Limit::Requirement(inputs.parameter("control-core"))
}

fn memory_limit(inputs: &Inputs) -> Limit {
    Limit::Requirement(inputs.parameter("control-memory-mb") * 1e6)
}

fn propagation_limit(inputs: &Inputs) -> Limit {
    Limit::Requirement(inputs.parameter("in-force-s"))
}

/// Entries for servers and settings: the current ones, and the removed ones that are still kept.
pub fn entries(inputs: &Inputs) -> Figure {
    inputs.parameter("servers")
        + inputs.parameter("settings")
        + removed(inputs) * inputs.parameter("removed-kept-days")
}

/// Entries removed per day. A server that is replaced at a restart gets a new name, and its old entry is removed.
fn removed(inputs: &Inputs) -> Figure {
    inputs.parameter("restarts-a-day") * inputs.parameter("replaced-share")
}

/// Scenarios with their number of changes per minute.
fn change_scenarios(inputs: &Inputs) -> [(&'static str, Figure); 7] {
    let per_server = || inputs.parameter("changes-a-server");
    let servers = || inputs.parameter("servers");
    [
        ("mean", inputs.parameter("changes-a-day") / 1440.0),
        ("busiest minute", inputs.parameter("changes-busiest-minute")),
        ("a stream server's machine, in a minute", per_server()),
        (
            "a rack of stream servers, in a minute",
            inputs.parameter("rack-machines") * per_server(),
        ),
        (
            "a zone, in a minute",
            servers() / inputs.parameter("zones") * per_server(),
        ),
        (
            "a region healed after its cut, in a minute",
            inputs.parameter("changes-a-day") * inputs.parameter("region-cut-s") / 86_400.0,
        ),
        (
            "a release of everything: every server within the day",
            servers() * per_server() / 1440.0,
        ),
    ]
}

/// Flat design: rows for one balancer.
pub fn balancer_flat(inputs: &Inputs) -> Vec<Row> {
    let balancers = || inputs.parameter("balancers");
    let row = |what: &str, scenario, unit, estimate| {
        Row::new(what, scenario, unit, estimate)
            .provided_by(NODE)
            .remedy(DISTRIBUTION)
    };
    let fanout = || inputs.constant(GOSSIP_FILE, "FANOUT");
    let ids = (balancers() - fanout()) / fanout();
    let mut rows = vec![
        row(
            "sessions with others, before this sitting",
            "all",
            Unit::Count,
            balancers(),
        )
        .limit(Limit::Hard(
            Figure::new(FORMER_MAX_SENDERS),
            "seal::MAX_SENDERS, as it was",
        ))
        .provided_by(AUTHENTICATION),
        row("sessions with others, now", "all", Unit::Count, balancers())
            .limit(Limit::Hard(
                inputs.constant(AUTHENTICATION_FILE, "MAX_SENDERS"),
                "seal::MAX_SENDERS",
            ))
            .provided_by(AUTHENTICATION),
        row(
            "ids that the first datagrams of a change name, bytes",
            "each change",
            Unit::Bytes,
            ids * ID_BYTES,
        )
        .limit(Limit::Hard(
            inputs.constant(AUTHENTICATION_FILE, "MAX_DATAGRAM"),
            "seal::MAX_DATAGRAM",
        ))
        .provided_by(GOSSIP),
        row("entries on the board", "all", Unit::Count, entries(inputs))
            .limit(Limit::Hard(
                inputs.constant(GOSSIP_FILE, "MAX_KEYS"),
                "board::MAX_KEYS",
            ))
            .provided_by(GOSSIP)
            .remedy("removed entries that are forgotten in time: missing"),
        row(
            "datagrams, both ways",
            "at rest",
            Unit::Rate,
            inputs.value_at("flat-datagrams", Unit::Rate, balancers()) * 2.0,
        ),
    ];
    // The series counts sent bytes; on average an instance receives as many as it sends. For each change it sends and
    // receives about one entry.
    let idle = || inputs.value_at("flat-bytes", Unit::ByteRate, balancers()) * 2.0;
    for (scenario, changes) in change_scenarios(inputs) {
        let change_bytes = changes / 60.0 * inputs.parameter("entry-bytes") * 2.0;
        rows.push(
            row(
                "bytes, both ways",
                scenario,
                Unit::ByteRate,
                idle() + change_bytes,
            )
            .limit(bandwidth_limit(inputs)),
        );
    }
    rows.push(
        row(
            "processor",
            "at rest",
            Unit::Cores,
            inputs.value_at("flat-cpu", Unit::Cores, balancers()),
        )
        .limit(cpu_limit(inputs)),
    );
    rows.push(
        row(
            "memory, 256 entries",
            "at rest",
            Unit::Bytes,
            inputs.value_at("flat-memory", Unit::Bytes, balancers()),
        )
        .limit(memory_limit(inputs)),
    );
    // If the first datagrams of a change exceed the maximum size, the change reaches none of the instances they name.
    let fits_in_datagram = rows[2].limit_ratio().is_some_and(|times| times <= 1.0);
    let propagation_time = match fits_in_datagram {
        true => inputs.value_at_if_reached("flat-news", "flat-bytes", Unit::Seconds, balancers()),
        false => Figure::new(f64::INFINITY).derived_from("ids", "the row on ids above".to_owned()),
    };
    rows.push(
        row(
            "until a change is in force everywhere, by news alone",
            "at rest",
            Unit::Seconds,
            propagation_time,
        )
        .limit(propagation_limit(inputs)),
    );
    let if_reached = |name, unit| inputs.value_at_if_reached(name, "flat-bytes", unit, balancers());
    let full_restart = "release of everything at once";
    rows.push(row(
        "until all know of all",
        full_restart,
        Unit::Seconds,
        if_reached("flat-join", Unit::Seconds),
    ));
    rows.push(row(
        "bytes that one sends until then",
        full_restart,
        Unit::Bytes,
        if_reached("flat-join-bytes", Unit::Bytes),
    ));
    rows.push(row(
        "processor time of one until then",
        full_restart,
        Unit::Seconds,
        if_reached("flat-join-cpu", Unit::Seconds),
    ));
    rows.push(row(
        "datagrams of all, put off for want of a session",
        full_restart,
        Unit::Count,
        if_reached("flat-put-off", Unit::Count),
    ));
    rows
}

/// Follow design: rows for one balancer.
pub fn balancer_follow(inputs: &Inputs) -> Vec<Row> {
    let balancers = || inputs.parameter("balancers");
    let row = |what: &str, scenario, unit, estimate| {
        Row::new(what, scenario, unit, estimate).provided_by(FOLLOWER)
    };
    let idle = || inputs.value_at("follow-bytes", Unit::ByteRate, balancers());
    let full_copy_bytes = || entries(inputs) * inputs.parameter("entry-bytes");
    let mut rows = vec![
        row("entries held", "all", Unit::Count, entries(inputs))
            .limit(Limit::Hard(
                inputs.constant(GOSSIP_FILE, "MAX_KEYS"),
                "store::MAX_ENTRIES",
            ))
            .provided_by(STORE)
            .remedy("removed entries that are forgotten in time: missing"),
        row(
            "days of removed entries until the store is full",
            "all",
            Unit::Count,
            (inputs.constant(GOSSIP_FILE, "MAX_KEYS")
                - inputs.parameter("servers")
                - inputs.parameter("settings"))
                / removed(inputs),
        )
        .provided_by(STORE),
        row(
            "datagrams, both ways",
            "at rest",
            Unit::Rate,
            inputs.value_at("follow-datagrams", Unit::Rate, balancers()),
        ),
    ];
    for (scenario, changes) in change_scenarios(inputs) {
        // A follower receives each change from both of its sources.
        let change_bytes = changes / 60.0 * inputs.parameter("entry-bytes") * 2.0;
        rows.push(
            row(
                "bytes, both ways",
                scenario,
                Unit::ByteRate,
                idle() + change_bytes,
            )
            .limit(bandwidth_limit(inputs))
            .remedy("a change told by one of the two sources alone: missing"),
        );
    }
    let restart_bytes =
        full_copy_bytes() * inputs.parameter("restarts-a-day") / balancers() / 86_400.0;
    rows.push(
        row(
            "bytes, both ways",
            "490 restarts, shared out over the day",
            Unit::ByteRate,
            idle() + restart_bytes,
        )
        .limit(bandwidth_limit(inputs)),
    );
    rows.push(row(
        "bytes of one start, all in all",
        "a restart",
        Unit::Bytes,
        full_copy_bytes(),
    ));
    rows.push(row(
        "until full, p50",
        "a restart",
        Unit::Seconds,
        inputs.value_at("follow-full-entries", Unit::Seconds, entries(inputs)),
    ));
    for (entries, label) in [(630, "630 entries"), (5000, "5,000 entries")] {
        for (starting, scenario) in [
            (350.0, "a region at once"),
            (2100.0, "release of everything at once"),
        ] {
            rows.push(row(
                &format!("until all are full, {label}"),
                scenario,
                Unit::Seconds,
                start_duration(inputs, entries, starting, "/until_full/last"),
            ));
        }
    }
    rows.push(
        row(
            "processor",
            "at rest",
            Unit::Cores,
            inputs.value_at("follow-cpu", Unit::Cores, balancers()),
        )
        .limit(cpu_limit(inputs)),
    );
    rows.push(
        row(
            "memory, 630 entries",
            "at rest",
            Unit::Bytes,
            inputs.value_at("follow-memory", Unit::Bytes, balancers()),
        )
        .limit(memory_limit(inputs)),
    );
    rows.push(
        row(
            "memory, all entries",
            "all",
            Unit::Bytes,
            inputs.value_at("follow-memory-entries", Unit::Bytes, entries(inputs)),
        )
        .limit(memory_limit(inputs)),
    );
    let delay =
        |what: &str, pointer| inputs.simulated("delays", "what", json!(what), pointer, 1e-3);
    for (what, scenario) in [
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
                scenario,
                Unit::Seconds,
                delay(what, "/each/p99"),
            )
            .limit(Limit::Internal(Figure::new(3.0), "this project's own")),
        );
        rows.push(
            row(
                "until a change is in force everywhere, the last",
                scenario,
                Unit::Seconds,
                delay(what, "/everywhere/last"),
            )
            .limit(propagation_limit(inputs)),
        );
    }
    for (what, scenario) in [
        (
            "a region for an hour",
            "a region healed after an hour, 240 changes, 630 entries",
        ),
        (
            "a region for an hour, 5,000 entries",
            "a region healed after an hour, 240 changes, 5,000 entries",
        ),
    ] {
        let cut = |pointer, by| inputs.simulated("cuts", "what", json!(what), pointer, by);
        rows.push(
            row(
                "until what was missed is in force, the last",
                scenario,
                Unit::Seconds,
                cut("/each/last", 1e-3),
            )
            .limit(propagation_limit(inputs)),
        );
        let followers = || cut("/followers", 1.0);
        rows.push(
            row(
                "bytes of a balancer in the minute after, over rest",
                scenario,
                Unit::Bytes,
                cut("/bytes", 1.0) / followers(),
            )
            .limit(Limit::Internal(
                cut("/all", 1.0) / followers(),
                "all entries anew",
            ))
            .remedy(
                "sources of a healed region that are whole before they are followed again: missing",
            ),
        );
        rows.push(
            row("until the region's own control instances hold all", scenario, Unit::Seconds, cut("/control", 1e-3))
                .provided_by(GOSSIP)
                .limit(propagation_limit(inputs))
                .remedy("a comparison of boards that sends what differs alone: missing (`crates/leases/src/gossip_store.rs`)"),
        );
    }
    rows
}

/// A duration from the simulated start of `starting` balancers at once, converted from ms to seconds. `pointer` is the
/// JSON pointer to it within the run.
fn start_duration(inputs: &Inputs, entries: u32, starting: f64, pointer: &str) -> Figure {
    let starts = inputs
        .simulation_runs
        .get("starts")
        .and_then(|list| list.as_array());
    let run = starts.and_then(|runs| {
        runs.iter().find(|run| {
            let equals =
                |field: &str, value: f64| run.get(field).and_then(|v| v.as_f64()) == Some(value);
            equals("entries", f64::from(entries)) && equals("starting", starting)
        })
    });
    let name = format!("distribution.json: starts, {starting} of {entries} entries");
    match run.and_then(|run| run.pointer(pointer)?.as_f64()) {
        Some(ms) => Figure::new(ms / 1000.0)
            .derived_from(&name, format!("`{name}` (one play at the whole size)")),
        None => Figure::missing(name),
    }
}

/// Flat design: rows for a control instance, which is a cluster member that also runs duties.
pub fn control_flat(inputs: &Inputs) -> Vec<Row> {
    let duties = || {
        Limit::Hard(
            inputs.constant("crates/leases/src/acceptor.rs", "MAX_LEASES"),
            "vote::MAX_DUTIES",
        )
    };
    vec![
        Row::new(
            "duties voted on: one for the list",
            "all",
            Unit::Count,
            Figure::new(1.0),
        )
        .limit(duties())
        .provided_by(ACCEPTOR),
        Row::new(
            "duties voted on, with a probe of each server",
            "all",
            Unit::Count,
            inputs.parameter("servers") + 1.0,
        )
        .limit(duties())
        .provided_by(ACCEPTOR),
    ]
}

/// Follow design: rows for one control instance.
pub fn control_follow(inputs: &Inputs) -> Vec<Row> {
    let balancers = || inputs.parameter("balancers");
    let control_instances = || inputs.parameter("control-machines");
    let row = |what: &str, scenario, unit, estimate| {
        Row::new(what, scenario, unit, estimate).provided_by(SOURCE)
    };
    let one_core = || Limit::Internal(Figure::new(1.0), "this project's own");
    let max_followers = || {
        Limit::Hard(
            inputs.constant(AUTHENTICATION_FILE, "MAX_SENDERS"),
            "source::MAX_FOLLOWERS",
        )
    };
    let mut rows = Vec::new();
    // With fewer control instances each carries the load of a proportionally larger fleet. Each balancer follows two of
    // them, so if two remain, all balancers follow both; a single one has no more followers than that.
    let scenarios = [
        ("mean", Figure::new(1.0)),
        (
            "a control machine lost",
            control_instances() / (control_instances() - 1.0),
        ),
        (
            "two of the nine lost",
            control_instances() / (control_instances() - 2.0),
        ),
        ("all but one lost", control_instances() / 2.0),
    ];
    for (scenario, load_factor) in scenarios {
        let followers = balancers() * load_factor.clone() * 2.0 / control_instances();
        rows.push(row("followers", scenario, Unit::Count, followers).limit(max_followers()));
        let fleet_size = || balancers() * load_factor.clone();
        rows.push(row(
            "datagrams, both ways, the busiest",
            scenario,
            Unit::Rate,
            inputs.value_at("control-datagrams", Unit::Rate, fleet_size()),
        ));
        rows.push(row(
            "bytes, both ways, the busiest",
            scenario,
            Unit::ByteRate,
            inputs.value_at("control-bytes", Unit::ByteRate, fleet_size()),
        ));
        rows.push(
            row(
                "processor, the busiest",
                scenario,
                Unit::Cores,
                inputs.value_at("control-cpu", Unit::Cores, fleet_size()),
            )
            .limit(one_core()),
        );
        rows.push(row(
            "memory, 630 entries",
            scenario,
            Unit::Bytes,
            inputs.value_at("control-memory", Unit::Bytes, fleet_size()),
        ));
    }
    // A control instance holds each entry twice: in its source, like a balancer, and in its node's gossip store. The
    // series was measured with 630 entries.
    let per_entry = inputs.slope("follow-memory-entries", Unit::Bytes, &entries(inputs));
    rows.push(row(
        "memory, all entries, on the board too",
        "mean",
        Unit::Bytes,
        inputs.value_at("control-memory", Unit::Bytes, balancers())
            + (entries(inputs) - 630.0) * per_entry * 2.0,
    ));
    let change_bytes = |changes: Figure| {
        changes / 60.0 * inputs.parameter("entry-bytes") * balancers() * 2.0 / control_instances()
    };
    for (scenario, changes) in change_scenarios(inputs) {
        rows.push(row(
            "bytes of changes, to all followers",
            scenario,
            Unit::ByteRate,
            change_bytes(changes),
        ));
    }
    // Bytes of entries per second at the configured rate: a datagram without the OVERHEAD of its encryption (50 bytes)
    // and the message header.
    let budget = || {
        let entry_bytes = inputs.constant(AUTHENTICATION_FILE, "MAX_DATAGRAM")
            - 50.0
            - inputs.constant(MESSAGES_FILE, "MAX_HEADER");
        inputs.struct_field(SOURCE_CONFIG_FILE, "datagrams_per_second") * entry_bytes
    };
    let full_copy_bytes = || entries(inputs) * inputs.parameter("entry-bytes");
    rows.push(
        row(
            "bytes of starts",
            "490 restarts, shared out over the day",
            Unit::ByteRate,
            full_copy_bytes() * inputs.parameter("restarts-a-day") / control_instances() / 86_400.0,
        )
        .limit(Limit::Internal(budget(), "its stated rate"))
        .provided_by(RATE_LIMITER),
    );
    // Nine control instances over six regions leave some regions with one, which all balancers of the region follow.
    let region = balancers() / inputs.parameter("regions");
    rows.push(
        row(
            "until a region's balancers are full from its one control instance, at the stated rate",
            "a region at once, release of everything at once",
            Unit::Seconds,
            region * full_copy_bytes() / budget(),
        )
        .provided_by(RATE_LIMITER),
    );
    rows.push(
        row(
            "until all are full from one control instance",
            "all but one lost, all start at once",
            Unit::Seconds,
            balancers() * full_copy_bytes() / budget(),
        )
        .provided_by(RATE_LIMITER),
    );
    // A new holder of the duty `list` publishes every server again. If the change log can hold all of these entries,
    // both sources send them to a follower; otherwise the follower compares with one source and receives them once.
    let change_log = inputs.struct_field(SOURCE_CONFIG_FILE, "change_log_capacity");
    let copies = match (inputs.parameter("servers").value(), change_log.value()) {
        (Some(servers), Some(change_log)) if servers <= change_log => 2.0,
        _ => 1.0,
    };
    rows.push(
        row(
            "until all have what a new holder of the duty `list` tells anew, and what changes behind it",
            "the holder's machine lost, or restarted",
            Unit::Seconds,
            balancers() * copies / control_instances() * inputs.parameter("servers") * inputs.parameter("entry-bytes") / budget(),
        )
        .limit(propagation_limit(inputs))
        .provided_by(Mechanism::Implemented("src/cluster/endpoint_list/publisher.rs", "async fn lead_term"))
        .remedy("a new holder that tells only what differs: missing"),
    );
    // Each balancer polls each of its sources once per second.
    let requests = balancers();
    rows.push(
        row("asks a second", "all but one lost", Unit::Rate, requests).limit(Limit::Hard(
            inputs.struct_field(SOURCE_CONFIG_FILE, "requests_per_second"),
            "Limits::requests_per_second",
        )),
    );
    rows
}
