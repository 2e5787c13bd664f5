//! Counts told as differences say what counts told whole say, whatever is lost or begun anew.

use hooktrestle_core::direct::count_deltas::Counts;
use hooktrestle_core::direct::count_deltas::DeltaDecoder;
use hooktrestle_core::direct::count_deltas::DeltaEncoder;
use proptest::collection::vec;
use proptest::prelude::*;

/// What happens between two readings.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// Reader 0 or 1 reads, and the answer arrives or is lost.
    Read(usize, bool),
    /// The rank counts.
    Count(usize, u64),
    /// The rank is started anew.
    RankRestarts,
    /// The process beside it is started anew.
    TellerRestarts(u64),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        6 => (0usize..2, any::<bool>()).prop_map(|(reader, lost)| Event::Read(reader, lost)),
        4 => (0usize..3, 0u64..9).prop_map(|(expert, more)| Event::Count(expert, more)),
        1 => Just(Event::RankRestarts),
        1 => any::<u64>().prop_map(Event::TellerRestarts),
    ]
}

proptest! {
    #[test]
    fn what_is_heard_is_what_the_rank_counted(events in vec(event(), 1..80)) {
        let mut rank = Counts { epoch: 1, pass: 0, counts: vec![0; 3] };
        let mut told = DeltaEncoder::new(17);
        let mut heard = [DeltaDecoder::default(), DeltaDecoder::default()];
        for event in events {
            match event {
                Event::Count(expert, more) => rank.counts[expert] += more,
                Event::RankRestarts => {
                    rank = Counts { epoch: rank.epoch + 1, pass: 0, counts: vec![0; 3] };
                }
                Event::TellerRestarts(origin) => told = DeltaEncoder::new(origin),
                Event::Read(reader, lost) => {
                    rank.pass += 1;
                    let news = told.encode(rank.clone(), heard[reader].known());
                    if !lost {
                        prop_assert_eq!(heard[reader].decode(news), Some(rank.clone()));
                    }
                }
            }
        }
    }
}

#[test]
fn what_came_since_a_reading_that_is_not_known_is_not_taken() {
    let counts = |first| Counts { epoch: 1, pass: 1, counts: vec![first, 5] };
    let mut told = DeltaEncoder::new(0);
    let whole = told.encode(counts(10), 0);
    let mut heard = DeltaDecoder::default();
    assert_eq!(heard.decode(whole.clone()), Some(counts(10)));
    let since = told.encode(counts(12), heard.known());
    assert_eq!(since.counts, [2, 0], "only what came since is told");
    assert_eq!(DeltaDecoder::default().decode(since), None);
}
