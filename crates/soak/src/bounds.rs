//! Time bounds of the guarantees that the soak checks.
//! Input: a factor for slow or busy machines. State: none.
//! Decides how long after its cause an effect may still be observed.

use std::time::Duration;

/// Time bounds of the guarantees, while no other fault is active.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// From the notice that a server leaves to the last request that reaches it.
    pub drain: Duration,
    /// From the acceptance of a configuration until it is in force.
    pub configuration: Duration,
    /// Time without faults of the store, of a gateway and of the path between them after which the
    /// gateway is bound by `configuration`, whatever happens to other gateways.
    pub contact: Duration,
    /// From the disconnect of a caller until its server detects it.
    pub close: Duration,
    /// From the end of a gateway until no list for callers contains it.
    pub listed: Duration,
    /// From `SIGTERM` until the process has exited.
    pub stop: Duration,
    /// From the last fault until all gateways serve.
    pub recovery: Duration,
    /// From the third crash that a request causes until all gateways have received its report.
    pub propagation: Duration,
    /// From a crash until a request that was starting there is no longer held back.
    pub held_back: Duration,
    /// From the back-off notice of a server to the last request that reaches it.
    pub back_off: Duration,
    /// From the first advertisement of a limit until it holds.
    pub limit: Duration,
    /// From the acceptance of an evacuation to the last request that reaches the data centre.
    pub evacuation: Duration,
    /// From the deadline of a request until its caller has an answer, or the end of its connection.
    pub after_deadline: Duration,
}

impl Default for Bounds {
    /// The service requires 2 s for drains and configurations and 0.5 s for closes. A gateway
    /// without heartbeats is listed for 3 s, plus the time that gossip needs (2.4 s) at the gateway
    /// that received its record last. A stop may take 8 s. Requests sent before the gateway has a
    /// back-off notice may arrive 0.5 s after it. Requests end 0.5 s after their deadline. Evacuations hold after the 5 s that the
    /// service requires. The other bounds allow for a busy machine.
    fn default() -> Self {
        Bounds {
            drain: Duration::from_secs(2),
            configuration: Duration::from_secs(2),
            contact: Duration::from_secs(3),
            close: Duration::from_secs(1),
            listed: Duration::from_secs(7),
            stop: Duration::from_secs(9),
            recovery: Duration::from_secs(20),
            propagation: Duration::from_secs(3),
            held_back: Duration::from_secs(10),
            back_off: Duration::from_millis(500),
            limit: Duration::from_secs(3),
            evacuation: Duration::from_secs(5),
            after_deadline: Duration::from_millis(500),
        }
    }
}

impl Bounds {
    /// Multiplies the default bounds by `factor`, for slow or busy machines.
    pub fn scaled(factor: u32) -> Bounds {
        let Bounds { drain, configuration, close, listed, stop, recovery, .. } = Bounds::default();
        let Bounds { contact, propagation, held_back, back_off, limit, evacuation, .. } =
            Bounds::default();
        let Bounds { after_deadline, .. } = Bounds::default();
        Bounds {
            drain: drain * factor,
            configuration: configuration * factor,
            contact,
            close: close * factor,
            listed: listed * factor,
            stop: stop * factor,
            recovery: recovery * factor,
            propagation: propagation * factor,
            held_back: held_back * factor,
            back_off: back_off * factor,
            // Limits are advertised for a few seconds: a longer bound would prevent all checks.
            limit: limit * factor.min(1),
            // The same holds for evacuations.
            evacuation: evacuation * factor.min(1),
            after_deadline: after_deadline * factor,
        }
    }
}
