//! `lapismast load FILE`: sends a mix of requests to entries and reports what callers received.

use crate::{exit, runtime};
use ::load::{Endpoints, Mix};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use compact_str::CompactString;
use eyre::{Result, WrapErr, bail, eyre};
use std::time::Duration;

/// Help on the checks, the mixes and the exit code.
const HELP: &str = "\
Requests are sent at the times that the mix gives, whether or not earlier ones were answered. Each
answer is compared with the one that a stand-in engine must give, so that lost, duplicated and
foreign tokens are detected. Examples of mixes are in trials/. The exit code is 4 if a guarantee
was violated: an answer that is not the request's own, a call that ran twice or ran though refused,
or conflicting orders to an engine.

  lapismast load trials/short.yaml --entries 127.0.0.1:8080";

/// The subcommand's arguments.
pub(crate) fn command() -> Command {
    Command::new("load")
        .about("Sends a mix of requests to entries and reports what callers received")
        .after_help(HELP)
        .arg(Arg::new("file").value_name("FILE").required(true).help("The mix, in YAML"))
        .arg(
            addresses("entries", "Entries; a request that fails is continued through the next")
                .required(true),
        )
        .arg(addresses("direct", "Stand-in engines that receive every second prompt directly"))
        .arg(addresses("services", "Stand-in services, to count how often each call ran"))
        .arg(addresses("engines", "Stand-in engines, to count role changes"))
        .arg(
            Arg::new("duration")
                .long("duration")
                .value_name("SECONDS")
                .value_parser(value_parser!(u32).range(1..))
                .help("Scales the mix, its swing and its bursts to this duration"),
        )
        .arg(
            Arg::new("rate")
                .long("rate")
                .value_name("PER_SECOND")
                .value_parser(value_parser!(f64))
                .help("Requests per second, instead of the mix's rate"),
        )
        .arg(
            Arg::new("output")
                .short('o')
                .long("output")
                .value_parser(["table", "json"])
                .default_value("table")
                .help("Output format of the report"),
        )
}

fn addresses(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("HOST:PORT,...")
        .value_delimiter(',')
        .action(ArgAction::Append)
        .help(help)
}

/// Sets the duration of the mix and scales its swing and bursts in proportion.
fn stretch(mix: &mut Mix, duration: Duration) {
    let factor = duration.as_secs_f64() / mix.duration.as_secs_f64().max(f64::MIN_POSITIVE);
    mix.duration = duration;
    mix.swing = mix.swing.mul_f64(factor);
    for burst in &mut mix.bursts {
        burst.at = burst.at.mul_f64(factor);
        burst.lasts = burst.lasts.mul_f64(factor);
    }
}

/// Sends the mix and prints the report.
pub(crate) fn run(matches: &ArgMatches) -> Result<()> {
    let file: &String = matches.get_one("file").ok_or_else(|| eyre!("no file"))?;
    let text = std::fs::read_to_string(file).wrap_err_with(|| format!("read {file}"))?;
    let mut mix = Mix::parse(&text).wrap_err_with(|| file.clone())?;
    if let Some(seconds) = matches.get_one::<u32>("duration") {
        stretch(&mut mix, Duration::from_secs(u64::from(*seconds)));
    }
    if let Some(rate) = matches.get_one::<f64>("rate").copied() {
        if !(rate > 0.0 && rate.is_finite()) {
            bail!("--rate: the rate must be a finite number above 0");
        }
        mix.rate = rate;
    }
    let list = |name| -> Vec<CompactString> {
        let all = matches.get_many::<String>(name).unwrap_or_default();
        all.filter(|address| !address.is_empty()).map(CompactString::from).collect()
    };
    let endpoints = Endpoints {
        entries: list("entries"),
        direct: list("direct"),
        services: list("services"),
        engines: list("engines"),
    };
    let report = runtime()?.block_on(::load::run(mix, endpoints))?;
    match matches.get_one::<String>("output").map(String::as_str) {
        Some("json") => println!("{}", serde_json::to_string_pretty(&report)?),
        _ => print!("{}", report.table()),
    }
    if report.is_broken() {
        eprintln!("lapismast: something happened that must never happen");
        std::process::exit(exit::BROKEN);
    }
    Ok(())
}
