//! Rendezvous hashing over names.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Score of `name` for `subject`. The names with the highest scores are the subject's; a name
/// that goes or comes moves only the subjects that it wins or held.
pub fn score(subject: u64, name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), subject)
}

/// A stable number for a name.
pub fn of(name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), 0)
}
