//! `hooktrestle-bench`: measurements, each compared with a baseline in the same run. Input: the
//! command line. It holds no state. Runs one measurement and prints its report.

mod control_report;
mod emulator_report;
mod load_report;
mod plans_report;
mod process_report;
mod report;
mod routing_report;

use eyre::Result;

mod flags {
    #![allow(missing_docs)]
    use std::path::PathBuf;

    xflags::xflags! {
        /// Measurements of hooktrestle, each compared with a baseline in the same run.
        cmd hooktrestle-bench {
            /// Placement of experts on ranks: skew against moved bytes.
            cmd placement {
                /// Seed of the demand (default 20261202).
                optional --seed n: u64
                /// Recorded counts (CSV) in place of seeded demand.
                optional --counts file: PathBuf
                /// Ranks of the group (with --counts; default 16).
                optional --ranks n: usize
                /// Slots of each rank (with --counts; default one more than an even share).
                optional --slots n: usize
                /// Weight of skew (with --counts; default 1).
                optional --weight-skew a: f64
                /// Weight of rebalancing cost (with --counts; default 1).
                optional --weight-cost b: f64
                /// One JSON object for each policy (with --counts).
                optional --json
            }
            /// Placement plans on the users' platform: time of a plan and its gain.
            cmd plans {}
            /// Admission while groups are overloaded or stalled, in simulated time.
            cmd emulate {}
            /// Time to the first token with different policies of choosing a backend server.
            cmd routing {}
            /// Cost of the control traffic of a node, also at the target size.
            cmd control {}
            /// Latency that gateway and sidecar add to a call, compared with direct calls.
            cmd path {}
            /// Load of one gateway process on the users' platform: requests and streams over
            /// loopback.
            cmd load {
                /// The gateway's program; by default the one in the folder of this program.
                optional --program file: PathBuf
            }
            /// Steps that a switch of expert maps holds.
            cmd switch {}
            /// Time from an operator's write until it is in force in all processes.
            cmd config {}
        }
    }
}

fn main() -> Result<()> {
    match flags::HooktrestleBench::from_env_or_exit().subcommand {
        flags::HooktrestleBenchCmd::Placement(flags) => match &flags.counts {
            Some(file) => report::recorded(file, &flags),
            None => {
                report::seeded(flags.seed.unwrap_or(20_261_202));
                Ok(())
            }
        },
        flags::HooktrestleBenchCmd::Plans(_) => {
            plans_report::print();
            Ok(())
        }
        flags::HooktrestleBenchCmd::Routing(_) => {
            routing_report::print();
            Ok(())
        }
        flags::HooktrestleBenchCmd::Emulate(_) => {
            emulator_report::print();
            Ok(())
        }
        flags::HooktrestleBenchCmd::Control(_) => control_report::print(),
        flags::HooktrestleBenchCmd::Path(_) => process_report::path(),
        flags::HooktrestleBenchCmd::Load(flags) => load_report::print(flags.program),
        flags::HooktrestleBenchCmd::Switch(_) => process_report::switch(),
        flags::HooktrestleBenchCmd::Config(_) => process_report::config(),
    }
}
