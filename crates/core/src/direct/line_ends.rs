//! The line ends of the head of an answer.
//! Input: the bytes of the answer, as they are read. State: the kind of its line ends, and where in
//! a line the next byte is. Decides whether the head has line ends of one kind only.
//!
//! HTTP libraries accept a line feed without a carriage return (RFC 9112, section 2.2), and some
//! servers end all their lines so. Between other line ends it shows a fault: the empty line that ends the
//! head is lost, and lines of the body count as fields, or a line within the head counts as that empty
//! line. Either way bytes of the one are taken for the other.

use std::fmt;

/// A head has line ends of two kinds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MixedLineEnds;

impl fmt::Display for MixedLineEnds {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the head of the answer has line ends of two kinds")
    }
}

impl std::error::Error for MixedLineEnds {}

/// What ends a line.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum LineEnd {
    LineFeed,
    CarriageReturnLineFeed,
}

/// The line ends of a head that is being read.
#[derive(Clone, Copy, Debug, Default)]
pub struct LineEnds {
    /// Whether the head has ended.
    is_complete: bool,
    /// The kind of the lines so far, once there is one.
    kind: Option<LineEnd>,
    /// Length of the present line, without what ends it.
    line_bytes: usize,
    /// Whether the byte before is a carriage return.
    is_after_return: bool,
}

impl LineEnds {
    /// Checks the next bytes of an answer; those behind its head may be anything.
    ///
    /// # Errors
    ///
    /// A line of the head does not end as the lines before it.
    pub fn check(&mut self, bytes: &[u8]) -> Result<(), MixedLineEnds> {
        for &byte in bytes {
            if self.is_complete {
                break;
            }
            match byte {
                b'\n' => self.end_line()?,
                b'\r' if !self.is_after_return => self.is_after_return = true,
                _ => {
                    self.line_bytes += 1;
                    self.is_after_return = false;
                }
            }
        }
        Ok(())
    }

    fn end_line(&mut self) -> Result<(), MixedLineEnds> {
        let line_end = match self.is_after_return {
            true => LineEnd::CarriageReturnLineFeed,
            false => LineEnd::LineFeed,
        };
        if self.kind.is_some_and(|kind| kind != line_end) {
            return Err(MixedLineEnds);
        }
        // Empty lines before the first one are passed over.
        self.is_complete = self.line_bytes == 0 && self.kind.is_some();
        if self.line_bytes > 0 {
            self.kind = Some(line_end);
        }
        (self.line_bytes, self.is_after_return) = (0, false);
        Ok(())
    }
}
