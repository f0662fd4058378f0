//! The folds of streams on which scopes are claimed.

use crate::Fold;
use crate::scopes::Holder;

/// A fold that records the holders of scopes.
pub trait Authority: Fold {
    /// The holder of a scope; `None` if it is free.
    fn holder(&self, scope: &str) -> Option<&Holder>;
}
