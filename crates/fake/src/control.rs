//! Runtime control of stand-ins: fault injection, and reports of what happened at a stand-in.
//!
//! Each stand-in parses its faults from a JSON object: omitted fields keep their values, and
//! unknown fields are refused, so that a misspelt fault is not mistaken for one that is set.

use crate::{MemoryEngine, MemoryLog, MemoryService, MemoryVms, MemoryWeights};
use compact_str::CompactString;
use serde::Deserialize;
use serde_json::{Value, json};
use serde_with::{DurationMilliSeconds, serde_as};
use std::time::Duration;

/// A stand-in whose faults can be set while it runs.
pub trait Control: Send + Sync {
    /// Sets the given faults; an error names the invalid field, and then nothing is set.
    fn set(&self, faults: Value) -> serde_json::Result<()>;

    /// Reports the calls, orders and other events of the stand-in so far.
    fn report(&self) -> Value;
}

/// Faults of the log.
#[serde_as]
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct LogFaults {
    out: Option<bool>,
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(rename = "delay_ms")]
    delay: Option<Duration>,
    lose_replies: Option<u32>,
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(rename = "retention_ms")]
    retention: Option<Duration>,
}

impl Control for MemoryLog {
    fn set(&self, faults: Value) -> serde_json::Result<()> {
        let faults: LogFaults = serde_json::from_value(faults)?;
        faults.out.into_iter().for_each(|out| self.set_unavailable(out));
        faults.delay.into_iter().for_each(|delay| self.set_delay(delay));
        faults.lose_replies.into_iter().for_each(|count| self.lose_replies(count));
        faults.retention.into_iter().for_each(|retention| self.set_retention(retention));
        Ok(())
    }

    fn report(&self) -> Value {
        json!({"appends": self.appends(), "bytes": self.bytes(), "streams": self.streams()})
    }
}

/// Faults of the weight store.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct WeightsFaults {
    out: Option<bool>,
    calls_per_second: Option<u32>,
}

impl Control for MemoryWeights {
    fn set(&self, faults: Value) -> serde_json::Result<()> {
        let faults: WeightsFaults = serde_json::from_value(faults)?;
        faults.out.into_iter().for_each(|out| self.set_unavailable(out));
        faults.calls_per_second.into_iter().for_each(|calls| self.limit(calls));
        Ok(())
    }

    fn report(&self) -> Value {
        json!({"calls": self.calls(), "limited": self.limited()})
    }
}

/// Faults of the list of VMs.
#[serde_as]
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct VmsFaults {
    out: Option<bool>,
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(rename = "lag_ms")]
    lag: Option<Duration>,
    vms: Option<Vec<plat::Vm>>,
}

impl Control for MemoryVms {
    fn set(&self, faults: Value) -> serde_json::Result<()> {
        let faults: VmsFaults = serde_json::from_value(faults)?;
        faults.out.into_iter().for_each(|out| self.set_unavailable(out));
        faults.lag.into_iter().for_each(|lag| self.set_lag(lag));
        faults.vms.into_iter().for_each(|vms| self.set(vms));
        Ok(())
    }

    fn report(&self) -> Value {
        json!({"vms": self.newest()})
    }
}

/// Faults and speeds of an engine.
#[serde_as]
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct EngineFaults {
    down: Option<bool>,
    slow: Option<f64>,
    crash_on: Option<String>,
    checks_fencing: Option<bool>,
    prefill_rate: Option<u32>,
    #[serde_as(as = "Option<serde_with::DurationMicroSeconds<u64>>")]
    #[serde(rename = "token_time_us")]
    token_time: Option<Duration>,
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(rename = "role_change_ms")]
    role_change: Option<Duration>,
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(rename = "load_ms")]
    load: Option<Duration>,
}

impl Control for MemoryEngine {
    fn set(&self, faults: Value) -> serde_json::Result<()> {
        let faults: EngineFaults = serde_json::from_value(faults)?;
        match faults.down {
            Some(true) => self.crash(),
            Some(false) if self.is_down() => self.start(),
            Some(false) | None => {}
        }
        self.change(|params| {
            params.slow = faults.slow.unwrap_or(params.slow).max(0.0);
            params.checks_fencing = faults.checks_fencing.unwrap_or(params.checks_fencing);
            params.prefill_rate = faults.prefill_rate.unwrap_or(params.prefill_rate).max(1);
            params.token_time = faults.token_time.unwrap_or(params.token_time);
            params.role_change = faults.role_change.unwrap_or(params.role_change);
            params.load = faults.load.unwrap_or(params.load);
            // Every prompt contains the empty text, so an empty value clears the fault.
            if let Some(text) = faults.crash_on {
                params.crash_on = (!text.is_empty()).then_some(text);
            }
        });
        Ok(())
    }

    fn report(&self) -> Value {
        let orders = self.orders();
        let orders = orders.iter().map(|(fence, order)| json!({"fence": fence, "order": order}));
        let (started, finished) = self.jobs();
        json!({
            "orders": orders.collect::<Vec<_>>(), "conflicts": self.conflicts(),
            "crashes": self.crashes(), "jobs_started": started, "jobs_finished": finished,
        })
    }
}

/// Faults of a plain service.
#[serde_as]
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct ServiceFaults {
    down: Option<bool>,
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(rename = "delay_ms")]
    delay: Option<Duration>,
    lose_replies: Option<u32>,
}

impl Control for MemoryService {
    fn set(&self, faults: Value) -> serde_json::Result<()> {
        let faults: ServiceFaults = serde_json::from_value(faults)?;
        faults.down.into_iter().for_each(|down| self.set_down(down));
        faults.delay.into_iter().for_each(|delay| self.set_delay(delay));
        faults.lose_replies.into_iter().for_each(|count| self.lose_replies(count));
        Ok(())
    }

    fn report(&self) -> Value {
        let runs = self.runs();
        let again: Vec<(&CompactString, &u32)> = runs.iter().filter(|(_, n)| **n > 1).collect();
        json!({"calls": runs.len(), "ran_again": again.len(), "runs": runs})
    }
}
