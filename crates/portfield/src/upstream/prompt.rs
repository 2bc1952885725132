//! Prompts and their cost.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Parts of a prompt in a log line, at most.
const MAX_LOGGED_PARTS: usize = 8;

/// One part of a prompt; requests may share parts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifies the content.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// The prompt of a request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Tokens to read.
    pub input_tokens: u32,
    /// Largest number of tokens to generate.
    pub max_output_tokens: u32,
    /// Output that the caller expects, in tokens, if it says so; right at the median, often far off.
    pub length_hint: Option<u32>,
    /// The parts in order; the last one belongs to this request or its session alone.
    pub parts: Vec<PromptPart>,
}

impl Prompt {
    /// Returns the cost charged to the workspace's share, in tokens. A prompt token counts once,
    /// cached or not, since the fleet decides what is cached; a generated token counts twice.
    ///
    /// # Examples
    ///
    /// ```
    /// use portfield::upstream::Prompt;
    ///
    /// let prompt = Prompt { input_tokens: 1_000, max_output_tokens: 50, ..Prompt::default() };
    /// assert_eq!(prompt.token_cost(), 1_100.0);
    /// ```
    pub fn token_cost(&self) -> f64 {
        f64::from(self.input_tokens) + 2.0 * f64::from(self.max_output_tokens)
    }

    /// Returns the ids of the first parts as logs show them, separated by commas.
    ///
    /// # Examples
    ///
    /// ```
    /// use portfield::upstream::{Prompt, PromptPart};
    ///
    /// let parts = vec![PromptPart { id: 0xaa, tokens: 20 }, PromptPart { id: 0xbb, tokens: 10 }];
    /// assert_eq!(Prompt { parts, ..Prompt::default() }.part_ids_hex(), "aa,bb");
    /// ```
    pub fn part_ids_hex(&self) -> String {
        let ids = self.parts.iter().take(MAX_LOGGED_PARTS).map(|it| format!("{:x}", it.id));
        ids.collect::<Vec<_>>().join(",")
    }

    /// Returns the prefix that ends with each part.
    pub(crate) fn prefixes(&self) -> Vec<PromptPrefix> {
        let mut hash = 0;
        let prefix = |it: &PromptPart| {
            hash = xxh3_64_with_seed(&it.id.to_le_bytes(), hash);
            PromptPrefix { hash: hash as u32, tokens: it.tokens }
        };
        self.parts.iter().map(prefix).collect()
    }
}

/// The beginning of a prompt, up to the end of one of its parts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct PromptPrefix {
    /// Hash of the prefix.
    pub hash: u32,
    /// Tokens of its last part.
    pub tokens: u32,
}
