//! A weight store in memory.

use async_trait::async_trait;
use compact_str::{CompactString, ToCompactString};
use plat::{Artifact, Error, Result, WeightStore};
use std::sync::{Arc, Mutex, PoisonError};

/// A weight store; clones share it.
#[derive(Clone, Default)]
pub struct MemoryWeights {
    artifacts: Arc<Mutex<Vec<Artifact>>>,
}

impl MemoryWeights {
    /// Puts an artifact of `bytes` bytes into the store.
    pub fn put(&self, name: &str, bytes: u64) {
        let sha256 = CompactString::default();
        let artifact = Artifact { name: name.to_compact_string(), bytes, sha256 };
        self.artifacts.lock().unwrap_or_else(PoisonError::into_inner).push(artifact);
    }
}

#[async_trait]
impl WeightStore for MemoryWeights {
    async fn stat(&self, name: &str) -> Result<Artifact> {
        let artifacts = self.artifacts.lock().unwrap_or_else(PoisonError::into_inner);
        let found = artifacts.iter().find(|artifact| artifact.name == name).cloned();
        found.ok_or_else(|| Error::Refused {
            step: "look up weights",
            peer: CompactString::const_new("memory-weights"),
            detail: compact_str::format_compact!("there is no artifact {name}"),
        })
    }
}
