//! Fencing tokens of leaders, from the store's era and the highest known token.
//! It has no state of its own.
//! This module decides the next token, which always rises although the store's counter may go back.

/// Tokens of one era of the store. Tokens of 512 eras stay below 2^37, as [`Versions`] of maps
/// need.
///
/// [`Versions`]: crate::direct::map_orders::Versions
const TOKENS_PER_ERA: u64 = 1 << 28;

/// The token of a claim in this era of the store. `highest` is the highest token that the store or
/// any known gateway has. A claim that the store lost was of an earlier era, so the token is above
/// it, too.
pub fn next_token(era: u64, highest: u64) -> u64 {
    highest.max(era.saturating_mul(TOKENS_PER_ERA)).saturating_add(1)
}
