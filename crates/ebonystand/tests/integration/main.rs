//! Real processes on loopback, with stand-ins for the upstreams.

// A failed `unwrap` is how a test's helpers report that the test cannot go on.
#![allow(clippy::unwrap_used)]

mod answer;
mod bad_input;
mod callers;
mod closes;
mod crashes;
mod cut_heads;
mod cut_vms;
mod early_answers;
mod endless;
mod endless_beside;
mod endless_links;
mod endless_streams;
mod failed_answers;
mod failures;
mod faults;
mod fleet;
mod former_process;
mod full_disk;
mod interim_answers;
mod late_requests;
mod links;
mod orders;
mod pauses;
mod planned_stops;
mod routes;
mod scripted;
mod slots;
mod slow_readers;
mod socket_owner;
mod stand_in;
mod start_signals;
mod unframed;
mod vm;
