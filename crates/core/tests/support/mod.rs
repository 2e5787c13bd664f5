//! Proptest configuration that the test programs share.

use proptest::prelude::ProptestConfig;
use proptest::test_runner::FileFailurePersistence;
use proptest::test_runner::RngSeed;

/// Cases from a fixed seed, for the same result on each run. `PROPTEST_RNG_SEED` sets another seed.
/// Failing cases are stored in the file `regressions`, and are run first from then on.
pub fn seeded(cases: u32, regressions: &'static str) -> ProptestConfig {
    let standard = ProptestConfig::default();
    let rng_seed = match standard.rng_seed {
        RngSeed::Random => RngSeed::Fixed(20_261_202),
        chosen @ RngSeed::Fixed(_) => chosen,
    };
    let failure_persistence = Some(Box::new(FileFailurePersistence::Direct(regressions)) as Box<_>);
    ProptestConfig { cases, rng_seed, failure_persistence, ..standard }
}
