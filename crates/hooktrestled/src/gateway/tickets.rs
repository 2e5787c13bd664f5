//! Keys of requests that are not repeatable, as callers hold them.
//!
//! A key is a ticket for one incarnation of one sidecar, signed with the fleet's shared key
//! together with the account and service that it was given to, so a caller can neither make one
//! up nor use another's.

use hooktrestle_core::clock::Millis;
use hooktrestle_link::auth::Keys;
use hooktrestle_schema::Ticket;
use rand::RngExt;

/// Parts of a key, separated by this: sidecar, incarnation, time, nonce, tag.
const SEPARATOR: char = '~';

/// A fresh ticket for a sidecar's incarnation.
pub(crate) fn new_ticket(sidecar: &str, incarnation: u64, sidecar_now: Millis) -> Ticket {
    Ticket {
        sidecar: sidecar.to_owned(),
        incarnation,
        issued_at_ms: sidecar_now.0,
        nonce: rand::rng().random(),
    }
}

/// The key that a caller gets for a ticket.
pub(crate) fn encode_key(keys: &Keys, account: &str, service: &str, ticket: &Ticket) -> String {
    let text = text(ticket);
    let tag = keys.sign(&signed_text(account, service, &text));
    format!("{text}{SEPARATOR}{tag}")
}

/// The ticket behind a key; `None` unless this fleet gave it to this account and service.
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
