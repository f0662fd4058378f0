//! The command line: one module a subcommand, thin over the libraries.

mod check;
mod daemons;
mod dev;
mod fake;
mod load;
mod logs;

use clap::{Arg, ArgMatches, Command};
use eyre::Result;
use std::ffi::OsString;
use std::process::ExitCode;

/// Exit code of a command line that makes no sense, as `clap` has it.
const USAGE: u8 = 2;

/// Runs the program with its arguments and returns its exit code.
pub fn run(args: impl IntoIterator<Item = OsString>) -> ExitCode {
    let matches = match command().try_get_matches_from(args) {
        Ok(matches) => matches,
        Err(error) => {
            let code = if error.use_stderr() { ExitCode::from(USAGE) } else { ExitCode::SUCCESS };
            // Nothing can be done about a terminal that can't be written to.
            let _ = error.print();
            return code;
        }
    };
    match dispatch(&matches) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("lapismast: {error:#}");
            ExitCode::FAILURE
        }
    }
}

/// The command line.
pub fn command() -> Command {
    Command::new("lapismast")
        .version(clap::crate_version!())
        .about("Serves language-model requests on a fixed fleet of engines")
        .after_help("Try `lapismast dev`: everything in one process, with stand-ins.")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(dev::command())
        .subcommand(daemons::entry_command())
        .subcommand(daemons::agent_command())
        .subcommand(check::command())
        .subcommand(check::settings_command())
        .subcommand(fake::command())
        .subcommand(load::command())
}

fn dispatch(matches: &ArgMatches) -> Result<()> {
    match matches.subcommand() {
        Some(("dev", matches)) => dev::run(matches),
        Some(("entry", matches)) => daemons::run_entry(matches),
        Some(("agent", matches)) => daemons::run_agent(matches),
        Some(("check", matches)) => check::run(matches),
        Some(("settings", matches)) => check::run_settings(matches),
        Some(("fake", matches)) => fake::run(matches),
        Some(("load", matches)) => load::run(matches),
        _ => unreachable!("clap lets only known subcommands through"),
    }
}

/// The `--settings FILE` argument of the daemons.
fn settings_arg() -> Arg {
    Arg::new("settings").long("settings").value_name("FILE").required(true).help("Settings in YAML")
}

/// Starts the runtime that commands run on.
fn runtime() -> Result<tokio::runtime::Runtime> {
    Ok(tokio::runtime::Builder::new_multi_thread().enable_all().build()?)
}
