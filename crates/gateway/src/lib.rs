//! The HTTP interfaces: callers' (OpenAI-shaped) and operators'.
//!
//! This crate reads requests, checks them, and shapes answers. What a request
//! comes to is decided behind the [`Backend`] trait, which the node
//! implements.

mod admin;
mod backend;
mod batches;
mod callers;
mod error;
mod files;
mod form_buffer;
mod keys;
mod online;
mod router;
mod strict_json;

pub use backend::{Backend, EditResult, NodeView, ServerReport, TenantKey};
pub use error::{error_body, refuse, refuse_after, CODE_HEADER, RAN_HEADER};
pub use keys::{hash_key, new_key};
pub use online::{prepare_item, OnlineRequest, ROW_HEADER};
pub use router::{Gateway, GatewaySettings, KeyPolicy};
