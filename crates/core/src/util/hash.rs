//! Rendezvous hashing over names.
//! Input: the name of a subject and of an instance. There is no state.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Score of `name` for `subject`. A subject is assigned the names with the highest scores. Adding
/// or removing a name changes only the subjects to which that name is or was assigned.
pub fn score(subject: u64, name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), subject)
}

/// The hash of a name; the same in all processes.
pub fn of(name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), 0)
}
