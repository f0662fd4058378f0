//! Chooses the model version for requests that name none.
//!
//! If requests used a new version as soon as it is configured, all of them would be refused until
//! the first engine has loaded it, and then all would go to that one engine. Requests therefore use
//! the previous version until at least half as many engines serve the new one as the previous one.
//! Engines serve the previous version until all have the new one.

use crate::router::served_name;
use crate::target_table::TargetTable;
use conf::Name;
use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};

/// The version last chosen for each model.
#[derive(Default)]
pub(crate) struct Versions {
    last_chosen: Mutex<HashMap<Name, Name>>,
}

impl Versions {
    /// Returns the version for a request that names none; `desired` is the configured one.
    pub(crate) fn choose(
        &self,
        targets: &TargetTable,
        model: &str,
        desired: &Name,
        adapter: &str,
    ) -> Name {
        let served = |version: &Name| targets.server_count(&served_name(model, version, adapter));
        let mut last_chosen = self.last_chosen.lock().unwrap_or_else(PoisonError::into_inner);
        let previous = match last_chosen.get(model) {
            Some(previous) if previous == desired => return desired.clone(),
            Some(previous) => previous.clone(),
            // An entry that starts during a change of versions adopts the version that most engines
            // serve.
            None => targets.most_served_version(model, adapter).unwrap_or_default(),
        };
        let (new, old) = (served(desired), served(&previous));
        if new == 0 && old == 0 {
            // No engine has reported its versions yet, so no choice is recorded.
            return desired.clone();
        }
        if 2 * new >= old {
            last_chosen.insert(model.into(), desired.clone());
            return desired.clone();
        }
        last_chosen.insert(model.into(), previous.clone());
        previous
    }
}
