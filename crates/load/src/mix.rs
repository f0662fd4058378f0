//! The description of a mix of requests.

use crate::{Length, Result};
use compact_str::CompactString;
use conf::Error;
use serde::Deserialize;
use serde_with::{DurationMilliSeconds, serde_as};
use std::time::Duration;

/// A mix of requests.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Mix {
    /// How long requests arrive.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "duration_ms")]
    pub duration: Duration,
    /// The most requests that arrive.
    pub requests: u64,
    /// Requests that arrive in a second, on average.
    pub rate: f64,
    /// The most requests open at a time; those beyond are not sent, and counted.
    pub concurrency: usize,
    /// How long to wait for open requests at the end.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "settle_ms")]
    pub settle: Duration,
    /// Decides all random numbers; the same seed gives the same requests.
    pub seed: u64,
    /// The model asked.
    pub model: CompactString,
    /// The time in which `share_at_peak` of all classes is reached and left again; 0 for never.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "swing_ms")]
    pub swing: Duration,
    /// Times in which more requests arrive.
    pub bursts: Vec<Burst>,
    /// Who sends.
    pub callers: Vec<Caller>,
    /// What is sent.
    pub classes: Vec<Class>,
}

/// A time in which more requests arrive.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    /// When it begins.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "at_ms")]
    pub at: Duration,
    /// How long it lasts.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "lasts_ms")]
    pub lasts: Duration,
    /// How many times as many requests arrive.
    pub times: f64,
}

/// Someone who sends.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Caller {
    /// A name for reports.
    pub name: CompactString,
    /// The bearer token, or empty for none.
    #[serde(default)]
    pub token: CompactString,
    /// How much of the mix it sends, against the other callers.
    #[serde(default = "one")]
    pub share: f64,
}

/// One kind of request.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// A name for reports.
    pub name: CompactString,
    /// How much of the mix it is, against the other classes.
    #[serde(default = "one")]
    pub share: f64,
    /// The share in the middle of a swing; none leaves it as it is.
    #[serde(default)]
    pub share_at_peak: Option<f64>,
    /// Length of prompts, in tokens.
    #[serde(default = "some_tokens")]
    pub prompt_tokens: Length,
    /// Length of answers, in tokens; the fleet doesn't know it beforehand.
    #[serde(default = "some_tokens")]
    pub output_tokens: Length,
    /// The most tokens that requests allow.
    #[serde(default = "many_tokens")]
    pub max_tokens: u32,
    /// Over how many different beginnings prompts are spread, as system prompts are; 0 makes
    /// each prompt's beginning its own.
    #[serde(default)]
    pub prefixes: u32,
    /// Text that stands in each prompt, such as one that crashes engines.
    #[serde(default)]
    pub marker: CompactString,
    /// The plain service that is called, instead of a prompt.
    #[serde(default)]
    pub service: CompactString,
    /// The path below the service.
    #[serde(default)]
    pub path: CompactString,
    /// How often a call whose outcome is unknown is sent again with the same key, each time
    /// through another entry.
    #[serde(default = "some_retries")]
    pub retries: u32,
    /// Whether running a call twice does no harm.
    #[serde(default)]
    pub repeatable: bool,
    /// Whether requests are urgent.
    #[serde(default)]
    pub urgent: bool,
    /// How long the caller waits for a first token.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "deadline_ms", default = "some_time")]
    pub deadline: Duration,
}

fn one() -> f64 {
    1.0
}

fn some_tokens() -> Length {
    Length::Fixed(32)
}

fn many_tokens() -> u32 {
    1_024
}

fn some_retries() -> u32 {
    3
}

fn some_time() -> Duration {
    Duration::from_secs(10)
}

impl Default for Mix {
    fn default() -> Self {
        Self {
            duration: Duration::from_secs(10),
            requests: 1_000_000,
            rate: 20.0,
            concurrency: 10_000,
            settle: Duration::from_secs(30),
            seed: 1,
            model: CompactString::const_new("lapis-small"),
            swing: Duration::ZERO,
            bursts: Vec::new(),
            callers: Vec::new(),
            classes: Vec::new(),
        }
    }
}

impl Mix {
    /// Reads a mix and checks it.
    pub fn parse(text: &str) -> Result<Self> {
        let mut mix: Self = conf::check::parse(text)?;
        if mix.callers.is_empty() {
            let name = CompactString::const_new("open");
            mix.callers.push(Caller { name, token: CompactString::default(), share: 1.0 });
        }
        mix.check()?;
        Ok(mix)
    }

    fn check(&self) -> Result<(), Error> {
        /// Beyond it the program that sends and not the fleet would be measured.
        const HIGHEST_RATE: f64 = 1_000_000.0;
        if !(self.rate > 0.0 && self.rate <= HIGHEST_RATE) {
            let detail = format!("a rate is above 0 and at most {HIGHEST_RATE} a second");
            return Err(Error::invalid("rate", detail));
        }
        if self.classes.is_empty() {
            return Err(Error::invalid("classes", "a mix has at least one class"));
        }
        check_shares("callers", self.callers.iter().map(|caller| caller.share))?;
        check_shares("classes", self.classes.iter().map(|class| class.share))?;
        let peak = self.classes.iter().map(|class| class.share_at_peak.unwrap_or(class.share));
        check_shares("classes", peak)?;
        if self.bursts.iter().any(|burst| !(burst.times > 0.0 && burst.times.is_finite())) {
            return Err(Error::invalid("bursts", "`times` is above 0"));
        }
        let valid =
            |class: &Class| class.prompt_tokens.is_valid() && class.output_tokens.is_valid();
        match self.classes.iter().position(|class| !valid(class)) {
            Some(index) => {
                let detail = "a length has 0 < median <= p95, or min <= max";
                Err(Error::invalid(format!("classes[{index}]"), detail))
            }
            None => Ok(()),
        }
    }
}

fn check_shares(path: &str, shares: impl Iterator<Item = f64>) -> Result<(), Error> {
    let (mut valid, mut sum) = (true, 0.0);
    for share in shares {
        valid &= share >= 0.0 && share.is_finite();
        sum += share;
    }
    if valid && sum > 0.0 {
        return Ok(());
    }
    Err(Error::invalid(path, "shares are at least 0, and one is above"))
}

impl Class {
    /// Whether it calls a plain service.
    pub(crate) fn is_call(&self) -> bool {
        !self.service.is_empty()
    }
}
