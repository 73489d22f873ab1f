//! Which settings a running process can take over at a reload.

use crate::fault::{Faults, Problem};
use crate::section::{Cluster, Distribute, Follow, OperatorConfig};
use crate::validation::FaultCollector;

impl OperatorConfig {
    /// Checks that a process running with `self`, as it started with it or took it over last, can take `new` over.
    ///
    /// # Errors
    /// Each setting that changes with a restart only.
    pub fn check_reload(&self, new: &Self) -> Result<(), Faults> {
        let mut faults = FaultCollector::default();
        faults.require_same(self.log == new.log, "log");
        faults.require_same(self.control == new.control, "control");
        match (&self.cluster, &new.cluster) {
            (Some(old), Some(new)) => check_cluster(old, new, &mut faults),
            (old, new) => faults.require_same(old.is_none() && new.is_none(), "cluster"),
        }
        match (&self.distribute, &new.distribute) {
            (Some(old), Some(new)) => check_distribute(old, new, &mut faults),
            (old, new) => faults.require_same(old.is_none() && new.is_none(), "distribute"),
        }
        match (&self.follow, &new.follow) {
            (Some(old), Some(new)) => check_follow(old, new, &mut faults),
            (old, new) => faults.require_same(old.is_none() && new.is_none(), "follow"),
        }
        faults.finish()
    }
}

impl FaultCollector {
    fn require_same(&mut self, is_same: bool, place: &str) {
        self.require(is_same, place, Problem::RestartRequired);
    }
}

fn check_cluster(old: &Cluster, new: &Cluster, faults: &mut FaultCollector) {
    faults.require_same(old.name == new.name, "cluster.name");
    faults.require_same(old.listen == new.listen, "cluster.listen");
    faults.require_same(old.voters == new.voters, "cluster.voters");
    faults.require_same(
        old.clock_skew_ms == new.clock_skew_ms,
        "cluster.clock_skew_ms",
    );
    faults.require_same(old.pace == new.pace, "cluster.pace");
}

fn check_distribute(old: &Distribute, new: &Distribute, faults: &mut FaultCollector) {
    faults.require_same(old.listen == new.listen, "distribute.listen");
    faults.require_same(old.zone == new.zone, "distribute.zone");
    faults.require_same(old.region == new.region, "distribute.region");
    faults.require_same(old.rate == new.rate, "distribute.rate");
}

fn check_follow(old: &Follow, new: &Follow, faults: &mut FaultCollector) {
    faults.require_same(old.name == new.name, "follow.name");
    faults.require_same(old.listen == new.listen, "follow.listen");
    faults.require_same(old.zone == new.zone, "follow.zone");
    faults.require_same(old.region == new.region, "follow.region");
    faults.require_same(old.sources == new.sources, "follow.sources");
}
