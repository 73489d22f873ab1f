//! Translation between the bench's wire (one JSON batch a line) and the module's interface. It decides nothing:
//! what it cannot read ends the run with a plain message.

use crate::Balancer;
use crate::api::*;
use crate::config::{Settings, need, sane, zone_of};
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use serde::{Deserialize, Serialize};
use std::borrow::Cow;
use std::collections::{BTreeMap, HashMap};
use std::io::{BufRead, Write};
use std::sync::Arc;

/// A whole number that fits the wire's tokens and versions.
const MAX_WHOLE: u64 = 1 << 63;
/// List numbers run from 0 to this.
const MAX_SLOT: u64 = 15;

#[derive(Deserialize)]
struct Batch<'a> {
    wall: f64,
    n: u64,
    #[serde(borrow)]
    happened: Vec<Raw<'a>>,
}

#[derive(Deserialize)]
struct Text<'a>(#[serde(borrow)] Cow<'a, str>);

/// Any event: the fields of all kinds, each absent or null where it does not apply.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Raw<'a> {
    #[serde(borrow)]
    kind: Text<'a>,
    who: Option<u64>,
    random_seed: Option<u64>,
    config: Option<Settings>,
    slot: Option<u64>,
    members_list: Option<Vec<Entry>>,
    mode: Option<u64>,
    #[serde(rename = "gen")]
    version: Option<u64>,
    #[serde(rename = "ref", borrow)]
    id: Option<Text<'a>>,
    #[serde(borrow)]
    class: Option<Text<'a>>,
    #[serde(borrow)]
    #[allow(dead_code, reason = "checked, of no use to the module")]
    owner: Option<Owner<'a>>,
    #[serde(borrow)]
    partition_key: Option<Text<'a>>,
    due: Option<f64>,
    cost: Option<f64>,
    #[serde(borrow)]
    team_id: Option<Text<'a>>,
    opts: Option<u64>,
    #[serde(borrow)]
    host: Option<Text<'a>>,
    shot: Option<u32>,
    time_taken: Option<f64>,
    topic: Option<u64>,
    level: Option<f64>,
    #[serde(borrow)]
    status: Option<Text<'a>>,
    settled: Option<bool>,
    #[allow(dead_code, reason = "checked, of no use to the module")]
    load: Option<BTreeMap<String, f64>>,
    tag: Option<u64>,
    sender: Option<u32>,
    #[serde(borrow)]
    payload: Option<Text<'a>>,
}

/// A tenant: its name, or 0 where there is none.
#[derive(Deserialize)]
#[serde(untagged)]
#[allow(dead_code, reason = "checked, of no use to the module")]
enum Owner<'a> {
    #[serde(borrow)]
    Name(Text<'a>),
    Number(u64),
}

#[derive(Deserialize)]
struct Entry {
    hall: Option<String>,
    readiness: u64,
    host: String,
    size: Option<f64>,
    #[serde(rename = "cameUp")]
    came_up: Option<f64>,
    pod: Option<u32>,
}

#[derive(Serialize)]
struct Reply<'a> {
    n: u64,
    steps: &'a [Step],
}

#[derive(Serialize)]
#[serde(
    tag = "kind",
    rename_all = "camelCase",
    rename_all_fields = "camelCase"
)]
enum Step {
    Relay {
        who: u64,
        #[serde(rename = "ref")]
        id: String,
        host: Arc<str>,
        until: f64,
    },
    Shed {
        who: u64,
        #[serde(rename = "ref")]
        id: String,
        hold_off: f64,
    },
    FinishError {
        who: u64,
        #[serde(rename = "ref")]
        id: String,
    },
    Withdraw {
        who: u64,
        #[serde(rename = "ref")]
        id: String,
        shot: u32,
    },
    GoAway {
        who: u64,
        #[serde(rename = "ref")]
        id: String,
    },
    Track {
        who: u64,
        want: bool,
    },
    SetAlarm {
        who: u64,
        #[serde(rename = "in")]
        after: f64,
        tag: u64,
    },
}

