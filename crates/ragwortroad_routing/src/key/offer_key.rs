use xxhash_rust::xxh3::xxh3_64_with_seed;

use ragwortroad_types::ModelOffer;

/// Identifies what an endpoint can serve: a version of a model with or without an adapter, or a
/// plain service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OfferKey(pub u64);

/// Different seeds distinguish a service from a model of the same name.
const MODEL_SEED: u64 = 1;
const SERVICE_SEED: u64 = 2;

impl OfferKey {
    /// Returns the key of `model` in `version`, with `adapter` if one is given.
    pub fn model(model: &str, version: &str, adapter: Option<&str>) -> Self {
        let hash = xxh3_64_with_seed(model.as_bytes(), MODEL_SEED);
        let hash = xxh3_64_with_seed(version.as_bytes(), hash);
        let hash = match adapter {
            Some(adapter) => xxh3_64_with_seed(adapter.as_bytes(), hash),
            None => hash,
        };
        Self(hash)
    }

    /// Returns the key of a plain service.
    pub fn service(service: &str) -> Self {
        Self(xxh3_64_with_seed(service.as_bytes(), SERVICE_SEED))
    }

    /// Returns the keys of everything that an engine with `offer` can serve: the base model, and
    /// the model with each adapter.
    pub fn of_offer(offer: &ModelOffer) -> Vec<Self> {
        let mut keys = vec![Self::model(&offer.model, &offer.version, None)];
        for adapter in &offer.adapters {
            keys.push(Self::model(&offer.model, &offer.version, Some(adapter)));
        }
        keys
    }
}
