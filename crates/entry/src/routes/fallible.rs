//! Handles requests that may end with a problem, which is counted and rendered in one place.

use crate::daemon::Shared;
use crate::problem::Problem;
use async_trait::async_trait;
use salvo::{Depot, FlowCtrl, Handler, Request, Response};

/// Serves requests of one kind.
#[async_trait]
pub(super) trait Serve: Send + Sync + 'static {
    /// Writes the response.
    async fn serve(
        &self,
        http: &mut Request,
        depot: &Depot,
        response: &mut Response,
    ) -> Result<(), Problem>;

    /// Renders a problem in the format of these routes.
    fn render(&self, problem: Problem, response: &mut Response);

    /// Returns the state shared by all requests of the entry.
    fn shared(&self) -> &Shared;
}

/// Handles requests; counts and renders the problem if one fails.
pub(super) struct Fallible<S>(pub(super) S);

#[async_trait]
impl<S: Serve> Handler for Fallible<S> {
    async fn handle(
        &self,
        request: &mut Request,
        depot: &mut Depot,
        response: &mut Response,
        _: &mut FlowCtrl,
    ) {
        if let Err(problem) = self.0.serve(request, depot, response).await {
            self.0.shared().metrics.request_refused(problem.reason, problem.execution);
            self.0.render(problem, response);
        }
    }
}
