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
    /// Time over which requests arrive.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "duration_ms")]
    pub duration: Duration,
    /// Maximum number of requests.
    pub requests: u64,
    /// Average arrival rate, in requests a second.
    pub rate: f64,
    /// Maximum number of open requests; requests beyond it are not sent but counted as overflow.
    pub concurrency: usize,
    /// Time to wait for open requests after the last arrival.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "settle_ms")]
    pub settle: Duration,
    /// Seed of all random numbers; the same seed gives the same requests.
    pub seed: u64,
    /// Model that prompts are sent to.
    pub model: CompactString,
    /// Period in which the shares of all classes swing to `share_at_peak` and back; 0 disables it.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "swing_ms")]
    pub swing: Duration,
    /// Intervals with a multiple of the arrival rate.
    pub bursts: Vec<Burst>,
    /// Callers that send requests.
    pub callers: Vec<Caller>,
    /// Kinds of requests.
    pub classes: Vec<Class>,
}

/// An interval with a multiple of the arrival rate.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    /// Start, from the beginning of the mix.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "at_ms")]
    pub at: Duration,
    /// Duration.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "lasts_ms")]
    pub lasts: Duration,
    /// Factor by which the arrival rate is multiplied.
    pub times: f64,
}

/// A caller that sends requests.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Caller {
    /// Name of the caller.
    pub name: CompactString,
    /// Bearer token, or empty for none.
    #[serde(default)]
    pub token: CompactString,
    /// Share of the requests that it sends, relative to the other callers.
    #[serde(default = "one")]
    pub share: f64,
}

/// One kind of request.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Name in reports.
    pub name: CompactString,
    /// Share of the requests, relative to the other classes.
    #[serde(default = "one")]
    pub share: f64,
    /// Share at the peak of the swing; `None` keeps `share` throughout.
    #[serde(default)]
    pub share_at_peak: Option<f64>,
    /// Length of prompts, in tokens.
    #[serde(default = "some_tokens")]
    pub prompt_tokens: Length,
    /// Length of answers, in tokens, which only the stand-in engine learns from the request.
    #[serde(default = "some_tokens")]
    pub output_tokens: Length,
    /// Limit on output tokens that requests set.
    #[serde(default = "many_tokens")]
    pub max_tokens: u32,
    /// Number of distinct prefixes that prompts share, as with system prompts; 0 gives each prompt
    /// its own.
    #[serde(default)]
    pub prefixes: u32,
    /// Text contained in each prompt, such as one that crashes engines.
    #[serde(default)]
    pub marker: CompactString,
    /// Plain service that is called; if empty, the requests are prompts.
    #[serde(default)]
    pub service: CompactString,
    /// Path below the service.
    #[serde(default)]
    pub path: CompactString,
    /// Maximum number of retries: of calls with an unknown outcome, with the same key, and of
    /// prompts that can be sent again or resumed; each goes through another entry.
    #[serde(default = "some_retries")]
    pub retries: u32,
    /// Whether a call may run more than once without harm.
    #[serde(default)]
    pub repeatable: bool,
    /// Whether requests are urgent.
    #[serde(default)]
    pub urgent: bool,
    /// Time in which the caller expects the first token.
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
    /// Parses and validates a mix; without callers it gets one that sends no token.
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
        /// At a higher rate the load generator would be measured instead of the fleet.
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
    /// Whether its requests are calls of a plain service.
    pub(crate) fn is_call(&self) -> bool {
        !self.service.is_empty()
    }
}
