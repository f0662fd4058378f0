//! `lapismast apply -f FILE` and `lapismast delete KIND/NAME`.

use super::{resource_arg, resource_of};
use admin::{Client, Error};
use clap::{Arg, ArgMatches, Command, value_parser};
use conf::Resource;
use eyre::{Result, WrapErr, eyre};

/// The arguments of `apply`.
pub(crate) fn command() -> Command {
    Command::new("apply")
        .about("Publishes the resources of a file; returns once the log has accepted them")
        .arg(
            Arg::new("file")
                .short('f')
                .long("file")
                .value_name("FILE")
                .required(true)
                .help("Resources in YAML; `-` reads standard input"),
        )
}

/// The arguments of `delete`.
pub(crate) fn delete_command() -> Command {
    Command::new("delete")
        .about("Deletes a resource that no other resource refers to")
        .arg(resource_arg())
        .arg(
            Arg::new("expects")
                .long("expects")
                .value_name("GENERATION")
                .value_parser(value_parser!(u64))
                .help("Fails if the resource is at another generation"),
        )
}

/// Publishes each resource that differs from the current one.
pub(crate) async fn run(client: &Client, matches: &ArgMatches) -> Result<()> {
    let file: &String = matches.get_one("file").ok_or_else(|| eyre!("no file"))?;
    let text = match file.as_str() {
        "-" => std::io::read_to_string(std::io::stdin()),
        file => std::fs::read_to_string(file),
    };
    let text = text.wrap_err_with(|| format!("read {file}"))?;
    let resources = conf::check::resources(&text).wrap_err_with(|| file.clone())?;
    for resource in &resources {
        apply(client, resource).await?;
    }
    Ok(())
}

async fn apply(client: &Client, resource: &Resource) -> Result<()> {
    let Resource { kind, name, spec } = resource;
    let before = match client.get(*kind, name).await {
        Ok(before) => Some(before),
        Err(Error::Refused { details, .. }) if details.title == "not-found" => None,
        Err(error) => return Err(error.into()),
    };
    if before.as_ref().is_some_and(|before| before.spec == *spec) {
        println!("{}/{name}: unchanged", kind.name());
        return Ok(());
    }
    // The generation that was read is sent along, so that a change by another operator in between
    // is a conflict and is not overwritten unnoticed.
    let expected = before.map_or(0, |before| before.generation);
    let accepted = client.apply(resource, Some(expected)).await?;
    println!("{}/{name}: generation {}", kind.name(), accepted.generation);
    Ok(())
}

/// Deletes a resource.
pub(crate) async fn run_delete(client: &Client, matches: &ArgMatches) -> Result<()> {
    let (kind, name) = resource_of(matches)?;
    client.delete(kind, &name, matches.get_one("expects").copied()).await?;
    println!("{}/{name}: deleted", kind.name());
    Ok(())
}
