//! The agent's metrics and the HTTP server that exposes them.

use crate::shared::Shared;
use async_trait::async_trait;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::{Registry, Unit};
use salvo::conn::tcp::TcpAcceptor;
use salvo::{Depot, FlowCtrl, Handler, Request, Response, Router, Server};
use std::sync::Arc;

/// The agent's metrics.
pub(crate) struct Metrics {
    registry: Registry,
    refusals: Family<Reason, Counter>,
    /// Generated output tokens.
    pub(crate) output_tokens: Counter,
    /// Requests that were answered completely.
    pub(crate) completed: Counter,
    /// Orders that were closed, successfully or not.
    pub(crate) orders: Counter,
    /// Requests that were running when the engine crashed.
    pub(crate) suspicions: Counter,
    /// KV caches imported from other targets.
    pub(crate) kv_imports: Counter,
    gauges: Gauges,
}

/// Gauges that are updated when the metrics are read.
#[derive(Default)]
struct Gauges {
    waiting: Gauge,
    running: Gauge,
    accepting: Gauge,
    expected_wait: Gauge,
    log_lag: Gauge,
    holds_claim: Gauge,
    appends: Gauge,
    appended: Gauge,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Reason {
    reason: String,
}

impl Metrics {
    /// Creates all metrics with a value of zero.
    pub(crate) fn new() -> Self {
        let mut registry = Registry::with_prefix("lapismast_agent");
        let refusals = Family::<Reason, Counter>::default();
        registry.register("refusals", "Attempts given up, by reason", refusals.clone());
        let mut counter = |name: &'static str, help: &'static str| {
            let counter = Counter::default();
            registry.register(name, help, counter.clone());
            counter
        };
        let output_tokens = counter("output_tokens", "Output tokens generated");
        let completed = counter("completed", "Requests answered whole");
        let orders = counter("orders", "Orders carried out or given up");
        let suspicions = counter("suspicions", "Requests that ran when the engine crashed");
        let kv_imports = counter("kv_imports", "KV caches taken over from other targets");
        let gauges = Gauges::default();
        gauges.register(&mut registry);
        Self {
            registry,
            refusals,
            output_tokens,
            completed,
            orders,
            suspicions,
            kv_imports,
            gauges,
        }
    }

    /// Counts an attempt that was refused.
    pub(crate) fn count_refusal(&self, reason: &str) {
        self.refusals.get_or_create(&Reason { reason: reason.to_owned() }).inc();
    }

    /// Encodes all metrics as text.
    fn text(&self, shared: &Shared) -> String {
        self.gauges.read(shared);
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}

impl Gauges {
    fn register(&self, registry: &mut Registry) {
        registry.register("waiting", "Requests that wait", self.waiting.clone());
        registry.register("running", "Requests at the target", self.running.clone());
        registry.register("accepting", "1 if new work is taken", self.accepting.clone());
        registry.register("holds_claim", "1 if the claim is held", self.holds_claim.clone());
        registry.register("log_lag_records", "Records not applied yet", self.log_lag.clone());
        registry.register("log_appends", "Appends that took effect", self.appends.clone());
        let appended = self.appended.clone();
        registry.register_with_unit("log_appended", "Appended bytes", Unit::Bytes, appended);
        let help = "Milliseconds that a new request would wait";
        registry.register("expected_wait_milliseconds", help, self.expected_wait.clone());
    }

    fn read(&self, shared: &Shared) {
        let (waiting, running) = shared.dispatcher.counts();
        self.waiting.set(i64::from(waiting));
        self.running.set(i64::from(running));
        self.accepting.set(i64::from(shared.accepting().is_ok()));
        self.expected_wait
            .set(i64::try_from(shared.expected_wait().as_millis()).unwrap_or(i64::MAX));
        let holds_claim = shared.held.borrow().is_some_and(|held| held.is_valid());
        self.holds_claim.set(i64::from(holds_claim));
        let lag = shared.system_health.borrow().lag();
        self.log_lag.set(i64::try_from(lag).unwrap_or(i64::MAX));
        self.appends.set(i64::try_from(shared.appender.appends()).unwrap_or(i64::MAX));
        let bytes = shared.appender.appended_bytes();
        self.appended.set(i64::try_from(bytes).unwrap_or(i64::MAX));
    }
}

struct MetricsHandler {
    shared: Arc<Shared>,
}

#[async_trait]
impl Handler for MetricsHandler {
    async fn handle(
        &self,
        _: &mut Request,
        _: &mut Depot,
        response: &mut Response,
        _: &mut FlowCtrl,
    ) {
        response.render(self.shared.metrics.text(&self.shared));
    }
}

/// Serves the metrics at `address` until the task is dropped, or returns if `address` is empty.
pub(crate) async fn serve(shared: Arc<Shared>, address: String) {
    if address.is_empty() {
        return;
    }
    let listening = tokio::net::TcpListener::bind(&address).await;
    let acceptor = listening.and_then(TcpAcceptor::try_from);
    let acceptor = match acceptor {
        Ok(acceptor) => acceptor,
        Err(error) => {
            return log::error!(address = address.as_str(), error:% = error; "metrics-not-served");
        }
    };
    let router = Router::with_path("metrics").get(MetricsHandler { shared });
    Server::new(acceptor).serve(router).await;
}
