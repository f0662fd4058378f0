//! The HTTP server for callers: reads heads and bodies within limits, responds, and shuts down
//! without cutting off requests.

use crate::buffered_request::BufferedRequest;
use crate::callers::{Connection, Gate};
use crate::config::route::Limits;
use crate::request::caller_stream::CallerStream;
use crate::request::response::{
    self, Body, Failure, OTHER_ENTRY_RETRY_AFTER, Refusal, TrackedBody,
};
use crate::request::{intake, serve};
use crate::shared::Shared;
use body::{Buffered, buffered};
use http::{HeaderValue, Request, Response, StatusCode, Version, header};
use hyper::body::{Body as _, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use policy::overload::Resource;
use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// The limits that apply while there is no configuration; each request is then refused in any case.
const UNCONFIGURED_LIMITS: Limits = Limits {
    header_bytes: 16 * 1024,
    body_bytes: 4 * 1024 * 1024,
    idle_timeout: Duration::from_secs(15),
};

/// By which factor a connection may be idle for longer than the configured limit, so that it is not
/// closed just as a caller that keeps to the limit uses it again.
const IDLE_TIMEOUT_FACTOR: f64 = 1.3;

/// The smallest buffer for a head that the HTTP library accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8 * 1024;

/// `Retry-After` when this entry has no memory for a body: by then others have read and sent theirs.
const MEMORY_RETRY_AFTER: Duration = Duration::from_millis(300);

/// How long the rest of a refused body is read, so that its caller receives the refusal.
const DISCARD_TIME: Duration = Duration::from_secs(1);

/// The most bytes that are read of it.
const MAX_DISCARDED_BYTES: usize = 256 * 1024;

/// The bytes of it that are read at a time.
const DISCARD_BUFFER_BYTES: usize = 4 * 1024;

/// At most the number of connections divided by this may be kept open to read the rest of a refused
/// body. Others are closed at once.
const DISCARD_DIVISOR: u32 = 8;

/// The pause after a connection could not be accepted, such as for lack of file descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// The server for callers' connections to this entry.
#[derive(Debug)]
pub struct CallerServer {
    /// Cancelled once each response is to be the last on its connection.
    close_after_response: CancellationToken,
    /// Cancelled once idle connections are to be closed.
    close_idle: CancellationToken,
    /// The connections from which the rest of a refused body is read.
    discarding: Gate,
}

impl CallerServer {
    /// Creates a server without connections.
    pub fn new(close_after_response: CancellationToken, close_idle: CancellationToken) -> Self {
        Self { close_after_response, close_idle, discarding: Gate::default() }
    }

    /// Accepts connections until `stop_accepting` is cancelled.
    pub async fn accept(
        self: Arc<Self>,
        shared: Arc<Shared>,
        listener: TcpListener,
        stop_accepting: CancellationToken,
    ) {
        let receive_buffer = intake::limit_receive_buffers(&listener, &shared.settings);
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = stop_accepting.cancelled() => return,
            };
            match accepted {
                Ok((stream, _)) => {
                    if let Some(resource) = intake::short_resource(&shared).await {
                        shared.metrics.closed_unread(resource.name());
                        continue;
                    }
                    let bytes = receive_buffer + read_buffer_bytes(&limits(&shared));
                    let Some(buffers) = shared.memory.hold(bytes) else {
                        shared.metrics.closed_unread(Resource::Memory.name());
                        continue;
                    };
                    let connection = Arc::new(shared.callers.open(Instant::now()));
                    let (server, shared) = (self.clone(), shared.clone());
                    tokio::spawn(async move {
                        let _buffers = buffers;
                        tokio::select! {
                            () = server.serve_connection(shared, stream, &connection) => {}
                            () = connection.evicted() => {}
                        }
                    });
                }
                Err(error) => {
                    log::warn!(target: "intake", error:% = error; "connection not accepted");
                    tokio::time::sleep(ACCEPT_BACKOFF).await;
                }
            }
        }
    }

    async fn serve_connection(
        &self,
        shared: Arc<Shared>,
        stream: TcpStream,
        connection: &Arc<Connection>,
    ) {
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!(target: "intake", error:% = error; "TCP_NODELAY not set");
        }
        let limits = limits(&shared);
        let (max_connections, memory) = (shared.settings.max_connections, shared.memory.clone());
        let callers = shared.callers.clone();
        let close_after_response = self.close_after_response.clone();
        let is_unframed = Arc::new(AtomicBool::new(false));
        let unframed = is_unframed.clone();
        let has_unread_body = Arc::new(AtomicBool::new(false));
        let unread = has_unread_body.clone();
        let connection = connection.clone();
        let service = service_fn(move |request| {
            let active = connection.begin_request();
            let (shared, close) = (shared.clone(), close_after_response.clone());
            let (unframed, unread) = (unframed.clone(), unread.clone());
            async move {
                let has_chunks = request.version() >= Version::HTTP_11;
                let response = respond(shared, request, &close, &unread).await;
                let has_length = response.body().size_hint().exact().is_some();
                unframed.store(!has_chunks && !has_length, Ordering::Relaxed);
                Ok::<_, Infallible>(response.map(|body| TrackedBody::new(body, active)))
            }
        });
        let mut builder = http1::Builder::new();
        builder
            .timer(TokioTimer::new())
            .header_read_timeout(limits.idle_timeout.mul_f64(IDLE_TIMEOUT_FACTOR))
            .max_buf_size(read_buffer_bytes(&limits));
        let stream = CallerStream::new(stream, memory, limits.idle_timeout);
        let mut connection = builder.serve_connection(TokioIo::new(stream), service);
        // A connection accepted after idle ones have been closed is new: its caller has a request
        // to send, and the response is its last. Closed before that, it would look like a failure
        // to its caller.
        let accepted_while_closing = self.close_idle.is_cancelled();
        let result = tokio::select! {
            result = &mut connection => result,
            () = self.close_idle.cancelled(), if !accepted_while_closing => {
                Pin::new(&mut connection).graceful_shutdown();
                (&mut connection).await
            }
        };
        if let Err(error) = result {
            log::debug!(target: "intake", error:% = error; "connection failed");
            if is_unframed.load(Ordering::Relaxed) {
                reset_on_close(connection.into_parts().io.into_inner().stream());
            }
        } else if has_unread_body.load(Ordering::Relaxed) && callers.count() < max_connections {
            self.discard_rest(connection.into_parts().io.into_inner(), max_connections).await;
        }
    }

    /// Reads what the caller still sends of a body that was refused, while there is no lack of
    /// connections. A connection that is closed before that is reset, and the caller may lose the
    /// refusal.
    async fn discard_rest(&self, mut stream: CallerStream, max_connections: u32) {
        let Some(_guard) = self.discarding.enter(max_connections / DISCARD_DIVISOR) else { return };
        let mut buffer = [0; DISCARD_BUFFER_BYTES];
        let discarding = async {
            let mut discarded = 0;
            while discarded < MAX_DISCARDED_BYTES {
                match stream.read(&mut buffer).await {
                    Ok(0) | Err(_) => return,
                    Ok(read) => discarded += read,
                }
            }
        };
        // Whoever still sends then has not read the refusal for some round trips.
        let _ = tokio::time::timeout(DISCARD_TIME, discarding).await;
    }
}

