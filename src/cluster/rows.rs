//! The list of servers as entries of a board: a row for each server, and heads that say what all rows come to.

use crate::api::{Endpoint, EndpointState, ServerId};
use serde::{Deserialize, Serialize};
use spanspur_leases::GossipEntry;
use spanspur_leases::LeaseId;
use std::collections::BTreeMap;
use std::net::SocketAddr;

#[cfg(test)]
mod tests;

/// The name of the duty, and of the key under which its holder confirms the rows several times a second.
pub const NAME: &str = "list";
/// The key of the head that is distributed: told when the list has changed, or another instance tells it.
const DISTRIBUTED: &str = "list/head";
/// The first byte of a value: a head, or a server.
const HEAD: u8 = 0;
const SERVER: u8 = 1;

/// A server as it goes over the board.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    pub id: u64,
    zone: u32,
    /// 0 ready, 1 draining, 2 gone.
    state: u8,
    weight: f64,
    started: f64,
    cell: u32,
    pub address: SocketAddr,
}

/// What confirms the rows.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Head {
    /// Discovery's version of the list.
    pub revision: u64,
    /// Over all rows that are not gone.
    pub hash: u64,
}

/// What an entry of a board says of the list.
pub enum Told {
    /// The holder of the duty is there, and this is what it has.
    Beat(Head),
    /// The list has come to this.
    Head(Head),
    /// One server.
    Row(Row),
}

impl Told {
    /// Reads an entry; `None` if it is none of the list's.
    pub fn read(entry: &GossipEntry) -> Option<Self> {
        let (kind, value) = entry.value.split_first()?;
        match *kind {
            HEAD if entry.key == LeaseId::of(NAME).0 => {
                postcard::from_bytes(value).ok().map(Self::Beat)
            }
            HEAD if entry.key == LeaseId::of(DISTRIBUTED).0 => {
                postcard::from_bytes(value).ok().map(Self::Head)
            }
            SERVER => {
                let row: Row = postcard::from_bytes(value).ok()?;
                (row.key() == entry.key).then_some(Self::Row(row))
            }
            _ => None,
        }
    }

    /// The entry that says this.
    pub fn entry(&self, version: u64) -> GossipEntry {
        let (key, kind, bytes) = match self {
            Self::Beat(head) => (LeaseId::of(NAME).0, HEAD, postcard::to_stdvec(head)),
            Self::Head(head) => (LeaseId::of(DISTRIBUTED).0, HEAD, postcard::to_stdvec(head)),
            Self::Row(row) => (row.key(), SERVER, postcard::to_stdvec(row)),
        };
        GossipEntry {
            key,
            version,
            value: [vec![kind], bytes.unwrap_or_default()].concat(),
        }
    }
}

impl Row {
    pub fn of(member: &Endpoint, address: SocketAddr) -> Self {
        Self {
            id: member.id.0,
            zone: member.zone,
            state: member.state as u8,
            weight: member.weight,
            started: member.started,
            cell: member.cell,
            address,
        }
    }

    pub fn member(&self) -> Endpoint {
        Endpoint {
            id: ServerId(self.id),
            zone: self.zone,
            state: match self.state {
                0 => EndpointState::Ready,
                1 => EndpointState::Draining,
                _ => EndpointState::Removed,
            },
            weight: self.weight,
            started: self.started,
            cell: self.cell,
        }
    }

    pub fn is_gone(&self) -> bool {
        self.member().state == EndpointState::Removed
    }

    /// The server is no longer listed.
    pub fn go(&mut self) {
        self.state = EndpointState::Removed as u8;
    }

    fn key(&self) -> u64 {
        LeaseId::of(&format!("{NAME}/{:016x}", self.id)).0
    }
}

/// Over all rows that are not gone.
pub fn hash<'a>(rows: impl Iterator<Item = &'a Row>) -> u64 {
    let here = rows.filter(|row| !row.is_gone());
    let bytes = here.flat_map(|row| postcard::to_stdvec(row).unwrap_or_default());
    LeaseId::of(&String::from_utf8_lossy(&bytes.collect::<Vec<u8>>())).0
}

/// The list as entries have brought it, and whether it is whole.
#[derive(Default)]
pub struct View {
    rows: BTreeMap<u64, (u64, Row)>,
    head: Option<(u64, Head)>,
    /// Whether the rows come to what the head says; worked out once after each change.
    whole: Option<bool>,
}

impl View {
    /// Takes an entry unless a later one is here; a row that is new is given back.
    pub fn take(&mut self, entry: &GossipEntry) -> Option<Row> {
        let newer = |held: Option<u64>| held.is_none_or(|held| held < entry.version);
        match Told::read(entry)? {
            Told::Beat(_) => None,
            Told::Head(head) => {
                if newer(self.head.map(|(version, _)| version)) {
                    self.head = Some((entry.version, head));
                    self.whole = None;
                }
                None
            }
            Told::Row(row) => {
                if !newer(self.rows.get(&row.id).map(|(version, _)| *version)) {
                    return None;
                }
                self.rows.insert(row.id, (entry.version, row.clone()));
                self.whole = None;
                Some(row)
            }
        }
    }

    /// The head, if the rows are what it counts.
    pub fn whole(&mut self) -> Option<Head> {
        let (_, head) = self.head?;
        let rows = self.rows.values().map(|(_, row)| row);
        let whole = *self.whole.get_or_insert_with(|| hash(rows) == head.hash);
        whole.then_some(head)
    }

    /// All rows, also of servers that are gone.
    pub fn rows(&self) -> impl Iterator<Item = &Row> {
        self.rows.values().map(|(_, row)| row)
    }

    /// Discovery itself does not list these any more. Where nobody is left who could say so, the rows say it from
    /// here on, until a later one comes.
    pub fn drop_rows(&mut self, gone: impl Fn(u64) -> bool) {
        for (id, (_, row)) in &mut self.rows {
            if !row.is_gone() && gone(*id) {
                row.go();
                self.whole = None;
            }
        }
    }
}