/// One node of the bench: its balancer, and the names that its settings gave.
struct Instance {
    balancer: Balancer,
    classes: Vec<String>,
}

/// The adapter of one process: the instances, the lists under their numbers, and the addresses behind server ids.
#[derive(Default)]
pub struct Adapter {
    instances: BTreeMap<u64, Instance>,
    lists: BTreeMap<u64, Arc<[Endpoint]>>,
    names: HashMap<ServerId, Arc<str>>,
    steps: Vec<Step>,
    actions: Vec<Action>,
}

/// Serves batches until the end of the input. The error names the message and what is wrong with it.
pub fn serve(input: impl BufRead, mut output: impl Write) -> Result<(), String> {
    let mut adapter = Adapter::default();
    for (at, line) in input.lines().enumerate() {
        let fault = |what: String| format!("message {}: {what}", at + 1);
        let line = line.map_err(|e| fault(format!("unreadable: {e}")))?;
        let reply = adapter.batch(&line).map_err(fault)?;
        output
            .write_all(&reply)
            .and_then(|()| output.flush())
            .map_err(|e| fault(format!("cannot reply: {e}")))?;
    }
    Ok(())
}

fn time(value: Option<f64>, field: &str) -> Result<Time, String> {
    sane(need(value, field)?, field)
}

fn place(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|n| n == name)
}

/// Request ids are 16 lower-case hex digits, and go back unaltered.
fn request_id(text: Option<Text>) -> Result<RequestId, String> {
    let text = need(text, "ref")?.0;
    let plain = text.len() == 16 && text.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
    match u64::from_str_radix(&text, 16) {
        Ok(id) if plain => Ok(RequestId(id)),
        _ => Err(format!("field 'ref' is '{text}', not 16 hex digits")),
    }
}

fn hex(id: RequestId) -> String {
    format!("{:016x}", id.0)
}

fn outcome(word: Option<Text>) -> Result<Outcome, String> {
    Ok(match need(word, "status")?.0.as_ref() {
        "ok" => Outcome::Success,
        "error" => Outcome::Error,
        "full" => Outcome::Rejected,
        "timeout" => Outcome::Timeout,
        "connect_failed" => Outcome::ConnectFailed,
        "reset" => Outcome::Reset,
        "cancelled" => Outcome::Cancelled,
        "moot" => Outcome::NotSent,
        other => return Err(format!("field 'status' is '{other}', which is no outcome")),
    })
}

/// What an entry of a list says, for the module.
fn member(id: ServerId, entry: &Entry) -> Result<Endpoint, String> {
    Ok(Endpoint {
        id,
        zone: zone_of(entry.hall.as_deref()),
        state: match entry.readiness {
            1 => EndpointState::Ready,
            2 => EndpointState::Draining,
            0 => EndpointState::Removed,
            other => {
                return Err(format!(
                    "host '{}': readiness {other} is unknown",
                    entry.host
                ));
            }
        },
        weight: entry.size.unwrap_or(1.0),
        started_at: sane(entry.came_up.unwrap_or(0.0), "cameUp")?,
        cell: entry.pod.unwrap_or(0),
    })
}

impl Adapter {
    /// Takes one line and returns the reply's line.
    pub fn batch(&mut self, line: &str) -> Result<Vec<u8>, String> {
        let batch: Batch = serde_json::from_str(line).map_err(|e| format!("not a batch: {e}"))?;
        let now = sane(batch.wall, "wall")?;
        self.steps.clear();
        for (at, raw) in batch.happened.into_iter().enumerate() {
            let kind = raw.kind.0.clone();
            self.event(now, raw)
                .map_err(|what| format!("event {} ({kind}): {what}", at + 1))?;
        }
        let reply = Reply {
            n: batch.n,
            steps: &self.steps,
        };
        let mut line =
            serde_json::to_vec(&reply).map_err(|e| format!("cannot write the reply: {e}"))?;
        line.push(b'\n');
        Ok(line)
    }

