//! `cargo xtask`: code generation and the house-style check. Input: a subcommand and the files of
//! the repository. It holds no state. `check` fails on outdated generated code and style findings.

use eyre::Result;
use eyre::ensure;
use xtask::generate;
use xtask::style;

mod flags;

fn main() -> Result<()> {
    match flags::Xtask::from_env_or_exit().subcommand {
        flags::XtaskCmd::Generate(_) => generate::write(),
        flags::XtaskCmd::Check(_) => check(),
    }
}

fn check() -> Result<()> {
    generate::check()?;
    let findings = style::check(&style::read(&generate::root())?);
    findings.iter().for_each(|finding| eprintln!("{finding}"));
    ensure!(findings.is_empty(), "{} findings against the house style", findings.len());
    Ok(())
}
