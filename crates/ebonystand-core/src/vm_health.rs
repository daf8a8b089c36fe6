use super::*;

/// Health of a VM as the local VM sees it, including whether the other VM's region answers.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum VmHealth {
    /// The VM answers.
    #[display("alive")]
    Alive,
    /// The VM was declared dead: it has answered no VM of its region.
    #[display("dead")]
    Dead,
    /// The VM missed a probe, and may still refute the suspicion.
    #[display("suspect")]
    Suspect,
    /// No VM of its region answers, so nothing is known of this VM.
    #[display("unreachable")]
    Unreachable,
}
