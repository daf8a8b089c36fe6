use super::*;

/// Action that [`Feed`] asks the daemon to carry out, in the order given.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FeedOutput {
    /// A change is to be put in force with [`Catalog::apply_accepted`].
    Apply {
        /// Change that makes the next version.
        change: AcceptedChange,
    },
    /// A document is to be put in force with [`Catalog::install_document`].
    Install {
        /// Document of a version newer than the one in force.
        document: Box<Document>,
    },
    /// A change is to be proposed to the log. Only its leader gets this output, and again until the
    /// document shows the change.
    Propose {
        /// Request to propose.
        req: ChangeRequest,
    },
    /// A pull has ended, to be logged.
    PullEnded {
        /// Outcome of the pull.
        end: PullOutcome,
        /// Name of the peer that was asked.
        from: VmId,
        /// Time since the pull was sent; `None` for a late answer.
        waited: Option<Duration>,
    },
    /// The VM is ready to serve requests.
    Ready,
    /// A message is to be sent to a VM.
    Send {
        /// Message to send.
        message: FeedMessage,
        /// Name of the VM to send the message to.
        to: VmId,
    },
    /// A key has been withdrawn; requests that run with it are to be ended.
    Withdrawn {
        /// Name of the withdrawn key.
        key: KeyId,
    },
}
