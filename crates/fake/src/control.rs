//! Faults that are set while a stand-in runs, and what it reports of itself.
//!
//! Each stand-in reads its own faults as a JSON object: fields that are left out stay as they
//! are, and unknown ones are refused, so that a misspelt fault isn't taken for one that is set.

use crate::{MemoryEngine, MemoryLog, MemoryService, MemoryVms, MemoryWeights};
use compact_str::CompactString;
use serde::Deserialize;
use serde_json::{Value, json};
use serde_with::{DurationMilliSeconds, serde_as};
use std::time::Duration;

/// A stand-in whose faults can be set while it runs.
pub trait Control: Send + Sync {
    /// Sets the faults that `faults` names; an error says which field is wrong and sets nothing.
    fn set(&self, faults: Value) -> serde_json::Result<()>;

    /// What happened at the stand-in so far.
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
        self.change(|model| {
            model.slow = faults.slow.unwrap_or(model.slow).max(0.0);
            model.checks_fencing = faults.checks_fencing.unwrap_or(model.checks_fencing);
            model.prefill_rate = faults.prefill_rate.unwrap_or(model.prefill_rate).max(1);
            model.token_time = faults.token_time.unwrap_or(model.token_time);
            model.role_change = faults.role_change.unwrap_or(model.role_change);
            model.load = faults.load.unwrap_or(model.load);
            // An empty text would crash the engine on each prompt; it takes the fault away.
            if let Some(text) = faults.crash_on {
                model.crash_on = (!text.is_empty()).then_some(text);
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
