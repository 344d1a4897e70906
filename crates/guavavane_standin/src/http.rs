//! HTTP requests on loopback, past any proxy of the surroundings.

use attohttpc::ProxySettings;
use attohttpc::RequestBuilder;

/// A GET request that no proxy sees.
pub fn http_get(url: impl AsRef<str>) -> RequestBuilder {
    attohttpc::get(url).proxy_settings(ProxySettings::builder().build())
}

/// A POST request that no proxy sees.
pub fn http_post(url: impl AsRef<str>) -> RequestBuilder {
    attohttpc::post(url).proxy_settings(ProxySettings::builder().build())
}
