//! `lapismast explain REQUEST-ID`: where a request was sent and why.

use admin::Client;
use clap::{Arg, ArgMatches, Command};
use eyre::{Result, eyre};

/// The subcommand's arguments.
pub(crate) fn command() -> Command {
    Command::new("explain")
        .about("Shows where a recent request was sent and why; ask the entry that received it")
        .arg(
            Arg::new("request")
                .value_name("REQUEST-ID")
                .required(true)
                .help("The id that the caller received with the answer"),
        )
}

/// Prints the records of the entry and the agents about the request.
pub(crate) async fn run(client: &Client, matches: &ArgMatches) -> Result<()> {
    let request: &String = matches.get_one("request").ok_or_else(|| eyre!("no request"))?;
    let explanation = client.explain(request).await?;
    println!("request {}", explanation.request);
    explanation.lines.iter().for_each(|line| println!("{line}"));
    Ok(())
}
