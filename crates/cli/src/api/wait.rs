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
        .about("Waits until a resource is in force everywhere, or the fleet is as it asks")
        .arg(resource_arg())
        .arg(
            Arg::new("for")
                .long("for")
                .value_parser(["ready", "in-force", "deleted"])
                .default_value("ready")
                .help("What to wait for"),
        )
        .arg(
            Arg::new("timeout")
                .long("timeout")
                .value_name("SECONDS")
                .value_parser(value_parser!(u32))
                .default_value("60")
                .help("How long"),
        )
}

/// How often to look.
const INTERVAL: Duration = Duration::from_millis(200);

/// Looks until it is so, or fails with who lags.
pub(crate) async fn run(client: &Client, matches: &ArgMatches) -> Result<()> {
    let (kind, name) = resource_of(matches)?;
    let wanted = matches.get_one::<String>("for").map_or("ready", String::as_str);
    let seconds = matches.get_one::<u32>("timeout").copied().unwrap_or_default();
    let begun = Instant::now();
    loop {
        let missing = match missing(client, kind, &name, wanted).await? {
            None => {
                let waited = begun.elapsed().as_secs_f64();
                println!("{}/{name}: {wanted} after {waited:.1} s", kind.name());
                return Ok(());
            }
            Some(reason) => reason,
        };
        if begun.elapsed() >= Duration::from_secs(u64::from(seconds)) {
            let detail = format!("{}/{name} is not {wanted}: {missing}", kind.name());
            return Err(NotReached { detail }.into());
        }
        tokio::time::sleep(INTERVAL).await;
    }
}

/// Why the resource is not as wanted, if it isn't.
async fn missing(
    client: &Client,
    kind: Kind,
    name: &str,
    wanted: &str,
) -> Result<Option<String>, Error> {
    let resource = match client.get(kind, name).await {
        Ok(resource) => resource,
        Err(Error::Refused { details, .. }) if details.title == "not-found" => {
            let deleted = wanted == "deleted";
            return Ok((!deleted).then_some(details.detail));
        }
        Err(error) => return Err(error),
    };
    let condition = resource.status.conditions.into_iter().find(|c| c.name == wanted);
    Ok(match condition {
        Some(condition) if condition.met => None,
        Some(condition) => Some(condition.reason),
        None => Some("it is still there".to_owned()),
    })
}
