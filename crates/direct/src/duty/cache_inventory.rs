//! What engines keep of prompts, asked of them once when a process starts in a system that runs.
//!
//! **Load pattern.** All entries are killed together; engines go on and keep what they have read.
//! **Without it** entries believe that nothing is kept, and count each prompt with its shared parts
//! as to be read: engines look full at a third of what they can do, and a fifth of the callers is
//! refused for ten seconds. **How.** Each entry asks the engines that it coordinates, or
//! stands by for, as soon as it knows that it does: it is the one to be asked which engine keeps what.
//!

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

/// How long an engine may take to answer.
const PATIENCE: Duration = Duration::from_millis(600);

/// How often it is looked whether there are engines to ask.
const LOOK: Duration = Duration::from_millis(100);

/// For how long after the whole system's first start engines keep nothing but what was read since, of
/// which those that coordinate them were told.
const FIRST: Duration = Duration::from_secs(10);

/// Asks engines what they keep, once each, for as long as the process lives.
pub async fn run(shared: Arc<Shared>) {
    let (began, mut known) = (Instant::now(), HashSet::new());
    loop {
        tokio::time::sleep(LOOK).await;
        let engines = new(&shared, &mut known);
        if !shared.settings.first_start || began.elapsed() > FIRST {
            futures_util::future::join_all(engines.iter().map(|engine| ask(&shared, engine))).await;
        }
    }
}

/// The engines that this entry has come to coordinate since it last looked.
fn new(shared: &Shared, known: &mut HashSet<Hash>) -> Vec<Arc<Target>> {
    let Some(table) = shared.table.borrow().clone() else { return Vec::new() };
    let services = table.services().filter(|service| service.engine.is_some());
    let groups: Vec<_> = services.map(|service| shared.groups(&service.name)).collect();
    let ours = |coordinator: &Member| coordinator.address.is_none();
    let groups = groups.iter().flat_map(|groups| groups.iter());
    let groups = groups.filter(|group| group.coordinators.iter().any(ours));
    let engines = groups.flat_map(|group| &group.engines);
    let new = engines.filter(|engine| engine.stage().is_some() && known.insert(engine.key));
    new.cloned().collect()
}

async fn ask(shared: &Shared, engine: &Arc<Target>) {
    let codec = &*shared.codec;
    let answer =
        attempt::call(codec, engine, Method::GET, codec.prefix_cache_path(), Vec::new(), PATIENCE)
            .await;
    let kept = answer.and_then(|(_, _, body)| {
        codec.decode_prefix_cache(&body).map_err(|error| compact_str::format_compact!("{error}"))
    });
    match kept {
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
