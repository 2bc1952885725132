//! Prompts and what they cost.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// One part of a prompt; parts are shared between requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// What it holds.
    pub id: u64,
    /// Its length.
    pub tokens: u32,
}

/// The prompt of a request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Tokens to read.
    pub input_tokens: u32,
    /// Most tokens to generate.
    pub max_output_tokens: u32,
    /// Its parts in order; the last belongs to the request or its session.
    pub parts: Vec<PromptPart>,
}

impl Prompt {
    /// Returns what a request counts in its workspace's share, in tokens: one of the prompt once,
    /// kept or not, since which part is kept is the fleet's doing; one generated twice.
    ///
    /// # Examples
    ///
    /// ```
    /// use portfield::balance::Prompt;
    ///
    /// let prompt = Prompt { input_tokens: 1_000, max_output_tokens: 50, ..Prompt::default() };
    /// assert_eq!(prompt.token_cost(), 1_100.0);
    /// ```
    pub fn token_cost(&self) -> f64 {
        f64::from(self.input_tokens) + 2.0 * f64::from(self.max_output_tokens)
    }

    /// Returns for each part the hash of the prompt up to its end, and its tokens.
    pub(crate) fn chain(&self) -> Vec<Link> {
        let mut hash = 0;
        let link = |it: &PromptPart| {
            hash = xxh3_64_with_seed(&it.id.to_le_bytes(), hash);
            Link { hash: hash as u32, tokens: it.tokens }
        };
        self.parts.iter().map(link).collect()
    }
}

/// A prompt up to the end of one of its parts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Link {
    /// Hash of the prompt so far.
    pub hash: u32,
    /// Tokens of the last part.
    pub tokens: u32,
}
