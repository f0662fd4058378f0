//! Who holds which scope: claims, renewals and releases, judged by log order alone.

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
    /// The process's incarnation, so that a restarted process is another holder.
    pub incarnation: u64,
    /// Offset of its claim.
    pub claim: Offset,
    /// Offset of its last valid record in the scope; a claim must name it to supersede it.
    pub last: Offset,
    /// How long after its last record it promises to act on it no more.
    pub lease: Duration,
}

impl Holder {
    /// Whether this is the incarnation of a process.
    pub fn is(&self, process: &str, incarnation: u64) -> bool {
        self.process == process && self.incarnation == incarnation
    }
}

/// All scopes of one stream that are held.
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

    /// Puts a holder in, from a snapshot.
    pub(crate) fn restore(&mut self, scope: CompactString, holder: Holder) {
        self.holders.insert(scope, holder);
    }

    /// Applies a claim; it is valid only if it names the last record of the holder.
    ///
    /// Two claims can be under way at once, or a renewal beside a claim. Whichever stands first
    /// in the log changes the last record, which makes the other void at every reader.
    pub(crate) fn claim(
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

    /// Applies a renewal or release; void unless its author still holds the claim it names.
    pub(crate) fn renew(
        &mut self,
        scope: &str,
        offset: Offset,
        author: &str,
        renewal: &Renewal,
    ) -> bool {
        let valid = self.act(scope, offset, author, renewal.claim);
        if valid && renewal.release {
            self.holders.remove(scope);
        }
        valid
    }

    /// Whether a record at `offset` under `claim` is valid; if so it is the holder's last.
    pub(crate) fn act(&mut self, scope: &str, offset: Offset, author: &str, claim: Offset) -> bool {
        let Some(holder) = self.holders.get_mut(scope) else { return false };
        let valid = holder.claim == claim && holder.process == author;
        if valid {
            holder.last = offset;
        }
        valid
    }
}
