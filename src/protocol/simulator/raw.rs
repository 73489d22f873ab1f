//! The messages as written on the wire.
//!
//! Do not rename these structs: serde puts their names into its error texts ("expected struct Batch"), which end a run.
//! Strings without escapes are borrowed from the line.

use crate::config::raw::Settings;
use serde::{Deserialize, Serialize};
use std::borrow::Cow;
use std::collections::BTreeMap;
use std::sync::Arc;

/// One line of the input.
#[derive(Deserialize)]
pub(super) struct Batch<'a> {
    pub wall: f64,
    pub n: u64,
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
    pub who: Option<u64>,
    pub random_seed: Option<u64>,
    pub config: Option<Settings>,
    pub slot: Option<u64>,
    pub members_list: Option<Vec<Entry>>,
    pub mode: Option<u64>,
    #[serde(rename = "gen")]
    pub version: Option<u64>,
    #[serde(rename = "ref", borrow)]
    pub id: Option<Text<'a>>,
    #[serde(borrow)]
    pub class: Option<Text<'a>>,
    #[serde(borrow)]
    #[expect(dead_code, reason = "only its type is checked")]
    pub owner: Option<Owner<'a>>,
    #[serde(borrow)]
    pub partition_key: Option<Text<'a>>,
    pub due: Option<f64>,
    pub cost: Option<f64>,
    #[serde(borrow)]
    pub team_id: Option<Text<'a>>,
    pub opts: Option<u64>,
    #[serde(borrow)]
    pub host: Option<Text<'a>>,
    pub shot: Option<u32>,
    pub time_taken: Option<f64>,
    pub topic: Option<u64>,
    pub level: Option<f64>,
    #[serde(borrow)]
    pub status: Option<Text<'a>>,
    pub settled: Option<bool>,
    #[expect(dead_code, reason = "only its type is checked")]
    pub load: Option<BTreeMap<String, f64>>,
    pub tag: Option<u64>,
    pub sender: Option<u32>,
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
    pub hall: Option<String>,
    pub readiness: u64,
    pub host: String,
    pub size: Option<f64>,
    #[serde(rename = "cameUp")]
    pub came_up: Option<f64>,
    pub pod: Option<u32>,
}

/// One line of the output.
#[derive(Serialize)]
pub(super) struct Reply<'a> {
    pub n: u64,
    pub steps: &'a [Step],
}

/// An action, as named on the wire.
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
