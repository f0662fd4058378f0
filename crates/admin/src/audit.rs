//! The audit trail: operators' changes, and the records of processes in the log.

use crate::Context;
use crate::api::{Audit, AuditEntry};
use compact_str::format_compact;
use plat::Offset;
use serde_json::Value;
use std::time::Duration;

/// The longest that a call waits for new entries; a proxy may abort longer calls.
const MAX_WAIT: Duration = Duration::from_secs(25);

/// Reads the trail from the two offsets on; waits up to `wait` for the first entry.
pub(crate) async fn read(
    context: &Context,
    config_from: Offset,
    system_from: Offset,
    wait: Duration,
) -> Audit {
    let (mut config, mut system) = (context.config.clone(), context.system.clone());
    let new_entry = async {
        tokio::select! {
            _ = config.wait_for(|config| config.end() > config_from) => {}
            _ = system.wait_for(|system| state::Fold::end(&**system) > system_from) => {}
        }
    };
    // The response has the offsets to continue from, also if the wait timed out.
    let _ = tokio::time::timeout(wait.min(MAX_WAIT), new_entry).await;
    read_now(context, config_from, system_from)
}

fn read_now(context: &Context, config_from: Offset, system_from: Offset) -> Audit {
    let (config, system) = (context.config.borrow().clone(), context.system.borrow().clone());
    let changes = config.audit().filter(|entry| entry.offset >= config_from).map(config_entry);
    let actions = system.audit().filter(|entry| entry.offset >= system_from).map(system_entry);
    Audit {
        entries: changes.chain(actions).collect(),
        config_end: config.end(),
        system_end: state::Fold::end(&*system),
    }
}

fn config_entry(entry: &state::config::AuditEntry) -> AuditEntry {
    let spec = |text: &Option<String>| -> Option<Value> {
        text.as_ref().and_then(|text| serde_json::from_str(text).ok())
    };
    let what = match &entry.after {
        Some(_) if entry.before.is_some() => "change",
        Some(_) => "create",
        None => "delete",
    };
    AuditEntry {
        stream: plat::CONFIG_STREAM.into(),
        offset: entry.offset,
        at_ms: entry.written_ms,
        author: entry.author.as_str().into(),
        subject: format_compact!("{}/{}", entry.kind, entry.name),
        what: what.to_owned(),
        outcome: match &entry.outcome {
            Ok(generation) => format!("accepted as generation {generation}"),
            Err(refusal) => format!("refused: {refusal}"),
        },
        before: spec(&entry.before),
        after: spec(&entry.after),
    }
}

fn system_entry(entry: &state::system::AuditEntry) -> AuditEntry {
    let outcome = if entry.valid { "accepted" } else { "void: its author did not hold the scope" };
    AuditEntry {
        stream: plat::SYSTEM_STREAM.into(),
        offset: entry.offset,
        at_ms: entry.written_ms,
        author: entry.author.clone(),
        subject: entry.subject.clone(),
        what: entry.what.to_string(),
        outcome: outcome.to_owned(),
        before: None,
        after: None,
    }
}
