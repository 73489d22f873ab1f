//! Discovery's list, watched by one instance for all. The one that has the duty puts each changed entry on the
//! board, and several times a second a head that says which entries there are. The others take entries as they
//! come; as long as a head confirms all that they hold, they need not ask. Once that is too long ago they ask
//! discovery themselves, from the revision that was last confirmed.

use serde::{Deserialize, Serialize};
use spanspur::api::{Member, MemberState, ServerId};
use spanspur::list::List;
use spanspur_cluster::Handle;
use spanspur_cluster::hook::{Duty, Outcome, Work};
use spanspur_duties::board::Entry;
use spanspur_duties::{DutyId, Millis, Permit};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until};

const NAME: &str = "list";
/// A head is told so often within the age that news may have.
const HEADS: u64 = 4;
/// Versions within one period of the duty.
const STEPS: u32 = 20;
/// The first byte of a value: a head, or a server.
const HEAD: u8 = 0;
const SERVER: u8 = 1;

/// A server as it goes over the board.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Row {
    id: u64,
    zone: u32,
    /// 0 ready, 1 draining, 2 gone.
    state: u8,
    weight: f64,
    started: f64,
    cell: u32,
    address: SocketAddr,
}

/// What confirms the rows.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
struct Head {
    revision: u64,
    /// Over all rows that are not gone.
    hash: u64,
}

impl Row {
    fn of(member: &Member, address: SocketAddr) -> Self {
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

    /// The row of an entry, if it is one.
    fn read(entry: &Entry) -> Option<Self> {
        let value = entry.value.strip_prefix(&[SERVER])?;
        let row: Self = postcard::from_bytes(value).ok()?;
        (row.key() == entry.key).then_some(row)
    }

    fn member(&self) -> Member {
        Member {
            id: ServerId(self.id),
            zone: self.zone,
            state: match self.state {
                0 => MemberState::Ready,
                1 => MemberState::Draining,
                _ => MemberState::Gone,
            },
            weight: self.weight,
            started: self.started,
            cell: self.cell,
        }
    }

    fn is_gone(&self) -> bool {
        self.member().state == MemberState::Gone
    }

    fn key(&self) -> u64 {
        DutyId::of(&format!("{NAME}/{:016x}", self.id)).0
    }
}

fn hash(rows: &BTreeMap<u64, Row>) -> u64 {
    let here = rows.values().filter(|row| !row.is_gone());
    let bytes = here.flat_map(|row| postcard::to_stdvec(row).unwrap_or_default());
    DutyId::of(&String::from_utf8_lossy(&bytes.collect::<Vec<u8>>())).0
}

/// The list between instances. See the module's page.
pub struct ListNews {
    handle: Handle,
    /// News may be this old; `None` while the duty is off.
    max_age: Cell<Option<Millis>>,
    rows: RefCell<BTreeMap<u64, Row>>,
    head: Cell<Option<(u64, Head)>>,
    /// The revision that a head has confirmed, and when.
    confirmed: Cell<Option<(u64, Instant)>>,
    changed: Notify,
    /// While this instance has the duty: the period, the next step in it, and its end.
    leads: Cell<Option<(u64, u64, Instant)>>,
    /// The revision of this instance's own watch, and whether it has a list of its own at all.
    own: Cell<Option<u64>>,
    stopped: Cell<bool>,
}

impl ListNews {
    /// Nothing known yet.
    pub fn new(handle: Handle) -> Self {
        Self {
            handle,
            max_age: Cell::new(None),
            rows: RefCell::default(),
            head: Cell::new(None),
            confirmed: Cell::new(None),
            changed: Notify::new(),
            leads: Cell::new(None),
            own: Cell::new(None),
            stopped: Cell::new(false),
        }
    }

    /// Takes the age over that news may have; `None` switches the duty off.
    pub fn configure(&self, max_age: Option<Millis>) {
        self.max_age.set(max_age);
        self.changed.notify_waiters();
    }

    /// Tells nobody anything any more.
    pub fn stop(&self) {
        self.stopped.set(true);
    }

    /// Whether an entry of the board is one of the list.
    pub fn is_ours(&self, entry: &Entry) -> bool {
        entry.key == DutyId::of(NAME).0 || Row::read(entry).is_some()
    }

    fn fresh_until(&self) -> Option<Instant> {
        let age = Duration::from_millis(self.max_age.get()?);
        let until = self.confirmed.get()?.1 + age;
        (until > Instant::now() && !self.leading()).then_some(until)
    }

    fn leading(&self) -> bool {
        let leads = self.leads.get();
        leads.is_some_and(|(_, _, until)| Instant::now() < until) && !self.stopped.get()
    }

    /// Returns once another instance's news makes a watch of our own needless.
    pub async fn relieved(&self) {
        loop {
            let changed = self.changed.notified();
            if self.fresh_until().is_some() {
                return;
            }
            changed.await;
        }
    }

    /// Returns once that news is too old, or the watch is this instance's own: the revision to ask from.
    pub async fn stale(&self) -> Option<u64> {
        loop {
            let changed = self.changed.notified();
            let Some(until) = self.fresh_until() else {
                return self.confirmed.get().map(|(revision, _)| revision);
            };
            tokio::select! {
                () = sleep_until(until) => {}
                () = changed => {}
            }
        }
    }

