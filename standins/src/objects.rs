//! The object store: `PUT /objects/NAME`, `GET /objects/NAME`.

use crate::http::{Answer, Host, serve};
use serde_json::json;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use tiny_http::Method;

/// Starts the store.
#[must_use]
pub fn start(address: SocketAddr) -> Host {
    let objects: Mutex<BTreeMap<String, String>> = Mutex::default();
    serve(address, move |call| {
        let mut objects = objects.lock().unwrap();
        if call.method == Method::Put {
            objects.insert(call.path.clone(), call.body.clone());
            return Answer::Json(200, json!({}));
        }
        match objects.get(&call.path) {
            Some(body) => Answer::Json(200, json!({"body": body})),
            None => Answer::Json(404, json!({"error": "no such object"})),
        }
    })
}
