//! Translates the events of the wire to [`Event`]s.

use super::adapter::{Endpoints, Instance};
use super::error::EventError;
use super::raw::{Entry, Raw, Text};
use crate::api::{
    AttemptEnded, Endpoint, EndpointState, Event, Key, Outcome, Request, RequestId, ServerId,
    UpdateKind,
};
use crate::config::{FieldError, non_negative, required_field};
use crate::discovery::zone::zone_id;
use crate::protocol::request_id::parse_request_id;
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use std::borrow::Cow;

/// The largest `tag`: the token of a timer.
const MAX_TAG: u64 = 1 << 63;
const MILLISECONDS_PER_SECOND: f64 = 1000.0;

/// Bits of `opts` in a request.
mod option_bits {
    /// `cost` is a load hint, in microseconds of work per second; without this bit it is ignored.
    pub const LOAD_HINT: u64 = 1;
    /// The request belongs to a connection that was established elsewhere (`Request::mid_flow`).
    pub const MID_FLOW: u64 = 8;
    /// The client reconnects.
    pub const RECONNECT: u64 = 16;
}

/// Values of `topic` in a signal.
mod topics {
    /// The load of a connection, in microseconds of work per second.
    pub const LOAD: u64 = 1;
    /// The message latency of a server, in milliseconds.
    pub const LATENCY: u64 = 2;
}

/// Translates an event of an instance; `None` for an event that is validated only and has no effect on the balancer.
pub(super) fn translate(
    mut raw: Raw,
    instance: &Instance,
    endpoints: &mut Endpoints,
) -> Result<Option<Event>, EventError> {
    let kind = std::mem::replace(&mut raw.kind, Text(Cow::Borrowed("")));
    let event = match kind.0.as_ref() {
        "registry" => endpoints_updated(&raw, endpoints)?,
        "ask" => {
            let id = request_id(raw.id.take())?;
            Event::Request(request(&raw, id, instance)?)
        }
        "takenOver" => {
            let id = request_id(raw.id.take())?;
            let request = request(&raw, id, instance)?;
            Event::AlreadyEstablished {
                request,
                server: server_id(&raw, endpoints)?,
            }
        }
        "underWay" => established(raw, endpoints)?,
        "done" => Event::AttemptEnded(attempt_ended(raw, endpoints)?),
        "signal" => report(raw, endpoints)?,
        "cancelledByClient" => Event::ClientDisconnected(request_id(raw.id)?),
        "fired" => Event::Timer(timer_token(raw.tag)?),
        "probed" => {
            validate_probe(raw, endpoints)?;
            return Ok(None);
        }
        "memo" => Event::PeerMessage(peer_message(raw)?),
        other => {
            return Err(EventError::UnknownKind {
                kind: other.to_owned(),
            });
        }
    };
    Ok(Some(event))
}

/// The endpoint that an entry of a list describes.
pub(super) fn endpoint_from_entry(id: ServerId, entry: &Entry) -> Result<Endpoint, EventError> {
    Ok(Endpoint {
        id,
        zone: zone_id(entry.hall.as_deref()),
        state: endpoint_state(entry)?,
        weight: entry.size.unwrap_or(1.0),
        started_at: non_negative(entry.came_up.unwrap_or(0.0), "cameUp")?,
        cell: entry.pod.unwrap_or(0),
    })
}

fn endpoint_state(entry: &Entry) -> Result<EndpointState, EventError> {
    match entry.readiness {
        0 => Ok(EndpointState::Removed),
        1 => Ok(EndpointState::Ready),
        2 => Ok(EndpointState::Draining),
        readiness => Err(EventError::UnknownReadiness {
            host: entry.host.clone(),
            readiness,
        }),
    }
}

fn endpoints_updated(raw: &Raw, endpoints: &Endpoints) -> Result<Event, EventError> {
    let kind = match required_field(raw.mode, "mode")? {
        0 => UpdateKind::Delta,
        1 => UpdateKind::Full,
        2 => UpdateKind::Cached,
        3 => return Ok(Event::DiscoveryFailed),
        mode => return Err(EventError::UnknownUpdateKind { mode }),
    };
    required_field(raw.version, "gen")?;
    let slot = required_field(raw.slot, "slot")?;
    let list = endpoints
        .lists
        .get(&slot)
        .ok_or(EventError::UndefinedList { slot })?;
    Ok(Event::EndpointsUpdated {
        kind,
        endpoints: list.clone(),
    })
}

