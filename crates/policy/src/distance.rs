//! The network distance between failure domains, which form regions.
//!
//! **Load pattern.** Engines and entries are spread over failure domains in several regions. A round
//! trip between regions takes as long as the prefill of a typical prompt, KV cache transfers between
//! them take ten times as long as within a failure domain, and the bytes are expensive. **Without
//! this**, every domain but the own one is equally far: most prompts are prefilled in another
//! region. **Approach.** The settings name the region of each failure domain. All decisions that
//! depend on the distance compare domains here. If no regions are configured, all domains are in one
//! region, and decisions differ only by failure domain.

use crate::Hash;
use std::collections::BTreeMap;

/// How far apart two failure domains are.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub enum Distance {
    /// They are the same.
    #[default]
    SameDomain,
    /// They differ, but their region is the same.
    SameRegion,
    /// They are in different regions.
    OtherRegion,
}

impl Distance {
    /// All distances, the shortest first.
    pub const ALL: [Self; 3] = [Self::SameDomain, Self::SameRegion, Self::OtherRegion];

    /// Returns how many times as long a KV cache transfer takes as within a failure domain.
    pub fn transfer_factor(self) -> u32 {
        match self {
            Self::SameDomain => 1,
            Self::SameRegion => 2,
            Self::OtherRegion => 10,
        }
    }

    /// Returns its name in log lines and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::SameDomain => "same-domain",
            Self::SameRegion => "same-region",
            Self::OtherRegion => "other-region",
        }
    }
}

/// The region of each failure domain.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Topology {
    regions: BTreeMap<Hash, Hash>,
}

impl Topology {
    /// Creates the topology of failure domains with their regions.
    pub fn new(domains: impl IntoIterator<Item = (Hash, Hash)>) -> Self {
        Self { regions: domains.into_iter().collect() }
    }

    /// Returns whether there may be more than one region.
    pub fn has_regions(&self) -> bool {
        !self.regions.is_empty()
    }

    /// Returns whether the region of a failure domain is missing although others have one.
    pub fn lacks(&self, domain: Hash) -> bool {
        self.has_regions() && !self.regions.contains_key(&domain)
    }

    /// Returns the region of a failure domain. One without a configured region counts as a region
    /// of its own.
    pub fn region(&self, domain: Hash) -> Hash {
        if !self.has_regions() {
            return Hash::default();
        }
        self.regions.get(&domain).copied().unwrap_or(domain)
    }

    /// Returns the distance between two failure domains.
    pub fn distance(&self, a: Hash, b: Hash) -> Distance {
        if a == b {
            Distance::SameDomain
        } else if self.region(a) == self.region(b) {
            Distance::SameRegion
        } else {
            Distance::OtherRegion
        }
    }
}
