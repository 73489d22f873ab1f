//! The settings of the balancer, converted from the file to [`BalancerConfig`].

use super::field::{non_negative, non_negative_or};
use super::raw::{Limits, RawClass, Settings};
use super::{FieldError, SettingsError};
use crate::api::{
    BalancerConfig, DeduplicationScope, DiscoveryMode, Idempotency, RequestClass, Time,
};
use crate::discovery::zone::zone_id;

/// The default of a class's `hardLimit`: the longest time that a client waits for a response, in seconds.
const DEFAULT_MAX_CLIENT_WAIT: Time = 2.0;
/// The default timeout for connecting to a server, in seconds.
const DEFAULT_CONNECT_TIMEOUT: Time = 0.25;
/// The default of `askWithin`: the longest time between polls that discovery allows, in seconds. The backoff after a
/// failed poll is a fraction of it.
const DEFAULT_DISCOVERY_BACKOFF_BASE: Time = 10.0;
/// The default of `coldFrom`: the capacity of a server that has just started, as a share of its full capacity.
const DEFAULT_COLD_CAPACITY_SHARE: f64 = 1.0;
/// The default of `fallMultiple`: the multiple of its current capacity above which a server that is warming up is
/// overloaded.
const DEFAULT_OVERLOAD_MULTIPLE: f64 = 1.0;
/// The default of `fall`: how long a server that is warming up withstands an overload, in seconds.
const DEFAULT_OVERLOAD_WINDOW: Time = 1.0;

/// The validated settings of the balancer.
pub(crate) struct BalancerSettings {
    /// The configuration of the balancer, which refers to a class by its index.
    pub balancer: BalancerConfig,
    /// The names of the classes, by index.
    pub class_names: Vec<String>,
}

impl TryFrom<Settings> for BalancerSettings {
    type Error = SettingsError;

    fn try_from(settings: Settings) -> Result<Self, SettingsError> {
        let raw_classes = settings.classes.unwrap_or_default();
        if raw_classes.is_empty() {
            return Err(SettingsError::NoClasses);
        }
        let limits = settings.limits.unwrap_or_default();
        let rules = settings.rules.unwrap_or_default();
        let domain = settings.domain.unwrap_or_default();
        let message_objectives = domain.message_aim.unwrap_or_default();
        let balancer = BalancerConfig {
            balancer_count: settings.balancers.unwrap_or(1),
            balancer_index: settings.my_number.unwrap_or(0),
            zone: zone_id(settings.zone.as_deref()),
            classes: request_classes(&raw_classes, &message_objectives)?,
            discovery_mode: discovery_mode(settings.membership_mode)?,
            max_attempts: limits.max_attempts.unwrap_or(1),
            connect_timeout: non_negative_or(
                limits.connect_timeout,
                DEFAULT_CONNECT_TIMEOUT,
                "connectTimeout",
            )?,
            can_cancel_attempts: limits.cancel.unwrap_or(false),
            max_retry_after: max_retry_after(&limits)?,
            reports_latency: domain.tells_delay.unwrap_or(false),
            discovery_backoff_base: non_negative_or(
                rules.ask_within,
                DEFAULT_DISCOVERY_BACKOFF_BASE,
                "askWithin",
            )?,
            cold_capacity_share: non_negative_or(
                rules.cold_from,
                DEFAULT_COLD_CAPACITY_SHARE,
                "coldFrom",
            )?,
            slow_start_window: non_negative_or(rules.warm_up, 0.0, "warmUp")?,
            overload_multiple: non_negative_or(
                rules.fall_multiple,
                DEFAULT_OVERLOAD_MULTIPLE,
                "fallMultiple",
            )?,
            overload_window: non_negative_or(rules.fall, DEFAULT_OVERLOAD_WINDOW, "fall")?,
        };
        let class_names = raw_classes.into_iter().map(|class| class.name).collect();
        Ok(Self {
            balancer,
            class_names,
        })
    }
}

/// The longest time that a client of any class waits for a response, in seconds: the maximum `hardLimit` of the
/// classes.
pub(super) fn max_client_wait(settings: &Settings) -> Result<Time, FieldError> {
    let mut longest = 0.0;
    for class in settings.classes.iter().flatten() {
        let wait = non_negative_or(class.hard_limit, DEFAULT_MAX_CLIENT_WAIT, "hardLimit")?;
        longest = f64::max(longest, wait);
    }
    Ok(longest)
}

/// The classes in the order of the settings, each with the message objective of the same index.
fn request_classes(
    classes: &[RawClass],
    message_objectives: &[Option<f64>],
) -> Result<Vec<RequestClass>, SettingsError> {
    let message_objective = |index: usize| message_objectives.get(index).copied().flatten();
    classes
        .iter()
        .enumerate()
        .map(|(index, class)| request_class(class, message_objective(index)))
        .collect()
}

fn request_class(
    raw: &RawClass,
    message_objective: Option<f64>,
) -> Result<RequestClass, SettingsError> {
    let idempotency = idempotency(raw)?;
    let latency_objective = non_negative(raw.on_time, "onTime")?;
    let message_latency_objective = message_objective
        .map(|objective| non_negative(objective, "messageAim"))
        .transpose()?;
    Ok(RequestClass {
        latency_objective,
        idempotency,
        message_latency_objective,
    })
}

fn idempotency(raw: &RawClass) -> Result<Idempotency, SettingsError> {
    match raw.semantics.as_deref() {
        None | Some("free") => Ok(Idempotency::Idempotent),
        Some("single_shot") => Ok(Idempotency::NonIdempotent),
        Some("guarded") => Ok(Idempotency::Keyed {
            scope: deduplication_scope(raw)?,
            window: non_negative_or(raw.repeat_window, 0.0, "repeatWindow")?,
        }),
        Some(other) => Err(SettingsError::UnknownSemantics {
            class: raw.name.clone(),
            value: other.to_owned(),
        }),
    }
}

fn deduplication_scope(raw: &RawClass) -> Result<DeduplicationScope, SettingsError> {
    match raw.group.as_deref() {
        None | Some("all") => Ok(DeduplicationScope::All),
        Some("zone") => Ok(DeduplicationScope::Zone),
        Some("cell") => Ok(DeduplicationScope::Cell),
        Some(other) => Err(SettingsError::UnknownDeduplicationScope {
            class: raw.name.clone(),
            value: other.to_owned(),
        }),
    }
}

fn discovery_mode(mode: Option<String>) -> Result<DiscoveryMode, SettingsError> {
    match mode.as_deref() {
        None | Some("pushed") => Ok(DiscoveryMode::Pushed),
        Some("on_request") => Ok(DiscoveryMode::Polled),
        Some(other) => Err(SettingsError::UnknownDiscoveryMode {
            value: other.to_owned(),
        }),
    }
}

/// The longest Retry-After that clients accept, in seconds; `None` if they do not support it.
fn max_retry_after(limits: &Limits) -> Result<Option<Time>, FieldError> {
    match limits.retry_after {
        Some(true) => non_negative_or(limits.max_retry_after, 0.0, "maxRetryAfter").map(Some),
        _ => Ok(None),
    }
}
