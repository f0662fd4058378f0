//! The routes of the administration API.

use crate::api::{Accepted, Explanation, Fleet, Lease, Order, Resource};
use crate::{Context, Problem, TokenCheck, audit, status};
use async_trait::async_trait;
use compact_str::CompactString;
use conf::{Generation, Kind, Name};
use salvo::writing::Json;
use salvo::{Depot, FlowCtrl, Handler, Request, Response, Router};
use serde::Serialize;
use state::Config;
use state::record::OrderKind;
use std::time::Duration;

/// Creates the routes: `/healthz` is public, all others require the token.
pub(crate) fn router(context: Context, token: TokenCheck) -> Router {
    let at = |path: &str| Router::with_path(path.to_owned());
    let call = |action| Call { context: context.clone(), action };
    let one = at("{kind}/{name}")
        .get(call(Action::Get))
        .put(call(Action::Apply))
        .delete(call(Action::Delete));
    let resources = at("resources")
        .get(call(Action::List))
        .push(at("{kind}").get(call(Action::List)))
        .push(one);
    let protected = Router::with_path("v1")
        .hoop(Guard { token })
        .push(resources)
        .push(at("audit").get(call(Action::Audit)))
        .push(at("fleet").get(call(Action::Fleet)))
        .push(at("orders").get(call(Action::Orders)))
        .push(at("leases").get(call(Action::Leases)))
        .push(at("requests/{id}").get(call(Action::Explain)))
        .push(at("metrics").get(call(Action::Metrics)));
    Router::new().push(at("healthz").get(Healthz)).push(protected)
}

/// Rejects requests without the token.
struct Guard {
    token: TokenCheck,
}

#[async_trait]
impl Handler for Guard {
    async fn handle(
        &self,
        request: &mut Request,
        _: &mut Depot,
        response: &mut Response,
        flow: &mut FlowCtrl,
    ) {
        let authorization = request.header::<String>("authorization");
        if !self.token.admits(authorization.as_deref()) {
            Problem::unauthorized().render(response);
            flow.skip_rest();
        }
    }
}

/// The liveness probe: answers while the process runs.
struct Healthz;

#[async_trait]
impl Handler for Healthz {
    async fn handle(
        &self,
        _: &mut Request,
        _: &mut Depot,
        response: &mut Response,
        _: &mut FlowCtrl,
    ) {
        response.render("ok\n");
    }
}

#[derive(Clone, Copy)]
enum Action {
    List,
    Get,
    Apply,
    Delete,
    Audit,
    Fleet,
    Orders,
    Leases,
    Explain,
    Metrics,
}

struct Call {
    context: Context,
    action: Action,
}

#[async_trait]
impl Handler for Call {
    async fn handle(
        &self,
        request: &mut Request,
        _: &mut Depot,
        response: &mut Response,
        _: &mut FlowCtrl,
    ) {
        let result = match self.action {
            Action::List => json(response, self.list(request).await),
            Action::Get => json(response, self.get(request).await),
            Action::Apply => json(response, self.apply(request).await),
            Action::Delete => json(response, self.delete(request).await),
            Action::Audit => json(response, self.audit(request).await),
            Action::Fleet => json(response, Ok(self.fleet().await)),
            Action::Orders => json(response, Ok(self.orders())),
            Action::Leases => json(response, Ok(self.leases())),
            Action::Explain => json(response, self.explain(request).await),
            Action::Metrics => {
                response.render(self.context.fleet.metrics());
                Ok(())
            }
        };
        if let Err(problem) = result {
            problem.render(response);
        }
    }
}

fn json<T: Serialize + Send>(
    response: &mut Response,
    result: Result<T, Problem>,
) -> Result<(), Problem> {
    response.render(Json(result?));
    Ok(())
}

/// The largest body accepted, in bytes; specs are small, and the log limits the size of records.
const MAX_BODY_BYTES: usize = 256 * 1024;

/// The author of changes in the audit trail if the request names no operator.
const DEFAULT_OPERATOR: &str = "operator";

impl Call {
    async fn list(&self, request: &Request) -> Result<Vec<Resource>, Problem> {
        let kind = match request.param::<String>("kind") {
            Some(name) => Some(Kind::from_name(&name)?),
            None => None,
        };
        let processes = self.context.fleet.processes().await;
        let config = self.context.config.borrow().clone();
        let kinds = status::kinds(kind);
        let entries = kinds.iter().flat_map(|kind| config.list(*kind));
        Ok(entries.map(|entry| status::resource(entry, &processes)).collect())
    }

    async fn get(&self, request: &Request) -> Result<Resource, Problem> {
        let (kind, name) = kind_and_name(request)?;
        let processes = self.context.fleet.processes().await;
        let config = self.context.config.borrow().clone();
        let entry = config.get(kind, &name).ok_or_else(|| not_found(&config, kind, &name))?;
        Ok(status::resource(entry, &processes))
    }

    async fn apply(&self, request: &mut Request) -> Result<Accepted, Problem> {
        let (kind, name) = kind_and_name(request)?;
        let (operator, expects) = (operator(request)?, expects(request)?);
        let body = request.payload_with_max_size(MAX_BODY_BYTES).await;
        let body = body.map_err(|_| Problem::too_large(MAX_BODY_BYTES))?;
        let spec = serde_json::from_slice(body);
        let spec = spec.map_err(|error| Problem::bad_request(format!("spec: {error}")))?;
        let resource = conf::Resource { kind, name, spec };
        let accepted = self.context.registry.apply(&operator, &resource, expects).await?;
        log::info!(
            operator = operator.as_str(), kind = kind.name(), name = resource.name.as_str(),
            generation = accepted.generation, offset = accepted.offset; "resource-applied"
        );
        Ok(Accepted { offset: accepted.offset, generation: accepted.generation })
    }

