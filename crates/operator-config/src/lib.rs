//! The operator's own settings: one JSON file that switches parts of the program on. Its types, the schema made
//! from them, and checks that name every fault with its place before anything is taken over.
//!
//! Without the file all of it is off.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use jsonschema::ValidationError;
use jsonschema::error::ValidationErrorKind;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The voters that one duty has at most, and instances that may be named as voters.
const MAX_VOTERS: usize = 64;
/// The shortest secret, in characters.
const MIN_SECRET: usize = 16;
/// The longest name of an instance.
const MAX_NAME: usize = 64;
/// Sources that a follower may choose from.
const MAX_SOURCES: usize = 64;
/// Pieces a second that a control instance may be asked to give at most.
const MAX_RATE: u32 = 100_000;
/// The least age at which followed knowledge may count as too old: it is asked for once a second.
const MIN_FOLLOWED_AGE_MS: u64 = 2500;
/// Besides the notice of a death, a take-over takes the asking and the claiming.
const TAKEOVER_MS: u64 = 500;

/// The whole file.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
#[schemars(title = "spanspur, the operator's settings")]
pub struct Operator {
    /// How the log is written.
    pub log: Log,
    /// Where the sub-commands ask a running process. Off where missing.
    pub control: Option<Control>,
    /// The instances that know of each other. Off where missing.
    pub cluster: Option<Cluster>,
    /// What they do once a period together. Needs `cluster`.
    pub duties: Duties,
    /// Gives the list of servers to balancers outside the cluster. Needs `cluster` and `duties.list`. Off where
    /// missing.
    pub distribute: Option<Distribute>,
    /// Follows control instances for the list of servers. Not together with `cluster`. Off where missing.
    pub follow: Option<Follow>,
}

/// How the log is written. What is written is chosen by `RUST_LOG`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// The form; changes with a restart.
    pub format: Format,
}

/// The form of the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Format {
    /// A line of text with fields.
    #[default]
    Text,
    /// A JSON object a line.
    Json,
}

/// Where a running process can be asked.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Control {
    /// A Unix socket, which only the owner of the process may open; changes with a restart.
    pub socket: PathBuf,
}

/// A cluster of instances.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Cluster {
    /// This instance's name, the same after a restart and like no other's; the balancer's name where missing.
    /// Changes with a restart.
    #[serde(default)]
    pub name: Option<String>,
    /// Where it takes the others' datagrams; changes with a restart.
    #[schemars(with = "String")]
    pub listen: SocketAddr,
    /// Where others may be found; some of them are enough.
    #[serde(default)]
    #[schemars(with = "Vec<String>")]
    pub seeds: Vec<SocketAddr>,
    /// The names of the instances that vote on duties, the same list at all instances: three or more, an odd
    /// number. Each duty is voted on by five of them. Changes with a restart of all instances.
    pub voters: Vec<String>,
    /// The cluster's secrets, alike at all instances, one or two. The first signs what is sent, both are taken:
    /// to replace a key, put the new one second everywhere, then first everywhere, then drop the old one.
    pub keys: Vec<String>,
    /// How far the instances' wall clocks may lie apart. A restarted instance votes again after this and a period.
    /// Changes with a restart.
    #[serde(default = "clock_skew")]
    pub clock_skew_ms: u64,
    /// How fast the instances look after each other; changes with a restart.
    #[serde(default)]
    pub pace: Pace,
}

fn clock_skew() -> u64 {
    1000
}

/// How fast instances look after each other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Pace {
    /// Each instance looks at another one so often.
    pub probe_ms: u64,
    /// An answer takes no longer than this.
    pub answer_ms: u64,
    /// An instance that does not answer is held for gone after this.
    pub suspicion_ms: u64,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            probe_ms: 300,
            answer_ms: 100,
            suspicion_ms: 600,
        }
    }
}

impl Pace {
    /// How long it takes until a duty of a dead instance is taken over: no duty's period may be shorter.
    pub fn takeover_ms(&self) -> u64 {
        self.probe_ms
            .saturating_mul(3)
            .saturating_add(self.suspicion_ms)
            .saturating_add(TAKEOVER_MS)
    }
}

