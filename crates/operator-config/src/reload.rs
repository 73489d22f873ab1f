//! Rules on which settings a reload can change.

use crate::fault::{Faults, Problem};
use crate::section::{Cluster, Distribute, Follow, OperatorConfig};
use crate::validation::FaultCollector;

impl OperatorConfig {
    /// Checks that a reload can replace `self`, the settings in effect, by `new`.
    ///
    /// # Errors
    /// Every changed setting that requires a restart.
    pub fn check_reload(&self, new: &Self) -> Result<(), Faults> {
        let mut faults = FaultCollector::default();
        faults.require_unchanged(self.log == new.log, "log");
        faults.require_unchanged(self.control == new.control, "control");
        match (&self.cluster, &new.cluster) {
            (Some(old), Some(new)) => check_cluster(old, new, &mut faults),
            (old, new) => faults.require_unchanged(old.is_none() && new.is_none(), "cluster"),
        }
        match (&self.distribute, &new.distribute) {
            (Some(old), Some(new)) => check_distribute(old, new, &mut faults),
            (old, new) => faults.require_unchanged(old.is_none() && new.is_none(), "distribute"),
        }
        match (&self.follow, &new.follow) {
            (Some(old), Some(new)) => check_follow(old, new, &mut faults),
            (old, new) => faults.require_unchanged(old.is_none() && new.is_none(), "follow"),
        }
        faults.finish()
    }
}

impl FaultCollector {
    fn require_unchanged(&mut self, is_unchanged: bool, location: &str) {
        self.require(is_unchanged, location, Problem::RestartRequired);
    }
}

fn check_cluster(old: &Cluster, new: &Cluster, faults: &mut FaultCollector) {
    faults.require_unchanged(old.name == new.name, "cluster.name");
    faults.require_unchanged(old.listen == new.listen, "cluster.listen");
    faults.require_unchanged(old.voters == new.voters, "cluster.voters");
    faults.require_unchanged(
        old.clock_skew_ms == new.clock_skew_ms,
        "cluster.clock_skew_ms",
    );
    faults.require_unchanged(old.pace == new.pace, "cluster.pace");
}

fn check_distribute(old: &Distribute, new: &Distribute, faults: &mut FaultCollector) {
    faults.require_unchanged(old.listen == new.listen, "distribute.listen");
    faults.require_unchanged(old.zone == new.zone, "distribute.zone");
    faults.require_unchanged(old.region == new.region, "distribute.region");
    faults.require_unchanged(old.rate == new.rate, "distribute.rate");
}

fn check_follow(old: &Follow, new: &Follow, faults: &mut FaultCollector) {
    faults.require_unchanged(old.name == new.name, "follow.name");
    faults.require_unchanged(old.listen == new.listen, "follow.listen");
    faults.require_unchanged(old.zone == new.zone, "follow.zone");
    faults.require_unchanged(old.region == new.region, "follow.region");
    faults.require_unchanged(old.sources == new.sources, "follow.sources");
}
