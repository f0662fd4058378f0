//! Fetches from engines which parts of prompts they have cached, once each, when a process starts
//! in a running system.
//!
//! **Load pattern.** All entries are killed together, while the engines go on and keep their
//! caches. **Without this**, entries assume that nothing is cached, and count the shared parts of
//! each prompt as tokens to prefill: engines look full at a third of their capacity, and a fifth of
//! the callers is refused for ten seconds. **Approach.** Each entry fetches this from the engines
//! that it coordinates, as coordinator or as standby, as soon as it observes that it does, because
//! the other entries ask it which engine has which parts cached.

use crate::cluster::groups::Member;
use crate::shared::Shared;
use crate::targets::attempt;
use crate::targets::target::Target;
use http::Method;
use policy::Hash;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// How long an engine may take to respond.
const TIMEOUT: Duration = Duration::from_millis(600);

/// How often to check for newly coordinated engines.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// How long after the first start of the whole system engines have cached only what was prefilled
/// since, and their coordinators have reports of all of it.
const COLD_START: Duration = Duration::from_secs(10);

/// Fetches once from each engine what it has cached, for as long as the process lives.
pub async fn run(shared: Arc<Shared>) {
    let (began, mut fetched) = (Instant::now(), HashSet::new());
    loop {
        tokio::time::sleep(POLL_INTERVAL).await;
        let engines = newly_coordinated(&shared, &mut fetched);
        if !shared.settings.first_start || began.elapsed() > COLD_START {
            futures_util::future::join_all(engines.iter().map(|engine| fetch(&shared, engine)))
                .await;
        }
    }
}

/// The engines that this entry has begun to coordinate since the last check.
fn newly_coordinated(shared: &Shared, fetched: &mut HashSet<Hash>) -> Vec<Arc<Target>> {
    let Some(table) = shared.table.borrow().clone() else { return Vec::new() };
    let services = table.services().filter(|service| service.engine.is_some());
    let groups: Vec<_> = services.map(|service| shared.groups(&service.name)).collect();
    let ours = |coordinator: &Member| coordinator.address.is_none();
    let groups = groups.iter().flat_map(|groups| groups.iter());
    let groups = groups.filter(|group| group.coordinators.iter().any(ours));
    let engines = groups.flat_map(|group| &group.engines);
    let new_engines =
        engines.filter(|engine| engine.stage().is_some() && fetched.insert(engine.key));
    new_engines.cloned().collect()
}

async fn fetch(shared: &Shared, engine: &Arc<Target>) {
    let codec = &*shared.codec;
    let response =
        attempt::call(codec, engine, Method::GET, codec.prefix_cache_path(), Vec::new(), TIMEOUT)
            .await;
    let cached = response.and_then(|(_, _, body)| {
        codec.decode_prefix_cache(&body).map_err(|error| compact_str::format_compact!("{error}"))
    });
    match cached {
        Ok(parts) => {
            log::info!(target: "fleet", target_id = engine.id.as_str(), parts = parts.len();
                "engine told what it keeps");
            engine.engine.record_cached(&parts, shared.kv_capacity(&engine.service));
        }
        Err(detail) => {
            log::info!(target: "fleet", target_id = engine.id.as_str(), detail = detail.as_str();
                "engine did not tell what it keeps");
        }
    }
}
