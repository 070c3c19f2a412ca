//! Encoding of the messages to stores.
use super::array::encode_array;
use crate::core::StoreRequest;
use crate::wire_settings::WireClass;

/// Encodes the request of an attempt; `classes`: the classes by slot.
pub fn encode_request(output: &mut Vec<u8>, store_request: &StoreRequest<'_>, classes: &[WireClass]) {
    let request = store_request.request;
    let fields = encode_fields(store_request, classes);
    encode_array(output, &[b"PULL", request.call_id.as_bytes(), fields.as_bytes(), &request.body]);
}

/// Encodes the cancellation of the request with this call id.
pub fn encode_cancel(output: &mut Vec<u8>, call_id: &str) {
    encode_array(output, &[b"KILL", call_id.as_bytes()]);
}

/// Encodes a probe that requests a load report.
pub fn encode_load_probe(output: &mut Vec<u8>, request_id: &str) {
    encode_array(output, &[b"METER", request_id.as_bytes()]);
}

/// The list of fields of a request, under their names in this protocol.
fn encode_fields(store_request: &StoreRequest<'_>, classes: &[WireClass]) -> String {
    let request = store_request.request;
    let class = classes.get(request.class).map_or("", |class| class.name.as_str());
    let mut fields = format!(
        "profile={class},thing={},nth={},max={}",
        request.object_name, request.part, store_request.max_wait_ms
    );
    let mut add = |name: &str, value: &str| {
        fields.extend([",", name, "=", value]);
    };
    if let Some(key) = &request.idempotency_key {
        add("replay", key);
    }
    if let Some(source) = store_request.source {
        add("miss", source);
    }
    if store_request.rank > 0 {
        add("prio", &store_request.rank.to_string());
    }
    if store_request.max_age_ms > 0 {
        add("within", &store_request.max_age_ms.to_string());
    }
    if let Some(via) = &store_request.via {
        // Values in a list of fields cannot contain commas and equals signs, so the trail's separators are replaced.
        add("via", &via.replace("; epoch=", "_").replace(", ", "|").replace([',', '=', ' ', ';'], "-"));
    }
    let flags = [
        (store_request.join_fill, "share"),
        (store_request.cached_only, "peek"),
        (store_request.renew_stale, "swr"),
    ];
    let flags: Vec<&str> = flags.iter().filter(|flag| flag.0).map(|flag| flag.1).collect();
    if !flags.is_empty() {
        add("f", &flags.join("+"));
    }
    if let Some(tag) = &request.client_tag {
        add("mine", tag);
    }
    fields
}
