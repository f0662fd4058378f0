//! Which version of a model a request gets that does not name one.
//!
//! What could go wrong: an operator puts a new version in service, entries route to it at once,
//! and until the first engine has loaded it every request is refused; then all of them go to
//! that one engine. So requests keep to the version that they had until half as many engines
//! serve the new one as the old. Engines serve the old one until all have the new.

use crate::board::Board;
use crate::router::served_name;
use conf::Name;
use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};

/// The version that each model's requests got last.
#[derive(Default)]
pub(crate) struct Versions {
    last: Mutex<HashMap<Name, Name>>,
}

impl Versions {
    /// The version for a request that names none; `desired` is the configuration's.
    pub(crate) fn choose(&self, board: &Board, model: &str, desired: &Name, adapter: &str) -> Name {
        let served = |version: &Name| board.served(&served_name(model, version, adapter));
        let mut last = self.last.lock().unwrap_or_else(PoisonError::into_inner);
        let before = match last.get(model) {
            Some(before) if before == desired => return desired.clone(),
            Some(before) => before.clone(),
            // An entry that starts in the middle of a change learns from the engines.
            None => board.most_served(model, adapter).unwrap_or_default(),
        };
        let (new, old) = (served(desired), served(&before));
        if new == 0 && old == 0 {
            // Nothing was heard of the engines yet, so nothing is learnt from it either.
            return desired.clone();
        }
        if 2 * new >= old {
            last.insert(model.into(), desired.clone());
            return desired.clone();
        }
        last.insert(model.into(), before.clone());
        before
    }
}
