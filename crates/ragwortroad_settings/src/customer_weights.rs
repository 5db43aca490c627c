use std::collections::BTreeMap;

use crate::settings_reader::SettingsReader;

const SECTION: &str = "customer_weights";

/// `[customer_weights]`: by how much more of a service a customer may use than the others while there
/// is too little room.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CustomerWeights {
    /// Weights by the customers' names; 1 for all others.
    ///
    /// Invariant: all are positive and finite.
    pub weights: BTreeMap<String, f64>,
}

impl CustomerWeights {
    pub(crate) fn read(reader: &mut SettingsReader<'_>) -> Self {
        let mut weights = BTreeMap::new();
        for (name, text) in reader.entries(SECTION) {
            match text.parse::<f64>() {
                Ok(weight) if weight.is_finite() && weight > 0.0 => {
                    weights.insert(name, weight);
                }
                _ => {
                    let message = format!("'{text}' is no weight");
                    let remedy = "give a number above 0, like 2.0".to_owned();
                    reader.fault(SECTION, &name, message, remedy);
                }
            }
        }
        Self { weights }
    }
}
