//! Errors of a link: why it could not be opened, or why it ended.
//! Input: failures of the socket, the WebSocket protocol and authentication. It has no state.
//! Decides how each failure is described.

use std::fmt;

/// A failure to open a link, or the end of one.
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

    /// Whether the peer's proof was made with none of the shared keys.
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
            ErrorKind::WrongProof => f.write_str(
                "link: the peer's proof does not match any shared key; compare [links] keys",
            ),
            ErrorKind::Unexpected(wanted) => write!(f, "link: expected {wanted}"),
            ErrorKind::TimedOut => {
                f.write_str("link: no message from the peer within the silence timeout")
            }
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
