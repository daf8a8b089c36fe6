use serde::Serialize;

/// What a caller, an operator or an upstream saw.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(crate) enum Event {
    /// An operator was told that a change is accepted.
    Accepted { version: u64 },
    /// A look-up was answered with success.
    LookedUp { asked: Box<str>, found: Box<str> },
    /// An order was answered.
    OrderAnswered {
        /// Number that the registry gave.
        number: Option<u64>,
        order: u64,
        /// What a refusal says of the run.
        run: Box<str>,
        status: u16,
        vm: usize,
    },
    /// An order was sent, for the first time or again.
    OrderSent { order: u64, vm: usize },
    /// What the registries counted at the end.
    Ran(Ran),
    /// Version in force on a VM once all faults are over.
    Settled { version: u64, vm: usize },
    /// A fault of the plan began.
    Struck { fault: Box<str>, vm: usize },
    /// The connections to an upstream fell silent.
    Silenced { upstream: usize },
    /// An answer with success came to its end, and its connection closed in order.
    StreamEnded {
        /// It ends with the event that tells of an error.
        told: bool,
        /// It ends with the last event of a whole stream.
        whole: bool,
    },
    /// A VM told its version.
    VersionRead {
        /// Starts of its process so far.
        incarnation: u64,
        version: u64,
        vm: usize,
    },
}

/// How often an order ran, on all registries together.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(crate) struct Ran {
    pub(crate) order: u64,
    pub(crate) times: u64,
}
