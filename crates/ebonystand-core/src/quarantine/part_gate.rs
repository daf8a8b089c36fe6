use super::*;

/// Whether a prompt may be sent to an upstream now, as far as its parts are concerned.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PartGate {
    /// It may.
    Open,
    /// It waits until its suspected parts are cleared or it is permitted as a trial.
    Held,
    /// Prompts with this part are quarantined.
    Refused {
        /// Part that ends upstreams.
        part: PromptPartId,
        /// Refusal of the request.
        refusal: Refusal,
    },
}
