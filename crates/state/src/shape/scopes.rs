//! Holders of scopes as messages.

use crate::scopes::{Holder, Scopes};
use plat::Offset;
use std::time::Duration;

/// One held scope.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct HolderShape {
    #[prost(string, tag = "1")]
    scope: String,
    #[prost(string, tag = "2")]
    process: String,
    #[prost(fixed64, tag = "3")]
    incarnation: u64,
    #[prost(uint64, tag = "4")]
    claim: Offset,
    #[prost(uint64, tag = "5")]
    last: Offset,
    #[prost(uint64, tag = "6")]
    lease_ms: u64,
}

pub(super) fn encode(scopes: &Scopes) -> Vec<HolderShape> {
    let shape = |(scope, holder): (&compact_str::CompactString, &Holder)| HolderShape {
        scope: scope.to_string(),
        process: holder.process.to_string(),
        incarnation: holder.incarnation,
        claim: holder.claim,
        last: holder.last,
        // Exact: leases come from a record that gives them in milliseconds.
        lease_ms: u64::try_from(holder.lease.as_millis()).unwrap_or(u64::MAX),
    };
    scopes.iter().map(shape).collect()
}

pub(super) fn decode(shapes: Vec<HolderShape>) -> Scopes {
    let mut scopes = Scopes::default();
    for shape in shapes {
        let holder = Holder {
            process: shape.process.into(),
            incarnation: shape.incarnation,
            claim: shape.claim,
            last: shape.last,
            lease: Duration::from_millis(shape.lease_ms),
        };
        scopes.restore(shape.scope.into(), holder);
    }
    scopes
}
