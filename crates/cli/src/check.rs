//! `lapismast check FILE` and `lapismast settings FILE`: the errors of a file, and the effective
//! settings.

use clap::{Arg, ArgAction, ArgMatches, Command};
use conf::settings;
use eyre::{Result, WrapErr, eyre};

/// The arguments of `check`.
pub(crate) fn command() -> Command {
    Command::new("check")
        .about("Checks a settings or resource file and reports what is wrong")
        .after_help(
            "The file is checked locally. Unknown fields are errors, and for a typo the nearest \
             valid name is suggested.",
        )
        .arg(file_arg())
        .arg(as_arg(&["resources", "entry", "agent"], "resources"))
}

/// The arguments of `settings`.
pub(crate) fn settings_command() -> Command {
    Command::new("settings")
        .about(
            "Shows the effective settings of an entry or agent: the file's, or else the defaults",
        )
        .arg(file_arg().required(false))
        .arg(as_arg(&["entry", "agent"], "entry"))
        .arg(
            Arg::new("print")
                .long("print")
                .action(ArgAction::SetTrue)
                .help("Prints the settings as YAML; without it the file is only checked"),
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
        .help("What the file holds")
}

/// Checks the file and prints `ok`, or fails with the first error.
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
    let source = || file.cloned().unwrap_or_else(|| "defaults".to_owned());
    let yaml = match kind(matches) {
        "agent" => {
            let mut settings = settings::Agent::parse(&text).wrap_err_with(source)?;
            hide(&mut settings.peer_key);
            serde_yaml_ng::to_string(&settings)?
        }
        _ => {
            let mut settings = settings::Entry::parse(&text).wrap_err_with(source)?;
            hide(&mut settings.peer_key);
            serde_yaml_ng::to_string(&settings)?
        }
    };
    if matches.get_flag("print") {
        print!("{yaml}");
    } else {
        println!("{}: ok", source());
    }
    Ok(())
}

fn kind(matches: &ArgMatches) -> &str {
    matches.get_one::<String>("as").map_or("", String::as_str)
}

/// Hides a key, which would otherwise end up in tickets and terminal logs.
fn hide(key: &mut compact_str::CompactString) {
    if !key.is_empty() {
        *key = compact_str::CompactString::const_new("(hidden)");
    }
}
