//! The check just before a request is sent to the chosen upstream.

use std::time::Instant;

use wagtailreel_route::direct::{Ending, Pick, Restriction};

use crate::attempt::Call;
use crate::dialect::Dialect;

impl<D> Call<D>
where
    D: Dialect,
{
    /// Checks that the request may still be sent to `pick`. Opening a connection takes time, in which the
    /// state of the upstream may change.
    ///
    /// # Errors
    ///
    /// Returns how the attempt ends, with the reason for the log.
    pub(crate) fn check_pick(&self, pick: &Pick) -> Result<(), (Ending, &'static str)> {
        let upstreams = self.service.upstreams();
        if !upstreams.may_send(&pick.id) {
            return Err((Ending::NotSent, "began-to-leave"));
        }
        // In the remaining cases no byte was sent, which is no failure of the upstream.
        if upstreams.is_resting(&pick.id, Instant::now()) {
            return Err((Ending::NotRun, "rests"));
        }
        match upstreams.restriction_of(pick, &self.needs(None)) {
            None => Ok(()),
            Some(Restriction::Region) => Err((Ending::NotRun, "region")),
            Some(Restriction::Evacuated) => Err((Ending::NotRun, "evacuated")),
        }
    }
}
