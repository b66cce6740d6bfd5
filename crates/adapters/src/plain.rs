//! Plain services beside the model engines.

use ::http::{Request, Response};
use hyper::body::Incoming;

use crate::{Body, PlatformError};

/// A plain service: a request, a response, no weights.
pub trait PlainService: Clone + Send + Sync + 'static {
    /// Passes `req` on and returns the answer whole, whatever its status.
    ///
    /// The path and query of `req` are kept; its authority is the service's.
    ///
    /// # Errors
    ///
    /// Returns a [`PlatformError`] if there is no answer; it may have run all the same unless
    /// [`PlatformError::took_effect`] says no.
    fn call<B>(
        &self,
        req: Request<B>,
    ) -> impl Future<Output = Result<Response<Incoming>, PlatformError>> + Send
    where
        B: Into<Body> + Send;

    /// Checks that the service says it is well.
    ///
    /// # Errors
    ///
    /// Returns a [`PlatformError`] if it doesn't.
    fn healthy(&self) -> impl Future<Output = Result<(), PlatformError>> + Send;
}
