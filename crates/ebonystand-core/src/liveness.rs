/// State of a view of the fleet on which it depends which VMs are live.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Liveness {
    pub(crate) hears_nobody: bool,
    /// Whether each region answers, in the order of their names.
    pub(crate) reachable: Box<[bool]>,
    pub(crate) revision: u64,
}
