//! Who a request comes from: a bearer token matched to the digest in a Caller resource.

use conf::Name;
use conf::resource::Caller;
use sha2::{Digest, Sha256};
use state::Config;
use std::fmt::Write;
use subtle::ConstantTimeEq;

/// Finds the caller whose token an `Authorization` header carries.
///
/// A request without the header is the caller's that has no digest, if there is one.
pub(crate) fn caller<'a>(
    config: &'a Config,
    authorization: Option<&str>,
) -> Option<(&'a Name, &'a Caller)> {
    let digest = match authorization {
        None => String::new(),
        Some(header) => digest_of(header.strip_prefix("Bearer ")?),
    };
    config.callers().find(|(_, caller)| {
        // Compared in constant time, so that response times tell nothing of a digest.
        caller.token_sha256.as_bytes().ct_eq(digest.as_bytes()).into()
    })
}

/// SHA-256 of a token in lower-case hexadecimal.
fn digest_of(token: &str) -> String {
    Sha256::digest(token.as_bytes()).iter().fold(String::new(), |mut hex, byte| {
        // Writing to a string cannot fail.
        let _ = write!(hex, "{byte:02x}");
        hex
    })
}
