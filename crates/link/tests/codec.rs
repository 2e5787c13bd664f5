//! Tests of the codec and of authentication against malformed or forged input.
//!
//! - A peer that sends random, truncated or corrupted bytes must cause neither a panic nor an
//!   allocation larger than the bytes received. Valid frames must survive encoding and decoding.
//! - A proof must not be accepted under another key, for another challenge (replay) or with other
//!   claims, and keys must be rotatable without downtime.

use bytes::Bytes;
use hooktrestle_link::auth::Keys;
use hooktrestle_link::codec;
use hooktrestle_schema::BodyFrame;
use hooktrestle_schema::ChallengeFrame;
use hooktrestle_schema::Frame;
use hooktrestle_schema::HelloFrame;
use hooktrestle_schema::RequestId;
use proptest::prelude::ProptestConfig;
use proptest::prelude::any;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::proptest;
use proptest::test_runner::RngSeed;

fn seeded() -> ProptestConfig {
    let rng_seed = RngSeed::Fixed(20_261_202);
    ProptestConfig {
        cases: 2_000,
        rng_seed,
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn body(number: u64, attempt: u32, sequence: u64, last: bool) -> Frame {
    Frame::Body(BodyFrame { id: RequestId { number, attempt }, sequence, last })
}

proptest! {
    #![proptest_config(seeded())]

    #[test]
    fn any_bytes_are_decoded_or_refused(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        // Both results are allowed, but no panic, and no allocation for bytes that are missing.
        let _ = codec::decode(Bytes::from(bytes));
    }

    #[test]
    fn a_frame_that_is_cut_or_changed_is_decoded_or_refused(
        at in 0_usize..60, change in any::<u8>(), cut in 0_usize..60,
    ) {
        let mut bytes = codec::encode(&body(7, 1, 3, false), b"payload").to_vec();
        let place = at % bytes.len();
        bytes[place] ^= change;
        bytes.truncate(bytes.len() - cut % bytes.len());
        let _ = codec::decode(Bytes::from(bytes));
    }

    #[test]
    fn frames_are_unchanged_by_encoding_and_decoding(
        number in any::<u64>(),
        attempt in any::<u32>(),
        sequence in any::<u64>(),
        last in any::<bool>(),
        payload in proptest::collection::vec(any::<u8>(), 0..500),
    ) {
        let frame = body(number, attempt, sequence, last);
        let (decoded, decoded_payload) = codec::decode(codec::encode(&frame, &payload)).unwrap();
        prop_assert_eq!(decoded, frame);
        prop_assert!(decoded_payload == payload);
    }
}

fn hello(keys: &Keys, challenge: &ChallengeFrame) -> HelloFrame {
    let mut hello = HelloFrame {
        instance: "entry-1".to_owned(),
        incarnation: 5,
        link_epoch: 2,
        proof_hex: String::new(),
    };
    hello.proof_hex = keys.prove(challenge, &hello);
    hello
}

#[test]
fn proofs_are_bound_to_challenge_and_claims_and_keys_can_be_rotated() {
    let old = Keys::parse("old").unwrap();
    let both = Keys::parse("new, old").unwrap();
    let new = Keys::parse("new").unwrap();
    let challenge = |nonce: &str| ChallengeFrame {
        nonce_hex: nonce.to_owned(),
        instance: "hints-1".to_owned(),
        incarnation: 9,
    };
    let proved = hello(&old, &challenge("aa"));
    assert!(old.accepts(&challenge("aa"), &proved));
    assert!(both.accepts(&challenge("aa"), &proved));
    assert!(!new.accepts(&challenge("aa"), &proved), "another key");
    assert!(!old.accepts(&challenge("bb"), &proved), "a proof for another challenge");
    let claims = HelloFrame { instance: "entry-2".to_owned(), ..proved.clone() };
    assert!(!old.accepts(&challenge("aa"), &claims), "another instance's name");
    let nonsense = HelloFrame { proof_hex: "zz".to_owned(), ..proved };
    assert!(!old.accepts(&challenge("aa"), &nonsense));
    assert!(both.accepts(&challenge("aa"), &hello(&both, &challenge("aa"))));
    assert!(Keys::parse(" , ").is_none());
    assert!(!format!("{both:?}").contains("old"), "keys are not shown");
}