    fn event(&mut self, now: Time, raw: Raw) -> Result<(), String> {
        match raw.kind.0.as_ref() {
            "defineList" => return self.define(raw),
            "spawn" => {
                let (config, classes) = need(raw.config, "config")?.read()?;
                let seed = need(raw.random_seed, "randomSeed")?;
                let instance = Instance {
                    balancer: Balancer::new(config, seed),
                    classes,
                };
                self.instances.insert(need(raw.who, "who")?, instance);
                return Ok(());
            }
            "exit" => {
                return self.take(raw.who).map(drop);
            }
            _ => {}
        }
        let (who, mut instance) = self.take(raw.who)?;
        let event = self.translate(raw, &instance)?;
        if let Some(event) = event {
            instance.balancer.handle(now, &event, &mut self.actions);
        }
        self.instances.insert(who, instance);
        let mut actions = std::mem::take(&mut self.actions);
        for action in actions.drain(..) {
            let step = self.step(who, action)?;
            self.steps.push(step);
        }
        self.actions = actions;
        Ok(())
    }

    /// Takes the named instance out; what goes on living is put back.
    fn take(&mut self, who: Option<u64>) -> Result<(u64, Instance), String> {
        let who = need(who, "who")?;
        let instance = self.instances.remove(&who);
        Ok((
            who,
            instance.ok_or_else(|| format!("instance {who} is unknown"))?,
        ))
    }

    fn define(&mut self, raw: Raw) -> Result<(), String> {
        let slot = need(raw.slot, "slot")?;
        if slot > MAX_SLOT {
            return Err(format!("field 'slot' is {slot}, over {MAX_SLOT}"));
        }
        let entries = need(raw.members_list, "membersList")?;
        let list = entries
            .iter()
            .map(|entry| member(self.server(&entry.host)?, entry));
        let list = list.collect::<Result<_, _>>()?;
        self.lists.insert(slot, list);
        Ok(())
    }

    /// The id of an address; two addresses with one hash cannot be told apart and end the run.
    fn server(&mut self, name: &str) -> Result<ServerId, String> {
        let id = ServerId::of(name);
        let known = self.names.entry(id).or_insert_with(|| name.into());
        if **known == *name {
            Ok(id)
        } else {
            Err(format!("hosts '{known}' and '{name}' have one hash"))
        }
    }

    fn host(&mut self, raw: &Raw) -> Result<ServerId, String> {
        let host = raw.host.as_ref().ok_or("field 'host' is missing")?;
        self.server(&host.0)
    }

    fn members(&self, raw: &Raw) -> Result<Event, String> {
        let kind = match need(raw.mode, "mode")? {
            0 => UpdateKind::Delta,
            1 => UpdateKind::Full,
            2 => UpdateKind::Cached,
            3 => return Ok(Event::DiscoveryFailed),
            other => return Err(format!("field 'mode' is {other}, which is no kind of list")),
        };
        need(raw.version, "gen")?;
        let slot = need(raw.slot, "slot")?;
        let list = self
            .lists
            .get(&slot)
            .ok_or_else(|| format!("list {slot} was never defined"))?;
        Ok(Event::EndpointsUpdated {
            kind,
            endpoints: list.clone(),
        })
    }

    fn request(&self, raw: &Raw, id: RequestId, instance: &Instance) -> Result<Request, String> {
        let class = raw.class.as_ref().ok_or("field 'class' is missing")?;
        let opts = raw.opts.unwrap_or(0);
        Ok(Request {
            id,
            class: place(&instance.classes, &class.0)
                .ok_or_else(|| format!("class '{}' does not exist", class.0))?,
            key: raw.partition_key.as_ref().map(|k| Key::of(&k.0)),
            group: raw.team_id.as_ref().map(|k| Key::of(&k.0)),
            deadline: time(raw.due, "due")?,
            load_hint: raw.cost.filter(|_| opts & 1 != 0),
            mid_flow: opts & 8 != 0,
            is_reconnect: opts & 16 != 0,
        })
    }

