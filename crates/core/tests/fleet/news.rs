//! One exchange of news between two gateways, without a network.

use hooktrestle_core::clock::Millis;
use hooktrestle_core::direct::members::Members;

/// Two gateways exchange news, as `direct/src/peers` does; each has a clock of its own.
pub fn exchange(asks: (&mut Members, Millis), asked: (&mut Members, Millis)) {
    let ((asks, asks_now), (asked, asked_now)) = (asks, asked);
    let (own, told) = (asks.own_word(), asks.beats(asks_now));
    asked.hear(&own, asked_now);
    let wanted = asked.hear_beats(&told, asked_now);
    let (lacking, answer) = (asked.lacking(&told, asked_now), asked.beats(asked_now));
    lacking.iter().for_each(|word| asks.hear(word, asks_now));
    asks.hear_beats(&answer, asks_now);
    asks.named(&wanted, asks_now).iter().for_each(|word| asked.hear(word, asked_now));
}
