//! Load reports of backend servers, in the published ORCA header format.

use serde::Deserialize;

/// Parses the utilisation (0 to 1) from an `endpoint-load-metrics` header value.
///
/// Accepts both published formats, `JSON {...}` and `TEXT key=value,...`. Returns `None`
/// for a value that cannot be parsed, because the report is only a hint.
pub fn parse_load_hint(header: &str) -> Option<f64> {
    let hint = match header.split_once(' ')? {
        ("JSON", json) => serde_json::from_str::<OrcaReport>(json)
            .ok()?
            .utilisation()?,
        ("TEXT", text) => parse_text(text)?,
        _ => return None,
    };
    hint.is_finite().then(|| hint.clamp(0.0, 1.0))
}

#[derive(Deserialize)]
struct OrcaReport {
    application_utilization: Option<f64>,
    cpu_utilization: Option<f64>,
}

impl OrcaReport {
    fn utilisation(&self) -> Option<f64> {
        self.application_utilization.or(self.cpu_utilization)
    }
}

fn parse_text(text: &str) -> Option<f64> {
    let value_of = |name: &str| {
        let mut pairs = text.split(',').filter_map(|pair| pair.split_once('='));
        let (_, value) = pairs.find(|(key, _)| key.trim() == name)?;
        value.trim().parse().ok()
    };
    value_of("application_utilization").or_else(|| value_of("cpu_utilization"))
}