    /// Takes an entry of the board: what of the list it changes here.
    pub fn take(&self, entry: &Entry) -> Option<List> {
        let (kind, value) = entry.value.split_first()?;
        if entry.key == DutyId::of(NAME).0 && *kind == HEAD {
            let head: Head = postcard::from_bytes(value).ok()?;
            self.head.set(Some((entry.version, head)));
            self.confirm();
            return None;
        }
        let row = Row::read(entry)?;
        let member = (row.member(), row.address);
        self.rows.borrow_mut().insert(row.id, row);
        self.confirm();
        Some(List {
            members: vec![member],
            ..List::default()
        })
    }

    /// All rows that the head counts are here: the list is as the other instance has it.
    fn confirm(&self) {
        let Some((version, head)) = self.head.get() else {
            return;
        };
        if head.hash == hash(&self.rows.borrow()) && version > 0 {
            self.confirmed.set(Some((head.revision, Instant::now())));
            // The same head confirms once: it ages from now on.
            self.head.set(Some((0, head)));
            self.changed.notify_waiters();
        }
    }

    /// Takes what our own watch on discovery has brought, and tells the others if the duty is ours.
    pub fn watched(&self, list: &List) {
        let mut changed = Vec::new();
        {
            let mut rows = self.rows.borrow_mut();
            let named: BTreeMap<u64, Row> = list
                .members
                .iter()
                .map(|(m, at)| (m.id.0, Row::of(m, *at)))
                .collect();
            if list.complete {
                for row in rows.values_mut().filter(|row| !named.contains_key(&row.id)) {
                    if !row.is_gone() {
                        row.state = MemberState::Gone as u8;
                        changed.push(row.clone());
                    }
                }
            }
            for (id, row) in named {
                if rows.get(&id) != Some(&row) {
                    changed.push(row.clone());
                    rows.insert(id, row);
                }
            }
        }
        self.own.set(Some(list.revision));
        if self.leading() {
            self.tell(changed);
        }
    }

    /// Tells rows and a head that counts them.
    fn tell(&self, rows: Vec<Row>) {
        let (Some((period, mut step, until)), Some(revision)) = (self.leads.get(), self.own.get())
        else {
            return;
        };
        if !self.leading() {
            return;
        }
        let mut version = || {
            step = (step + 1).min((1 << STEPS) - 1);
            period << STEPS | step
        };
        let value = |kind: u8, bytes: Vec<u8>| [vec![kind], bytes].concat();
        let mut entries: Vec<Entry> = rows
            .iter()
            .map(|row| Entry {
                key: row.key(),
                version: version(),
                value: value(SERVER, postcard::to_stdvec(row).unwrap_or_default()),
            })
            .collect();
        let head = Head {
            revision,
            hash: hash(&self.rows.borrow()),
        };
        entries.push(Entry {
            key: DutyId::of(NAME).0,
            version: version(),
            value: value(HEAD, postcard::to_stdvec(&head).unwrap_or_default()),
        });
        self.leads.set(Some((period, step, until)));
        self.handle.publish(entries);
    }

    /// The duty is ours for a period: all rows are told at its start if it is new here, a head again and again.
    async fn lead(self: Rc<Self>, permit: Permit, every: Millis) {
        let was = self.leading();
        let step = match self.leads.get() {
            Some((period, step, _)) if period == permit.period => step,
            _ => 0,
        };
        // The next permit comes when this one's period is over; until then nobody else can have one either.
        let until = Instant::now() + Duration::from_millis(every + every / 8);
        self.leads.set(Some((permit.period, step, until)));
        self.changed.notify_waiters();
        // What was confirmed while another one watched counts from here on as seen here.
        self.own.set(
            self.own
                .get()
                .max(self.confirmed.get().map(|(revision, _)| revision)),
        );
        if !was {
            tracing::info!(period = permit.period, "watches discovery for all");
            let all = self.rows.borrow().values().cloned().collect();
            self.tell(all);
        }
        let period = permit.period;
        while let Some(age) = self.max_age.get() {
            sleep(Duration::from_millis(age / HEADS)).await;
            let current = self.leads.get().is_some_and(|(now, ..)| now == period);
            if !current || !self.leading() {
                return;
            }
            self.tell(Vec::new());
        }
    }
}

/// The duty to watch discovery for all.
pub struct ListDuty {
    /// Its period.
    pub every_ms: Millis,
    /// What it tells.
    pub news: Rc<ListNews>,
}

impl Duty for ListDuty {
    fn name(&self) -> String {
        NAME.into()
    }

    fn every_ms(&self) -> u64 {
        self.every_ms
    }

    fn perform(&self, permit: Permit, work: Work) -> Outcome {
        let (news, every) = (self.news.clone(), self.every_ms);
        Box::pin(async move {
            if work.holds(&permit) {
                // It outlives the permit by design: reading changes nothing at discovery, and what is told carries
                // the period's number, so that a later period's news goes before it.
                spawn_local(news.lead(permit, every));
            }
            Vec::new()
        })
    }
}
