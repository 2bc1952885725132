//! Messages and gRPC services between portfield's own processes.
//!
//! The code is generated from `proto/portfield.proto` and committed, so that a build
//! needs no generator; `portfield-wire-gen --check` fails if it is out of date.

#![allow(missing_docs, clippy::all, rust_2018_idioms)]

include!("generated/portfield.rs");
