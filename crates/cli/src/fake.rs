//! `lapismast fake KIND`: runs one stand-in as a process of its own.

use crate::daemons::stop_on_signal;
use crate::{logs, runtime};
use ::fake::http::{BoundServer, control_router};
use ::fake::{
    Control, EngineParams, MemoryEngine, MemoryLog, MemoryService, MemoryVms, MemoryWeights,
};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use eyre::{Result, WrapErr, eyre};
use salvo::Router;
use serde_json::{Map, Value};
use std::sync::Arc;

/// Help on setting faults.
const FAULTS_HELP: &str = "\
Faults are set by --fault FIELD=VALUE at the start, and while it runs with a JSON object, such as
  curl localhost:9001/faults -d '{\"out\": true}'
and the report of what happened so far is read with
  curl localhost:9001/faults";

/// The subcommand's arguments.
pub(crate) fn command() -> Command {
    Command::new("fake")
        .about("Runs a stand-in for the platform or a target, with faults that can be set")
        .after_help(FAULTS_HELP)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(kind(
            "log",
            "The append-only log; faults: out, delay_ms, lose_replies, retention_ms",
            "127.0.0.1:9001",
        ))
        .subcommand(
            kind(
                "weights",
                "The rate-limited weight store; faults: out, calls_per_second",
                "127.0.0.1:9002",
            )
            .arg(
                Arg::new("artifact")
                    .long("artifact")
                    .value_name("NAME=BYTES")
                    .action(ArgAction::Append)
                    .help("An artifact in the store"),
            ),
        )
        .subcommand(kind(
            "vms",
            "The lagging list of VMs; faults: out, lag_ms, vms (replaces the list)",
            "127.0.0.1:9003",
        ))
        .subcommand(engine_command())
        .subcommand(kind(
            "service",
            "A plain service; faults: down, delay_ms, lose_replies",
            "127.0.0.1:6101",
        ))
}

fn kind(name: &'static str, about: &'static str, listen: &'static str) -> Command {
    Command::new(name)
        .about(about)
        .after_help(FAULTS_HELP)
        .arg(
            Arg::new("listen")
                .long("listen")
                .value_name("HOST:PORT")
                .default_value(listen)
                .help("The address to listen on; port 0 chooses a free one"),
        )
        .arg(
            Arg::new("fault")
                .long("fault")
                .value_name("FIELD=VALUE")
                .action(ArgAction::Append)
                .help("A fault that is set from the start"),
        )
}

fn engine_command() -> Command {
    let about = "An engine; faults: down, slow, crash_on, checks_fencing, prefill_rate, \
                 token_time_us, role_change_ms, load_ms";
    kind("engine", about, "127.0.0.1:6001")
        .arg(
            Arg::new("serve")
                .long("serve")
                .value_name("NAME")
                .action(ArgAction::Append)
                .default_value("lapis-small")
                .help("A name that it serves from the start, such as model or model+adapter"),
        )
        .arg(
            Arg::new("slots")
                .long("slots")
                .value_parser(value_parser!(u32).range(1..))
                .default_value("16")
                .help("The number of jobs that it runs concurrently"),
        )
}

/// Runs the stand-in until SIGTERM or SIGINT.
pub(crate) fn run(matches: &ArgMatches) -> Result<()> {
    logs::start("warn");
    let (name, matches) = matches.subcommand().ok_or_else(|| eyre!("no kind of stand-in"))?;
    runtime()?.block_on(async {
        let stop = stop_on_signal()?;
        let (control, routes) = stand_in(name, matches)?;
        control.set(faults(matches)?).wrap_err("--fault")?;
        let listen: &String = matches.get_one("listen").ok_or_else(|| eyre!("no address"))?;
        let serving = BoundServer::bind(listen, control_router(control, routes)).await;
        let serving = serving.wrap_err_with(|| format!("listen at {listen}"))?;
        println!("{name}: http://{}", serving.address);
        tokio::select! {
            () = serving.run() => {}
            () = stop.cancelled() => {}
        }
        Ok(())
    })
}

fn stand_in(name: &str, matches: &ArgMatches) -> Result<(Arc<dyn Control>, Router)> {
    use ::fake::http;
    Ok(match name {
        "log" => {
            let log = Arc::new(MemoryLog::new());
            (log.clone(), http::log_router(log))
        }
        "weights" => {
            let weights = Arc::new(weights(matches)?);
            (weights.clone(), http::weights_router(weights))
        }
        "vms" => {
            let vms = Arc::new(MemoryVms::default());
            (vms.clone(), http::vms_router(vms))
        }
        "engine" => {
            let engine = Arc::new(engine(matches));
            (engine.clone(), http::engine_router(engine))
        }
        _ => {
            let service = Arc::new(MemoryService::default());
            (service.clone(), http::service_router(service))
        }
    })
}

fn engine(matches: &ArgMatches) -> MemoryEngine {
    let default = EngineParams::default();
    let slots = matches.get_one::<u32>("slots").copied().unwrap_or(default.slots);
    let serves = matches.get_many::<String>("serve").unwrap_or_default().map(String::as_str);
    MemoryEngine::new(EngineParams { slots, ..default }, &serves.collect::<Vec<_>>())
}

fn weights(matches: &ArgMatches) -> Result<MemoryWeights> {
    let weights = MemoryWeights::default();
    for artifact in matches.get_many::<String>("artifact").unwrap_or_default() {
        let (name, bytes) = name_and_value(artifact)?;
        weights.put(name, bytes.parse().wrap_err_with(|| format!("--artifact {artifact}"))?);
    }
    Ok(weights)
}

/// The faults of the command line as the JSON object that the control route accepts.
fn faults(matches: &ArgMatches) -> Result<Value> {
    let mut faults = Map::new();
    for fault in matches.get_many::<String>("fault").unwrap_or_default() {
        let (field, value) = name_and_value(fault)?;
        let value = serde_json::from_str(value).unwrap_or_else(|_| Value::from(value));
        faults.insert(field.to_owned(), value);
    }
    Ok(Value::Object(faults))
}

fn name_and_value(text: &str) -> Result<(&str, &str)> {
    text.split_once('=').ok_or_else(|| eyre!("`{text}` is not of the form NAME=VALUE"))
}
