//! Measurements of hooktrestle, each compared with a baseline in the same run. Input: seeds, sizes
//! and recorded counts. State: that of one measurement.
//!
//! - [`counts`]: reader of recorded token counts.
//! - [`demand`]: generated demand for experts.
//! - [`placement`]: placement of experts on ranks: skew against moved bytes.
//! - [`plans`]: placement with a cost for each copy, on the users' platform: time and gain.
//! - [`routing`]: choice of the backend server of a request.
//! - [`emulator`]: admission to groups in lock-step whose callers wait, time out and retry.
//! - [`control`]: cost of the control traffic of a node.
//! - [`load`]: load that one gateway process can serve on the users' platform.
//! - [`path`]: latency that gateway and sidecar add to a call.
//! - [`switch`]: steps that a switch of maps holds, and time until a configuration is in force.
//!
//! Placement, plans, routing and admission are called directly, without clock or sockets, so that
//! figures other than run times are the same on every run. The last four modules run real gateways
//! and sidecars.

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
