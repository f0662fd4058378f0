//! The holders of scopes: claims, renewals and releases, applied in log order alone.

use crate::record::{Claim, Renewal};
use compact_str::{CompactString, ToCompactString};
use imbl::OrdMap;
use plat::Offset;
use std::time::Duration;

/// The process that holds a scope.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Holder {
    /// The process's name.
    pub process: CompactString,
    /// The process's incarnation; a restarted process is a different holder.
    pub incarnation: u64,
    /// Offset of its claim.
    pub claim: Offset,
    /// Offset of its last valid record in the scope, which a claim must name to supersede it.
    pub last: Offset,
    /// How long after its last record it may act under the claim.
    pub lease: Duration,
}

impl Holder {
    /// Whether the holder is this incarnation of this process.
    pub fn is(&self, process: &str, incarnation: u64) -> bool {
        self.process == process && self.incarnation == incarnation
    }
}

/// The held scopes of one stream.
#[derive(Debug, Clone, Default, PartialEq)]
pub(crate) struct Scopes {
    holders: OrdMap<CompactString, Holder>,
}

impl Scopes {
    /// The holder of a scope.
    pub(crate) fn get(&self, scope: &str) -> Option<&Holder> {
        self.holders.get(scope)
    }

    /// All holders, by scope.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&CompactString, &Holder)> {
        self.holders.iter()
    }

    /// Adds a holder from a snapshot.
    pub(crate) fn restore(&mut self, scope: CompactString, holder: Holder) {
        self.holders.insert(scope, holder);
    }

    /// Applies a claim, which is valid only if it names the last record of the holder.
    ///
    /// Two claims, or a claim and a renewal, can be appended concurrently. The first one in the log
    /// changes the last record, which makes the other void at every reader.
    pub(crate) fn apply_claim(
        &mut self,
        scope: &str,
        offset: Offset,
        author: &str,
        claim: &Claim,
    ) -> bool {
        let last = self.holders.get(scope).map(|holder| holder.last);
        if last != claim.supersedes {
            return false;
        }
        let holder = Holder {
            process: author.into(),
            incarnation: claim.incarnation,
            claim: offset,
            last: offset,
            lease: Duration::from_millis(claim.lease_ms),
        };
        self.holders.insert(scope.to_compact_string(), holder);
        true
    }

    /// Applies a renewal or release, which is valid only if its author still holds the named claim.
    pub(crate) fn apply_renewal(
        &mut self,
        scope: &str,
        offset: Offset,
        author: &str,
        renewal: &Renewal,
    ) -> bool {
        let valid = self.accept(scope, offset, author, renewal.claim);
        if valid && renewal.release {
            self.holders.remove(scope);
        }
        valid
    }

    /// Checks the claim of a record; if it is valid, `offset` becomes the holder's last record.
    pub(crate) fn accept(
        &mut self,
        scope: &str,
        offset: Offset,
        author: &str,
        claim: Offset,
    ) -> bool {
        let Some(holder) = self.holders.get_mut(scope) else { return false };
        let valid = holder.claim == claim && holder.process == author;
        if valid {
            holder.last = offset;
        }
        valid
    }
}
