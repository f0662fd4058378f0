//! Callers' connections: heads and bodies within limits, answers, and a stop that cuts nothing.

use crate::buffered_request::BufferedRequest;
use crate::config::route::Limits;
use crate::request::response::{self, Body};
use crate::request::serve;
use crate::shared::Shared;
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Limits while no configuration is known: a request is refused then in any case.
const NO_LIMITS: Limits = Limits {
    header_bytes: 16 * 1024,
    body_bytes: 4 * 1024 * 1024,
    idle_timeout: Duration::from_secs(15),
};

/// How much longer than the operators' limit a connection may be idle, so that it is not closed
/// just as a caller that keeps to the limit uses it again.
const IDLE_SLACK: f64 = 1.3;

/// The smallest buffer for a head that the HTTP library accepts, in bytes.
const LEAST_BUFFER: usize = 8 * 1024;

/// The pause after a connection could not be accepted, such as for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Callers' connections of one entry.
#[derive(Debug)]
pub struct CallerServer {
    open: AtomicUsize,
    /// Set once answers are to be the last of their connections.
    closing: CancellationToken,
    /// Set once idle connections are closed.
    ending: CancellationToken,
}

impl CallerServer {
    /// No connections yet.
    pub fn new(closing: CancellationToken, ending: CancellationToken) -> Self {
        Self { open: AtomicUsize::new(0), closing, ending }
    }

    /// How many connections are open.
    pub fn open_connections(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// Accepts connections until `last` is cancelled.
    pub async fn accept(
        self: Arc<Self>,
        shared: Arc<Shared>,
        listener: TcpListener,
        last: CancellationToken,
    ) {
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = last.cancelled() => return,
            };
            match accepted {
                Ok((stream, _)) => {
                    self.open.fetch_add(1, Ordering::Relaxed);
                    let (intake, shared) = (self.clone(), shared.clone());
                    tokio::spawn(async move {
                        intake.connection(shared, stream).await;
                        intake.open.fetch_sub(1, Ordering::Relaxed);
                    });
                }
                Err(error) => {
                    log::warn!(target: "intake", error:% = error; "connection not accepted");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    async fn connection(&self, shared: Arc<Shared>, stream: TcpStream) {
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!(target: "intake", error:% = error; "socket option not set");
        }
        let limits = limits(&shared);
        let closing = self.closing.clone();
        let service = service_fn(move |request| {
            let (shared, closing) = (shared.clone(), closing.clone());
            async move { Ok::<_, Infallible>(respond(shared, request, &closing).await) }
        });
        let mut builder = http1::Builder::new();
        builder
            .timer(TokioTimer::new())
            .header_read_timeout(limits.idle_timeout.mul_f64(IDLE_SLACK))
            .max_buf_size(limits.header_bytes.max(LEAST_BUFFER));
        let connection = builder.serve_connection(TokioIo::new(stream), service);
        let mut connection = std::pin::pin!(connection);
        // One that comes when idle ones are closed already is new: it has a request to send, and
        // its answer is its last. Closed before that, it would look like a failure to its caller.
        let late = self.ending.is_cancelled();
        let ended = tokio::select! {
            ended = connection.as_mut() => ended,
            () = self.ending.cancelled(), if !late => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        };
        if let Err(error) = ended {
            log::debug!(target: "intake", error:% = error; "connection ended");
        }
    }
}

fn limits(shared: &Shared) -> Limits {
    shared.table.borrow().as_ref().map_or(NO_LIMITS, |table| table.limits)
}

async fn respond(
    shared: Arc<Shared>,
    request: Request<Incoming>,
    closing: &CancellationToken,
) -> Response<Body> {
    let arrived = Instant::now();
    let mut response = match read(limits(&shared), request).await {
        Ok(content) => serve::serve(shared, content, arrived).await,
        Err(response) => response,
    };
    if closing.is_cancelled() {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

async fn read(
    limits: Limits,
    request: Request<Incoming>,
) -> Result<BufferedRequest, Response<Body>> {
    let (head, body) = request.into_parts();
    let body = Limited::new(body, limits.body_bytes).collect();
    let body = match tokio::time::timeout(limits.idle_timeout, body).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            return Err(response::own(StatusCode::PAYLOAD_TOO_LARGE, "body too large"));
        }
        Ok(Err(_)) => return Err(response::own(StatusCode::BAD_REQUEST, "body cut off")),
        Err(_) => return Err(response::own(StatusCode::REQUEST_TIMEOUT, "body too slow")),
    };
    Ok(BufferedRequest { method: head.method, path: head.uri, headers: head.headers, body })
}
