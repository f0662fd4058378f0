//! `lapismast audit [--follow]`: who did what, and the outcome.

use super::{output, output_arg};
use admin::Client;
use admin::api::AuditEntry;
use clap::{Arg, ArgAction, ArgMatches, Command};
use eyre::Result;
use std::time::Duration;

/// The subcommand's arguments.
pub(crate) fn command() -> Command {
    Command::new("audit")
        .about("Shows who changed what, and the claims and orders of processes")
        .arg(
            Arg::new("follow")
                .long("follow")
                .action(ArgAction::SetTrue)
                .help("Continues with new entries until it is interrupted"),
        )
        .arg(output_arg())
}

/// How long one call waits for new entries.
const WAIT: Duration = Duration::from_secs(20);

/// How long to wait after a failed call while following.
const RETRY_WAIT: Duration = Duration::from_secs(1);

/// Prints the trail, and follows it with `--follow`.
pub(crate) async fn run(client: &Client, matches: &ArgMatches) -> Result<()> {
    let format = output(matches);
    let mut trail = client.audit(0, 0, Duration::ZERO).await?;
    show(format, &trail.entries)?;
    while matches.get_flag("follow") {
        match client.audit(trail.config_end, trail.system_end, WAIT).await {
            Ok(next) => trail = next,
            Err(error) => {
                eprintln!("lapismast: {error}");
                trail.entries.clear();
                tokio::time::sleep(RETRY_WAIT).await;
            }
        }
        show(format, &trail.entries)?;
    }
    Ok(())
}

fn show(format: &str, entries: &[AuditEntry]) -> Result<()> {
    for entry in entries {
        match format {
            "json" => println!("{}", serde_json::to_string(entry)?),
            "yaml" => print!("---\n{}", serde_yaml_ng::to_string(entry)?),
            _ => {
                let AuditEntry { stream, offset, author, subject, what, outcome, .. } = entry;
                println!("{stream} {offset}  {author}  {subject}  {what}  {outcome}");
            }
        }
    }
    Ok(())
}
