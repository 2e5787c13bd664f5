//! `hooktrestle-fakes`: runs one stand-in as a process, for deployments that are started manually.
//! Input: the kind of stand-in and its address. State: that of the stand-in. It serves until it is
//! killed.

use std::future::pending;
use std::net::SocketAddr;
use std::time::Duration;

use eyre::Result;
use hooktrestle_fakes::app::FakeApp;
use hooktrestle_fakes::engine::Behaviour;
use hooktrestle_fakes::engine::FakeEngine;
use hooktrestle_fakes::platform::FakePlatform;

mod flags {
    #![allow(missing_docs)]
    use std::net::SocketAddr;

    xflags::xflags! {
        /// Stand-ins for the systems around hooktrestle.
        cmd hooktrestle-fakes {
            /// Table service, object store and instance list.
            cmd platform {
                /// IP number and port to listen on.
                required --listen address: SocketAddr
            }
            /// A model engine.
            cmd engine {
                /// IP number and port to listen on.
                required --listen address: SocketAddr
                /// Duration of one step, in milliseconds.
                optional --step-ms ms: u64
            }
            /// A plain application service.
            cmd app {
                /// IP number and port to listen on.
                required --listen address: SocketAddr
            }
        }
    }
}

#[tokio::main]
async fn main() -> Result<()> {
    match flags::HooktrestleFakes::from_env_or_exit().subcommand {
        flags::HooktrestleFakesCmd::Platform(flags) => platform(flags.listen).await,
        flags::HooktrestleFakesCmd::Engine(flags) => {
            let step = Duration::from_millis(flags.step_ms.unwrap_or(5));
            engine(flags.listen, step).await
        }
        flags::HooktrestleFakesCmd::App(flags) => app(flags.listen).await,
    }
}

async fn platform(listen: SocketAddr) -> Result<()> {
    let fake = FakePlatform::start(listen).await?;
    println!("platform at {}", fake.url());
    pending().await
}

async fn engine(listen: SocketAddr, step: Duration) -> Result<()> {
    let fake = FakeEngine::start(listen, Behaviour { step, ..Behaviour::default() }).await?;
    println!("engine at {}", fake.url());
    pending().await
}

async fn app(listen: SocketAddr) -> Result<()> {
    let fake = FakeApp::start(listen).await?;
    println!("app at {}", fake.url());
    pending().await
}
