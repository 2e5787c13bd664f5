//! Keys of requests that are not repeatable. The input is a ticket, the account and service that it
//! is issued to, and the fleet's shared keys; there is no state. The module decides whether a key
//! that a caller sends is valid.
//!
//! A key is a ticket for one incarnation of one sidecar, with a signature over the ticket, the
//! account and the service. A caller can therefore neither forge a key nor use the key of another
//! account.

use hooktrestle_core::clock::Millis;
use hooktrestle_link::auth::Keys;
use hooktrestle_schema::Ticket;
use rand::RngExt;

/// Separator of the parts of a key: sidecar, incarnation, time, nonce, tag.
const SEPARATOR: char = '~';

/// A new ticket for an incarnation of a sidecar.
pub(crate) fn new_ticket(sidecar: &str, incarnation: u64, sidecar_now: Millis) -> Ticket {
    Ticket {
        sidecar: sidecar.to_owned(),
        incarnation,
        issued_at_ms: sidecar_now.0,
        nonce: rand::rng().random(),
    }
}

/// The signed key for a ticket, as callers get it.
pub(crate) fn encode_key(keys: &Keys, account: &str, service: &str, ticket: &Ticket) -> String {
    let text = text(ticket);
    let tag = keys.sign(&signed_text(account, service, &text));
    format!("{text}{SEPARATOR}{tag}")
}

/// The ticket in a key; `None` unless this fleet issued it to this account and service.
pub(crate) fn decode_key(keys: &Keys, account: &str, service: &str, key: &str) -> Option<Ticket> {
    let (text, tag) = key.rsplit_once(SEPARATOR)?;
    if !keys.verify(&signed_text(account, service, text), tag) {
        return None;
    }
    let mut parts = text.split(SEPARATOR);
    let sidecar = parts.next()?.to_owned();
    let incarnation = u64::from_str_radix(parts.next()?, 16).ok()?;
    let issued_at_ms = parts.next()?.parse().ok()?;
    let nonce = u64::from_str_radix(parts.next()?, 16).ok()?;
    Some(Ticket { sidecar, incarnation, issued_at_ms, nonce })
}

fn text(ticket: &Ticket) -> String {
    let Ticket { sidecar, incarnation, issued_at_ms, nonce } = ticket;
    format!("{sidecar}{SEPARATOR}{incarnation:x}{SEPARATOR}{issued_at_ms}{SEPARATOR}{nonce:x}")
}

fn signed_text(account: &str, service: &str, text: &str) -> String {
    format!("ticket|{account}|{service}|{text}")
}
