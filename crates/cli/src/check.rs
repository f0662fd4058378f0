//! `lapismast check FILE` and `lapismast settings FILE`: what is wrong in a file, and what a
//! settings file amounts to.

use clap::{Arg, ArgAction, ArgMatches, Command};
use conf::settings;
use eyre::{Result, WrapErr, eyre};

/// The arguments of `check`.
pub(crate) fn command() -> Command {
    Command::new("check")
        .about("Says what is wrong in a settings or resource file")
        .after_help(
            "Nothing is sent anywhere. Unknown fields are errors, and a typo is answered with the \
             nearest valid name.",
        )
        .arg(file_arg())
        .arg(as_arg(&["resources", "entry", "agent"], "resources"))
}

/// The arguments of `settings`.
pub(crate) fn settings_command() -> Command {
    Command::new("settings")
        .about("Shows the effective settings of an entry or agent: the file's and the defaults")
        .arg(file_arg().required(false))
        .arg(as_arg(&["entry", "agent"], "entry"))
        .arg(
            Arg::new("print")
                .long("print")
                .action(ArgAction::SetTrue)
                .help("Print them as YAML; without it the file is only checked"),
        )
}

fn file_arg() -> Arg {
    Arg::new("file").value_name("FILE").required(true).help("The file, in YAML")
}

fn as_arg(kinds: &'static [&'static str], default: &'static str) -> Arg {
    Arg::new("as")
        .long("as")
        .value_parser(kinds.to_vec())
        .default_value(default)
        .help("What it holds")
}

/// Checks the file and prints `ok`, or fails with what is wrong.
pub(crate) fn run(matches: &ArgMatches) -> Result<()> {
    let file: &String = matches.get_one("file").ok_or_else(|| eyre!("no file"))?;
    let text = std::fs::read_to_string(file).wrap_err_with(|| format!("read {file}"))?;
    let checked = match kind(matches) {
        "entry" => settings::Entry::parse(&text).map(drop),
        "agent" => settings::Agent::parse(&text).map(drop),
        _ => conf::check::resources(&text).map(drop),
    };
    checked.wrap_err_with(|| file.clone())?;
    println!("{file}: ok");
    Ok(())
}

/// Checks the settings and prints them with the defaults filled in.
pub(crate) fn run_settings(matches: &ArgMatches) -> Result<()> {
    let file = matches.get_one::<String>("file");
    let text = match file {
        Some(file) => std::fs::read_to_string(file).wrap_err_with(|| format!("read {file}"))?,
        None => "{}".to_owned(),
    };
    let place = || file.cloned().unwrap_or_else(|| "defaults".to_owned());
    let yaml = match kind(matches) {
        "agent" => {
            let mut settings = settings::Agent::parse(&text).wrap_err_with(place)?;
            hide(&mut settings.peer_key);
            serde_yaml_ng::to_string(&settings)?
        }
        _ => {
            let mut settings = settings::Entry::parse(&text).wrap_err_with(place)?;
            hide(&mut settings.peer_key);
            serde_yaml_ng::to_string(&settings)?
        }
    };
    if matches.get_flag("print") {
        print!("{yaml}");
    } else {
        println!("{}: ok", place());
    }
    Ok(())
}

fn kind(matches: &ArgMatches) -> &str {
    matches.get_one::<String>("as").map_or("", String::as_str)
}

/// The key would otherwise end up in tickets and terminal logs.
fn hide(key: &mut compact_str::CompactString) {
    if !key.is_empty() {
        *key = compact_str::CompactString::const_new("(hidden)");
    }
}
