//! HTTP requests on loopback that ignore the proxy settings of the environment.

use attohttpc::ProxySettings;
use attohttpc::RequestBuilder;

/// Returns a GET request that bypasses proxies.
pub fn http_get(url: impl AsRef<str>) -> RequestBuilder {
    attohttpc::get(url).proxy_settings(ProxySettings::builder().build())
}

/// Returns a POST request that bypasses proxies.
pub fn http_post(url: impl AsRef<str>) -> RequestBuilder {
    attohttpc::post(url).proxy_settings(ProxySettings::builder().build())
}
