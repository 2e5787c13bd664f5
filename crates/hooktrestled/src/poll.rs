//! Waits between polls, spread so that a fleet does not poll in step.

use std::time::Duration;

use rand::RngExt;

/// A random span between half and one and a half times `mean`.
pub(crate) fn jittered(mean: Duration) -> Duration {
    mean.mul_f64(rand::rng().random_range(0.5..1.5))
}
