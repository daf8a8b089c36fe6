use super::*;

/// Newly issued key with its secret. The secret is shown only here, since the system stores nothing
/// but its hash.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct IssuedKey {
    /// Name of the key.
    pub key: KeyId,
    /// Secret that callers send as their bearer token.
    pub secret: Box<str>,
    /// Version of the configuration from which on the key is valid.
    pub version: Version,
    /// Name of the workspace that requests with the key run for.
    pub workspace: WorkspaceId,
}
