//! Messages between portfield's own processes, and the gRPC service they travel over.
//!
//! The code is generated from `proto/portfield.proto` and committed, so that a build
//! needs no generator; `portfield-wire-gen --check` holds it against the protocol file.

#![allow(missing_docs, clippy::all, rust_2018_idioms)]

include!("generated/portfield.rs");
