//! Fencing tokens that rise for good, though the numbers of the platform's store do not.

/// Tokens of one era of the store. Tokens of 512 eras stay below 2^37, as [`Versions`] of maps need.
///
/// [`Versions`]: crate::direct::map_orders::Versions
const TOKENS_PER_ERA: u64 = 1 << 28;

/// The token of a claim that the store takes in this era, after `newest`, the highest one that the store or
/// anybody heard of has. A claim that the store lost was of an earlier era: the token is above it, too.
pub fn next_token(era: u64, newest: u64) -> u64 {
    newest.max(era.saturating_mul(TOKENS_PER_ERA)).saturating_add(1)
}
