//! Serves the stand-ins over the protocols of the real systems, each as a `salvo` router.

mod control;
mod engine;
mod log;
mod service;
mod vms;
mod weights;

use salvo::conn::tcp::TcpAcceptor;
use salvo::{Router, Server};
use std::io;
use std::net::SocketAddr;

pub use control::control_router;
pub use engine::engine_router;
pub use log::log_router;
pub use service::service_router;
pub use vms::vms_router;
pub use weights::weights_router;

/// A stand-in's server, bound but not yet running.
pub struct BoundServer {
    acceptor: TcpAcceptor,
    router: Router,
    /// The bound address, with the real port.
    pub address: SocketAddr,
}

impl BoundServer {
    /// Binds `address`, `host:port`; port 0 selects a free one.
    pub async fn bind(address: &str, router: Router) -> io::Result<Self> {
        let socket = wire::listen(address).await?;
        let address = socket.local_addr()?;
        Ok(Self { acceptor: socket.try_into()?, router, address })
    }

    /// Serves until the task is dropped.
    pub async fn run(self) {
        Server::new(self.acceptor).serve(self.router).await;
    }
}

/// Closes the connection without a response, as a killed process does.
async fn break_off(flow: &salvo::FlowCtrl) {
    flow.conn().abort();
    // The server drops this handler as it closes the connection.
    std::future::pending().await
}

/// Writes a JSON response with a status.
fn render<T: serde::Serialize + Send>(
    response: &mut salvo::Response,
    status: salvo::http::StatusCode,
    body: T,
) {
    response.status_code(status);
    response.render(salvo::writing::Json(body));
}
