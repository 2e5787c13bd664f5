//! Gateways with a number, for tests without a network.

use std::net::SocketAddr;

use hooktrestle_core::direct::members::Member;
use hooktrestle_core::direct::members::Readiness;

/// The first port of callers: gateway number `n` has `FIRST_PORT + n`.
pub const FIRST_PORT: u16 = 1_000;

/// The gateway with a number; its addresses contain the number.
pub fn numbered(number: usize, incarnation: u64) -> Member {
    let address = address(number);
    Member {
        name: format!("g{number:03}"),
        incarnation,
        heartbeat: 0,
        callers_at: address,
        peers_at: address,
        data_centre: "hall".to_owned(),
        memory_bytes: 0,
        readiness: Readiness::Ready,
        store_answers: true,
        leader_fencing_token: 0,
    }
}

/// Address of the gateway with a number.
pub fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], FIRST_PORT + number as u16))
}
