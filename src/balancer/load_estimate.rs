//! Load estimates: the arrival rate, the mean load of a connection, and how far this balancer's load on a
//! server exceeds the balancer's share of the server's capacity.

use super::Balancer;
use super::api::{RequestId, ServerId, Time};
use super::servers::Server;
use serde::{Deserialize, Serialize};

/// Capacity of a server per unit of weight, in microseconds of work per second.
pub(super) const CAPACITY_PER_WEIGHT: f64 = 1e6;
/// Assumed load of a connection before the first load report, in microseconds of work per second.
const DEFAULT_CONNECTION_LOAD: f64 = CAPACITY_PER_WEIGHT / 10.0;
/// Time constant of the exponential average of arrivals, in seconds.
const ARRIVAL_RATE_TIME_CONSTANT: Time = 10.0;
/// Number of reports over which the mean load is taken, approximately.
const MEAN_LOAD_SAMPLES: f64 = 100.0;
/// Share of its capacity up to which a server is filled in rendezvous order.
const TARGET_UTILIZATION: f64 = 0.8;
/// Standard deviations (Poisson) by which this balancer's load may exceed its share: from few connections,
/// the balancer cannot tell how loaded the server is.
const TOLERATED_DEVIATIONS: f64 = 2.0;

/// Exponential average of requests per second. Part of the snapshot: the order and the types of the fields
/// are fixed.
#[derive(Default, Deserialize, Serialize)]
pub(super) struct ArrivalRate {
    /// Requests of new clients per second, that is, without reconnects.
    pub(super) new_clients: f64,
    /// Requests per second, including reconnects.
    pub(super) total: f64,
    /// When the last request was recorded.
    updated_at: Time,
}

impl ArrivalRate {
    pub(super) fn record(&mut self, now: Time, is_reconnect: bool) {
        let decay = libm::exp((self.updated_at - now) / ARRIVAL_RATE_TIME_CONSTANT);
        let arrival = 1.0 / ARRIVAL_RATE_TIME_CONSTANT;
        let new_client = if is_reconnect { 0.0 } else { arrival };
        self.new_clients = self.new_clients * decay + new_client;
        self.total = self.total * decay + arrival;
        self.updated_at = now;
    }
}

/// A running mean in which a new sample has the weight of one in [`MEAN_LOAD_SAMPLES`] samples, or of one in
/// all samples while there are fewer. Part of the snapshot: the order and the types of the fields are fixed.
#[derive(Default, Deserialize, Serialize)]
pub(super) struct RunningMean {
    mean: f64,
    /// Number of samples, at most [`MEAN_LOAD_SAMPLES`].
    samples: f64,
}

impl RunningMean {
    fn record(&mut self, sample: f64) {
        self.samples = (self.samples + 1.0).min(MEAN_LOAD_SAMPLES);
        self.mean += (sample - self.mean) / self.samples;
    }

    fn is_empty(&self) -> bool {
        self.samples == 0.0
    }
}

impl Balancer {
    /// Records the current load of a connection, in microseconds of work per second.
    pub(super) fn record_load(&mut self, id: RequestId, load: f64) {
        let Some(state) = self.requests.get_mut(&id) else {
            return;
        };
        let load_before = std::mem::replace(&mut state.load, load);
        if let Some(server) = state.phase.server()
            && let Some(server) = self.server_mut(server)
        {
            server.load += load - load_before;
        }
        self.mean_load.record(load);
    }

    /// Adds a request and its load to a server.
    pub(super) fn attach_request(&mut self, id: RequestId, server: ServerId, load: f64) {
        if let Some(server) = self.server_mut(server) {
            server.attached_requests.insert(id);
            server.load += load;
        }
    }

    /// Mean load of a connection, in microseconds of work per second; a default before the first load report.
    pub(super) fn mean_load(&self) -> f64 {
        let mean = self.mean_load.mean;
        if mean > 0.0 {
            mean
        } else {
            DEFAULT_CONNECTION_LOAD
        }
    }

    /// The fraction by which this balancer's load on a server, with one more connection, would exceed the
    /// balancer's share of the target utilization; 0 if it would not. Balancers do not know each other's
    /// load: if each keeps within its share, their sum keeps within the target.
    pub(super) fn excess_load(&self, server: &Server, capacity_share: f64) -> f64 {
        if self.mean_load.is_empty() {
            return 0.0;
        }
        let target_load =
            TARGET_UTILIZATION * CAPACITY_PER_WEIGHT * server.endpoint.weight * capacity_share;
        let fair_share = target_load / self.balancer_count();
        let mean_load = self.mean_load();
        // A share of less than one connection is not meaningful: it would spread a group over all servers.
        if fair_share < mean_load {
            return 0.0;
        }
        let tolerated_load = fair_share + TOLERATED_DEVIATIONS * libm::sqrt(fair_share * mean_load);
        ((server.load.max(0.0) + mean_load) / tolerated_load - 1.0).max(0.0)
    }
}
