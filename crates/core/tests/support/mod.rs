//! What several test programs share.

use proptest::prelude::ProptestConfig;
use proptest::test_runner::FileFailurePersistence;
use proptest::test_runner::RngSeed;

/// Cases from a fixed seed: the same verdict on every run. `PROPTEST_RNG_SEED` looks elsewhere.
/// What fails is kept in `regressions`, beside the tests, and tried first from then on.
pub fn seeded(cases: u32, regressions: &'static str) -> ProptestConfig {
    let standard = ProptestConfig::default();
    let rng_seed = match standard.rng_seed {
        RngSeed::Random => RngSeed::Fixed(20_261_202),
        chosen @ RngSeed::Fixed(_) => chosen,
    };
    let failure_persistence = Some(Box::new(FileFailurePersistence::Direct(regressions)) as Box<_>);
    ProptestConfig { cases, rng_seed, failure_persistence, ..standard }
}
