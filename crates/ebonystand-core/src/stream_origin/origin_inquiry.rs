use super::*;

/// Question about the origin of one stream to the VMs that may hold it.
#[derive(Clone, Debug)]
pub struct OriginInquiry {
    awaited: Vec<VmId>,
    /// Different origins that VMs have concluded from their lists.
    concluded: Vec<StreamOrigin>,
}

/// What the answers so far tell.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum InquiryState {
    /// All have answered, or one has a record.
    Complete(Option<KnownOrigin>),
    /// Other VMs have not answered yet.
    Open,
}

impl OriginInquiry {
    /// Creates the inquiry to `asked`. `only_version` is what this VM concludes from its own lists.
    #[must_use]
    pub fn new(asked: Vec<VmId>, only_version: Option<StreamOrigin>) -> Self {
        Self {
            awaited: asked,
            concluded: only_version.into_iter().collect(),
        }
    }

    /// Ends the inquiry without further answers. VMs that conclude different origins have lists of different ages,
    /// so that none of them counts.
    #[must_use]
    pub fn conclude(self) -> Option<KnownOrigin> {
        let mut concluded = self.concluded.into_iter();
        let only = concluded.next()?;
        concluded
            .next()
            .is_none()
            .then_some(KnownOrigin::OnlyVersion(only))
    }

    /// Processes the answer of a VM.
    pub fn receive(&mut self, from: &VmId, answer: OriginAnswer) -> InquiryState {
        self.awaited.retain(|vm| vm != from);
        match answer {
            OriginAnswer::Recorded(origin) => {
                return InquiryState::Complete(Some(KnownOrigin::Recorded(origin)));
            }
            OriginAnswer::OnlyVersion(origin) if !self.concluded.contains(&origin) => {
                self.concluded.push(origin);
            }
            OriginAnswer::OnlyVersion(_) | OriginAnswer::Unknown => {}
        }
        match self.awaited.is_empty() {
            true => InquiryState::Complete(self.clone().conclude()),
            false => InquiryState::Open,
        }
    }
}
