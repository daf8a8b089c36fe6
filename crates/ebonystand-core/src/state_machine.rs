use super::*;

/// Replicated state machine: the configuration and the journal of once-only orders. Equal entries
/// applied in equal order give equal state.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct StateMachine {
    catalog: Catalog,
    orders: OrderJournal,
}

impl StateMachine {
    /// Applies the next committed command.
    pub fn apply(&mut self, command: &Command) -> CommandOutcome {
        match command {
            Command::Barrier => CommandOutcome::Barrier(self.catalog.version()),
            Command::Change(req) => self.catalog.apply(req).into(),
            Command::Order(command) => self.orders.apply(command).into(),
        }
    }

    /// Returns the configuration.
    #[must_use]
    pub fn catalog(&self) -> &Catalog {
        &self.catalog
    }

    /// Applies a change that the log's members have accepted, on a VM that isn't one of them.
    /// Returns whether it was the next change.
    pub fn apply_accepted(&mut self, accepted: &AcceptedChange) -> bool {
        self.catalog.apply_accepted(accepted)
    }

    /// Replaces the configuration by a newer document, on a VM that isn't a member of the log.
    /// Returns whether the document was newer.
    pub fn install_document(&mut self, document: Document) -> bool {
        self.catalog.install_document(document)
    }

    /// Returns the journal of once-only orders.
    #[must_use]
    pub fn orders(&self) -> &OrderJournal {
        &self.orders
    }
}
