//! Tests of the delta encoding of expert counts.
//!
//! They guard against decoded counts that differ from those of the rank after a response is lost,
//! or after the rank or the encoder is restarted.

use hooktrestle_core::direct::count_deltas::Counts;
use hooktrestle_core::direct::count_deltas::DeltaDecoder;
use hooktrestle_core::direct::count_deltas::DeltaEncoder;
use proptest::collection::vec;
use proptest::prelude::*;

/// An event of the property test.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// Reader 0 or 1 reads, and the response is received or lost.
    Read(usize, bool),
    /// The rank adds to the count of an expert.
    Count(usize, u64),
    /// The rank is restarted.
    RankRestarts,
    /// The process that encodes is restarted.
    EncoderRestarts(u64),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        6 => (0usize..2, any::<bool>()).prop_map(|(reader, lost)| Event::Read(reader, lost)),
        4 => (0usize..3, 0u64..9).prop_map(|(expert, more)| Event::Count(expert, more)),
        1 => Just(Event::RankRestarts),
        1 => any::<u64>().prop_map(Event::EncoderRestarts),
    ]
}

proptest! {
    #[test]
    fn decoded_counts_equal_the_counts_of_the_rank(events in vec(event(), 1..80)) {
        let mut rank = Counts { epoch: 1, pass: 0, counts: vec![0; 3] };
        let mut encoder = DeltaEncoder::new(17);
        let mut decoders = [DeltaDecoder::default(), DeltaDecoder::default()];
        for event in events {
            match event {
                Event::Count(expert, more) => rank.counts[expert] += more,
                Event::RankRestarts => {
                    rank = Counts { epoch: rank.epoch + 1, pass: 0, counts: vec![0; 3] };
                }
                Event::EncoderRestarts(origin) => encoder = DeltaEncoder::new(origin),
                Event::Read(reader, lost) => {
                    rank.pass += 1;
                    let message = encoder.encode(rank.clone(), decoders[reader].known());
                    if !lost {
                        prop_assert_eq!(decoders[reader].decode(message), Some(rank.clone()));
                    }
                }
            }
        }
    }
}

#[test]
fn a_delta_to_an_unknown_snapshot_is_not_decoded() {
    let counts = |first| Counts { epoch: 1, pass: 1, counts: vec![first, 5] };
    let mut encoder = DeltaEncoder::new(0);
    let full = encoder.encode(counts(10), 0);
    let mut decoder = DeltaDecoder::default();
    assert_eq!(decoder.decode(full.clone()), Some(counts(10)));
    let delta = encoder.encode(counts(12), decoder.known());
    assert_eq!(delta.counts, [2, 0], "only the differences are sent");
    assert_eq!(DeltaDecoder::default().decode(delta), None);
}
