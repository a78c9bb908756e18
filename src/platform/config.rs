//! The operator's configuration: reading and checking.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use serde::Deserialize;

use crate::batch::dispatch::ConfigOrder;
use crate::batch::model::{AdviceTerms, Configuration, Limits, Queue, Service};

#[derive(Deserialize)]
struct ConfigBody {
    version: u64,
    routes: Vec<RouteBody>,
    services: Vec<ServiceBody>,
    #[serde(default)]
    limits: Option<LimitsBody>,
}

#[derive(Deserialize)]
struct RouteBody {
    name: CompactString,
    host: CompactString,
    path_prefix: CompactString,
    timeout_ms: f64,
    #[serde(default)]
    slo_ms: f64,
    #[serde(default)]
    priority: u32,
    service: CompactString,
    #[serde(default = "one")]
    attempts: u32,
    #[serde(default = "unstretched")]
    stretch: f64,
    #[serde(default)]
    advice: Option<AdviceBody>,
}

#[derive(Deserialize)]
struct AdviceBody {
    #[serde(default)]
    decide_ms: f64,
    #[serde(default)]
    each_ms: f64,
    #[serde(default)]
    validity_ms: f64,
}

#[derive(Deserialize)]
struct ServiceBody {
    name: CompactString,
    #[serde(default)]
    admission_check: bool,
    #[serde(default)]
    standby: bool,
}

#[derive(Deserialize)]
struct LimitsBody {
    max_header_bytes: u32,
    max_body_bytes: u32,
    header_timeout_ms: f64,
    idle_timeout_ms: f64,
}

fn one() -> u32 {
    1
}

fn unstretched() -> f64 {
    1.0
}

/// Reads a configuration; the error is one sentence for the operator.
pub fn decode(document: Bytes) -> Result<ConfigOrder, String> {
    let body: ConfigBody = serde_json::from_slice(&document).map_err(|e| e.to_string())?;
    let known: BTreeSet<_> = body.services.iter().map(|s| s.name.clone()).collect();
    let mut places = BTreeSet::new();
    let mut queues = Vec::with_capacity(body.routes.len());
    for route in body.routes {
        if !known.contains(&route.service) {
            return Err(format!(
                "route {}: unknown service {}",
                route.name, route.service
            ));
        }
        if !places.insert((route.host.clone(), route.path_prefix.clone())) {
            return Err(format!(
                "route {}: another one has its host and prefix",
                route.name
            ));
        }
        if route.timeout_ms <= 0.0 {
            return Err(format!("route {}: timeout_ms is 0", route.name));
        }
        queues.push(queue(route)?);
    }
    let services = body.services.into_iter().map(|s| Service {
        name: s.name,
        admission_check: s.admission_check,
        standby: s.standby,
    });
    let parsed = Configuration {
        queues,
        services: services.collect(),
        limits: body.limits.map_or_else(|| Ok(Limits::default()), limits)?,
    };
    Ok(ConfigOrder {
        version: body.version,
        document,
        parsed: Arc::new(parsed),
    })
}

fn queue(route: RouteBody) -> Result<Queue, String> {
    if !route.stretch.is_finite() || route.stretch < 0.0 {
        return Err(format!("route {}: stretch is not a factor", route.name));
    }
    let advice = match route.advice {
        Some(a) => Some(AdviceTerms {
            base: span(a.decide_ms)?,
            per_minion: span(a.each_ms)?,
            validity: span(a.validity_ms)?,
        }),
        None => None,
    };
    Ok(Queue {
        name: route.name,
        host: route.host,
        prefix: route.path_prefix,
        timeout: span(route.timeout_ms)?,
        slo: span(route.slo_ms)?,
        stretch: route.stretch,
        priority: route.priority,
        service: route.service,
        attempts: route.attempts.max(1),
        advice,
    })
}

fn limits(body: LimitsBody) -> Result<Limits, String> {
    Ok(Limits {
        header_bytes: body.max_header_bytes,
        body_bytes: body.max_body_bytes,
        header_timeout: span(body.header_timeout_ms)?,
        idle_timeout: span(body.idle_timeout_ms)?,
    })
}

fn span(ms: f64) -> Result<Duration, String> {
    if !(0.0..1e12).contains(&ms) {
        return Err(format!("{ms} is not a span of time"));
    }
    Ok(Duration::from_secs_f64(ms / 1000.0))
}
