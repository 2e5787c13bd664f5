//! One exchange of news between two gateways, without a network.

use hooktrestle_core::clock::Millis;
use hooktrestle_core::direct::members::Members;

/// Two gateways exchange news, as `direct/src/peers` does; each has a clock of its own.
pub fn exchange(asks: (&mut Members, Millis), asked: (&mut Members, Millis)) {
    let ((asks, asks_now), (asked, asked_now)) = (asks, asked);
    let (own, told) = (asks.own_record(), asks.heartbeats(asks_now));
    asked.apply_record(&own, asked_now);
    let wanted = asked.apply_heartbeats(&told, asked_now);
    let (lacking, answer) =
        (asked.records_missing_from(&told, asked_now), asked.heartbeats(asked_now));
    lacking.iter().for_each(|word| asks.apply_record(word, asks_now));
    asks.apply_heartbeats(&answer, asks_now);
    asks.records_of(&wanted, asks_now).iter().for_each(|word| asked.apply_record(word, asked_now));
}
