//! Serves small pages to the load balancer and to monitoring: readiness and metrics.

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;

/// Returns the status and text of a page by its path.
pub type Page = Arc<dyn Fn(&str) -> (StatusCode, String) + Send + Sync>;

/// How long a connection may be idle: the load balancer checks every second.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// The pause after a connection could not be accepted.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// Serves `page` for as long as the process lives.
pub async fn serve(listener: TcpListener, page: Page) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(target: "intake", error:% = error; "probe not accepted");
                tokio::time::sleep(ACCEPT_BACKOFF).await;
                continue;
            }
        };
        let page = page.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request: Request<Incoming>| {
                let (status, text) = page(request.uri().path());
                let mut response = Response::new(Full::new(Bytes::from(text)));
                *response.status_mut() = status;
                async move { Ok::<_, Infallible>(response) }
            });
            let mut builder = http1::Builder::new();
            builder.timer(TokioTimer::new()).header_read_timeout(IDLE_TIMEOUT);
            if let Err(error) = builder.serve_connection(TokioIo::new(stream), service).await {
                log::debug!(target: "intake", error:% = error; "probe ended");
            }
        });
    }
}
