//! Filters the headers forwarded between callers and plain services, and rejects malformed
//! requests.

use bytes::Bytes;
use salvo::http::{HeaderMap, HeaderName, HeaderValue, header};
use wire::Header;

/// Headers of a single connection (RFC 9110, section 7.6.1) or for the entry itself.
const NOT_FORWARDED: [&str; 16] = [
    "authorization",
    "connection",
    "content-length",
    "expect",
    "host",
    "idempotency-key",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "x-deadline-ms",
    "x-urgency",
];

/// Returns why the headers of a request must be refused, if so.
///
/// Two framings in one request allow a second request to be smuggled past a proxy that reads only
/// one of them. The entry frames requests to targets anew, but callers that send this are broken or
/// hostile.
pub(crate) fn violation(headers: &HeaderMap) -> Option<&'static str> {
    let length = headers.get_all(header::CONTENT_LENGTH).iter().count();
    let encoding = headers.get_all(header::TRANSFER_ENCODING).iter().count();
    if length > 0 && encoding > 0 {
        return Some("content-length and transfer-encoding exclude each other");
    }
    if length > 1 {
        return Some("content-length may appear once");
    }
    if headers.get_all(header::AUTHORIZATION).iter().count() > 1 {
        return Some("authorization may appear once");
    }
    if headers.get_all("idempotency-key").iter().count() > 1 {
        return Some("idempotency-key may appear once");
    }
    None
}

/// Returns the headers of a request that are forwarded to a service.
pub(crate) fn to_service(headers: &HeaderMap) -> Vec<Header> {
    let options = connection_options(headers);
    let forwarded = headers.iter().filter(|(name, _)| is_forwarded(name.as_str(), &options));
    let forwarded = forwarded.map(|(name, value)| Header {
        name: name.to_string(),
        value: Bytes::copy_from_slice(value.as_bytes()),
    });
    forwarded.collect()
}

/// Adds the headers of a service's response that are forwarded to its caller.
pub(crate) fn to_caller(from: Vec<Header>, to: &mut HeaderMap) {
    let mut all = HeaderMap::new();
    for header in from {
        let name = HeaderName::try_from(header.name);
        let value = HeaderValue::from_maybe_shared(header.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            all.append(name, value);
        }
    }
    let options = connection_options(&all);
    for (name, value) in &all {
        if is_forwarded(name.as_str(), &options) {
            to.append(name.clone(), value.clone());
        }
    }
}

fn is_forwarded(name: &str, options: &[String]) -> bool {
    !NOT_FORWARDED.contains(&name) && !options.iter().any(|option| option == name)
}

/// Returns the headers that `Connection` lists as specific to this connection.
fn connection_options(headers: &HeaderMap) -> Vec<String> {
    let values = headers.get_all(header::CONNECTION).iter();
    let texts = values.filter_map(|value| value.to_str().ok());
    let names = texts.flat_map(|text| text.split(',')).map(|name| name.trim().to_ascii_lowercase());
    names.filter(|name| !name.is_empty()).collect()
}
