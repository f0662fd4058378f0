//! Compresses records for datagrams. Lists of targets and configurations repeat the same names in
//! each row, and take a tenth of their size.

use bytes::Bytes;
use flate2::Compression;
use flate2::read::{DeflateDecoder, DeflateEncoder};
use std::io::{Read, Result};

/// Upper bound on the size of decompressed records, in bytes.
const MAX_DECOMPRESSED: u64 = 16 * 1_024 * 1_024;

/// Compresses bytes.
pub fn compress(bytes: &[u8]) -> Bytes {
    let mut compressed = Vec::new();
    let result = DeflateEncoder::new(bytes, Compression::fast()).read_to_end(&mut compressed);
    result.expect("reading from memory never fails");
    compressed.into()
}

/// Decompresses bytes. Fails if they are not compressed bytes; what exceeds the bound is left out.
pub fn decompress(bytes: &[u8]) -> Result<Bytes> {
    let mut decompressed = Vec::new();
    DeflateDecoder::new(bytes).take(MAX_DECOMPRESSED).read_to_end(&mut decompressed)?;
    Ok(decompressed.into())
}
