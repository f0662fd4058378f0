//! Queries to agents that belong to no attempt.

use crate::daemon::Shared;
use crate::explain::AgentReport;
use bytes::Bytes;
use compact_str::CompactString;
use std::time::Duration;
use wire::QueryKind;

/// Maximum time for a query to one agent.
const QUERY_TIMEOUT: Duration = Duration::from_secs(1);

impl Shared {
    /// Returns the reports of the agents of `targets` on a request, without those that do not
    /// respond.
    pub(crate) async fn collect_reports(
        &self,
        request: &str,
        targets: &[CompactString],
    ) -> Vec<AgentReport> {
        let mut reports = Vec::new();
        for target in targets {
            let body = Bytes::copy_from_slice(request.as_bytes());
            if let Some(reply) = self.query_agent(target, QueryKind::Explain, body).await {
                let text = String::from_utf8_lossy(&reply).into_owned();
                reports.push(AgentReport { target: target.clone(), text });
            }
        }
        reports
    }

    async fn query_agent(&self, target: &str, kind: QueryKind, body: Bytes) -> Option<Bytes> {
        let target = self.view.borrow().target(target)?.clone();
        let session = target.peer.session(QUERY_TIMEOUT).await?;
        let reply = tokio::time::timeout(QUERY_TIMEOUT, session.query(kind, body)).await;
        reply.ok()?.filter(|reply| !reply.is_empty())
    }
}
