//! Which stream servers the staff has taken out, and which came back from that: over changes of the list, over
//! reloads and over a replacement of the process. Kept as a file by the driver, merged with what another process
//! of the same balancer knows: the last call on each id counts.

use crate::Time;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Ids that are kept, and ids that were ever listed: far over any fleet.
pub const MAX_ENTRIES: usize = 4096;
const MAX_SEEN: usize = 65_536;
/// The version of the file.
const VERSION: u32 = 1;
/// The longest file that is read, in bytes.
pub const MAX_FILE: u64 = 2 * 1024 * 1024;
const MAGIC: &str = "spanspur outs";

/// The last call on one stream server.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// It is left out.
    pub out: bool,
    /// When it was taken out last, Unix time.
    pub taken: Time,
    /// When this was called, Unix time.
    pub at: Time,
}

/// What a mask makes of a listed stream server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Masked {
    /// It counts as draining, whatever the list says.
    pub out: bool,
    /// When it counts as started, Unix time.
    pub started: Time,
}

/// Why a call is owed a no.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum No {
    /// No list has ever named it.
    NeverListed,
    /// As many as can be kept are out.
    TooMany,
}

/// The state. `id` hashes are those that the balancer knows its servers by.
#[derive(Clone, Debug, Default)]
pub struct Outs {
    entries: BTreeMap<String, (u64, Entry)>,
    by_id: BTreeMap<u64, String>,
    seen: BTreeSet<u64>,
}

impl Outs {
    /// Notes that a list has named this server.
    pub fn listed(&mut self, id: u64) {
        if self.seen.len() < MAX_SEEN {
            self.seen.insert(id);
        }
    }

    /// Takes a server out. `Ok(false)` if it is out already.
    pub fn detach(&mut self, name: &str, id: u64, now: Time) -> Result<bool, No> {
        self.known(id)?;
        if self.is_out(id) {
            return Ok(false);
        }
        if self.entries.len() >= MAX_ENTRIES && !self.entries.contains_key(name) {
            // What came back longest ago matters least.
            let back = self.entries.iter().filter(|(_, (_, e))| !e.out);
            let oldest = back.min_by(|a, b| a.1.1.at.total_cmp(&b.1.1.at));
            let oldest = oldest.map(|(name, _)| name.clone()).ok_or(No::TooMany)?;
            self.remove(&oldest);
        }
        let entry = Entry {
            out: true,
            taken: now,
            at: now,
        };
        self.put(name, id, entry);
        Ok(true)
    }

    /// Puts a server back. `Ok(false)` if it is not out.
    pub fn attach(&mut self, name: &str, id: u64, now: Time) -> Result<bool, No> {
        self.known(id)?;
        let Some(entry) = self.entry(id).filter(|e| e.out) else {
            return Ok(false);
        };
        self.put(
            name,
            id,
            Entry {
                out: false,
                at: now,
                ..entry
            },
        );
        Ok(true)
    }

    /// What becomes of a listed server. One that is put back has restarted meanwhile, or its list is yet to tell:
    /// until then, and until it is warm for sure, it counts as started when it came back.
    pub fn mask(&self, id: u64, started: Time, now: Time, warm_up: Time) -> Masked {
        match self.entry(id) {
            Some(entry) if entry.out => Masked { out: true, started },
            Some(entry) if started < entry.taken && now < entry.at + warm_up => {
                let started = entry.at;
                Masked {
                    out: false,
                    started,
                }
            }
            _ => Masked {
                out: false,
                started,
            },
        }
    }

    /// Whether it is out.
    pub fn is_out(&self, id: u64) -> bool {
        self.entry(id).is_some_and(|entry| entry.out)
    }

    /// The names of those that are out.
    pub fn out(&self) -> impl Iterator<Item = &str> {
        let out = self.entries.iter().filter(|(_, (_, entry))| entry.out);
        out.map(|(name, _)| name.as_str())
    }

    /// Takes over what another process, or its file, knows: the last call on each id. Whether anything changed.
    pub fn merge(&mut self, other: &Self) -> bool {
        let mut changed = false;
        for (name, (id, entry)) in &other.entries {
            let older = self.entry(*id).is_none_or(|own| own.at < entry.at);
            if older && (self.entries.len() < MAX_ENTRIES || self.entries.contains_key(name)) {
                self.put(name, *id, *entry);
                changed = true;
            }
        }
        other.seen.iter().for_each(|id| self.listed(*id));
        changed
    }

    fn known(&self, id: u64) -> Result<(), No> {
        let known = self.seen.contains(&id) || self.by_id.contains_key(&id);
        known.then_some(()).ok_or(No::NeverListed)
    }

    fn entry(&self, id: u64) -> Option<Entry> {
        let name = self.by_id.get(&id)?;
        self.entries.get(name).map(|(_, entry)| *entry)
    }

    fn put(&mut self, name: &str, id: u64, entry: Entry) {
        self.by_id.insert(id, name.to_owned());
        self.entries.insert(name.to_owned(), (id, entry));
    }

    fn remove(&mut self, name: &str) {
        if let Some((id, _)) = self.entries.remove(name) {
            self.by_id.remove(&id);
        }
    }

