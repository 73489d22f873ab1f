//! Discovery's list, watched by one instance for all. The one that has the duty puts each changed entry on the
//! board, and several times a second a head that says which entries there are. The others take entries as they
//! come; as long as a head confirms all that they hold, they need not ask. Once that is too long ago they ask
//! discovery themselves, from the revision that was last confirmed.

use super::rows::{Head, NAME, Row, Told, View, hash};
use crate::discovery::endpoint_list::EndpointList;
use spanspur_cluster::lease_task::{GrantClock, LeaseTask, TaskResult};
use spanspur_leases::GossipEntry;
use spanspur_leases::{LeaseGrant, Millis};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until};

#[cfg(test)]
mod tests;

/// A head is told so often within the age that news may have.
const HEADS: u64 = 4;
/// Versions within one period of the duty.
const STEPS: u32 = 20;

/// Where what this instance tells goes.
pub type Publish = Box<dyn Fn(Vec<GossipEntry>)>;

/// The list between instances. See the module's page.
pub struct ListNews {
    publish: Publish,
    /// Balancers outside the cluster are told as well.
    distributes: bool,
    /// News may be this old; `None` while the duty is off.
    max_age: Cell<Option<Millis>>,
    rows: RefCell<BTreeMap<u64, Row>>,
    /// At a balancer outside the cluster: the list as its sources have brought it.
    view: RefCell<View>,
    head: Cell<Option<(u64, Head)>>,
    /// The revision that a head has confirmed, and when.
    confirmed: Cell<Option<(u64, Instant)>>,
    changed: Notify,
    /// While this instance has the duty: the period, the next step in it, and its end.
    leads: Cell<Option<(u64, u64, Instant)>>,
    /// The revision of this instance's own watch, and whether it has a list of its own at all.
    own: Cell<Option<u64>>,
    /// The revision that the discovery that is watched now has told last.
    told: Cell<Option<u64>>,
    /// The head that was distributed last.
    distributed: Cell<Option<Head>>,
    /// Discovery has not answered this process, and its watch there has failed.
    blind: Cell<bool>,
    stopped: Cell<bool>,
}

