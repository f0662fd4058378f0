//! The command line: one thin module per subcommand over the libraries.

mod api;
mod check;
mod completions;
mod daemons;
mod dev;
mod exit;
mod fake;
mod load;
mod logs;
mod operators;

use clap::{Arg, ArgMatches, Command};
use eyre::Result;
use std::ffi::OsString;
use std::process::ExitCode;

/// Runs the program with its arguments and returns its exit code.
pub fn run(args: impl IntoIterator<Item = OsString>) -> ExitCode {
    let matches = match command().try_get_matches_from(args) {
        Ok(matches) => matches,
        Err(error) => {
            let code =
                if error.use_stderr() { ExitCode::from(exit::USAGE) } else { ExitCode::SUCCESS };
            // If the terminal cannot be written to, there is no other place for the message.
            let _ = error.print();
            return code;
        }
    };
    match dispatch(&matches) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("lapismast: {error:#}");
            exit::code(&error)
        }
    }
}

/// Help for first steps.
const HELP: &str = "\
Start with `lapismast dev`: a whole fleet in one process, with stand-ins, and commands to try.
On VMs, `entry` and `agent` are the daemons; `apply`, `get` and `wait` are for operators.";

/// Builds the command line with all subcommands.
pub fn command() -> Command {
    Command::new("lapismast")
        .version(clap::crate_version!())
        .about("Serves language-model requests on a fixed fleet of engines")
        .after_help(HELP)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(dev::command())
        .subcommand(daemons::entry_command())
        .subcommand(daemons::agent_command())
        .subcommands(api::commands())
        .subcommand(check::command())
        .subcommand(check::settings_command())
        .subcommand(fake::command())
        .subcommand(load::command())
        .subcommand(completions::command())
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
        Some(("completions", matches)) => completions::run(matches),
        Some((name, matches)) => api::run(name, matches),
        None => unreachable!("clap requires a subcommand"),
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
