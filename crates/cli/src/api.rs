//! The operators' commands, which use the administration API; one module each.

mod apply;
mod audit;
mod explain;
mod get;
mod report;
mod table;
mod wait;

use crate::runtime;
use admin::Client;
use clap::{Arg, ArgMatches, Command};
use conf::Kind;
use eyre::{Result, WrapErr, eyre};

/// All operators' commands.
pub(crate) fn commands() -> [Command; 7] {
    [
        apply::command(),
        get::command(),
        apply::delete_command(),
        wait::command(),
        audit::command(),
        explain::command(),
        report::command(),
    ]
    .map(with_connection)
}

/// Help on the connection to an entry and on exit codes.
const CONNECTION_HELP: &str = "\
The entry's address is --admin or LAPISMAST_ADMIN. The token is read from the file of --token-file
or from LAPISMAST_TOKEN, never from the command line, which other users of the machine can see.

Exit codes: 0 done, 1 failed, 2 wrong command line, 5 conflict with another change, 6 not found,
7 not reached in time.";

fn with_connection(command: Command) -> Command {
    let option = |name: &'static str, value: &'static str, help: &'static str| {
        Arg::new(name).long(name).value_name(value).help(help)
    };
    command
        .after_help(CONNECTION_HELP)
        .arg(option("admin", "HOST:PORT", "An entry's address for operators [127.0.0.1:8081]"))
        .arg(option("token-file", "FILE", "A file with the operators' token"))
        .arg(option("operator", "NAME", "Your name in the audit trail [the user's name]"))
}

/// Runs the operators' command `name`.
pub(crate) fn run(name: &str, matches: &ArgMatches) -> Result<()> {
    let client = client(matches)?;
    runtime()?.block_on(async {
        match name {
            "apply" => apply::run(&client, matches).await,
            "get" => get::run(&client, matches).await,
            "delete" => apply::run_delete(&client, matches).await,
            "wait" => wait::run(&client, matches).await,
            "audit" => audit::run(&client, matches).await,
            "explain" => explain::run(&client, matches).await,
            _ => report::run(&client).await,
        }
    })
}

fn client(matches: &ArgMatches) -> Result<Client> {
    let option = |name: &str| matches.get_one::<String>(name).cloned();
    let variable = |name: &str| std::env::var(name).ok().filter(|value| !value.is_empty());
    let admin = option("admin").or_else(|| variable("LAPISMAST_ADMIN"));
    let admin = admin.unwrap_or_else(|| "127.0.0.1:8081".to_owned());
    let operator = option("operator").or_else(|| variable("USER")).unwrap_or_default();
    let token = match option("token-file") {
        Some(file) => {
            let text = std::fs::read_to_string(&file);
            text.wrap_err_with(|| format!("read {file}"))?.trim().to_owned()
        }
        None => variable("LAPISMAST_TOKEN").unwrap_or_default(),
    };
    let operator = if operator.is_empty() { "operator".to_owned() } else { operator };
    Ok(Client::new(&admin, &token, &operator))
}

/// The argument that names one resource.
fn resource_arg() -> Arg {
    Arg::new("resource")
        .value_name("KIND/NAME")
        .required(true)
        .help("The resource, such as Target/engine-1")
}

/// Parses the argument `KIND/NAME`.
fn resource_of(matches: &ArgMatches) -> Result<(Kind, String)> {
    let text: &String = matches.get_one("resource").ok_or_else(|| eyre!("no resource"))?;
    let (kind, name) = text
        .split_once('/')
        .ok_or_else(|| eyre!("`{text}` is not of the form KIND/NAME, such as Target/engine-1"))?;
    Ok((Kind::from_name(kind)?, name.to_owned()))
}

/// The argument for the output format.
fn output_arg() -> Arg {
    Arg::new("output")
        .short('o')
        .long("output")
        .value_parser(["table", "yaml", "json"])
        .default_value("table")
        .help("Output format")
}

fn output(matches: &ArgMatches) -> &str {
    matches.get_one::<String>("output").map_or("table", String::as_str)
}