impl ListNews {
    /// Nothing known yet.
    pub fn new(publish: Publish, distributes: bool) -> Self {
        Self {
            publish,
            distributes,
            max_age: Cell::new(None),
            rows: RefCell::default(),
            view: RefCell::default(),
            head: Cell::new(None),
            confirmed: Cell::new(None),
            changed: Notify::new(),
            leads: Cell::new(None),
            own: Cell::new(None),
            told: Cell::new(None),
            distributed: Cell::new(None),
            blind: Cell::new(false),
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
    pub fn is_ours(&self, entry: &GossipEntry) -> bool {
        Told::read(entry).is_some()
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
    pub fn take(&self, entry: &GossipEntry) -> Option<EndpointList> {
        match Told::read(entry)? {
            Told::Beat(head) => {
                self.head.set(Some((entry.version, head)));
                self.confirm();
                None
            }
            // For balancers outside the cluster.
            Told::Head(_) => None,
            Told::Row(row) => {
                let member = (row.member(), row.address);
                self.rows.borrow_mut().insert(row.id, row);
                self.confirm();
                Some(EndpointList {
                    members: vec![member],
                    ..EndpointList::default()
                })
            }
        }
    }

    /// At a balancer outside the cluster: takes entries that its sources have brought, and how old what they have
    /// brought is. What comes back is the whole list where it begins to be trusted, and changes afterwards.
    ///
    /// It is trusted while it is whole, young enough, and not behind what discovery itself has told this balancer:
    /// a source that was cut off for an hour must not undo what is known here. Where discovery has never answered
    /// and does not now, an old list is better than none.
    pub fn follow(&self, entries: &[GossipEntry], age: Option<Millis>) -> Option<EndpointList> {
        let before = self.fresh_until().is_some();
        let mut view = self.view.borrow_mut();
        let came: Vec<Row> = entries.iter().filter_map(|e| view.take(e)).collect();
        if let (Some(head), Some(age)) = (view.whole(), age)
            && self.told.get().is_none_or(|told| head.revision >= told)
            && view.rows().any(|row| !row.is_gone())
            && let Some(as_of) = Instant::now().checked_sub(Duration::from_millis(age))
        {
            let last = self.confirmed.get().map(|(_, at)| at);
            if last.is_none_or(|last| last < as_of) {
                self.confirmed.set(Some((head.revision, as_of)));
            }
        }
        let trusted = self.fresh_until().is_some();
        let revision = self.confirmed.get().map_or(0, |(revision, _)| revision);
        let members = |rows: &mut dyn Iterator<Item = &Row>| {
            rows.map(|row| (row.member(), row.address)).collect()
        };
        let mut rows = self.rows.borrow_mut();
        if trusted && !before {
            *rows = view.rows().map(|row| (row.id, row.clone())).collect();
            self.changed.notify_waiters();
            return Some(EndpointList {
                revision,
                complete: true,
                members: members(&mut rows.values().filter(|row| !row.is_gone())),
                unusable: None,
            });
        }
        let came: Vec<Row> = match (trusted, self.blind.get()) {
            (true, _) => came,
            (false, true) => {
                let new = |row: &&Row| rows.get(&row.id) != Some(*row);
                view.rows().filter(new).cloned().collect()
            }
            (false, false) => Vec::new(),
        };
        if came.is_empty() {
            return None;
        }
        rows.extend(came.iter().map(|row| (row.id, row.clone())));
        Some(EndpointList {
            revision,
            complete: false,
            members: members(&mut came.iter()),
            unusable: None,
        })
    }

    /// Another discovery is watched from here on; it counts its versions as it likes.
    pub fn moved(&self) {
        self.told.set(None);
    }

    /// Our own watch has failed.
    pub fn failed(&self) {
        self.blind.set(self.own.get().is_none());
    }

    /// All rows that the head counts are here: the list is as the other instance has it.
    fn confirm(&self) {
        let Some((version, head)) = self.head.get() else {
            return;
        };
        if version > 0 && head.hash == hash(self.rows.borrow().values()) {
            self.confirmed.set(Some((head.revision, Instant::now())));
            // The same head confirms once: it ages from now on.
            self.head.set(Some((0, head)));
            self.changed.notify_waiters();
        }
    }

    /// Takes what our own watch on discovery has brought, and tells the others if the duty is ours.
    pub fn watched(&self, list: &EndpointList) {
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
                        row.go();
                        changed.push(row.clone());
                    }
                }
            }
            // Nobody may be left who could tell of these: all control instances were replaced, say.
            self.view.borrow_mut().drop_rows(|id| match named.get(&id) {
                Some(row) => row.is_gone(),
                None => list.complete,
            });
            for (id, row) in named {
                if rows.get(&id) != Some(&row) {
                    changed.push(row.clone());
                    rows.insert(id, row);
                }
            }
        }
        self.own.set(Some(list.revision));
        self.told.set(Some(list.revision));
        self.blind.set(false);
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
        let head = Head {
            revision,
            hash: hash(self.rows.borrow().values()),
        };
        let mut told: Vec<Told> = rows.into_iter().map(Told::Row).collect();
        if self.distributes && self.distributed.replace(Some(head)) != Some(head) {
            told.push(Told::Head(head));
        }
        told.push(Told::Beat(head));
        let entries = told.iter().map(|told| told.entry(version())).collect();
        self.leads.set(Some((period, step, until)));
        (self.publish)(entries);
    }

    /// The duty is ours for a period: all rows are told at its start if it is new here, a head again and again.
    async fn lead(self: Rc<Self>, grant: LeaseGrant, every: Millis) {
        let was = self.leading();
        let step = match self.leads.get() {
            Some((period, step, _)) if period == grant.fencing_token => step,
            _ => 0,
        };
        // The next grant comes when this one's period is over; until then nobody else can have one either.
        let until = Instant::now() + Duration::from_millis(every + every / 8);
        self.leads.set(Some((grant.fencing_token, step, until)));
        self.changed.notify_waiters();
        // What was confirmed while another one watched counts from here on as seen here.
        self.own.set(
            self.own
                .get()
                .max(self.confirmed.get().map(|(revision, _)| revision)),
        );
        if !was {
            tracing::info!(period = grant.fencing_token, "watches discovery for all");
            let all = self.rows.borrow().values().cloned().collect();
            self.distributed.set(None);
            self.tell(all);
        }
        let period = grant.fencing_token;
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

impl LeaseTask for ListDuty {
    fn name(&self) -> String {
        NAME.into()
    }

    fn interval_ms(&self) -> u64 {
        self.every_ms
    }

    fn run(&self, grant: LeaseGrant, clock: GrantClock) -> TaskResult {
        let (news, every) = (self.news.clone(), self.every_ms);
        Box::pin(async move {
            if clock.is_valid(&grant) {
                // It outlives the grant by design: reading changes nothing at discovery, and what is told carries
                // the period's number, so that a later period's news goes before it.
                spawn_local(news.lead(grant, every));
            }
            Vec::new()
        })
    }
}
