//! The list of servers on its way from the control instances to the balancers outside their cluster, at both ends.

use super::endpoint_list::ListNews;
use super::rows::{Told, View};
use super::{keys, score_of};
use crate::api;
use crate::runtime::Runtime;
use spanspur_cluster::control;
use spanspur_cluster::distribution::{ChangesAnswer, FollowerDriver, SourceDriver};
use spanspur_distribution::messages::MAX_WINDOW;
use spanspur_distribution::{
    FollowerConfig, Limits, Location, PollSchedule, SourceConfig, SourceEndpoint,
};
use spanspur_leases::GossipEntry;
use spanspur_membership::Identity;
use spanspur_operator_config::{Distribute, Follow, Operator};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::SystemTime;

/// A control instance's end: passes on what the cluster's board has of the list.
pub struct Distribution {
    distributor: SourceDriver,
    /// What was passed on, to tell whether it is all that there is.
    view: RefCell<View>,
}

impl Distribution {
    /// Opens the socket.
    pub async fn start(
        settings: &Distribute,
        name: &str,
        cluster: &[String],
    ) -> Result<Rc<Self>, String> {
        let setup = SourceConfig {
            identity: identity(name, settings.listen),
            keys: keys(Self::secrets(settings, cluster)),
            limits: Limits {
                datagrams_per_second: settings.rate,
                // A tenth of a second's, but one whole answer at least.
                burst: (settings.rate / 10).max(u32::from(MAX_WINDOW)),
                ..Limits::default()
            },
            seed: api::Key::of(name).0,
        };
        let distributor = SourceDriver::start(setup).await;
        Ok(Rc::new(Self {
            distributor: distributor
                .map_err(|e| format!("distribute.listen: {}: {e}", settings.listen))?,
            view: RefCell::default(),
        }))
    }

    fn secrets<'a>(settings: &'a Distribute, cluster: &'a [String]) -> &'a [String] {
        match settings.keys.is_empty() {
            true => cluster,
            false => &settings.keys,
        }
    }

    /// Takes other keys over.
    pub fn configure(&self, settings: &Distribute, cluster: &[String]) {
        self.distributor
            .rekey(keys(Self::secrets(settings, cluster)));
    }

    /// Takes an entry of the board. The duty's holder confirms the list several times a second: if that is what was
    /// passed on, followers may count on it as of now.
    pub fn take(&self, entry: &GossipEntry) {
        match Told::read(entry) {
            Some(Told::Beat(beat)) if self.view.borrow_mut().whole() == Some(beat) => {
                self.distributor.confirm_complete();
            }
            Some(Told::Head(_) | Told::Row(_)) => {
                self.view.borrow_mut().take(entry);
                self.distributor.publish(std::slice::from_ref(entry));
            }
            Some(Told::Beat(_)) | None => {}
        }
    }

    /// For `changes`.
    pub fn answer(&self) -> ChangesAnswer {
        self.distributor.answer()
    }
}

/// A balancer's end.
pub struct Followed {
    following: FollowerDriver,
    news: Rc<ListNews>,
}

impl Followed {
    /// Follows the sources that the operator's file names; `None` if it names none.
    pub async fn start(
        runtime: &Rc<Runtime>,
        operator: &Operator,
    ) -> Result<Option<Rc<Self>>, String> {
        let Some(follow) = &operator.follow else {
            return Ok(None);
        };
        let node = runtime.process_config();
        let name = follow.name.clone().unwrap_or_else(|| node.name.clone());
        if name.is_empty() {
            return Err("follow.name: is missing, and the balancer has no name either".into());
        }
        let sources = follow.sources.iter().map(|source| SourceEndpoint {
            name: source.name.clone(),
            address: source.address,
            location: place(&source.zone, &source.region),
        });
        let setup = FollowerConfig {
            identity: identity(&name, follow.listen),
            location: place(&follow.zone, &follow.region),
            sources: sources.collect(),
            keys: keys(&follow.keys),
            score: score_of,
            schedule: PollSchedule::default(),
            seed: node.seed ^ api::Key::of("follow").0,
        };
        // It tells nobody anything.
        let news = Rc::new(ListNews::new(Box::new(|_| {}), false));
        news.configure(Some(follow.max_age_ms));
        let (list, of) = (news.clone(), runtime.clone());
        let told = Box::new(move |entries: &[GossipEntry], age| {
            if let Some(list) = list.follow(entries, age) {
                of.update_from_distribution(list);
            }
        });
        let following = FollowerDriver::start(setup, told).await;
        let following = following.map_err(|e| format!("follow.listen: {}: {e}", follow.listen))?;
        tracing::info!(instance = name, sources = follow.sources.len(), "follows");
        if let Some(control) = &operator.control {
            let asked = following.clone();
            let answers = Rc::new(move |question: &str| {
                (question == "changes").then(|| control::to_json(&asked.answer()))
            });
            control::serve(answers, &control.socket)
                .map_err(|e| format!("control.socket: {}: {e}", control.socket.display()))?;
        }
        Ok(Some(Rc::new(Self { following, news })))
    }

    /// Discovery's list, as it comes from the sources.
    pub fn news(&self) -> Rc<ListNews> {
        self.news.clone()
    }

    /// Takes the operator's settings over, which were checked before.
    pub fn configure(&self, follow: &Follow) {
        self.following.rekey(keys(&follow.keys));
        self.news.configure(Some(follow.max_age_ms));
    }
}

fn identity(name: &str, address: SocketAddr) -> Identity {
    let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    Identity {
        name: name.into(),
        address,
        incarnation: unix.unwrap_or_default().as_millis() as u64,
        refutations: 0,
    }
}

/// Names are compared, not shown: their hashes will do.
fn place(zone: &str, region: &str) -> Location {
    Location {
        zone: api::Key::of(zone).0 as u32,
        region: api::Key::of(region).0 as u32,
    }
}
