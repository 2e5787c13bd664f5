//! The signals by which the platform controls a process.
//! Input: SIGTERM and SIGHUP. State: those that are not handled yet.
//! Decides from when on a signal no longer ends the process at once.

use std::io;

use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// The signals of the platform, from the time at which this value is made. Earlier ones end the
/// process at once, so it is made before the settings are read.
pub struct Signals {
    /// The process is to stop.
    pub(crate) terminate: Signal,
    /// The settings have changed.
    pub(crate) hang_up: Signal,
}

impl Signals {
    /// Listens for the signals, in the context of a runtime.
    ///
    /// # Errors
    ///
    /// The kernel refuses a signal handler.
    pub fn listen() -> io::Result<Signals> {
        // The kernel ends a process at a signal without a handler. At this one it would have to run
        // on, and the settings are read later anyway.
        let hang_up = signal(SignalKind::hangup())?;
        let terminate = signal(SignalKind::terminate())?;
        Ok(Signals { terminate, hang_up })
    }
}
