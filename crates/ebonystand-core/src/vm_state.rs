use super::*;

/// State that one VM believes another to be in, apart from whether its region answers.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// The VM answers.
    #[display("alive")]
    Alive,
    /// The VM has answered no VM of its region and has not refuted the suspicion in time.
    #[display("dead")]
    Dead {
        /// Time at which the VM that holds this state learned of it.
        since: Duration,
    },
    /// The VM missed a probe, and may still refute the suspicion.
    #[display("suspect")]
    Suspect {
        /// Time at which the VM that holds this state learned of it.
        since: Duration,
    },
}
