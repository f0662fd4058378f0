//! `lapismast entry` and `lapismast agent`: the daemons.

use crate::{exit, logs, operators, runtime, settings_arg};
use agent::Backend;
use clap::{ArgMatches, Command};
use conf::settings;
use eyre::{Result, WrapErr, eyre};
use plat::Log;
use plat::http::HttpClient;
use std::sync::Arc;
use std::time::Duration;
use target::http::{HttpEngine, HttpService};
use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;
use wire::{TcpDialler, TcpListener};

/// The arguments of `entry`.
pub(crate) fn entry_command() -> Command {
    daemon("entry", "Runs an entry: serves callers over HTTP and routes requests to agents")
}

/// The arguments of `agent`.
pub(crate) fn agent_command() -> Command {
    daemon("agent", "Runs the agent of a target")
}

fn daemon(name: &'static str, about: &'static str) -> Command {
    Command::new(name).about(about).after_help(STOP_HELP).arg(settings_arg())
}

/// Help on stopping and on exit codes.
const STOP_HELP: &str = "\
SIGTERM or SIGINT stops it gracefully: it accepts no new requests and answers those in flight. A
second signal, or the deadline drain_ms in the settings, ends it.

Exit codes: 0 stopped gracefully, 1 failed, 2 wrong command line, 3 stopped with requests cut.";

/// Runs an entry until a signal stops it.
pub(crate) fn run_entry(matches: &ArgMatches) -> Result<()> {
    logs::start("info");
    let (file, text) = read(matches)?;
    let settings = settings::Entry::parse(&text).wrap_err(file)?;
    runtime()?.block_on(async {
        let log = log_client(&settings.platform);
        let stop = stop_on_signal()?;
        stop_at_deadline(stop.clone(), settings.drain);
        let dialler = Arc::new(TcpDialler);
        let vms = vm_list(&settings.platform);
        let seed = rand::random();
        Bound::bind(entry::Context { settings, log, vms, dialler, seed, stop }).await?.run().await
    })
}

/// An entry with its administration API, both bound.
pub(crate) struct Bound {
    pub(crate) daemon: entry::Daemon,
    pub(crate) admin: Option<admin::Server>,
    stop: CancellationToken,
}

impl Bound {
    /// Binds both addresses; without an address for operators, there is no administration API.
    pub(crate) async fn bind(context: entry::Context) -> Result<Self> {
        let (settings, log) = (context.settings.clone(), context.log.clone());
        let stop = context.stop.clone();
        let daemon = entry::Daemon::bind(context).await?;
        let admin = match settings.admin.is_empty() {
            true => None,
            false => Some(operators::bind(&settings, log, daemon.entry()).await?),
        };
        Ok(Self { daemon, admin, stop })
    }

    /// Runs both until the entry is stopped.
    pub(crate) async fn run(self) -> Result<()> {
        let operators = async {
            if let Some(admin) = self.admin {
                admin.run(self.stop).await;
            }
        };
        let (served, ()) = tokio::join!(self.daemon.run(), operators);
        Ok(served?)
    }
}

/// Runs an agent until a signal stops it.
pub(crate) fn run_agent(matches: &ArgMatches) -> Result<()> {
    logs::start("info");
    let (file, text) = read(matches)?;
    let settings = settings::Agent::parse(&text).wrap_err(file)?;
    runtime()?.block_on(async {
        let log = log_client(&settings.platform);
        let stop = stop_on_signal()?;
        stop_at_deadline(stop.clone(), settings.drain);
        let address = settings.target_address.clone();
        let backend = match settings.backend {
            settings::Backend::Service => Backend::Service(Arc::new(HttpService::new(address))),
            settings::Backend::Engine => Backend::Engine(Arc::new(HttpEngine::new(address))),
        };
        let listener = Box::new(TcpListener::bind(&settings.peers_listen).await?);
        let dialler = Arc::new(TcpDialler);
        let context = agent::Context { settings, log, backend, listener, dialler, stop };
        agent::Daemon::new(context).run().await?;
        Ok(())
    })
}

/// Reads the settings file; returns its name, for errors, and its text.
fn read(matches: &ArgMatches) -> Result<(String, String)> {
    let file: &String = matches.get_one("settings").ok_or_else(|| eyre!("no settings"))?;
    let text = std::fs::read_to_string(file).wrap_err_with(|| format!("read {file}"))?;
    Ok((file.clone(), text))
}

fn log_client(platform: &settings::Platform) -> Arc<dyn Log> {
    Arc::new(HttpClient::new(platform.log.clone(), platform.timeout))
}

/// The client of the platform's list of VMs.
pub(crate) fn vm_list(platform: &settings::Platform) -> Arc<dyn plat::VmList> {
    Arc::new(HttpClient::new(platform.vms.clone(), platform.timeout))
}

/// The time that a daemon has after the drain deadline to close its connections and end by itself.
const GRACE: Duration = Duration::from_secs(2);

/// Ends the process if a stop takes longer than the settings allow.
fn stop_at_deadline(stop: CancellationToken, drain: Duration) {
    tokio::spawn(async move {
        stop.cancelled().await;
        tokio::time::sleep(drain + GRACE).await;
        log::error!(drain_ms = drain.as_millis(); "stop-deadline-passed");
        std::process::exit(exit::FORCED);
    });
}

/// Returns a token that the first SIGTERM or SIGINT cancels; the second one ends the process.
pub(crate) fn stop_on_signal() -> Result<CancellationToken> {
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
                std::process::exit(exit::FORCED);
            }
            log::info!("stop-requested");
            token.cancel();
        }
    });
    Ok(stop)
}
