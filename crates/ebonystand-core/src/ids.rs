//! Identifiers. All are chosen by operators or minted by a VM, and compared byte by byte.

/// Fencing number: grows with each new holder of a role, so that a late order can be refused.
pub type Fence = u64;
/// Hash of a request's workspace, target and body, equal in each resend of it.
pub type Fingerprint = u128;
/// Number drawn anew each time a VM starts without its previous state.
pub type Incarnation = u64;
/// Identifier of a caller's key; not secret.
pub type KeyId = Box<str>;
/// Name of a language model.
pub type ModelId = Box<str>;
/// Caller's name for a call that must not run twice, unique in its workspace.
pub type OrderKey = Box<str>;
/// Hash of a shared beginning of prompts, its model and the regions that may keep it.
pub type PrefixId = u64;
/// Name of a region.
pub type RegionId = Box<str>;
/// Client-chosen name of one request, equal in each resend of it.
pub type RequestId = Box<str>;
/// Number of one run of a request on an upstream, unique on its VM through restarts.
pub type RunId = u64;
/// Name of a role that one process holds at a time.
pub type RoleId = Box<str>;
/// Name of a plain service.
pub type ServiceId = Box<str>;
/// Tokens of a model's input and output; the unit of every allowance.
pub type Tokens = u64;
/// Name of an upstream server.
pub type UpstreamId = Box<str>;
/// Number of accepted changes of the configuration.
pub type Version = u64;
/// Name of a VM of the gateway.
pub type VmId = Box<str>;
/// Name of a workspace.
pub type WorkspaceId = Box<str>;
/// Name of an availability zone.
pub type ZoneId = Box<str>;
