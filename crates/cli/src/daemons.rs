//! `lapismast entry` and `lapismast agent`: the daemons.

use crate::{logs, runtime, settings_arg};
use agent::Backend;
use clap::{Arg, ArgMatches, Command};
use conf::{check, settings};
use eyre::{Result, WrapErr, eyre};
use plat::Log;
use plat::http::HttpClient;
use serde::de::DeserializeOwned;
use std::sync::Arc;
use target::http::{HttpEngine, HttpService};
use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;
use wire::{TcpDialler, TcpListener};

/// The arguments of `entry`.
pub(crate) fn entry_command() -> Command {
    Command::new("entry")
        .about("Runs an entry: callers' HTTP and the way to the agents")
        .arg(settings_arg())
}

/// The arguments of `agent`.
pub(crate) fn agent_command() -> Command {
    Command::new("agent").about("Runs the agent beside a target").arg(settings_arg()).arg(
        Arg::new("backend")
            .long("backend")
            .value_parser(["engine", "service"])
            .default_value("engine")
            .help("What the target is"),
    )
}

/// Runs an entry until it is told to stop.
pub(crate) fn run_entry(matches: &ArgMatches) -> Result<()> {
    logs::start("info");
    let settings: settings::Entry = read(matches)?;
    runtime()?.block_on(async {
        let log = log_client(&settings.platform);
        let stop = stop_on_signal()?;
        let dialler = Arc::new(TcpDialler);
        let vms = vm_list(&settings.platform);
        let seed = rand::random();
        let context = entry::Context { settings, log, vms, dialler, seed, stop };
        entry::Daemon::bind(context).await?.run().await?;
        Ok(())
    })
}

/// Runs an agent until it is told to stop.
pub(crate) fn run_agent(matches: &ArgMatches) -> Result<()> {
    logs::start("info");
    let settings: settings::Agent = read(matches)?;
    let service = matches.get_one::<String>("backend").is_some_and(|kind| kind == "service");
    runtime()?.block_on(async {
        let log = log_client(&settings.platform);
        let stop = stop_on_signal()?;
        let address = settings.target_address.clone();
        let backend = match service {
            true => Backend::Service(Arc::new(HttpService::new(address))),
            false => Backend::Engine(Arc::new(HttpEngine::new(address))),
        };
        let listener = Box::new(TcpListener::bind(&settings.peers_listen).await?);
        let context = agent::Context { settings, log, backend, listener, stop };
        agent::Daemon::new(context).run().await?;
        Ok(())
    })
}

fn read<T: DeserializeOwned>(matches: &ArgMatches) -> Result<T> {
    let file: &String = matches.get_one("settings").ok_or_else(|| eyre!("no settings"))?;
    let text = std::fs::read_to_string(file).wrap_err_with(|| format!("read {file}"))?;
    check::parse(&text).wrap_err_with(|| file.clone())
}

fn log_client(platform: &settings::Platform) -> Arc<dyn Log> {
    Arc::new(HttpClient::new(platform.log.clone(), platform.timeout))
}

/// The client of the platform's list of VMs.
pub(crate) fn vm_list(platform: &settings::Platform) -> Arc<dyn plat::VmList> {
    Arc::new(HttpClient::new(platform.vms.clone(), platform.timeout))
}

/// A token that the first SIGTERM or SIGINT cancels; the second ends the process.
pub(crate) fn stop_on_signal() -> Result<CancellationToken> {
    /// Exit code of a stop that cut requests in flight.
    const FORCED: i32 = 3;
    let stop = CancellationToken::new();
    let token = stop.clone();
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::spawn(async move {
        for _ in 0..2 {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
            }
            if token.is_cancelled() {
                log::error!("stop-forced");
                std::process::exit(FORCED);
            }
            log::info!("stop-requested");
            token.cancel();
        }
    });
    Ok(stop)
}
