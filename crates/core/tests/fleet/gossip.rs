//! One gossip exchange between two gateways, without a network.

use hooktrestle_core::clock::Millis;
use hooktrestle_core::direct::members::Members;

/// One gossip exchange, as `direct/src/peers` does it; each gateway has a clock of its own.
pub fn exchange(initiator: (&mut Members, Millis), responder: (&mut Members, Millis)) {
    let ((initiator, initiator_now), (responder, responder_now)) = (initiator, responder);
    let (own, sent) = (initiator.own_record(), initiator.heartbeats(initiator_now));
    responder.apply_record(&own, responder_now);
    let wanted = responder.apply_heartbeats(&sent, responder_now);
    let (lacking, answer) =
        (responder.records_missing_from(&sent, responder_now), responder.heartbeats(responder_now));
    lacking.iter().for_each(|record| initiator.apply_record(record, initiator_now));
    initiator.apply_heartbeats(&answer, initiator_now);
    initiator
        .records_of(&wanted, initiator_now)
        .iter()
        .for_each(|record| responder.apply_record(record, responder_now));
}
