//! Parses and validates the operator's configuration document.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use serde::Deserialize;

use super::host::normal_host;
use crate::batch::dispatch::ConfigOrder;
use crate::batch::model::{Configuration, Limits, PolicyConfig, Queue, Service};
use crate::batch::workspaces::{KeyHash, Workspace, Workspaces};
use crate::resources::Resources;

/// Weights of this size and above are refused as mistakes.
const MAX_WEIGHT: f64 = 1e9;
/// Longest objective as a multiple of a job's run time. With more, the objective of the longest
/// valid job exceeds the range of durations.
const MAX_STRETCH: f64 = 1000.0;

#[derive(Deserialize)]
struct ConfigBody {
    version: u64,
    routes: Vec<RouteBody>,
    services: Vec<ServiceBody>,
    #[serde(default)]
    limits: Option<LimitsBody>,
    /// Absent when callers need no keys.
    #[serde(default)]
    tenants: Option<Vec<TenantBody>>,
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
    #[serde(default)]
    public: bool,
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

#[derive(Deserialize)]
struct TenantBody {
    name: CompactString,
    #[serde(default)]
    api_keys: Vec<CompactString>,
    #[serde(default = "whole")]
    weight: f64,
    /// Resources that the workspace's runs may use at the same time; zero means no limit.
    #[serde(default)]
    max_count: MostBody,
}

#[derive(Default, Deserialize)]
struct MostBody {
    /// Millicores.
    #[serde(default)]
    cpu: u32,
    #[serde(default)]
    mem_mb: u32,
    /// Accelerators.
    #[serde(default)]
    gpu: u32,
}

fn whole() -> f64 {
    1.0
}

fn one() -> u32 {
    1
}

fn unstretched() -> f64 {
    1.0
}

/// Parses and validates a configuration; the error is one sentence for the operator.
pub fn decode(document: Bytes) -> Result<ConfigOrder, String> {
    let body: ConfigBody = serde_json::from_slice(&document).map_err(without_values)?;
    let service_names: BTreeSet<_> = body.services.iter().map(|s| s.name.clone()).collect();
    let mut prefixes = BTreeSet::new();
    let mut queues = Vec::with_capacity(body.routes.len());
    for route in body.routes {
        if !service_names.contains(&route.service) {
            return Err(format!(
                "route {}: unknown service {}",
                route.name, route.service
            ));
        }
        if !prefixes.insert((normal_host(&route.host), route.path_prefix.clone())) {
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
        workspaces: body.tenants.map(workspaces).transpose()?,
    };
    Ok(ConfigOrder {
        version: body.version,
        document,
        parsed: Arc::new(parsed),
    })
}

/// The parser's message without the values it quotes: one of them may be a key.
fn without_values(e: serde_json::Error) -> String {
    let text = e.to_string();
    let (Some((kind, _)), Some((_, expected))) =
        (text.split_once(": "), text.rsplit_once(", expected "))
    else {
        return text;
    };
    format!("{kind}, expected {expected}")
}

/// Converts the workspaces and their keys. The error names the workspace and never contains a key.
fn workspaces(tenants: Vec<TenantBody>) -> Result<Workspaces, String> {
    let mut all = Workspaces::default();
    for tenant in tenants {
        let name = tenant.name;
        if !(0.0..MAX_WEIGHT).contains(&tenant.weight) {
            return Err(format!("tenant {name}: weight is not a rate"));
        }
        let limit = Resources {
            millicores: tenant.max_count.cpu,
            memory_mb: tenant.max_count.mem_mb,
            accelerators: tenant.max_count.gpu,
        };
        let workspace = Workspace {
            weight: tenant.weight,
            limit,
        };
        if all.by_name.insert(name.clone(), workspace).is_some() {
            return Err(format!("tenant {name}: another one has its name"));
        }
        for key in &tenant.api_keys {
            if key.is_empty() {
                return Err(format!("tenant {name}: a key is empty"));
            }
            let owner = all.keys.insert(KeyHash::of(key.as_bytes()), name.clone());
            if let Some(owner) = owner.filter(|owner| *owner != name) {
                return Err(format!("tenant {name}: tenant {owner} has one of its keys"));
            }
        }
    }
    Ok(all)
}

fn queue(route: RouteBody) -> Result<Queue, String> {
    if !(0.0..=MAX_STRETCH).contains(&route.stretch) {
        return Err(format!("route {}: stretch is not a factor", route.name));
    }
    let advice = match route.advice {
        Some(a) => Some(PolicyConfig {
            base: duration(a.decide_ms)?,
            per_minion: duration(a.each_ms)?,
            validity: duration(a.validity_ms)?,
        }),
        None => None,
    };
    Ok(Queue {
        name: route.name,
        host: normal_host(&route.host),
        prefix: route.path_prefix,
        timeout: duration(route.timeout_ms)?,
        slo: duration(route.slo_ms)?,
        slo_multiple: route.stretch,
        priority: route.priority,
        service: route.service,
        attempts: route.attempts.max(1),
        advice,
        public: route.public,
    })
}

fn limits(body: LimitsBody) -> Result<Limits, String> {
    Ok(Limits {
        header_bytes: body.max_header_bytes,
        body_bytes: body.max_body_bytes,
        header_timeout: duration(body.header_timeout_ms)?,
        idle_timeout: duration(body.idle_timeout_ms)?,
    })
}

fn duration(ms: f64) -> Result<Duration, String> {
    if !(0.0..1e12).contains(&ms) {
        return Err(format!("{ms} is not a span of time"));
    }
    Ok(Duration::from_secs_f64(ms / 1000.0))
}
