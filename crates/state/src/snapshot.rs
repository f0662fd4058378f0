//! Encoded folded states: for checkpoints in the log and for peers.

use crate::record::{Body, Checkpoint};
use crate::{Error, Fold, Result};
use bytes::{Bytes, BytesMut};
use compact_str::{CompactString, ToCompactString, format_compact};
use plat::Offset;
use prost::Message;
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;

/// An encoded folded state.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Snapshot {
    /// The stream of the state.
    #[prost(string, tag = "1")]
    pub stream: String,
    /// The offset of the first record that is not in the state.
    #[prost(uint64, tag = "2")]
    pub end: Offset,
    /// The version of the state's layout.
    #[prost(uint32, tag = "3")]
    pub version: u32,
    /// The encoded state.
    #[prost(bytes = "bytes", tag = "4")]
    pub state: Bytes,
    /// SHA-256 of the encoded state.
    #[prost(bytes = "bytes", tag = "5")]
    pub sha256: Bytes,
}

/// The states of several streams; the reply to a peer that queries the folded state.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Snapshots {
    /// One snapshot per stream.
    #[prost(message, repeated, tag = "1")]
    pub all: Vec<Snapshot>,
}

/// The most bytes of state in one record of a checkpoint. Small enough for logs that limit a
/// record to 1 MiB, also in base64; the state of 4,500 callers needs a few parts.
pub const PART_BYTES: usize = 256 * 1024;

impl Snapshot {
    /// Encodes a state.
    pub fn of<F: Fold>(stream: &str, state: &F) -> Self {
        let bytes = state.encode();
        Self {
            stream: stream.to_owned(),
            end: state.end(),
            version: F::STATE_VERSION,
            sha256: digest(&bytes),
            state: bytes,
        }
    }

    /// Decodes the state; fails if it is corrupt or of another version.
    pub fn open<F: Fold>(&self) -> Result<F> {
        let error = |detail| Error::Snapshot {
            stream: self.stream.to_compact_string(),
            end: self.end,
            detail,
        };
        if self.version != F::STATE_VERSION {
            let detail = "is of version";
            let known = F::STATE_VERSION;
            return Err(error(format_compact!("{detail} {}, this reads {known}", self.version)));
        }
        if digest(&self.state) != self.sha256 {
            return Err(error(CompactString::const_new("is torn: its digest does not fit")));
        }
        let state = F::decode(&self.state).map_err(error)?;
        if state.end() != self.end {
            return Err(error(format_compact!("holds a state up to {}", state.end())));
        }
        Ok(state)
    }

    /// Splits the snapshot into the records of a checkpoint.
    pub fn checkpoint(&self) -> Vec<Body> {
        let count = self.state.len().div_ceil(PART_BYTES).max(1);
        let parts = u32::try_from(count).unwrap_or(u32::MAX);
        let part = |part: u32, state: Bytes| {
            Body::Checkpoint(Checkpoint {
                end: self.end,
                state,
                sha256: self.sha256.clone(),
                part,
                parts,
                state_version: self.version,
            })
        };
        let mut remaining = self.state.clone();
        let chunks = (0..parts).map(|number| {
            let chunk = remaining.split_to(remaining.len().min(PART_BYTES));
            part(number, chunk)
        });
        chunks.collect()
    }
}

impl Snapshots {
    /// Decodes the snapshots that a peer sent.
    pub fn read(peer: &str, bytes: &[u8]) -> Result<Self> {
        Self::decode(bytes)
            .map_err(|error| Error::Peer { peer: peer.into(), detail: error.to_compact_string() })
    }

    /// Encodes the snapshots.
    pub fn bytes(&self) -> Bytes {
        self.encode_to_vec().into()
    }

    /// Decodes the state of one stream; `None` if it is not included.
    pub fn open<F: Fold>(&self, stream: &str) -> Option<Result<F>> {
        let found = self.all.iter().find(|snapshot| snapshot.stream == stream);
        found.map(Snapshot::open)
    }
}

/// Assembles checkpoints from their parts as the records are read.
#[derive(Debug, Default)]
pub struct Collector {
    parts: BTreeMap<u32, Bytes>,
    sha256: Bytes,
    end: Offset,
}

/// The most parts of a checkpoint, to guard against a corrupt record that announces billions.
const MAX_PARTS: u32 = 4_096;

impl Collector {
    /// Adds a part; returns the snapshot once all parts are present.
    ///
    /// Parts of two writers can be interleaved in the log: they differ in their digest, and a part
    /// of another checkpoint discards the parts collected so far.
    pub fn add(&mut self, stream: &str, checkpoint: &Checkpoint) -> Option<Snapshot> {
        if checkpoint.sha256 != self.sha256 || checkpoint.end != self.end {
            self.parts.clear();
            self.sha256 = checkpoint.sha256.clone();
            self.end = checkpoint.end;
        }
        let parts = checkpoint.parts.clamp(1, MAX_PARTS);
        if checkpoint.part < parts {
            self.parts.insert(checkpoint.part, checkpoint.state.clone());
        }
        if self.parts.len() != usize::try_from(parts).unwrap_or(usize::MAX) {
            return None;
        }
        let chunks = std::mem::take(&mut self.parts);
        let state = chunks.into_values().fold(BytesMut::new(), |mut bytes, chunk| {
            bytes.extend_from_slice(&chunk);
            bytes
        });
        Some(Snapshot {
            stream: stream.to_owned(),
            end: checkpoint.end,
            version: checkpoint.state_version,
            state: state.freeze(),
            sha256: checkpoint.sha256.clone(),
        })
    }
}

fn digest(bytes: &[u8]) -> Bytes {
    Bytes::copy_from_slice(&Sha256::digest(bytes))
}
