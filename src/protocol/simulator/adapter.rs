//! The simulated instances, each with its balancer, and the endpoint lists that they share.

use super::error::{BatchError, EventError};
use super::event::{endpoint_from_entry, translate};
use super::raw::{Batch, Raw, Reply, Step};
use super::step::step_for_action;
use crate::Balancer;
use crate::api::{Action, Endpoint, ServerId, Time};
use crate::config::{BalancerSettings, non_negative, required_field};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// The largest `slot`: the number of an endpoint list, from 0.
const MAX_SLOT: u64 = 15;

/// A simulated instance: its balancer, and the class names from its settings.
pub(super) struct Instance {
    balancer: Balancer,
    pub class_names: Vec<String>,
}

/// The endpoint lists by number, and the names of servers by id.
#[derive(Default)]
pub(super) struct Endpoints {
    pub lists: BTreeMap<u64, Arc<[Endpoint]>>,
    pub names: HashMap<ServerId, Arc<str>>,
}

/// Handles the simulator's batches with one balancer for each simulated instance.
#[derive(Default)]
pub struct SimulatorAdapter {
    instances: BTreeMap<u64, Instance>,
    endpoints: Endpoints,
    /// The steps in reply to the current batch.
    steps: Vec<Step>,
    /// The balancer's actions for the current event. Kept between events to reuse its memory.
    actions: Vec<Action>,
}

impl SimulatorAdapter {
    /// Handles one line and returns the reply, including its line ending.
    ///
    /// # Errors
    /// If the line is not a batch, or for the first event that cannot be handled. The adapter must not be used after an
    /// error: the instance of the invalid event may be lost.
    pub fn handle_batch(&mut self, line: &str) -> Result<Vec<u8>, BatchError> {
        let batch: Batch = serde_json::from_str(line).map_err(BatchError::Malformed)?;
        let now = non_negative(batch.wall, "wall")?;
        self.steps.clear();
        for (index, raw) in batch.happened.into_iter().enumerate() {
            let kind = raw.kind.0.clone();
            self.handle_event(now, raw)
                .map_err(|source| BatchError::Event {
                    number: index + 1,
                    kind: kind.into_owned(),
                    source,
                })?;
        }
        let reply = Reply {
            n: batch.n,
            steps: &self.steps,
        };
        let mut line = serde_json::to_vec(&reply).map_err(BatchError::CannotSerialize)?;
        line.push(b'\n');
        Ok(line)
    }

    fn handle_event(&mut self, now: Time, raw: Raw) -> Result<(), EventError> {
        match raw.kind.0.as_ref() {
            "defineList" => self.endpoints.define_list(raw),
            "spawn" => self.spawn(raw),
            "exit" => self.remove_instance(raw.who).map(drop),
            _ => self.handle_instance_event(now, raw),
        }
    }

    fn spawn(&mut self, raw: Raw) -> Result<(), EventError> {
        let settings = BalancerSettings::try_from(required_field(raw.config, "config")?)?;
        let seed = required_field(raw.random_seed, "randomSeed")?;
        let instance = Instance {
            balancer: Balancer::new(settings.balancer, seed),
            class_names: settings.class_names,
        };
        self.instances
            .insert(required_field(raw.who, "who")?, instance);
        Ok(())
    }

    fn handle_instance_event(&mut self, now: Time, raw: Raw) -> Result<(), EventError> {
        let (who, mut instance) = self.remove_instance(raw.who)?;
        let event = translate(raw, &instance, &mut self.endpoints)?;
        if let Some(event) = event {
            instance.balancer.handle(now, &event, &mut self.actions);
        }
        self.instances.insert(who, instance);
        for action in self.actions.drain(..) {
            self.steps
                .push(step_for_action(who, action, &self.endpoints.names)?);
        }
        Ok(())
    }

    /// Removes the instance with this number; the caller inserts it again if the instance continues to run.
    fn remove_instance(&mut self, who: Option<u64>) -> Result<(u64, Instance), EventError> {
        let who = required_field(who, "who")?;
        match self.instances.remove(&who) {
            Some(instance) => Ok((who, instance)),
            None => Err(EventError::UnknownInstance { instance: who }),
        }
    }
}

impl Endpoints {
    fn define_list(&mut self, raw: Raw) -> Result<(), EventError> {
        let slot = required_field(raw.slot, "slot")?;
        if slot > MAX_SLOT {
            return Err(EventError::SlotOutOfRange {
                slot,
                max: MAX_SLOT,
            });
        }
        let entries = required_field(raw.members_list, "membersList")?;
        let list = entries
            .iter()
            .map(|entry| endpoint_from_entry(self.server_id(&entry.host)?, entry))
            .collect::<Result<_, _>>()?;
        self.lists.insert(slot, list);
        Ok(())
    }

    /// The id of the server with this name. Records the name, by which the steps refer to the server.
    ///
    /// # Errors
    /// If another name has the same hash: the two servers could not be distinguished.
    pub fn server_id(&mut self, name: &str) -> Result<ServerId, EventError> {
        let id = ServerId::of(name);
        let known = self.names.entry(id).or_insert_with(|| name.into());
        if **known == *name {
            return Ok(id);
        }
        Err(EventError::HashCollision {
            known: known.to_string(),
            name: name.to_owned(),
        })
    }
}
