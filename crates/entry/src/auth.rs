//! Authenticates requests by bearer token, using the digests in Caller resources.

use crate::view::{ConfigView, ConfiguredCaller};
use sha2::{Digest, Sha256};
use std::sync::Arc;
use subtle::ConstantTimeEq;

/// Returns the caller whose token is in an `Authorization` header.
///
/// A request without the header belongs to the caller without a digest, if there is one.
pub(crate) fn caller(
    view: &ConfigView,
    authorization: Option<&[u8]>,
) -> Option<Arc<ConfiguredCaller>> {
    let Some(header) = authorization else { return view.caller(None).cloned() };
    let token = header.strip_prefix(b"Bearer ")?;
    let digest: crate::view::Digest = Sha256::digest(token).into();
    let caller = view.caller(Some(&digest))?;
    // The lookup uses a hash of the digest. The digest itself is compared in constant time, so that
    // response times do not reveal how much of it matches.
    let known = caller.digest.unwrap_or_default();
    bool::from(known.ct_eq(&digest)).then(|| caller.clone())
}
