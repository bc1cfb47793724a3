//! Plug-ins of the gateway: membership, table, slots, claims and status page.

mod baseline;
mod claim_permit;
mod claims;
mod dispatcher_selection;
mod fallback_slots;
mod held_slots;
mod membership;
mod pending_slot_request;
mod platform_reader;
mod slot_client;
mod slot_server;
mod slot_status;
mod slots;
mod status;
mod table;

pub use claim_permit::{ClaimDecision, ClaimPermit, ClaimRequest};
pub use slots::{SlotDecision, SlotPermit, SlotRelease, SlotRequest};
