//! Identifiers and other scalar types. Identifiers are chosen by operators or clients, or generated
//! by a VM, and are compared byte by byte.

/// Fencing token, which grows with each new holder of a role, so that an order from an earlier
/// holder can be refused.
pub type Fence = u64;
/// Hash of a request's workspace, target and body, the same in each resend.
pub type Fingerprint = u128;
/// Number that identifies one start of a VM without its previous state.
pub type Incarnation = u64;
/// Name of a caller's key; not secret.
pub type KeyId = Box<str>;
/// Name of a language model.
pub type ModelId = Box<str>;
/// Key by which a caller names a call that must not run twice, unique in its workspace.
pub type OrderKey = Box<str>;
/// Hash of a prefix that prompts share, its model and the regions that may cache it.
pub type PrefixId = u64;
/// Identifier of a part that prompts share, given by their callers.
pub type PromptPartId = u64;
/// Name of a region.
pub type RegionId = Box<str>;
/// Name that a client gives to a request, the same in each resend.
pub type RequestId = Box<str>;
/// Number of one run of a request on an upstream, unique on its VM across restarts.
pub type RunId = u64;
/// Name of a role that only one process holds at a time.
pub type RoleId = Box<str>;
/// Name of a plain service.
pub type ServiceId = Box<str>;
/// Version of the software that an upstream runs. Versions have no order.
pub type SoftwareVersion = Box<str>;
/// Number of tokens of a model's input and output, the unit of every allowance.
pub type Tokens = u64;
/// Name of an upstream server.
pub type UpstreamId = Box<str>;
/// Version of the configuration: the number of changes accepted so far.
pub type Version = u64;
/// Name of a VM of the gateway.
pub type VmId = Box<str>;
/// Name of a workspace.
pub type WorkspaceId = Box<str>;
/// Name of an availability zone.
pub type ZoneId = Box<str>;
