//! Authentication of operators by a bearer token, whose digest is in the settings.

use compact_str::CompactString;
use sha2::{Digest, Sha256};
use std::fmt::Write;
use subtle::ConstantTimeEq;

/// The check of the bearer token of each request.
#[derive(Clone)]
pub enum TokenCheck {
    /// All requests are accepted; only for an address on loopback.
    Open,
    /// Only requests with the token of this digest are accepted: SHA-256 in lower-case hexadecimal.
    Digest(CompactString),
}

impl TokenCheck {
    /// Creates the check for an address and the digest of the settings. An empty digest accepts all
    /// requests on loopback, and none on any other address.
    pub fn for_address(address: &str, digest: &str) -> Self {
        match digest.is_empty() && conf::settings::is_loopback(address) {
            true => Self::Open,
            false => Self::Digest(digest.into()),
        }
    }

    /// Whether a request with this `Authorization` header is accepted.
    pub(crate) fn admits(&self, authorization: Option<&str>) -> bool {
        let Self::Digest(expected) = self else { return true };
        let Some(token) = authorization.and_then(|header| header.strip_prefix("Bearer ")) else {
            return false;
        };
        // Compared in constant time, so that response times reveal nothing about the digest.
        digest_of(token).as_bytes().ct_eq(expected.as_bytes()).into()
    }
}

/// SHA-256 of a token in lower-case hexadecimal.
fn digest_of(token: &str) -> String {
    Sha256::digest(token.as_bytes()).iter().fold(String::new(), |mut hex, byte| {
        // Writing to a string cannot fail.
        let _ = write!(hex, "{byte:02x}");
        hex
    })
}
