//! `lapismast bug-report`: what a maintainer needs to know, without secrets.

use admin::Client;
use clap::Command;
use eyre::Result;
use std::time::Duration;

/// The subcommand's arguments.
pub(crate) fn command() -> Command {
    Command::new("bug-report")
        .about("Prints version, fleet, resources, orders, audit trail and metrics for a bug report")
}

/// How many lines of the audit trail are printed.
const AUDIT_ENTRIES: usize = 50;

/// Prints what can be learnt; a part that fails says so and doesn't stop the others.
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

/// A digest lets whoever has it try tokens at leisure, and reports are often public.
fn without_digests(mut resources: Vec<admin::api::Resource>) -> Vec<admin::api::Resource> {
    for resource in &mut resources {
        if let Some(digest) = resource.spec.get_mut("token_sha256") {
            *digest = serde_json::json!("(hidden)");
        }
    }
    resources
}

/// The last acts without specs, which may hold digests.
fn last(entries: &[admin::api::AuditEntry]) -> Vec<String> {
    let last = entries.iter().skip(entries.len().saturating_sub(AUDIT_ENTRIES));
    let lines = last.map(|entry| {
        let admin::api::AuditEntry { stream, offset, author, subject, what, outcome, .. } = entry;
        format!("{stream} {offset} {author} {subject} {what}: {outcome}")
    });
    lines.collect()
}
