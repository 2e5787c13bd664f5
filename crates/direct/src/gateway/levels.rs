//! The admission level of a service at this gateway.
//! Input: requests for streams, and the notices of the keeper of the service's room. Its state is
//! that of the service's [`RoomView`](hooktrestle_core::direct::room::view::RoomView).
//! It decides whether a stream is sent, goes to the admission queue, or is refused.
//!
//! While a level is in force, the admission queue does not decide: it knows the streams of this
//! gateway only, and would refuse some for which the service has room.

use hooktrestle_core::clock::Millis;
use hooktrestle_core::direct::level::GateRequest;
use hooktrestle_core::direct::level::Return;
use hooktrestle_core::direct::level::Verdict;

use crate::gateway::Gateway;
use crate::platform::Platform;

/// What follows for a request for a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum LevelDecision {
    /// All gateways together have room for it.
    Admitted,
    /// No level is in force, so the admission queue decides.
    Unknown,
    /// It is refused.
    Refused(Return),
}

impl<P: Platform> Gateway<P> {
    /// Counts a request for a stream, and decides on it.
    pub(crate) fn decide_by_level(&self, service: &str, request: &GateRequest) -> LevelDecision {
        let now = self.now();
        let has_level = self.with_room_view(service, |view| view.gate.level(now).is_some());
        let own_part = if has_level { 0.0 } else { self.own_part(service, now) };
        self.with_room_view(service, |view| {
            let verdict = view.gate.decide(request, own_part, now);
            let in_turn = verdict == Verdict::AdmittedInTurn;
            view.arrivals.record(request.urgency, Some(request.account), in_turn, now);
            match verdict {
                Verdict::Refused(to_return) => LevelDecision::Refused(to_return),
                Verdict::Admitted if !has_level => LevelDecision::Unknown,
                Verdict::Admitted | Verdict::AdmittedInTurn => LevelDecision::Admitted,
            }
        })
    }

    /// This gateway's equal part of the slots of a service; infinite if no slots are known.
    fn own_part(&self, service: &str, now: Millis) -> f64 {
        let open = self.with_pool(|pool| pool.open_slots(service, now));
        let slots: u32 = open.iter().map(|(_, open)| open.slots).sum();
        let gateways = self.count_sharing(now).max(1);
        if slots == 0 { f64::INFINITY } else { f64::from(slots) / gateways as f64 }
    }
}
