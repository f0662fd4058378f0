//! Which version of a model a request gets that does not name one.
//!
//! What could go wrong: an operator puts a new version in service, entries route to it at once,
//! and until the first engine has loaded it every request is refused; then all of them go to
//! that one engine. So requests keep to the version that they had until half as many engines
//! serve the new one as the old. Engines serve the old one until all have the new.

use crate::router::served_name;
use crate::target_table::TargetTable;
use conf::Name;
use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};

/// The version that each model's requests got last.
#[derive(Default)]
pub(crate) struct Versions {
    last_chosen: Mutex<HashMap<Name, Name>>,
}

impl Versions {
    /// The version for a request that names none; `desired` is the configuration's.
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
            // An entry that starts in the middle of a change learns from the engines.
            None => targets.most_served_version(model, adapter).unwrap_or_default(),
        };
        let (new, old) = (served(desired), served(&previous));
        if new == 0 && old == 0 {
            // Nothing was heard of the engines yet, so nothing is learnt from it either.
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