    async fn delete(&self, request: &Request) -> Result<Accepted, Problem> {
        let (kind, name) = kind_and_name(request)?;
        let (operator, expects) = (operator(request)?, expects(request)?);
        {
            let config = self.context.config.borrow();
            config.get(kind, &name).ok_or_else(|| not_found(&config, kind, &name))?;
        }
        let accepted = self.context.registry.delete(&operator, kind, &name, expects).await?;
        log::info!(
            operator = operator.as_str(), kind = kind.name(), name = name.as_str(),
            offset = accepted.offset; "resource-deleted"
        );
        Ok(Accepted { offset: accepted.offset, generation: accepted.generation })
    }

    async fn audit(&self, request: &Request) -> Result<crate::api::Audit, Problem> {
        let config_from = number(request, "config_from")?.unwrap_or_default();
        let system_from = number(request, "system_from")?.unwrap_or_default();
        let wait = Duration::from_millis(number(request, "wait_ms")?.unwrap_or_default());
        Ok(audit::read(&self.context, config_from, system_from, wait).await)
    }

    async fn fleet(&self) -> Fleet {
        let processes = self.context.fleet.processes().await;
        Fleet {
            entry: self.context.name.clone(),
            version: CompactString::const_new(env!("CARGO_PKG_VERSION")),
            config_end: self.context.config.borrow().end(),
            system_end: state::Fold::end(&**self.context.system.borrow()),
            members: processes.into_iter().map(status::member).collect(),
        }
    }

    fn orders(&self) -> Vec<Order> {
        let config = self.context.config.borrow().clone();
        let system = self.context.system.borrow().clone();
        let orders = config.targets().flat_map(|(name, _)| system.orders(name));
        orders.map(order).collect()
    }

    fn leases(&self) -> Vec<Lease> {
        let system = self.context.system.borrow().clone();
        let leases = system.holders().map(|(scope, holder)| Lease {
            scope: scope.clone(),
            holder: holder.process.clone(),
            claim: holder.claim,
            last: holder.last,
            lease_ms: u64::try_from(holder.lease.as_millis()).unwrap_or(u64::MAX),
        });
        leases.collect()
    }

    async fn explain(&self, request: &Request) -> Result<Explanation, Problem> {
        let id: CompactString = request.param::<String>("id").unwrap_or_default().into();
        let lines = self.context.fleet.explain(&id).await;
        let detail =
            || format!("{} knows no recent request {id}; ask the other entries", self.context.name);
        let lines = lines.ok_or_else(|| Problem::not_found(detail()))?;
        Ok(Explanation { request: id, lines })
    }
}

fn order(order: &state::OrderEntry) -> Order {
    let what = match &order.kind {
        OrderKind::SetRole(role) => format!("set role {role}"),
        OrderKind::Load(load) => format!("load {} from {}", load.serve, load.artifact),
        OrderKind::Unload(name) => format!("unload {name}"),
    };
    let outcome = match &order.outcome {
        None => "open".to_owned(),
        Some(outcome) if outcome.is_ok() => "in force".to_owned(),
        Some(outcome) => outcome.failure.to_string(),
    };
    let (target, author) = (order.target.clone(), order.author.clone());
    Order { offset: order.offset, target, what, author, outcome }
}

fn not_found(config: &Config, kind: Kind, name: &Name) -> Problem {
    let names = config.list(kind).map(|entry| entry.resource.name.as_str());
    let hint = conf::check::nearest(name, names);
    let hint = hint.map(|near| format!("; did you mean `{near}`?")).unwrap_or_default();
    Problem::not_found(format!("there is no {} {name}{hint}", kind.name()))
}

fn kind_and_name(request: &Request) -> Result<(Kind, Name), Problem> {
    let kind = Kind::from_name(&request.param::<String>("kind").unwrap_or_default())?;
    let name: String = request.param("name").unwrap_or_default();
    Ok((kind, name.into()))
}

/// Reads the operator's name, which is unverified: operators share one token.
fn operator(request: &Request) -> Result<String, Problem> {
    /// The longest name in bytes, so that names do not bloat the log.
    const LONGEST: usize = 120;
    let Some(name) = request.header::<String>("x-operator") else {
        return Ok(DEFAULT_OPERATOR.to_owned());
    };
    if name.is_empty() || name.len() > LONGEST || name.chars().any(char::is_control) {
        let detail = format!("x-operator: a name has 1 to {LONGEST} visible characters");
        return Err(Problem::bad_request(detail));
    }
    Ok(name)
}

fn expects(request: &Request) -> Result<Option<Generation>, Problem> {
    number(request, "expects")
}

fn number(request: &Request, name: &str) -> Result<Option<u64>, Problem> {
    let Some(text) = request.query::<String>(name) else { return Ok(None) };
    let parsed = text.parse().map(Some);
    parsed.map_err(|_| Problem::bad_request(format!("{name}: `{text}` is no number")))
}
