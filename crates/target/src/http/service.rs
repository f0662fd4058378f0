//! Client of a plain service over HTTP.

use super::exchange::Exchange;
use crate::{Call, Header, Response, Result, Service};
use async_trait::async_trait;
use bytes::Bytes;
use compact_str::{CompactString, ToCompactString};
use futures_util::StreamExt;
use http_body_util::BodyDataStream;

/// The client of one service.
#[derive(Debug, Clone)]
pub struct HttpService {
    exchange: Exchange,
}

impl HttpService {
    /// Creates a client of the service at `address` (`host:port`).
    pub fn new(address: CompactString) -> Self {
        Self { exchange: Exchange::new(address) }
    }
}

#[async_trait]
impl Service for HttpService {
    async fn call(&self, call: Call) -> Result<Response> {
        let headers = call.headers.into_iter().map(|header| (header.name, header.value));
        let sent = self.exchange.send("call", &call.method, &call.path, headers, call.body);
        let response = sent.await?;
        let (head, body) = response.into_parts();
        let headers = head.headers.iter().map(|(name, value)| Header {
            name: name.as_str().to_compact_string(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        });
        let exchange = self.exchange.clone();
        let parts = BodyDataStream::new(body)
            .map(move |part| part.map_err(|error| exchange.broken("read body", &error)));
        Ok(Response {
            status: head.status.as_u16(),
            headers: headers.collect(),
            body: Box::pin(parts),
        })
    }

    async fn probe(&self) -> Result<()> {
        let no_headers = std::iter::empty::<(CompactString, Bytes)>();
        self.exchange.send("probe", "GET", "/healthz", no_headers, Bytes::new()).await.map(drop)
    }
}
