//! `hooktrestle-bench`: measurements, each against a naive version in the same run.

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
        /// Measurements of hooktrestle, each against a naive version in the same run.
        cmd hooktrestle-bench {
            /// Which expert stands on which rank: skew against moved bytes.
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
            /// Plans of where experts go on the users' platform: how long one takes, and its gain.
            cmd plans {}
            /// Who is let in while groups are overloaded or stand still, in simulated time.
            cmd emulate {}
            /// Time to the first token under different ways to choose a backend server.
            cmd routing {}
            /// What control costs a node, and at the size aimed at.
            cmd control {}
            /// What the path adds to a call, against direct calls.
            cmd path {}
            /// What one gateway process on the users' platform bears: requests and streams over loopback.
            cmd load {
                /// The gateway's program; the one beside this program if left out.
                optional --program file: PathBuf
            }
            /// Steps that a switch of expert maps holds up.
            cmd switch {}
            /// Time from an operator's write to in force everywhere.
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
