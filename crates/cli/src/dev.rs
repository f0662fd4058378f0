//! `lapismast dev`: a whole fleet in one process over loopback, with stand-ins.

use crate::daemons::{Bound, stop_on_signal, vm_list};
use crate::{logs, runtime};
use ::fake::http::{BoundServer, control_router};
use ::fake::{EngineParams, MemoryEngine, MemoryLog, MemoryService, MemoryVms, MemoryWeights};
use agent::Backend;
use clap::{Arg, ArgMatches, Command, value_parser};
use compact_str::{CompactString, ToCompactString, format_compact};
use conf::{Kind, settings};
use eyre::{Result, WrapErr};
use plat::Log;
use plat::http::HttpClient;
use serde_json::{Value, json};
use state::Appender;
use state::record::{Body, Change};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use target::http::{HttpEngine, HttpService};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use wire::{TcpDialler, TcpListener};

/// The peer key of `dev`, whose connections never leave this machine.
const PEER_KEY: &str = "dev";

/// SHA-256 of `dev-token`, the token of the caller `desk`.
const TOKEN_SHA256: &str = "c91cbbedf8c712e8e2b7517ddeca8fe4fde839ebd8339e0b2001363002b37712";

/// The subcommand's arguments.
pub(crate) fn command() -> Command {
    let port = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .value_name("PORT")
            .value_parser(value_parser!(u16))
            .default_value(default)
            .help(help)
    };
    Command::new("dev")
        .about("Runs a whole fleet in one process over loopback, with stand-ins")
        .arg(port(
            "callers-port",
            "8080",
            "Port of the first entry for callers; 0 chooses a free one",
        ))
        .arg(port(
            "admin-port",
            "8081",
            "Port of the first entry for operators; 0 chooses a free one",
        ))
}

/// Runs until SIGTERM or SIGINT.
pub(crate) fn run(matches: &ArgMatches) -> Result<()> {
    logs::start("warn");
    let port = |name| matches.get_one::<u16>(name).copied().unwrap_or_default();
    let (callers_port, admin_port) = (port("callers-port"), port("admin-port"));
    let started = Instant::now();
    runtime()?.block_on(async {
        let stop = stop_on_signal()?;
        let dev = Dev::start(callers_port, admin_port, stop.clone()).await?;
        dev.ready().await?;
        dev.print(started.elapsed());
        stop.cancelled().await;
        dev.tasks.close();
        dev.tasks.wait().await;
        Ok(())
    })
}

/// A fleet in one process.
struct Dev {
    tasks: TaskTracker,
    stop: CancellationToken,
    log: Arc<dyn Log>,
    platform: settings::Platform,
    entries: Vec<Arc<entry::Entry>>,
    callers: Vec<SocketAddr>,
    operators: Vec<SocketAddr>,
    targets: Vec<(CompactString, CompactString)>,
}

impl Dev {
    async fn start(callers_port: u16, admin_port: u16, stop: CancellationToken) -> Result<Self> {
        let tasks = TaskTracker::new();
        let platform = start_platform().await?;
        let log = HttpClient::new(platform.log.clone(), platform.timeout);
        let log: Arc<dyn Log> = Arc::new(log);
        let mut dev = Self {
            tasks,
            stop,
            log,
            platform,
            entries: Vec::new(),
            callers: Vec::new(),
            operators: Vec::new(),
            targets: Vec::new(),
        };
        dev.start_targets().await?;
        dev.start_entry(1, callers_port, admin_port).await?;
        dev.start_entry(2, 0, 0).await?;
        Ok(dev)
    }

    async fn start_targets(&mut self) -> Result<()> {
        self.publish(Kind::Model, "lapis-small", json!({})).await?;
        self.publish(Kind::Caller, "open", json!({"urgent": true})).await?;
        let caller = json!({"token_sha256": TOKEN_SHA256, "weight": 4, "urgent": true});
        self.publish(Kind::Caller, "desk", caller).await?;
        for number in 1..=4 {
            let name = format_compact!("engine-{number}");
            let engine = Arc::new(MemoryEngine::new(EngineParams::default(), &["lapis-small"]));
            let routes = ::fake::http::engine_router(engine.clone());
            let address = serve(control_router(engine, routes)).await?;
            self.targets.push((name.clone(), address.clone()));
            let backend = Backend::Engine(Arc::new(HttpEngine::new(address)));
            let spec = json!({"models": ["lapis-small"], "checks_fencing": true});
            self.start_agent(&name, number, backend, spec).await?;
        }
        for (number, (name, repeatable)) in [(1, ("ledger", false)), (2, ("tiles", true))] {
            let service = Arc::new(MemoryService::default());
            let routes = ::fake::http::service_router(service.clone());
            let address = serve(control_router(service, routes)).await?;
            let target = format_compact!("{name}-1");
            self.targets.push((target.clone(), address.clone()));
            let backend = Backend::Service(Arc::new(HttpService::new(address)));
            let spec = json!({"service": name, "repeatable": repeatable});
            self.start_agent(&target, number, backend, spec).await?;
        }
        Ok(())
    }

