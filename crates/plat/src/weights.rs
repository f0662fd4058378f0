//! The platform's weight store, which limits the rate of reads.

use crate::Result;
use async_trait::async_trait;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// Weights of a model, adapter or version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Artifact {
    /// Name in the store.
    pub name: CompactString,
    /// Size in bytes.
    pub bytes: u64,
    /// SHA-256 in hexadecimal.
    pub sha256: CompactString,
}

/// The weight store.
#[async_trait]
pub trait WeightStore: Send + Sync {
    /// Looks up an artifact; fails with [`crate::Error::Refused`] if there is none.
    async fn stat(&self, name: &str) -> Result<Artifact>;
}
