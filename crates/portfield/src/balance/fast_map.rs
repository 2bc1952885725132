//! The maps of this part of the code.

use std::collections::HashMap;

/// A map whose keys are numbers that nobody outside chooses: upstreams, hosts, workspaces, parts of prompts.
///
/// What other hosts say goes through some hundred thousand entries a second at 295 hosts, and the standard
/// hash is made to withstand chosen keys. Without it, and without a list of choices for each request,
/// 295 hosts took 255 s of processor time for 55 s of heavy load in place of 289 (one play each).
pub(crate) type FastMap<K, V> = HashMap<K, V, foldhash::fast::RandomState>;
