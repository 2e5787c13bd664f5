//! Errors of calls to the platform.
//! Input: HTTP failures, refusals, malformed answers and conflicts. It has no state.
//! Decides whether a failure is an outage, and whether a transaction's outcome is unknown.

use std::fmt;

use hooktrestle_core::direct::answer_heads::HeadFault;
use hooktrestle_schema::RowCheck;

/// A failed call.
#[derive(Debug)]
pub struct Error {
    kind: ErrorKind,
    what: String,
}

#[derive(Debug)]
enum ErrorKind {
    Unreachable(reqwest::Error),
    MalformedHead(HeadFault),
    Refused(u16),
    Malformed(String),
    Conflict(Vec<RowCheck>),
    OutcomeUnknown,
}

impl Error {
    pub(crate) fn unreachable(what: &str, source: reqwest::Error) -> Error {
        Error { kind: ErrorKind::Unreachable(source), what: what.to_owned() }
    }

    pub(crate) fn malformed_head(what: &str, fault: HeadFault) -> Error {
        Error { kind: ErrorKind::MalformedHead(fault), what: what.to_owned() }
    }

    pub(crate) fn refused(what: &str, status: u16) -> Error {
        Error { kind: ErrorKind::Refused(status), what: what.to_owned() }
    }

    pub(crate) fn malformed(what: &str, message: impl fmt::Display) -> Error {
        Error { kind: ErrorKind::Malformed(message.to_string()), what: what.to_owned() }
    }

    pub(crate) fn conflict(what: &str, conflicts: Vec<RowCheck>) -> Error {
        Error { kind: ErrorKind::Conflict(conflicts), what: what.to_owned() }
    }

    pub(crate) fn outcome_unknown(what: &str) -> Error {
        Error { kind: ErrorKind::OutcomeUnknown, what: what.to_owned() }
    }

    /// Whether it is unknown if a transaction took effect. Every other error means that it has not
    /// and will not.
    pub fn is_outcome_unknown(&self) -> bool {
        matches!(self.kind, ErrorKind::OutcomeUnknown)
    }

    /// The rows that had changed, if the transaction failed for that reason.
    pub fn conflicts(&self) -> Option<&[RowCheck]> {
        match &self.kind {
            ErrorKind::Conflict(conflicts) => Some(conflicts),
            _ => None,
        }
    }

    /// Whether a later call may succeed: the service was down, slow, overloaded, or in trouble.
    pub fn is_outage(&self) -> bool {
        match &self.kind {
            ErrorKind::Unreachable(_) | ErrorKind::MalformedHead(_) | ErrorKind::OutcomeUnknown => {
                true
            }
            ErrorKind::Refused(status) => *status >= 500,
            ErrorKind::Malformed(_) | ErrorKind::Conflict(_) => false,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let what = &self.what;
        match &self.kind {
            ErrorKind::Unreachable(source) => {
                write!(
                    f,
                    "{what}: no answer ({source}); check the URL in [platform] and the service"
                )
            }
            ErrorKind::MalformedHead(fault) => write!(f, "{what}: malformed answer: {fault}"),
            ErrorKind::Refused(status) => write!(f, "{what}: refused with status {status}"),
            ErrorKind::OutcomeUnknown => {
                write!(f, "{what}: answer lost, outcome unknown; read the rows back before a retry")
            }
            ErrorKind::Malformed(message) => write!(f, "{what}: malformed answer: {message}"),
            ErrorKind::Conflict(conflicts) => {
                write!(f, "{what}: changed by another writer meanwhile:")?;
                conflicts.iter().try_for_each(|row| {
                    write!(f, " {}/{} is at version {}", row.table, row.key, row.version)
                })
            }
        }
    }
}

impl std::error::Error for Error {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match &self.kind {
            ErrorKind::Unreachable(source) => Some(source),
            ErrorKind::MalformedHead(fault) => Some(fault),
            _ => None,
        }
    }
}
