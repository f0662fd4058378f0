//! What a fold must tell for someone to hold a scope of its stream.

use crate::Fold;
use crate::scopes::Holder;

/// A fold that knows who holds which scope.
pub trait Authority: Fold {
    /// The holder of a scope, none if it is free.
    fn holder(&self, scope: &str) -> Option<&Holder>;
}
