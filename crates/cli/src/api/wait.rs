//! `lapismast wait --for=ready KIND/NAME`.

use super::{resource_arg, resource_of};
use crate::exit::NotReached;
use admin::{Client, Error};
use clap::{Arg, ArgMatches, Command, value_parser};
use conf::Kind;
use eyre::Result;
use std::time::Duration;
use tokio::time::Instant;

/// The subcommand's arguments.
pub(crate) fn command() -> Command {
    Command::new("wait")
        .about("Waits until a resource is in force everywhere, or its desired state is reached")
        .arg(resource_arg())
        .arg(
            Arg::new("for")
                .long("for")
                .value_parser(["ready", "in-force", "deleted"])
                .default_value("ready")
                .help("The condition to wait for"),
        )
        .arg(
            Arg::new("timeout")
                .long("timeout")
                .value_name("SECONDS")
                .value_parser(value_parser!(u32))
                .default_value("60")
                .help("The longest time to wait"),
        )
}

/// The interval between reads of the resource.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Polls until the condition is met; fails at the timeout with the reason why it is not.
pub(crate) async fn run(client: &Client, matches: &ArgMatches) -> Result<()> {
    let (kind, name) = resource_of(matches)?;
    let condition = matches.get_one::<String>("for").map_or("ready", String::as_str);
    let seconds = matches.get_one::<u32>("timeout").copied().unwrap_or_default();
    let started = Instant::now();
    loop {
        let missing = match missing(client, kind, &name, condition).await? {
            None => {
                let waited = started.elapsed().as_secs_f64();
                println!("{}/{name}: {condition} after {waited:.1} s", kind.name());
                return Ok(());
            }
            Some(reason) => reason,
        };
        if started.elapsed() >= Duration::from_secs(u64::from(seconds)) {
            let detail = format!("{}/{name} is not {condition}: {missing}", kind.name());
            return Err(NotReached { detail }.into());
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// The reason why the condition is not met, or none if it is.
async fn missing(
    client: &Client,
    kind: Kind,
    name: &str,
    condition: &str,
) -> Result<Option<String>, Error> {
    let resource = match client.get(kind, name).await {
        Ok(resource) => resource,
        Err(Error::Refused { details, .. }) if details.title == "not-found" => {
            let deleted = condition == "deleted";
            return Ok((!deleted).then_some(details.detail));
        }
        Err(error) => return Err(error),
    };
    let found = resource.status.conditions.into_iter().find(|c| c.name == condition);
    Ok(match found {
        Some(condition) if condition.met => None,
        Some(condition) => Some(condition.reason),
        None => Some("it still exists".to_owned()),
    })
}
