//! Who a request comes from: a bearer token matched to the digest in a Caller resource.

use crate::view::{ConfigView, ConfiguredCaller};
use sha2::{Digest, Sha256};
use std::sync::Arc;
use subtle::ConstantTimeEq;

/// Finds the caller whose token an `Authorization` header carries.
///
/// A request without the header is the caller's that has no digest, if there is one.
pub(crate) fn caller(
    view: &ConfigView,
    authorization: Option<&[u8]>,
) -> Option<Arc<ConfiguredCaller>> {
    let Some(header) = authorization else { return view.caller(None).cloned() };
    let token = header.strip_prefix(b"Bearer ")?;
    let digest: crate::view::Digest = Sha256::digest(token).into();
    let caller = view.caller(Some(&digest))?;
    // The table is found by a hash of the digest; the digest itself is compared in constant time,
    // so that response times tell nothing of how much of it was right.
    let known = caller.digest.unwrap_or_default();
    bool::from(known.ct_eq(&digest)).then(|| caller.clone())
}
