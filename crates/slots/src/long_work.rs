//! Prediction of long work from the history of requests, callers and routes.

use std::collections;

use toucanledge_core::{CallerHash, ClassId, Fingerprint, Millis};

use crate::RouteHash;

/// Age of a generation of the history; an entry is dropped after one to two generations.
const GENERATION_MS: u64 = 300_000;
/// Most entries of one generation; limits the memory to about 400 KiB.
const MAX_GENERATION_ENTRIES: usize = 4_096;
/// Counted requests of a key after which older ones count half.
const MAX_COUNTED_REQUESTS: u16 = 32;
/// Requests of a key below which it predicts nothing.
const MIN_PREDICTION_REQUESTS: u16 = 2;
/// Accepted probability that a key has its long requests by chance and is predicted to be long.
///
/// A greater value marks ordinary callers and routes as long and delays their short work.
const FALSE_POSITIVE_PROBABILITY: f64 = 1e-4;

/// Keys of the history, from the narrowest to the broadest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum PredictionKey {
    Request(Fingerprint),
    CallerRoute(ClassId, CallerHash, RouteHash),
    Route(ClassId, RouteHash),
    Caller(ClassId, CallerHash),
}

impl PredictionKey {
    /// Returns whether short requests of this key overrule the broader keys.
    fn is_narrow(self) -> bool {
        matches!(self, Self::Request(_) | Self::CallerRoute(..))
    }
}

/// Number of requests of a key and how many of them were long.
#[derive(Clone, Copy, Debug, Default)]
struct LongWorkCount {
    requests: u16,
    long: u16,
}

impl LongWorkCount {
    fn add(&mut self, long: bool) {
        if self.requests >= MAX_COUNTED_REQUESTS {
            self.requests /= 2;
            self.long /= 2;
        }
        self.requests += 1;
        self.long += u16::from(long);
    }

    fn predict(self, unpredicted_share: f64) -> Prediction {
        if self.requests < MIN_PREDICTION_REQUESTS {
            return Prediction::Unknown;
        }
        if self.long * 2 <= self.requests {
            return Prediction::Short;
        }
        if unpredicted_share.powi(i32::from(self.long)) < FALSE_POSITIVE_PROBABILITY {
            Prediction::Long
        } else {
            Prediction::Unknown
        }
    }
}

/// Prediction from the history of one key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Prediction {
    Unknown,
    Short,
    Long,
}

/// Attributes of a request by which its length is predicted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RequestAttributes {
    pub(crate) class: ClassId,
    pub(crate) caller: CallerHash,
    pub(crate) route: RouteHash,
    pub(crate) fingerprint: Fingerprint,
}

/// Predicts long work from counts by key, kept in two generations.
///
/// The older generation is dropped as a whole, so no entry needs a time of its own.
#[derive(Clone, Debug, Default)]
pub(crate) struct LongWorkPredictor {
    current: collections::HashMap<PredictionKey, LongWorkCount>,
    previous: collections::HashMap<PredictionKey, LongWorkCount>,
    rotated: Millis,
}

impl LongWorkPredictor {
    /// Returns whether the history predicts that a request is long.
    ///
    /// The narrowest key with a prediction decides, so that short work of a caller that also sends
    /// long work is not delayed. `unpredicted_share` is the share of the class that is long without
    /// a prediction; the greater it is, the more long requests a key needs.
    pub(crate) fn expects_long(
        &self,
        attributes: RequestAttributes,
        unpredicted_share: f64,
    ) -> bool {
        let predictions = keys_of(attributes).map(|key| {
            let count = self.count(key).unwrap_or_default();
            (key.is_narrow(), count.predict(unpredicted_share))
        });
        for (narrow, prediction) in predictions {
            match prediction {
                Prediction::Long => return true,
                Prediction::Short if narrow => return false,
                Prediction::Short | Prediction::Unknown => {}
            }
        }
        false
    }

    pub(crate) fn record(&mut self, attributes: RequestAttributes, long: bool) {
        for key in keys_of(attributes) {
            let mut count = self.count(key).unwrap_or_default();
            count.add(long);
            self.current.insert(key, count);
        }
        if self.current.len() >= MAX_GENERATION_ENTRIES {
            self.rotate();
        }
    }

    /// Drops entries that were not updated for one to two generations.
    pub(crate) fn expire(&mut self, now: Millis) {
        if now.since(self.rotated) >= GENERATION_MS {
            self.rotated = now;
            self.rotate();
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.current.len() + self.previous.len()
    }

    fn rotate(&mut self) {
        self.previous = std::mem::take(&mut self.current);
    }

    fn count(&self, key: PredictionKey) -> Option<LongWorkCount> {
        self.current
            .get(&key)
            .or_else(|| self.previous.get(&key))
            .copied()
    }
}

fn keys_of(attributes: RequestAttributes) -> [PredictionKey; 4] {
    [
        PredictionKey::Request(attributes.fingerprint),
        PredictionKey::CallerRoute(attributes.class, attributes.caller, attributes.route),
        PredictionKey::Route(attributes.class, attributes.route),
        PredictionKey::Caller(attributes.class, attributes.caller),
    ]
}
