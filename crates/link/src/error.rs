//! Why a link could not be opened, or ended.

use std::fmt;

/// A failed link.
#[derive(Debug)]
pub struct Error {
    kind: ErrorKind,
}

#[derive(Debug)]
pub(crate) enum ErrorKind {
    Socket(std::io::Error),
    WebSocket(Box<tokio_tungstenite::tungstenite::Error>),
    Malformed(String),
    WrongProof,
    Unexpected(&'static str),
    TimedOut,
    Closed,
}

impl Error {
    pub(crate) fn new(kind: ErrorKind) -> Error {
        Error { kind }
    }

    /// Whether the peer does not have the shared key.
    pub fn is_wrong_key(&self) -> bool {
        matches!(self.kind, ErrorKind::WrongProof)
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.kind {
            ErrorKind::Socket(source) => write!(f, "link: {source}"),
            ErrorKind::WebSocket(source) => write!(f, "link: {source}"),
            ErrorKind::Malformed(message) => write!(f, "link: malformed frame: {message}"),
            ErrorKind::WrongProof => {
                f.write_str("link: the peer does not know the shared key; compare [links] keys")
            }
            ErrorKind::Unexpected(wanted) => write!(f, "link: expected {wanted}"),
            ErrorKind::TimedOut => f.write_str("link: the peer has been silent for too long"),
            ErrorKind::Closed => f.write_str("link: closed"),
        }
    }
}

impl std::error::Error for Error {}

impl From<std::io::Error> for Error {
    fn from(source: std::io::Error) -> Error {
        Error::new(ErrorKind::Socket(source))
    }
}

impl From<tokio_tungstenite::tungstenite::Error> for Error {
    fn from(source: tokio_tungstenite::tungstenite::Error) -> Error {
        Error::new(ErrorKind::WebSocket(Box::new(source)))
    }
}
