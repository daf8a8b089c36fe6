use super::*;

/// All state that the replicated log makes: equal entries in equal order give equal state.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct StateMachine {
    catalog: Catalog,
    orders: OrderJournal,
}

impl StateMachine {
    /// Applies the next entry.
    pub fn apply(&mut self, command: &Command) -> CommandOutcome {
        match command {
            Command::Barrier => CommandOutcome::Barrier(self.catalog.version()),
            Command::Change(req) => self.catalog.apply(req).into(),
            Command::Order(command) => self.orders.apply(command).into(),
        }
    }

    /// The configuration.
    #[must_use]
    pub fn catalog(&self) -> &Catalog {
        &self.catalog
    }

    /// Makes a change that the log's members have accepted, on a VM that is not one of them;
    /// whether it was the next one.
    pub fn follow(&mut self, accepted: &AcceptedChange) -> bool {
        self.catalog.apply_accepted(accepted)
    }

    /// Takes over a newer document, on a VM that is not a member of the log; whether it was newer.
    pub fn install(&mut self, document: Document) -> bool {
        self.catalog.install_document(document)
    }

    /// The once-only orders.
    #[must_use]
    pub fn orders(&self) -> &OrderJournal {
        &self.orders
    }
}