/// What is done once a period by one instance for all.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Duties {
    /// Look at each stream server of the list. Off where missing.
    pub probe: Option<Probe>,
    /// Watch discovery for all. Off where missing.
    pub list: Option<ListDuty>,
}

/// Looking at a stream server: connect, and send a line and wait for its answer where one is given.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Probe {
    /// Each stream server is looked at once in this time.
    pub every_ms: u64,
    /// A connection takes no longer than this; otherwise the server is silent.
    #[serde(default = "connect_ms")]
    pub connect_ms: u64,
    /// A line to send, without its end. `{period}` becomes the number of the period, which only ever grows for
    /// one server, `{instance}` the instance's name.
    #[serde(default)]
    pub line: Option<String>,
    /// How the answer to that line has to begin; any line will do where missing.
    #[serde(default)]
    pub expect: Option<String>,
    /// The answer takes no longer than this; otherwise the server is silent.
    #[serde(default = "answer_ms")]
    pub answer_ms: u64,
    /// From this time on a sound answer counts as slow, and is told to the decisions as the time of a message.
    #[serde(default = "slow_ms")]
    pub slow_ms: u64,
}

fn connect_ms() -> u64 {
    250
}

fn answer_ms() -> u64 {
    500
}

fn slow_ms() -> u64 {
    100
}

/// Watching discovery for all instances.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ListDuty {
    /// The watch goes to one instance for this time, and usually stays with it.
    pub every_ms: u64,
    /// News older than this is not trusted: an instance then asks discovery itself.
    pub max_age_ms: u64,
}

/// A control instance's part in the distribution of the list of servers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Distribute {
    /// Where it takes its followers' datagrams; changes with a restart.
    #[schemars(with = "String")]
    pub listen: SocketAddr,
    /// Its zone; changes with a restart.
    pub zone: String,
    /// Its region; changes with a restart.
    pub region: String,
    /// The secrets that it shares with its followers, one or two, replaced as those of the cluster are; the cluster's
    /// where missing.
    #[serde(default)]
    pub keys: Vec<String>,
    /// Pieces, of at most a datagram each, that it gives its followers in a second at most; changes with a restart.
    #[serde(default = "rate")]
    pub rate: u32,
}

fn rate() -> u32 {
    4000
}

/// A balancer's part in it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Follow {
    /// This balancer's name, the same after a restart and like no other's; the balancer's own where missing. Changes
    /// with a restart.
    #[serde(default)]
    pub name: Option<String>,
    /// Where it takes the answers; port 0 takes one that is free. Changes with a restart.
    #[schemars(with = "String")]
    pub listen: SocketAddr,
    /// Its zone; changes with a restart.
    pub zone: String,
    /// Its region; changes with a restart.
    pub region: String,
    /// The secrets that it shares with its sources, one or two, as `distribute.keys` (or `cluster.keys`) has them there.
    pub keys: Vec<String>,
    /// The control instances, two or more, the same list everywhere. It follows two of them: its own zone's first,
    /// then its region's. Changes with a restart.
    pub sources: Vec<FollowedSource>,
    /// Once what it knows is older than this it asks discovery itself.
    pub max_age_ms: u64,
}

/// A control instance that can be followed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct FollowedSource {
    /// Its name in the cluster.
    pub name: String,
    /// Its `distribute.listen`.
    #[schemars(with = "String")]
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Its region.
    pub region: String,
}

/// A fault of the file: where, and what.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The place, as `cluster.keys[1]`; empty for the whole file.
    pub place: String,
    /// What is wrong there.
    pub what: String,
}

impl std::fmt::Display for Fault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self.place.is_empty() {
            true => f.write_str(&self.what),
            false => write!(f, "{}: {}", self.place, self.what),
        }
    }
}

/// All faults in one line.
pub fn sentence(faults: &[Fault]) -> String {
    let all: Vec<String> = faults.iter().map(Fault::to_string).collect();
    all.join("; ")
}

/// The schema of the file, made from its types.
pub fn schema() -> serde_json::Value {
    schemars::schema_for!(Operator).to_value()
}

