//! Requests that end the upstreams that run them.
//!
//! - [`Identity`]: what makes two requests the same one
//! - [`Breaks`]: runs that broke, until it is known whether their upstreams ended with them

mod breaks;
mod fingerprint;

pub use breaks::{Breaks, Request};
pub use fingerprint::{Fingerprint, Identity};
