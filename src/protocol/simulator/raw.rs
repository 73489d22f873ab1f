//! The messages as written on the wire.
//!
//! Do not rename these structs: serde puts their names into its error texts ("expected struct Batch"), which end a run.
//! Strings without escapes are borrowed from the line. Times and durations are in seconds.

use crate::config::raw::Settings;
use serde::{Deserialize, Serialize};
use std::borrow::Cow;
use std::collections::BTreeMap;
use std::sync::Arc;

/// One line of the input.
#[derive(Deserialize)]
pub(super) struct Batch<'a> {
    /// The current time.
    pub wall: f64,
    /// The batch's number, which the reply repeats.
    pub n: u64,
    /// The events, in the order in which they occurred.
    #[serde(borrow)]
    pub happened: Vec<Raw<'a>>,
}

/// A string that is borrowed where possible.
#[derive(Deserialize)]
pub(super) struct Text<'a>(#[serde(borrow)] pub Cow<'a, str>);

/// An event of any kind. Fields that do not apply to its kind are absent or null.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct Raw<'a> {
    #[serde(borrow)]
    pub kind: Text<'a>,
    /// The number of the instance.
    pub who: Option<u64>,
    /// The seed of a new instance.
    pub random_seed: Option<u64>,
    /// The settings of a new instance.
    pub config: Option<Settings>,
    /// The number of an endpoint list.
    pub slot: Option<u64>,
    /// The endpoints of a list that is defined.
    pub members_list: Option<Vec<Entry>>,
    /// How an endpoint list is applied: 0 as a delta, 1 in full, 2 as a cached list; 3 if discovery failed.
    pub mode: Option<u64>,
    /// The version of an endpoint list. Only its presence is checked.
    #[serde(rename = "gen")]
    pub version: Option<u64>,
    /// The request id.
    #[serde(rename = "ref", borrow)]
    pub id: Option<Text<'a>>,
    /// The name of the request's class.
    #[serde(borrow)]
    pub class: Option<Text<'a>>,
    #[serde(borrow)]
    #[expect(dead_code, reason = "only its type is checked")]
    pub owner: Option<Owner<'a>>,
    /// The placement key of the client.
    #[serde(borrow)]
    pub partition_key: Option<Text<'a>>,
    /// The deadline of the request.
    pub due: Option<f64>,
    /// The expected load of the connection, if `opts` says so.
    pub cost: Option<f64>,
    /// The placement key of the client's group.
    #[serde(borrow)]
    pub team_id: Option<Text<'a>>,
    /// The options of the request: the bits in `event::option_bits`.
    pub opts: Option<u64>,
    /// The name of the server.
    #[serde(borrow)]
    pub host: Option<Text<'a>>,
    /// The attempt's number, from 0.
    pub shot: Option<u32>,
    /// How long the attempt or the health check took. Checked, but not used.
    pub time_taken: Option<f64>,
    /// What a report is about: a value in `event::topics`.
    pub topic: Option<u64>,
    /// The reported value, in the unit of its topic.
    pub level: Option<f64>,
    /// The outcome of the attempt or the health check.
    #[serde(borrow)]
    pub status: Option<Text<'a>>,
    /// Whether the client has its final answer.
    pub settled: Option<bool>,
    #[expect(dead_code, reason = "only its type is checked")]
    pub load: Option<BTreeMap<String, f64>>,
    /// The token of the timer.
    pub tag: Option<u64>,
    /// The number of the instance that sent a peer message. Only its presence is checked.
    pub sender: Option<u32>,
    /// The peer message, in base64.
    #[serde(borrow)]
    pub payload: Option<Text<'a>>,
}

/// A tenant: its name, or 0 if there is none.
#[derive(Deserialize)]
#[serde(untagged)]
#[expect(dead_code, reason = "only its type is checked")]
pub(super) enum Owner<'a> {
    #[serde(borrow)]
    Name(Text<'a>),
    Number(u64),
}

/// An endpoint of a list.
#[derive(Deserialize)]
pub(super) struct Entry {
    /// The endpoint's zone.
    pub hall: Option<String>,
    /// 0 if the endpoint is removed, 1 if it is ready, 2 if it is draining.
    pub readiness: u64,
    /// The name of the server.
    pub host: String,
    /// The endpoint's weight; 1 if absent.
    pub size: Option<f64>,
    /// When the endpoint started; long ago if absent.
    #[serde(rename = "cameUp")]
    pub came_up: Option<f64>,
    /// The endpoint's cell; 0 if absent.
    pub pod: Option<u32>,
}

/// One line of the output.
#[derive(Serialize)]
pub(super) struct Reply<'a> {
    /// The number of the batch.
    pub n: u64,
    /// The actions of all instances, in order.
    pub steps: &'a [Step],
}

/// An action, as named on the wire. `step::step_for_action` shows which action each step stands for.
#[derive(Serialize)]
#[serde(
    tag = "kind",
    rename_all = "camelCase",
    rename_all_fields = "camelCase"
)]
pub(super) enum Step {
    Relay {
        who: u64,
        #[serde(rename = "ref")]
        id: String,
        host: Arc<str>,
        /// When the attempt times out.
        until: f64,
    },
    Shed {
        who: u64,
        #[serde(rename = "ref")]
        id: String,
        /// The Retry-After; 0 for none.
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
        /// The attempt's number, from 0.
        shot: u32,
    },
    GoAway {
        who: u64,
        #[serde(rename = "ref")]
        id: String,
    },
    Track {
        who: u64,
        /// Always true.
        want: bool,
    },
    SetAlarm {
        who: u64,
        #[serde(rename = "in")]
        after: f64,
        /// The token of the timer.
        tag: u64,
    },
}