    /// The file: a line that names what it is, its version and the checksum of the rest, then JSON.
    pub fn write(&self) -> String {
        let body = Body {
            entries: self
                .entries
                .iter()
                .map(|(n, (id, e))| (n.clone(), *id, *e))
                .collect(),
            seen: self.seen.iter().copied().collect(),
        };
        let body = serde_json::to_string(&body).unwrap_or_default();
        format!(
            "{MAGIC} {VERSION} {}\n{body}",
            blake3::hash(body.as_bytes()).to_hex()
        )
    }

    /// Reads a file; the error says why it is not one that can be trusted.
    pub fn read(text: &[u8]) -> Result<Self, String> {
        let text = str::from_utf8(text).map_err(|_| "it is not text")?;
        let (head, body) = text
            .split_once('\n')
            .ok_or("it is cut off in its first line")?;
        let head = head
            .strip_prefix(MAGIC)
            .ok_or("it is no file of this kind")?;
        let words: Vec<&str> = head.split_whitespace().collect();
        let [version, sum] = words[..] else {
            return Err("its first line is not whole".into());
        };
        if version != VERSION.to_string() {
            return Err(format!("it has version {version}, not {VERSION}"));
        }
        if sum != blake3::hash(body.as_bytes()).to_hex().as_str() {
            return Err("its checksum is wrong: it is cut off or damaged".into());
        }
        let body: Body = serde_json::from_str(body).map_err(|e| e.to_string())?;
        let mut outs = Self::default();
        let sane = |(_, _, e): &(_, _, Entry)| e.taken.is_finite() && e.at.is_finite();
        for (name, id, entry) in body.entries.into_iter().filter(sane).take(MAX_ENTRIES) {
            outs.put(&name, id, entry);
        }
        body.seen.into_iter().for_each(|id| outs.listed(id));
        Ok(outs)
    }
}

#[derive(Serialize, Deserialize)]
struct Body {
    entries: Vec<(String, u64, Entry)>,
    seen: Vec<u64>,
}

#[cfg(test)]
mod tests {
    use super::*;

    fn listed(ids: &[u64]) -> Outs {
        let mut outs = Outs::default();
        ids.iter().for_each(|id| outs.listed(*id));
        outs
    }

    #[test]
    fn a_server_is_out_until_one_call_back_and_then_cold_until_the_list_tells_its_start() {
        let mut outs = listed(&[1]);
        assert_eq!(outs.detach("b", 2, 5.0), Err(No::NeverListed));
        assert_eq!(outs.attach("b", 2, 5.0), Err(No::NeverListed));
        assert_eq!(outs.detach("a", 1, 10.0), Ok(true));
        assert_eq!(outs.detach("a", 1, 11.0), Ok(false));
        assert!(outs.mask(1, 12.0, 13.0, 24.0).out);
        assert_eq!(outs.attach("a", 1, 20.0), Ok(true));
        assert_eq!(outs.attach("a", 1, 21.0), Ok(false));
        let back = |listed, now| outs.mask(1, listed, now, 24.0);
        assert_eq!(
            back(0.0, 21.0),
            Masked {
                out: false,
                started: 20.0
            }
        );
        assert_eq!(back(14.0, 21.0).started, 14.0);
        assert_eq!(back(0.0, 44.0).started, 0.0);
    }

    #[test]
    fn the_last_call_counts_whoever_took_it() {
        let mut old = listed(&[1, 2]);
        old.detach("a", 1, 1.0).expect("listed");
        old.detach("b", 2, 1.0).expect("listed");
        let mut new = Outs::read(old.write().as_bytes()).expect("whole");
        new.attach("a", 1, 2.0).expect("known");
        old.attach("b", 2, 3.0).expect("listed");
        assert!(new.merge(&old) && old.merge(&new));
        assert!(!new.merge(&old) && !old.merge(&new));
        assert_eq!((old.out().count(), new.out().count()), (0, 0));
    }

    #[test]
    fn no_part_of_a_file_is_taken_for_one_and_a_newer_one_is_named() {
        let mut outs = listed(&[1, 7]);
        outs.detach("a", 1, 1.0).expect("listed");
        let text = outs.write();
        for end in 0..text.len() {
            assert!(Outs::read(&text.as_bytes()[..end]).is_err(), "{end}");
        }
        let newer = text.replacen(" 1 ", " 2 ", 1);
        assert!(
            Outs::read(newer.as_bytes())
                .expect_err("newer")
                .contains("version 2")
        );
        let mut read = Outs::read(text.as_bytes()).expect("whole");
        assert!(read.is_out(1) && read.attach("g", 7, 2.0).is_ok());
    }

    #[test]
    fn only_so_many_can_be_out() {
        let mut outs = listed(&(0..=MAX_ENTRIES as u64).collect::<Vec<_>>());
        let take = |outs: &mut Outs, id: u64| outs.detach(&format!("s-{id}"), id, id as f64);
        for id in 0..MAX_ENTRIES as u64 {
            assert_eq!(take(&mut outs, id), Ok(true));
        }
        let more = MAX_ENTRIES as u64;
        assert_eq!(take(&mut outs, more), Err(No::TooMany));
        outs.attach("s-3", 3, 9e9).expect("known");
        assert_eq!(take(&mut outs, more), Ok(true));
        assert!(outs.is_out(2) && !outs.is_out(3));
    }
}
