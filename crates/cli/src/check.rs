//! `lapismast check FILE`: says what is wrong in a settings or resource file.

use clap::{Arg, ArgMatches, Command};
use conf::{Resource, settings};
use eyre::{Result, WrapErr, eyre};

/// The subcommand's arguments.
pub(crate) fn command() -> Command {
    Command::new("check")
        .about("Says what is wrong in a settings or resource file")
        .arg(Arg::new("file").value_name("FILE").required(true).help("The file, in YAML"))
        .arg(
            Arg::new("as")
                .long("as")
                .value_parser(["resources", "entry", "agent"])
                .default_value("resources")
                .help("What the file holds"),
        )
}

/// Checks the file and prints `ok`, or fails with what is wrong.
pub(crate) fn run(matches: &ArgMatches) -> Result<()> {
    let file: &String = matches.get_one("file").ok_or_else(|| eyre!("no file"))?;
    let text = std::fs::read_to_string(file).wrap_err_with(|| format!("read {file}"))?;
    let kind = matches.get_one::<String>("as").map_or("resources", String::as_str);
    let checked = match kind {
        "entry" => conf::check::parse::<settings::Entry>(&text).map(drop),
        "agent" => conf::check::parse::<settings::Agent>(&text).map(drop),
        _ => Resource::parse_all(&text)
            .and_then(|all| all.iter().try_for_each(|resource| resource.check().map(drop))),
    };
    checked.wrap_err_with(|| file.clone())?;
    println!("{file}: ok");
    Ok(())
}
