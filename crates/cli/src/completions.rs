//! `lapismast completions SHELL`.

use clap::{Arg, ArgMatches, Command, value_parser};
use clap_complete::Shell;
use eyre::{Result, eyre};

/// The subcommand's arguments.
pub(crate) fn command() -> Command {
    Command::new("completions")
        .about("Prints completions for a shell")
        .after_help("lapismast completions bash > /etc/bash_completion.d/lapismast")
        .arg(
            Arg::new("shell")
                .value_name("SHELL")
                .required(true)
                .value_parser(value_parser!(Shell))
                .help("The shell"),
        )
}

/// Prints the completions.
pub(crate) fn run(matches: &ArgMatches) -> Result<()> {
    let shell: &Shell = matches.get_one("shell").ok_or_else(|| eyre!("no shell"))?;
    clap_complete::generate(*shell, &mut crate::command(), "lapismast", &mut std::io::stdout());
    Ok(())
}
