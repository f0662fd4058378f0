//! The encoding of the holders of scopes.

use crate::scopes::{Holder, Scopes};
use plat::Offset;
use std::time::Duration;

/// A held scope.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct HolderMessage {
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

pub(super) fn encode(scopes: &Scopes) -> Vec<HolderMessage> {
    let message = |(scope, holder): (&compact_str::CompactString, &Holder)| HolderMessage {
        scope: scope.to_string(),
        process: holder.process.to_string(),
        incarnation: holder.incarnation,
        claim: holder.claim,
        last: holder.last,
        // Exact, since the records give leases in milliseconds.
        lease_ms: u64::try_from(holder.lease.as_millis()).unwrap_or(u64::MAX),
    };
    scopes.iter().map(message).collect()
}

pub(super) fn decode(messages: Vec<HolderMessage>) -> Scopes {
    let mut scopes = Scopes::default();
    for message in messages {
        let holder = Holder {
            process: message.process.into(),
            incarnation: message.incarnation,
            claim: message.claim,
            last: message.last,
            lease: Duration::from_millis(message.lease_ms),
        };
        scopes.restore(message.scope.into(), holder);
    }
    scopes
}
