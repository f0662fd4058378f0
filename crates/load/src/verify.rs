//! Compares what callers were told of their calls with what the stand-in services ran.

use crate::client::Client;
use crate::outcome::Outcome;
use crate::{Error, Result};
use compact_str::CompactString;
use serde::Serialize;
use serde_json::Value;
use std::collections::HashMap;

/// What callers were told of calls that may not be repeated, by idempotency key.
pub(crate) type Told = HashMap<CompactString, Outcome>;

/// How often calls ran against what their callers were told.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Calls {
    /// Calls that may not be repeated.
    pub sent: u64,
    /// Calls that ran more than once.
    pub doubled: u64,
    /// Calls that ran although their caller was told that they did not.
    pub ran_though_refused: u64,
    /// Calls that were answered but that no service knows of.
    pub answered_not_run: u64,
    /// Calls of unknown outcome that ran.
    pub unknown_ran: u64,
    /// Calls of unknown outcome that did not run.
    pub unknown_not_run: u64,
}

/// Reads the services' reports and compares.
pub(crate) async fn calls(
    client: &Client,
    services: &[CompactString],
    told: &Told,
) -> Result<Calls> {
    let mut runs = HashMap::new();
    for service in services {
        let report = client.report(service).await?;
        let by_call = report["runs"].as_object().ok_or_else(|| Error::Exchange {
            step: "read a service's report",
            peer: service.clone(),
            detail: "it has no `runs`; is it a stand-in service?".to_owned(),
        })?;
        for (call, count) in by_call {
            if let Some(key) = key_of(call) {
                *runs.entry(key).or_insert(0) += count.as_u64().unwrap_or_default();
            }
        }
    }
    Ok(compare(told, &runs))
}

/// The key in `METHOD path body`.
fn key_of(call: &str) -> Option<CompactString> {
    let body = call.splitn(3, ' ').nth(2)?;
    let body = serde_json::from_str::<Value>(body).ok()?;
    body["call"].as_str().map(CompactString::from)
}

fn compare(told: &Told, runs: &HashMap<CompactString, u64>) -> Calls {
    let mut calls = Calls::default();
    for (key, outcome) in told {
        let ran = runs.get(key).copied().unwrap_or_default();
        calls.sent += 1;
        calls.doubled += u64::from(ran > 1);
        match outcome {
            Outcome::Complete => calls.answered_not_run += u64::from(ran == 0),
            Outcome::Refused(_) | Outcome::Unreachable => {
                calls.ran_though_refused += u64::from(ran > 0);
            }
            Outcome::Unknown(_) | Outcome::Cut(_) | Outcome::Torn | Outcome::Unanswered => {
                calls.unknown_ran += u64::from(ran > 0);
                calls.unknown_not_run += u64::from(ran == 0);
            }
        }
    }
    calls
}
