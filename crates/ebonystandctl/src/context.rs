use super::*;

/// HTTP client and output format that the subcommands share.
pub(crate) struct Context {
    pub(crate) client: Client,
    json: bool,
}

impl Context {
    pub(crate) fn new(cfg: Config) -> Result<Self> {
        let credential = match &cfg.credential_file {
            Some(path) => read_credential(path)?,
            None => Box::default(),
        };
        Ok(Self {
            client: Client::new(cfg.servers, credential, cfg.timeout),
            json: cfg.json,
        })
    }

    /// Sends a change and prints the version that it created.
    pub(crate) async fn change(&self, change: Change, args: &ChangeArgs) -> Result {
        let version = self.client.change(change, args).await?;
        self.print(&ChangeOutcome::Accepted { version }, || {
            format!("version {version}")
        })
    }

    /// Prints a value to standard output, as JSON with `--json` and as text otherwise.
    pub(crate) fn print<T: Serialize>(&self, value: &T, text: impl FnOnce() -> String) -> Result {
        use std::io::Write;
        let line = if self.json {
            serde_json::to_string_pretty(value).unwrap_or_default()
        } else {
            text()
        };
        // A write fails when the reader has closed the pipe, for example `head`; that is no error.
        drop(writeln!(std::io::stdout(), "{line}"));
        Ok(())
    }
}

fn read_credential(path: &Path) -> Result<Box<str>> {
    let text = fs::read_to_string(path).context(error::ReadSnafu { path })?;
    let credential = text.trim();
    if credential.is_empty() || credential.contains(char::is_whitespace) {
        return error::CredentialSnafu { path }.fail();
    }
    Ok(credential.into())
}

/// Reads a configuration document from a JSON file without checking it for faults.
pub(crate) fn read_document(path: &Path) -> Result<Document> {
    let text = fs::read_to_string(path).context(error::ReadSnafu { path })?;
    serde_json::from_str(&text).context(error::ParseSnafu { path })
}