fn request(raw: &Raw, id: RequestId, instance: &Instance) -> Result<Request, EventError> {
    let options = raw.opts.unwrap_or(0);
    let has_option = |bit: u64| options & bit != 0;
    Ok(Request {
        id,
        class: class_index(raw, instance)?,
        key: raw.partition_key.as_ref().map(|key| Key::of(&key.0)),
        group: raw.team_id.as_ref().map(|group| Key::of(&group.0)),
        deadline: required_number(raw.due, "due")?,
        load_hint: raw.cost.filter(|_| has_option(option_bits::LOAD_HINT)),
        mid_flow: has_option(option_bits::MID_FLOW),
        is_reconnect: has_option(option_bits::RECONNECT),
    })
}

fn class_index(raw: &Raw, instance: &Instance) -> Result<usize, EventError> {
    let class = &required_field(raw.class.as_ref(), "class")?.0;
    let index = instance.class_names.iter().position(|name| name == class);
    index.ok_or_else(|| EventError::UnknownClass {
        class: class.to_string(),
    })
}

fn established(raw: Raw, endpoints: &mut Endpoints) -> Result<Event, EventError> {
    let server = server_id(&raw, endpoints)?;
    required_field(raw.shot, "shot")?;
    required_number(raw.time_taken, "timeTaken")?;
    Ok(Event::Established {
        id: request_id(raw.id)?,
        server,
    })
}

fn attempt_ended(raw: Raw, endpoints: &mut Endpoints) -> Result<AttemptEnded, EventError> {
    required_number(raw.time_taken, "timeTaken")?;
    Ok(AttemptEnded {
        server: server_id(&raw, endpoints)?,
        id: request_id(raw.id)?,
        attempt: required_field(raw.shot, "shot")?,
        outcome: outcome(raw.status)?,
        is_final: required_field(raw.settled, "settled")?,
    })
}

fn report(raw: Raw, endpoints: &mut Endpoints) -> Result<Event, EventError> {
    let server = server_id(&raw, endpoints)?;
    let id = request_id(raw.id)?;
    required_field(raw.shot, "shot")?;
    let level = required_number(raw.level, "level")?;
    match required_field(raw.topic, "topic")? {
        topics::LOAD => Ok(Event::LoadReport { id, load: level }),
        topics::LATENCY => Ok(Event::LatencyReport {
            server,
            message_latency: level / MILLISECONDS_PER_SECOND,
        }),
        topic => Err(EventError::UnknownTopic { topic }),
    }
}

fn timer_token(tag: Option<u64>) -> Result<u64, EventError> {
    let tag = required_field(tag, "tag")?;
    if tag > MAX_TAG {
        return Err(EventError::TagOutOfRange { tag });
    }
    Ok(tag)
}

/// Validates the result of a health check. It has no effect: the balancer sends no health checks over this protocol.
fn validate_probe(raw: Raw, endpoints: &mut Endpoints) -> Result<(), EventError> {
    server_id(&raw, endpoints)?;
    outcome(raw.status)?;
    required_number(raw.time_taken, "timeTaken")?;
    Ok(())
}

fn peer_message(raw: Raw) -> Result<Vec<u8>, EventError> {
    required_field(raw.sender, "sender")?;
    let payload = required_field(raw.payload, "payload")?.0;
    BASE64
        .decode(payload.as_bytes())
        .map_err(EventError::InvalidPayload)
}

fn server_id(raw: &Raw, endpoints: &mut Endpoints) -> Result<ServerId, EventError> {
    let host = required_field(raw.host.as_ref(), "host")?;
    endpoints.server_id(&host.0)
}

fn request_id(text: Option<Text>) -> Result<RequestId, EventError> {
    let text = required_field(text, "ref")?.0;
    parse_request_id(&text).ok_or_else(|| EventError::InvalidRequestId {
        value: text.into_owned(),
    })
}

fn outcome(status: Option<Text>) -> Result<Outcome, EventError> {
    match required_field(status, "status")?.0.as_ref() {
        "ok" => Ok(Outcome::Success),
        "error" => Ok(Outcome::Error),
        "full" => Ok(Outcome::Rejected),
        "timeout" => Ok(Outcome::Timeout),
        "connect_failed" => Ok(Outcome::ConnectFailed),
        "reset" => Ok(Outcome::Reset),
        "cancelled" => Ok(Outcome::Cancelled),
        "moot" => Ok(Outcome::NotSent),
        other => Err(EventError::UnknownOutcome {
            value: other.to_owned(),
        }),
    }
}

/// A required number, finite and not negative.
fn required_number(value: Option<f64>, field: &'static str) -> Result<f64, FieldError> {
    non_negative(required_field(value, field)?, field)
}
