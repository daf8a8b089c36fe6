//! One replica of a Raft group: elections, log replication, snapshots and membership changes.

use super::*;

pub use {
    replica_config::ReplicaConfig, replica_ids::*, replica_input::ReplicaInput,
    replica_message::ReplicaMessage, replica_message_body::ReplicaMessageBody,
    replica_output::ReplicaOutput, replica_role::ReplicaRole, replica_status::ReplicaStatus,
    state::Replica,
};

pub(crate) use {replica_log::ReplicaLog, replica_progress::ReplicaProgress};

mod replica_config;
mod replica_election;
mod replica_follower;
mod replica_ids;
mod replica_input;
mod replica_leader;
mod replica_log;
mod replica_members;
mod replica_message;
mod replica_message_body;
mod replica_output;
mod replica_progress;
mod replica_role;
mod replica_status;
mod state;