    async fn start_agent(
        &self,
        name: &str,
        number: usize,
        backend: Backend,
        mut spec: Value,
    ) -> Result<()> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let domain = format_compact!("domain-{}", number % 2 + 1);
        spec["agent"] = json!(listener.address()?);
        spec["domain"] = json!(domain);
        self.publish(Kind::Target, name, spec).await?;
        let settings = settings::Agent {
            name: format_compact!("agent-{name}"),
            target: name.to_compact_string(),
            domain,
            peer_key: CompactString::const_new(PEER_KEY),
            platform: self.platform.clone(),
            metrics: Default::default(),
            ..settings::Agent::default()
        };
        let (log, stop) = (self.log.clone(), self.stop.clone());
        let listener = Box::new(listener);
        let dialler = Arc::new(TcpDialler);
        let context = agent::Context { settings, log, backend, listener, dialler, stop };
        self.tasks.spawn(async move {
            if let Err(error) = agent::Daemon::new(context).run().await {
                log::error!(error:% = error; "agent-failed");
            }
        });
        Ok(())
    }

    async fn start_entry(&mut self, number: usize, port: u16, admin_port: u16) -> Result<()> {
        let settings = settings::Entry {
            name: format_compact!("entry-{number}"),
            domain: format_compact!("domain-{number}"),
            callers: format_compact!("127.0.0.1:{port}"),
            admin: format_compact!("127.0.0.1:{admin_port}"),
            peer_key: CompactString::const_new(PEER_KEY),
            platform: self.platform.clone(),
            ..settings::Entry::default()
        };
        let (log, stop) = (self.log.clone(), self.stop.clone());
        let vms = vm_list(&settings.platform);
        let (dialler, seed) = (Arc::new(TcpDialler), rand::random());
        let context = entry::Context { settings, log, vms, dialler, seed, stop };
        let bound = Bound::bind(context).await?;
        self.entries.push(bound.daemon.entry().clone());
        self.callers.push(bound.daemon.address());
        self.operators.extend(bound.admin.as_ref().map(admin::Server::address));
        self.tasks.spawn(async move {
            if let Err(error) = bound.run().await {
                log::error!(error:% = error; "entry-failed");
            }
        });
        Ok(())
    }

    async fn publish(&self, kind: Kind, name: &str, spec: Value) -> Result<()> {
        let appender = Appender::new(self.log.clone(), CompactString::const_new("dev"));
        let change = Change {
            kind: kind.name().to_owned(),
            name: name.to_owned(),
            spec: Some(spec.to_string()),
            expects: Some(0),
        };
        let appended = appender.append(plat::CONFIG_STREAM, Body::Change(change)).await;
        appended.map(drop).wrap_err_with(|| format!("publish {name}"))
    }

    /// Waits until each entry has applied all resources and received a status from all agents.
    async fn ready(&self) -> Result<()> {
        /// Far more than loopback needs; beyond it something is wrong, and an error is better than
        /// waiting.
        const READY_TIMEOUT: Duration = Duration::from_secs(10);
        for entry in &self.entries {
            let (agents, connecting) = (self.targets.len(), async {
                while entry.processes().0.iter().filter(|(_, status)| status.is_some()).count()
                    < self.targets.len()
                {
                    entry.connect_all_agents(READY_TIMEOUT).await;
                    tokio::time::sleep(Duration::from_millis(5)).await;
                }
            });
            let connected = tokio::time::timeout(READY_TIMEOUT, connecting).await;
            connected.wrap_err_with(|| format!("an entry has not reached all {agents} agents"))?;
        }
        Ok(())
    }

    fn print(&self, startup: Duration) {
        let list = |addresses: &[SocketAddr]| {
            let all: Vec<_> = addresses.iter().map(|address| format!("http://{address}")).collect();
            all.join(" and ")
        };
        println!("callers    {}", list(&self.callers));
        println!("operators  {}", list(&self.operators));
        println!("log        http://{}", self.platform.log);
        for (name, address) in &self.targets {
            println!("{name:<10} http://{address}");
        }
        println!("ready in {} ms; stops on Ctrl-C\n", startup.as_millis());
        let (Some(callers), Some(operators)) = (self.callers.first(), self.operators.first())
        else {
            return;
        };
        println!("{}", commands(callers, operators));
    }
}

/// Example commands that can be pasted into a terminal.
fn commands(callers: &SocketAddr, operators: &SocketAddr) -> String {
    format!(
        "\
Try in another terminal:
  curl -N http://{callers}/v1/chat/completions -H 'Authorization: Bearer dev-token' \\
    -d '{{\"model\":\"lapis-small\",\"stream\":true,\"messages\":[{{\"role\":\"user\",\"content\":\"Why?\"}}]}}'
  curl http://{callers}/services/ledger/transfers -H 'Idempotency-Key: t-1' -d '{{\"amount\":5}}'
  lapismast get all --admin {operators}
  lapismast load trials/mixed.yaml --entries {callers}"
    )
}

async fn start_platform() -> Result<settings::Platform> {
    let (log, weights) = (Arc::new(MemoryLog::new()), Arc::new(MemoryWeights::default()));
    let vms = Arc::new(MemoryVms::default());
    let log = serve(control_router(log.clone(), ::fake::http::log_router(log))).await?;
    let routes = ::fake::http::weights_router(weights.clone());
    let weights = serve(control_router(weights, routes)).await?;
    let vms = serve(control_router(vms.clone(), ::fake::http::vms_router(vms))).await?;
    Ok(settings::Platform { log, weights, vms, ..settings::Platform::default() })
}

/// Serves a stand-in on a free port of loopback and returns its address.
async fn serve(router: salvo::Router) -> Result<CompactString> {
    let serving = BoundServer::bind("127.0.0.1:0", router).await?;
    let address = serving.address.to_compact_string();
    tokio::spawn(serving.run());
    Ok(address)
}
