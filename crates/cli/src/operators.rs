//! The administration API of an entry: its view of the fleet, and its address.

use admin::{Context, Process, ProcessKind, Server, TokenCheck};
use async_trait::async_trait;
use compact_str::{CompactString, ToCompactString};
use conf::settings;
use entry::Entry;
use eyre::{Result, WrapErr};
use plat::Log;
use state::{Appender, Registry};
use std::sync::Arc;
use std::time::Duration;

/// The administration API's view of the fleet through an entry.
struct Fleet {
    entry: Arc<Entry>,
    name: CompactString,
}

/// How long to wait for connections to agents that the entry is not connected to, so that an
/// unreachable agent does not delay the response for long.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

#[async_trait]
impl admin::Fleet for Fleet {
    async fn processes(&self) -> Vec<Process> {
        self.entry.connect_all_agents(CONNECT_TIMEOUT).await;
        let (agents, entries) = self.entry.processes();
        let agents =
            agents.into_iter().map(|(name, status)| process(ProcessKind::Agent, name, status));
        let entries = entries.into_iter();
        let entries =
            entries.map(|status| process(ProcessKind::Entry, status.name.clone(), Some(status)));
        let own = Process {
            config_offset: Some(self.entry.config().borrow().end()),
            age: Some(Duration::ZERO),
            ..process(ProcessKind::Entry, self.name.clone(), None)
        };
        agents.chain([own]).chain(entries).collect()
    }

    async fn explain(&self, request: &str) -> Option<Vec<String>> {
        let explanation = self.entry.explain(request).await?;
        let mut lines = vec![format!("{} asked for {}", explanation.caller, explanation.asked)];
        let steps = explanation.steps.iter();
        lines.extend(steps.map(|step| format!("{:>6} ms  {}", step.at_ms, step.text)));
        for report in explanation.agents {
            let report_lines = report.text.lines();
            lines.extend(report_lines.map(|line| format!("agent of {}: {line}", report.target)));
        }
        Some(lines)
    }

    fn metrics(&self) -> String {
        self.entry.metrics()
    }
}

fn process(
    kind: ProcessKind,
    name: CompactString,
    status: Option<entry::ProcessStatus>,
) -> Process {
    let (config_offset, age) = match &status {
        Some(status) => (Some(status.config_offset), Some(status.age)),
        None => (None, None),
    };
    let load = status.and_then(|status| status.load).unwrap_or_default();
    Process {
        kind,
        name,
        config_offset,
        age,
        accepting: load.accepting,
        role: load.role.to_compact_string(),
        serves: load.serves.iter().map(CompactString::from).collect(),
        running: load.running,
        waiting: load.waiting,
    }
}

/// Binds the administration API of an entry.
pub(crate) async fn bind(
    settings: &settings::Entry,
    log: Arc<dyn Log>,
    entry: &Arc<Entry>,
) -> Result<Server> {
    let name = settings.name.clone();
    let registry = Registry::new(Appender::new(log, name.clone()), entry.config());
    let fleet = Arc::new(Fleet { entry: entry.clone(), name: name.clone() });
    let (config, system) = (entry.config(), entry.system());
    let context = Context { name, config, system, registry, fleet };
    let token = TokenCheck::for_address(&settings.admin, &settings.admin_token_sha256);
    let server = Server::bind(&settings.admin, token, context).await;
    server.wrap_err_with(|| format!("listen for operators at {}", settings.admin))
}
