//! Measurements of hooktrestle, each against a naive version in the same run.
//!
//! - [`demand`]: seeded demand for experts over a day.
//! - [`placement`]: which expert stands on which rank: skew against moved bytes.
//! - [`plans`]: the same where every copy has a price, on the users' platform: time and gain.
//! - [`routing`]: which backend server gets a request.
//! - [`control`]: what control costs a node.
//! - [`emulator`]: groups in lock-step with callers that wait, leave and come back.
//! - [`load`]: what one gateway process bears on the users' platform.
//! - [`path`]: what the path adds to a call.
//! - [`switch`]: what a switch of maps holds up, and how soon a configuration is in force.
//!
//! The decisions are driven directly, without clock or sockets: the same figures on every run but for
//! those that are times. The last four run the real
//! processes.

pub mod control;
pub mod counts;
pub mod demand;
pub mod emulator;
pub mod load;
pub mod path;
pub mod placement;
pub mod plans;
pub mod routing;
pub mod switch;
