//! Verifies the outcomes that callers received against the runs that stand-in services counted.

use crate::client::Client;
use crate::outcome::Outcome;
use crate::{Error, Result};
use compact_str::CompactString;
use serde::Serialize;
use serde_json::Value;
use std::collections::HashMap;

/// Outcomes of non-repeatable calls as their callers saw them, by idempotency key.
pub(crate) type Outcomes = HashMap<CompactString, Outcome>;

/// Numbers of calls by the runs counted and the outcomes that callers saw.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Calls {
    /// Non-repeatable calls.
    pub sent: u64,
    /// Calls that ran more than once.
    pub doubled: u64,
    /// Calls that ran although the response guaranteed that they did not.
    pub ran_though_refused: u64,
    /// Calls that were answered although no service ran them.
    pub answered_not_run: u64,
    /// Calls of unknown outcome that ran.
    pub unknown_ran: u64,
    /// Calls of unknown outcome that did not run.
    pub unknown_not_run: u64,
}

/// Reads the services' reports and compares them with the callers' outcomes.
pub(crate) async fn calls(
    client: &Client,
    services: &[CompactString],
    outcomes: &Outcomes,
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
    Ok(compare(outcomes, &runs))
}

/// Extracts the idempotency key from `METHOD path body`.
fn key_of(call: &str) -> Option<CompactString> {
    let body = call.splitn(3, ' ').nth(2)?;
    let body = serde_json::from_str::<Value>(body).ok()?;
    body["call"].as_str().map(CompactString::from)
}

fn compare(outcomes: &Outcomes, runs: &HashMap<CompactString, u64>) -> Calls {
    let mut calls = Calls::default();
    for (key, outcome) in outcomes {
        let ran = runs.get(key).copied().unwrap_or_default();
        calls.sent += 1;
        calls.doubled += u64::from(ran > 1);
        match outcome {
            Outcome::Complete => calls.answered_not_run += u64::from(ran == 0),
            Outcome::Refused(_) | Outcome::Unreachable => {
                calls.ran_though_refused += u64::from(ran > 0);
            }
            Outcome::Unknown(_) | Outcome::Cut(_) | Outcome::Corrupt | Outcome::Unanswered => {
                calls.unknown_ran += u64::from(ran > 0);
                calls.unknown_not_run += u64::from(ran == 0);
            }
        }
    }
    calls
}
