//! The client of the platform's services over HTTP with JSON bodies; records are in base64.

use crate::{Artifact, Batch, Entry, Error, Log, Offset, Result, Vm, VmList, WeightStore};
use async_trait::async_trait;
use bytes::Bytes;
use compact_str::{CompactString, ToCompactString, format_compact};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Method, Request, StatusCode};
use hyper_util::client::legacy::{Client, connect::HttpConnector};
use hyper_util::rt::TokioExecutor;
use serde::{Deserialize, Serialize};
use serde_with::{base64::Base64, serde_as};
use std::time::Duration;

/// The largest body of a response, in bytes.
const MAX_BODY_BYTES: usize = 64 << 20;

/// A client of one of the platform's services.
#[derive(Debug, Clone)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
    address: CompactString,
    timeout: Duration,
}

/// The body of an append request.
#[serde_as]
#[derive(Debug, Serialize, Deserialize)]
pub struct AppendBody {
    /// The records, each in base64.
    #[serde_as(as = "Vec<Base64>")]
    pub records: Vec<Vec<u8>>,
}

/// The response to an append.
#[derive(Debug, Serialize, Deserialize)]
pub struct Appended {
    /// Offset of the first record.
    pub offset: Offset,
}

/// The response to a read.
#[serde_as]
#[derive(Debug, Serialize, Deserialize)]
pub struct ReadBody {
    /// Offset of the first record in `records`; meaningless if there is none.
    pub first: Offset,
    /// The records, each in base64.
    #[serde_as(as = "Vec<Base64>")]
    pub records: Vec<Vec<u8>>,
    /// The oldest offset that is retained.
    pub oldest: Offset,
    /// The offset of the next record.
    pub end: Offset,
}

impl HttpClient {
    /// Makes a client of the service at `address` (`host:port`).
    pub fn new(address: CompactString, timeout: Duration) -> Self {
        let client = Client::builder(TokioExecutor::new()).build_http();
        Self { client, address, timeout }
    }

    async fn call(
        &self,
        step: &'static str,
        method: Method,
        path: &str,
        body: Bytes,
        wait: Duration,
    ) -> Result<(StatusCode, Bytes)> {
        let uri = format!("http://{}{path}", self.address);
        let request = Request::builder()
            .method(method)
            .uri(uri)
            .header("content-type", "application/json")
            .body(Full::new(body))
            .map_err(|error| self.refused(step, &error))?;
        let exchange = async {
            let response = self.client.request(request).await.map_err(|error| {
                // Without a connection nothing was sent.
                if error.is_connect() {
                    self.unavailable(step, &error)
                } else {
                    self.unsettled(step, &error)
                }
            })?;
            let status = response.status();
            let body = Limited::new(response.into_body(), MAX_BODY_BYTES).collect().await;
            let body = body.map_err(|error| self.unsettled(step, &error))?;
            Ok((status, body.to_bytes()))
        };
        match tokio::time::timeout(self.timeout + wait, exchange).await {
            Ok(result) => result,
            Err(elapsed) => Err(self.unsettled(step, &elapsed)),
        }
    }

    fn parse<T: serde::de::DeserializeOwned>(&self, step: &'static str, body: &[u8]) -> Result<T> {
        serde_json::from_slice(body).map_err(|error| self.unsettled(step, &error))
    }

    fn unavailable(&self, step: &'static str, detail: &dyn std::fmt::Display) -> Error {
        Error::Unavailable { step, peer: self.address.clone(), detail: detail.to_compact_string() }
    }

    fn unsettled(&self, step: &'static str, detail: &dyn std::fmt::Display) -> Error {
        Error::Unsettled { step, peer: self.address.clone(), detail: detail.to_compact_string() }
    }

    fn refused(&self, step: &'static str, detail: &dyn std::fmt::Display) -> Error {
        Error::Refused { step, peer: self.address.clone(), detail: detail.to_compact_string() }
    }

    fn check_status(&self, step: &'static str, status: StatusCode, body: &[u8]) -> Result<()> {
        let detail = format_compact!("{status}: {}", String::from_utf8_lossy(body));
        match status {
            StatusCode::OK => Ok(()),
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
                Err(self.unavailable(step, &detail))
            }
            _ if status.is_server_error() => Err(self.unsettled(step, &detail)),
            _ => Err(self.refused(step, &detail)),
        }
    }
}

#[async_trait]
impl Log for HttpClient {
    async fn append(&self, stream: &str, records: Vec<Bytes>) -> Result<Offset> {
        const STEP: &str = "append";
        let body = AppendBody { records: records.iter().map(|bytes| bytes.to_vec()).collect() };
        let body = serde_json::to_vec(&body).map_err(|error| self.refused(STEP, &error))?;
        let path = format!("/streams/{}", uri::encode(stream));
        let (status, body) =
            self.call(STEP, Method::POST, &path, body.into(), Duration::ZERO).await?;
        self.check_status(STEP, status, &body)?;
        Ok(self.parse::<Appended>(STEP, &body)?.offset)
    }

    async fn read(
        &self,
        stream: &str,
        from: Offset,
        limit: usize,
        wait: Duration,
    ) -> Result<Batch> {
        const STEP: &str = "read";
        let wait_ms = wait.as_millis();
        let path =
            format!("/streams/{}?from={from}&limit={limit}&wait_ms={wait_ms}", uri::encode(stream));
        let (status, body) = self.call(STEP, Method::GET, &path, Bytes::new(), wait).await?;
        if status == StatusCode::GONE {
            let oldest = self.parse::<ReadBody>(STEP, &body)?.oldest;
            return Err(Error::Gone { stream: stream.to_compact_string(), oldest });
        }
        self.check_status(STEP, status, &body)?;
        let read: ReadBody = self.parse(STEP, &body)?;
        let numbered = (read.first..).zip(read.records);
        let entries = numbered.map(|(offset, bytes)| Entry { offset, bytes: bytes.into() });
        Ok(Batch { entries: entries.collect(), oldest: read.oldest, end: read.end })
    }
}

#[async_trait]
impl VmList for HttpClient {
    async fn list(&self) -> Result<Vec<Vm>> {
        const STEP: &str = "list VMs";
        let (status, body) =
            self.call(STEP, Method::GET, "/vms", Bytes::new(), Duration::ZERO).await?;
        self.check_status(STEP, status, &body)?;
        self.parse(STEP, &body)
    }
}

#[async_trait]
impl WeightStore for HttpClient {
    async fn stat(&self, name: &str) -> Result<Artifact> {
        const STEP: &str = "look up weights";
        let path = format!("/artifacts/{}", uri::encode(name));
        let (status, body) =
            self.call(STEP, Method::GET, &path, Bytes::new(), Duration::ZERO).await?;
        self.check_status(STEP, status, &body)?;
        self.parse(STEP, &body)
    }
}