/// Reads the text of a file: all of it holds, or every fault is named.
pub fn parse(text: &str) -> Result<Operator, Vec<Fault>> {
    let whole = |what: String| {
        vec![Fault {
            place: String::new(),
            what,
        }]
    };
    let value: serde_json::Value =
        serde_json::from_str(text).map_err(|e| whole(format!("not JSON: {e}")))?;
    let schema = jsonschema::validator_for(&schema()).map_err(|e| whole(e.to_string()))?;
    let mut faults = Vec::new();
    for error in schema.iter_errors(&value) {
        name_faults(&error, &mut faults);
    }
    if !faults.is_empty() {
        return Err(faults);
    }
    // The schema knows no addresses: what is left for serde to refuse is named by serde.
    let operator: Operator = serde_json::from_value(value).map_err(|e| whole(e.to_string()))?;
    let faults = operator.faults();
    match faults.is_empty() {
        true => Ok(operator),
        false => Err(faults),
    }
}

/// A section that may be missing is 'anyOf' its type and null: the fault is what its type says.
fn name_faults(error: &ValidationError<'_>, faults: &mut Vec<Fault>) {
    if let ValidationErrorKind::AnyOf { context } = error.kind()
        && let Some(branch) = context.first().filter(|branch| !branch.is_empty())
    {
        return branch.iter().for_each(|inner| name_faults(inner, faults));
    }
    let pointer = error.instance_path().to_string();
    // Secrets do not go into logs.
    let secret = ["/cluster/keys", "/distribute/keys", "/follow/keys"];
    let what = match secret.iter().any(|keys| pointer.starts_with(keys)) {
        true => error.masked().to_string(),
        false => error.to_string(),
    };
    let place = place(&pointer);
    faults.push(Fault { place, what });
}

/// A JSON pointer as people write places.
fn place(pointer: &str) -> String {
    let mut place = String::new();
    for part in pointer.split('/').skip(1) {
        if part.parse::<usize>().is_ok() {
            place += &format!("[{part}]");
        } else {
            if !place.is_empty() {
                place.push('.');
            }
            place += part;
        }
    }
    place
}