    fn translate(&mut self, mut raw: Raw, instance: &Instance) -> Result<Option<Event>, String> {
        let kind = std::mem::replace(&mut raw.kind, Text(Cow::Borrowed("")));
        Ok(Some(match kind.0.as_ref() {
            "registry" => self.members(&raw)?,
            "ask" => {
                let id = request_id(raw.id.take())?;
                Event::Request(self.request(&raw, id, instance)?)
            }
            "takenOver" => {
                let id = request_id(raw.id.take())?;
                Event::AlreadyEstablished {
                    request: self.request(&raw, id, instance)?,
                    server: self.host(&raw)?,
                }
            }
            "underWay" => {
                let server = self.host(&raw)?;
                need(raw.shot, "shot")?;
                time(raw.time_taken, "timeTaken")?;
                Event::Established {
                    id: request_id(raw.id)?,
                    server,
                }
            }
            "done" => {
                time(raw.time_taken, "timeTaken")?;
                Event::AttemptEnded(AttemptEnded {
                    server: self.host(&raw)?,
                    id: request_id(raw.id)?,
                    attempt: need(raw.shot, "shot")?,
                    outcome: outcome(raw.status)?,
                    is_final: need(raw.settled, "settled")?,
                })
            }
            "signal" => {
                let server = self.host(&raw)?;
                let id = request_id(raw.id)?;
                need(raw.shot, "shot")?;
                let level = time(raw.level, "level")?;
                match need(raw.topic, "topic")? {
                    1 => Event::LoadReport { id, load: level },
                    2 => Event::LatencyReport {
                        server,
                        message_latency: level / 1000.0,
                    },
                    other => return Err(format!("field 'topic' is {other}, which is no news")),
                }
            }
            "cancelledByClient" => Event::ClientDisconnected(request_id(raw.id)?),
            "fired" => {
                let tag = need(raw.tag, "tag")?;
                if tag > MAX_WHOLE {
                    return Err(format!("field 'tag' is {tag}, over 2^63"));
                }
                Event::Timer(tag)
            }
            "probed" => {
                // The module sends no probes: one that is answered all the same is checked and left.
                self.host(&raw)?;
                outcome(raw.status)?;
                time(raw.time_taken, "timeTaken")?;
                return Ok(None);
            }
            "memo" => {
                need(raw.sender, "sender")?;
                let payload = need(raw.payload, "payload")?.0;
                let bytes = BASE64.decode(payload.as_bytes());
                Event::PeerMessage(bytes.map_err(|e| format!("field 'payload': {e}"))?)
            }
            other => return Err(format!("event kind '{other}' is unknown")),
        }))
    }

    fn step(&self, who: u64, action: Action) -> Result<Step, String> {
        let name = |server: ServerId| {
            self.names
                .get(&server)
                .cloned()
                .ok_or("a server without an address")
        };
        Ok(match action {
            Action::StartAttempt {
                id,
                server,
                timeout_at,
            } => Step::Relay {
                who,
                id: hex(id),
                host: name(server)?,
                until: timeout_at,
            },
            Action::Reject { id, retry_after } => Step::Shed {
                who,
                id: hex(id),
                hold_off: retry_after,
            },
            Action::Fail(id) => Step::FinishError { who, id: hex(id) },
            Action::CancelAttempt { id, attempt } => Step::Withdraw {
                who,
                id: hex(id),
                shot: attempt,
            },
            Action::Migrate(id) => Step::GoAway { who, id: hex(id) },
            Action::PollDiscovery => Step::Track { who, want: true },
            Action::SetTimer { after, token } => Step::SetAlarm {
                who,
                after,
                tag: token,
            },
        })
    }
}
