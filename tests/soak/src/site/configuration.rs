//! The operator's configuration of a play.

use serde_json::{Value, json};

use crate::site::caller::HOST;
use crate::site::shape::Shape;

/// Returns a configuration; timeouts change with each version, by up to a tenth.
pub fn configuration(shape: &Shape, version: u64) -> Value {
    let routes = shape.classes.map(|class| {
        let timeout_ms = class.timeout.as_millis() as u64;
        let mut route = json!({
            "name": class.service, "host": HOST,
            "path_prefix": format!("/{}/", class.service), "class": class.route_class,
            "timeout_ms": timeout_ms + timeout_ms * (version % 4) / 30,
            "target_latency_ms": class.work.as_millis() as u64 * 3, "priority": 1,
            "max_attempts": 3,
        });
        if class.route_class == "download" {
            let targets = shape.classes.iter().zip([1, 1, 6]);
            let targets = targets.map(
                |(class, weight)| json!({"service": class.service, "weight": weight}),
            );
            route["targets"] = targets.collect();
        } else {
            route["service"] = json!(class.service);
        }
        route
    });
    let services = shape
        .classes
        .map(|class| json!({"name": class.service, "server_connections": 330}));
    json!({
        "version": version, "host_routes": routes, "services": services,
        "limits": {
            "max_head_bytes": 16384, "max_body_bytes": 1048576,
            "head_timeout_ms": 3000, "idle_timeout_ms": 4000,
        },
    })
}
