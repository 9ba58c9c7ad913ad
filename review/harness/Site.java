import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** The operator's configuration of a small deployment, in the form of `op/config`. */
final class Site {
    static final String KEY = "n2ctnfzs989anu6wsjnb";
    static final String MODEL = "loft-model";
    static final String LEDGER = "shop-ledger";
    static final String AUTH = "Authorization: Bearer " + KEY + "\r\n";

    private Site() {}

    static Map<String, Object> config(long version, long prepay) {
        return config(version, prepay, 600);
    }

    /** The configuration with a timeout for the routes of the plain service. */
    static Map<String, Object> config(long version, long prepay, long ledgerTimeoutMs) {
        List<Object> routes = new ArrayList<>();
        routes.add(route("assess", "/assess/", "streaming", 15_000, 1_000, MODEL, 2, true));
        routes.add(route("chat", "/chat/", "streaming", 15_000, 600, MODEL, 1, false));
        routes.add(route("order", "/order/", "non_idempotent", ledgerTimeoutMs, ledgerTimeoutMs / 5, LEDGER, 1, false));
        routes.add(route("lookup", "/lookup/", "idempotent", ledgerTimeoutMs, ledgerTimeoutMs / 5, LEDGER, 2, false));
        Map<String, Object> engine =
            Json.object("slots", 64, "kv_capacity_tokens", 501431, "stride", 5, "most", 12, "models", List.of(Json.object("name", "m")));
        List<Object> services = new ArrayList<>();
        services.add(Json.object("name", MODEL, "health_path", "/health", "max_connections", 360, "protocol", "h1", "tls", false, "engine", engine));
        services.add(Json.object("name", LEDGER, "health_path", "/health", "max_connections", 100, "protocol", "h1", "tls", false));
        return Json.object(
            "version", version,
            "routes", routes,
            "services", services,
            "limits", Json.object("max_header_bytes", 16384, "max_body_bytes", 4194304, "header_timeout_ms", 3000, "idle_timeout_ms", 15000),
            "tenants", List.of(Json.object("name", "hule930", "api_keys", List.of(KEY), "priority", 1, "prepay", prepay)));
    }

    private static Map<String, Object> route(
        String name, String prefix, String kind, long timeoutMs, long targetMs, String service, int attempts, boolean resumable) {
        Map<String, Object> route =
            Json.object(
                "name", name, "host", "shop.example", "path_prefix", prefix, "kind", kind, "timeout_ms", timeoutMs, "target_latency_ms",
                targetMs, "priority", 0, "service", service, "max_attempts", attempts, "public", false);
        if (kind.equals("streaming")) {
            route.put("sticky", true);
            route.put("resumable", resumable);
            route.put("gap_target_ms", 200);
        }
        return route;
    }

    /** Headers of a request to a model. */
    static String prompt(int tokens, int output) {
        String own = Long.toHexString(Double.doubleToLongBits(Math.random()) >>> 8);
        return AUTH + "X-Model: m\r\nX-Token-Usage: " + tokens + "," + output + "\r\nX-Prompt-Prefix: 5c1e07a2:100," + own + ":" + (tokens - 100)
            + "\r\n";
    }
}
