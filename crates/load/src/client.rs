//! The HTTP client that all requests share.

use crate::{Error, Result};
use bytes::Bytes;
use compact_str::CompactString;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Request, Response};
use hyper_util::client::legacy::{self, connect::HttpConnector};
use hyper_util::rt::TokioExecutor;
use std::time::Duration;

/// The HTTP client that all requests share.
#[derive(Clone)]
pub(crate) struct Client {
    client: legacy::Client<HttpConnector, Full<Bytes>>,
}

/// Why a request got no response.
#[derive(Debug)]
pub(crate) enum Failure {
    /// The connection could not be established; nothing was sent.
    Unreachable,
    /// The connection broke after the request was sent and before the response's head arrived.
    Broken,
}

/// Timeout of connection attempts, for a fleet on the local network.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout for reading a stand-in's report.
const REPORT_TIMEOUT: Duration = Duration::from_secs(10);

impl Client {
    /// Makes a client that never retries by itself.
    pub(crate) fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        // A retry by the client itself would be counted as a call that the fleet ran twice.
        let client = legacy::Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .build(connector);
        Self { client }
    }

    /// Sends a request and returns the response, whose body is yet to be read.
    pub(crate) async fn send(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, Failure> {
        self.client.request(request).await.map_err(|error| {
            if error.is_connect() { Failure::Unreachable } else { Failure::Broken }
        })
    }

    /// Reads a stand-in's report from its control route.
    pub(crate) async fn report(&self, address: &CompactString) -> Result<serde_json::Value> {
        const STEP: &str = "read a stand-in's report";
        let failed = |detail: String| Error::Exchange { step: STEP, peer: address.clone(), detail };
        let uri = format!("http://{address}/faults");
        let request = Request::get(uri).body(Full::default());
        let request = request.map_err(|_| Error::Address { address: address.clone() })?;
        let exchange = async {
            let response = self.client.request(request).await;
            let response = response.map_err(|error| failed(error.to_string()))?;
            let body = response.into_body().collect().await;
            let body = body.map_err(|error| failed(error.to_string()))?.to_bytes();
            serde_json::from_slice(&body).map_err(|error| failed(error.to_string()))
        };
        let answered = tokio::time::timeout(REPORT_TIMEOUT, exchange).await;
        answered.map_err(|_| failed("no answer in time".to_owned()))?
    }
}