impl Operator {
    /// What the schema cannot say.
    fn faults(&self) -> Vec<Fault> {
        let mut faults = Vec::new();
        let mut fault = |holds: bool, place: &str, what: String| {
            if !holds {
                faults.push(Fault {
                    place: place.into(),
                    what,
                });
            }
        };
        let duties = [
            (
                "duties.probe.every_ms",
                self.duties.probe.as_ref().map(|p| p.every_ms),
            ),
            (
                "duties.list.every_ms",
                self.duties.list.as_ref().map(|l| l.every_ms),
            ),
        ];
        if let Some(follow) = &self.follow {
            fault(
                self.cluster.is_none(),
                "follow",
                "excludes the section 'cluster': an instance of the cluster has its news already"
                    .into(),
            );
            follow.check(&mut fault);
        }
        if let Some(distribute) = &self.distribute {
            fault(
                self.cluster.is_some(),
                "distribute",
                "needs the section 'cluster'".into(),
            );
            fault(
                self.duties.list.is_some(),
                "distribute",
                "needs 'duties.list': there is nothing to distribute without it".into(),
            );
            let taken = self.cluster.as_ref().map(|cluster| cluster.listen);
            fault(
                taken != Some(distribute.listen),
                "distribute.listen",
                "is taken by 'cluster.listen'".into(),
            );
            distribute.check(&mut fault);
        }
        let Some(cluster) = &self.cluster else {
            let any = duties.iter().any(|(_, every)| every.is_some());
            fault(!any, "duties", "duties need the section 'cluster'".into());
            return faults;
        };
        if let Some(name) = &cluster.name {
            fault(name_fits(name), "cluster.name", name_rule(name));
        }
        for (i, voter) in cluster.voters.iter().enumerate() {
            let place = format!("cluster.voters[{i}]");
            fault(name_fits(voter), &place, name_rule(voter));
            let before = &cluster.voters[..i];
            fault(
                !before.contains(voter),
                &place,
                format!("'{voter}' is named twice"),
            );
        }
        let voters = cluster.voters.len();
        fault(
            (3..=MAX_VOTERS).contains(&voters) && voters % 2 == 1,
            "cluster.voters",
            format!(
                "{voters} voters: an odd number from 3 to {} is needed",
                MAX_VOTERS - 1
            ),
        );
        check_keys("cluster.keys", &cluster.keys, &mut fault);
        let (seeds, some): (BTreeSet<_>, _) = (cluster.seeds.iter().collect(), cluster.seeds.len());
        fault(
            seeds.len() == some,
            "cluster.seeds",
            "an address is named twice".into(),
        );
        fault(
            cluster.listen.port() != 0,
            "cluster.listen",
            "port 0 tells the others nothing".into(),
        );
        check_listen("cluster.listen", cluster.listen, &mut fault);
        let pace = &cluster.pace;
        fault(
            pace.answer_ms > 0 && pace.probe_ms > pace.answer_ms.saturating_mul(2),
            "cluster.pace.probe_ms",
            "must be more than twice answer_ms, which is more than 0".into(),
        );
        fault(
            pace.suspicion_ms > 0,
            "cluster.pace.suspicion_ms",
            "must be more than 0".into(),
        );
        let takeover = pace.takeover_ms();
        for (place, every) in duties {
            let every = every.unwrap_or(u64::MAX);
            fault(
                every >= takeover,
                place,
                format!(
                    "{every} ms is less than the {takeover} ms that a take-over takes (3 probe_ms + suspicion_ms + \
                     {TAKEOVER_MS}): with an instance that dies more than one period would be missed"
                ),
            );
        }
        if let Some(probe) = &self.duties.probe {
            let most = probe.connect_ms.saturating_add(match probe.line {
                Some(_) => probe.answer_ms,
                None => 0,
            });
            fault(
                most <= probe.every_ms / 2,
                "duties.probe",
                format!("connect_ms and answer_ms ({most} ms) have to fit into half of every_ms"),
            );
            fault(
                probe.connect_ms > 0,
                "duties.probe.connect_ms",
                "must be more than 0".into(),
            );
            let one = |text: &Option<String>| {
                text.as_ref()
                    .is_none_or(|t| t.len() <= 1024 && !t.contains(['\r', '\n']))
            };
            fault(
                one(&probe.line),
                "duties.probe.line",
                "must be one line of at most 1024 bytes".into(),
            );
            fault(
                one(&probe.expect),
                "duties.probe.expect",
                "must be one line of at most 1024 bytes".into(),
            );
            fault(
                probe.expect.is_none() || probe.line.is_some(),
                "duties.probe.expect",
                "nothing is answered where no line is sent".into(),
            );
        }
        if let Some(list) = &self.duties.list {
            fault(
                list.max_age_ms >= 1000,
                "duties.list.max_age_ms",
                "news travels every few hundred milliseconds: 1000 or more".into(),
            );
        }
        faults
    }

    /// What a running process cannot take over from `self`, the settings that it started with or took over last.
    pub fn fixed(&self, new: &Self) -> Vec<Fault> {
        let mut faults = Vec::new();
        let mut same = |holds: bool, place: &str| {
            if !holds {
                faults.push(Fault {
                    place: place.into(),
                    what: "changes with a restart only".into(),
                });
            }
        };
        same(self.log == new.log, "log");
        same(self.control == new.control, "control");
        match (&self.cluster, &new.cluster) {
            (Some(old), Some(new)) => {
                same(old.name == new.name, "cluster.name");
                same(old.listen == new.listen, "cluster.listen");
                same(old.voters == new.voters, "cluster.voters");
                same(
                    old.clock_skew_ms == new.clock_skew_ms,
                    "cluster.clock_skew_ms",
                );
                same(old.pace == new.pace, "cluster.pace");
            }
            (old, new) => same(old.is_none() && new.is_none(), "cluster"),
        }
        match (&self.distribute, &new.distribute) {
            (Some(old), Some(new)) => {
                same(old.listen == new.listen, "distribute.listen");
                same(old.zone == new.zone, "distribute.zone");
                same(old.region == new.region, "distribute.region");
                same(old.rate == new.rate, "distribute.rate");
            }
            (old, new) => same(old.is_none() && new.is_none(), "distribute"),
        }
        match (&self.follow, &new.follow) {
            (Some(old), Some(new)) => {
                same(old.name == new.name, "follow.name");
                same(old.listen == new.listen, "follow.listen");
                same(old.zone == new.zone, "follow.zone");
                same(old.region == new.region, "follow.region");
                same(old.sources == new.sources, "follow.sources");
            }
            (old, new) => same(old.is_none() && new.is_none(), "follow"),
        }
        faults
    }
}

