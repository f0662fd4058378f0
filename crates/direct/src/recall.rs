//! What engines keep of prompts, asked of them once when a process starts in a system that runs.
//!
//! **Load pattern.** All entries are killed together; engines go on and keep what they have read.
//! **Without it** entries believe that nothing is kept, and count each prompt with its shared parts
//! as to be read: engines look full at a third of what they can do, and a fifth of the callers is
//! refused for ten seconds. **How.** Each entry asks some engines for the list of what they keep.
//! The list delays the engine, so of many engines each entry asks a few, and another few than other
//! entries: what one engine keeps can be copied to any. **Figures.** See the constants.

use crate::attempt;
use crate::shared::Shared;
use crate::target::Target;
use http::Method;
use std::sync::Arc;
use std::time::Duration;

/// Lists that all entries ask for together: of twelve engines, four entries ask each.
const LISTS: usize = 200;

/// Engines that an entry asks at least.
const LEAST: usize = 3;

/// How long an engine may take to answer.
const PATIENCE: Duration = Duration::from_millis(600);

/// How often it is looked whether engines are known yet.
const LOOK: Duration = Duration::from_millis(50);

/// Asks engines what they keep, once they are known.
pub async fn run(shared: Arc<Shared>) {
    if shared.settings.first_start {
        return;
    }
    while shared.fleet().engines().is_empty() || shared.table.borrow().is_none() {
        tokio::time::sleep(LOOK).await;
    }
    let engines = chosen(&shared);
    futures_util::future::join_all(engines.iter().map(|engine| ask(&shared, engine))).await;
}

/// The engines that this entry asks: the first by rendezvous hashing with its own name.
fn chosen(shared: &Shared) -> Vec<Arc<Target>> {
    let own = policy::hash(&shared.settings.name);
    let mut engines: Vec<_> = shared.fleet().engines().to_vec();
    engines.sort_by_key(|engine| policy::mix(own, engine.key));
    let entries = usize::try_from(shared.entries()).unwrap_or(usize::MAX);
    engines.truncate((LISTS / entries).max(LEAST));
    engines
}

async fn ask(shared: &Shared, engine: &Arc<Target>) {
    let border = &*shared.border;
    let answer = attempt::call(engine, Method::GET, border.kept_path(), Vec::new(), PATIENCE).await;
    let kept = answer.and_then(|(_, _, body)| {
        border.kept(&body).map_err(|error| compact_str::format_compact!("{error}"))
    });
    match kept {
        Ok(parts) => {
            log::info!(target: "fleet", target_id = engine.id.as_str(), parts = parts.len();
                "engine told what it keeps");
            engine.engine.keep(&parts, shared.room(&engine.service));
        }
        Err(detail) => {
            log::info!(target: "fleet", target_id = engine.id.as_str(), detail = detail.as_str();
                "engine did not tell what it keeps");
        }
    }
}
