//! `lapismast bug-report`: the state that a maintainer needs to see, without secrets.

use admin::Client;
use clap::Command;
use eyre::Result;
use std::time::Duration;

/// The subcommand's arguments.
pub(crate) fn command() -> Command {
    Command::new("bug-report")
        .about("Prints version, fleet, resources, orders, audit trail and metrics for a bug report")
}

/// The number of audit entries that are printed.
const AUDIT_ENTRIES: usize = 50;

/// Prints all parts; for a part that can't be read the error is printed, and the others follow.
pub(crate) async fn run(client: &Client) -> Result<()> {
    println!("# Version\n\nlapismast {} on {}\n", clap::crate_version!(), std::env::consts::OS);
    part("Fleet", client.fleet().await)?;
    part("Leases", client.leases().await)?;
    part("Orders", client.orders().await)?;
    part("Resources", client.list(None).await.map(without_digests))?;
    let trail = client.audit(0, 0, Duration::ZERO).await;
    part("Audit", trail.map(|trail| last(&trail.entries)))?;
    match client.metrics().await {
        Ok(metrics) => println!("# Metrics\n\n```text\n{metrics}```"),
        Err(error) => println!("# Metrics\n\n{error}"),
    }
    Ok(())
}

fn part<T: serde::Serialize>(title: &str, read: Result<T, admin::Error>) -> Result<()> {
    println!("# {title}\n");
    match read {
        Ok(value) => println!("```yaml\n{}```\n", serde_yaml_ng::to_string(&value)?),
        Err(error) => println!("{error}\n"),
    }
    Ok(())
}

/// Hides the digests of tokens: with a digest tokens can be guessed offline, and reports are often
/// public.
fn without_digests(mut resources: Vec<admin::api::Resource>) -> Vec<admin::api::Resource> {
    for resource in &mut resources {
        if let Some(digest) = resource.spec.get_mut("token_sha256") {
            *digest = serde_json::json!("(hidden)");
        }
    }
    resources
}

/// Formats the last audit entries without specs, which may hold digests.
fn last(entries: &[admin::api::AuditEntry]) -> Vec<String> {
    let last = entries.iter().skip(entries.len().saturating_sub(AUDIT_ENTRIES));
    let lines = last.map(|entry| {
        let admin::api::AuditEntry { stream, offset, author, subject, what, outcome, .. } = entry;
        format!("{stream} {offset} {author} {subject} {what}: {outcome}")
    });
    lines.collect()
}
