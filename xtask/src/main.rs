//! `cargo xtask`: code generation and the house-style check.

use eyre::Result;

mod flags;
mod generate;

fn main() -> Result<()> {
    match flags::Xtask::from_env_or_exit().subcommand {
        flags::XtaskCmd::Generate(_) => generate::write(),
        flags::XtaskCmd::Check(_) => generate::check(),
    }
}
