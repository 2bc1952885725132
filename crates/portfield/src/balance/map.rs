//! The maps of this part of the code.

use std::collections::HashMap;

/// A map whose keys are numbers that nobody outside chooses: upstreams, hosts, workspaces, parts of prompts.
///
/// What other hosts say goes through some hundred thousand of its entries a second at 295 hosts; the
/// standard hash, which withstands chosen keys, costs more than all else there.
pub(crate) type Map<K, V> = HashMap<K, V, foldhash::fast::RandomState>;