/// The most bytes of a connection that are read but not processed.
fn read_buffer_bytes(limits: &Limits) -> usize {
    limits.header_bytes.max(MIN_BUFFER_BYTES)
}

/// Has the connection reset once it is closed: its caller would take a regular end for the end of a
/// response that was broken off.
fn reset_on_close(stream: &TcpStream) {
    if let Err(error) = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO)) {
        log::warn!(target: "intake", error:% = error; "connection not reset");
    }
}

fn limits(shared: &Shared) -> Limits {
    shared.table.borrow().as_ref().map_or(UNCONFIGURED_LIMITS, |table| table.limits)
}

async fn respond(
    shared: Arc<Shared>,
    request: Request<Incoming>,
    close_after_response: &CancellationToken,
    has_unread_body: &AtomicBool,
) -> Response<Body> {
    let arrived = Instant::now();
    let read = tokio::select! {
        biased;
        read = read_request(&shared, request) => read,
        () = shared.ending.cancelled() => Err(Unreadable::Stopping),
    };
    let mut response = match read {
        Ok(buffered) => {
            let ending = shared.ending.clone();
            tokio::select! {
                biased;
                response = serve::serve(shared, buffered, arrived) => response,
                // It may have run, unlike what is refused.
                () = ending.cancelled() => response::fail(Failure::Lost),
            }
        }
        Err(reason) => {
            shared.metrics.body_refused(reason.name());
            has_unread_body.store(true, Ordering::Relaxed);
            reason.response()
        }
    };
    if close_after_response.is_cancelled() || has_unread_body.load(Ordering::Relaxed) {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

async fn read_request(
    shared: &Shared,
    request: Request<Incoming>,
) -> Result<BufferedRequest, Unreadable> {
    let (head, body) = request.into_parts();
    let limits = limits(shared);
    let body = Buffered::read(body, limits.body_bytes, &shared.memory);
    let body = match tokio::time::timeout(limits.idle_timeout, body).await {
        Ok(Ok(body)) => body,
        Ok(Err(buffered::Error::TooLong { .. })) => return Err(Unreadable::TooLarge),
        Ok(Err(buffered::Error::NoRoom(_))) => return Err(Unreadable::NoMemory),
        Ok(Err(buffered::Error::BrokenOff(_))) => return Err(Unreadable::CutOff),
        Err(_) => return Err(Unreadable::TooSlow),
    };
    Ok(BufferedRequest { method: head.method, path: head.uri, headers: head.headers, body })
}

/// Why the body of a request was not read to its end. The request has not run.
#[derive(Debug, Clone, Copy)]
enum Unreadable {
    TooLarge,
    NoMemory,
    CutOff,
    TooSlow,
    Stopping,
}

impl Unreadable {
    fn name(self) -> &'static str {
        match self {
            Self::TooLarge => "too-large",
            Self::NoMemory => Refusal::MemoryFull.name(),
            Self::CutOff => "cut-off",
            Self::TooSlow => "too-slow",
            Self::Stopping => Refusal::Stopping.name(),
        }
    }

    fn response(self) -> Response<Body> {
        match self {
            Self::TooLarge => response::local(StatusCode::PAYLOAD_TOO_LARGE, "body too large"),
            Self::NoMemory => response::refuse(Refusal::MemoryFull, MEMORY_RETRY_AFTER),
            Self::CutOff => response::local(StatusCode::BAD_REQUEST, "body cut off"),
            Self::Stopping => response::refuse(Refusal::Stopping, OTHER_ENTRY_RETRY_AFTER),
            Self::TooSlow => response::local(StatusCode::REQUEST_TIMEOUT, "body too slow"),
        }
    }
}