impl Distribute {
    fn check(&self, fault: &mut impl FnMut(bool, &str, String)) {
        check_listen("distribute.listen", self.listen, fault);
        fault(
            self.listen.port() != 0,
            "distribute.listen",
            "port 0 tells the followers nothing".into(),
        );
        fault(
            name_fits(&self.zone),
            "distribute.zone",
            name_rule(&self.zone),
        );
        fault(
            name_fits(&self.region),
            "distribute.region",
            name_rule(&self.region),
        );
        if !self.keys.is_empty() {
            check_keys("distribute.keys", &self.keys, fault);
        }
        fault(
            (1..=MAX_RATE).contains(&self.rate),
            "distribute.rate",
            format!("{} pieces a second: 1 to {MAX_RATE}", self.rate),
        );
    }
}

impl Follow {
    fn check(&self, fault: &mut impl FnMut(bool, &str, String)) {
        if let Some(name) = &self.name {
            fault(name_fits(name), "follow.name", name_rule(name));
        }
        check_listen("follow.listen", self.listen, fault);
        fault(name_fits(&self.zone), "follow.zone", name_rule(&self.zone));
        fault(
            name_fits(&self.region),
            "follow.region",
            name_rule(&self.region),
        );
        check_keys("follow.keys", &self.keys, fault);
        let some = self.sources.len();
        fault(
            (2..=MAX_SOURCES).contains(&some),
            "follow.sources",
            format!("{some} sources: 2 to {MAX_SOURCES} are needed"),
        );
        for (i, source) in self.sources.iter().enumerate() {
            let place = |key: &str| format!("follow.sources[{i}].{key}");
            let before = &self.sources[..i];
            let (name, address) = (&source.name, source.address);
            fault(name_fits(name), &place("name"), name_rule(name));
            fault(
                before.iter().all(|other| other.name != *name),
                &place("name"),
                format!("'{name}' is named twice"),
            );
            fault(
                before.iter().all(|other| other.address != address),
                &place("address"),
                format!("{address} is named twice"),
            );
            fault(
                address.port() != 0 && !address.ip().is_unspecified(),
                &place("address"),
                format!("{address} is no place to send to"),
            );
            for (key, of) in [("zone", &source.zone), ("region", &source.region)] {
                fault(name_fits(of), &place(key), name_rule(of));
            }
        }
        fault(
            self.max_age_ms >= MIN_FOLLOWED_AGE_MS,
            "follow.max_age_ms",
            format!("sources are asked once a second: {MIN_FOLLOWED_AGE_MS} or more"),
        );
    }
}

fn check_keys(place: &str, keys: &[String], fault: &mut impl FnMut(bool, &str, String)) {
    fault(
        (1..=2).contains(&keys.len()),
        place,
        format!("{} keys: one, or two while one is replaced", keys.len()),
    );
    for (i, key) in keys.iter().enumerate() {
        fault(
            key.len() >= MIN_SECRET,
            &format!("{place}[{i}]"),
            format!("shorter than {MIN_SECRET} characters"),
        );
    }
}

fn check_listen(place: &str, at: SocketAddr, fault: &mut impl FnMut(bool, &str, String)) {
    fault(
        !at.ip().is_unspecified(),
        place,
        "the others are told this address: it must be one that they reach".into(),
    );
}

fn name_fits(name: &str) -> bool {
    !name.is_empty() && name.len() <= MAX_NAME && !name.contains(char::is_whitespace)
}

fn name_rule(name: &str) -> String {
    format!("'{name}' is no name: 1 to {MAX_NAME} bytes without spaces")
}
