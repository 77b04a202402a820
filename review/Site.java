import java.util.*;

/** A small deployment: one model service and one application service, three routes and one tenant. */
final class Site {
    static final String KEY = "key-of-tenant-a";

    private Site() {}

    static String configuration(long version, int orderTimeoutMillis) {
        return "{\"version\":" + version + ",\"routes\":["
                + "{\"name\":\"r-generate\",\"host\":\"site.example\",\"prefix\":\"/generate/\",\"type\":\"streaming\","
                + "\"timeout_ms\":15000,\"slo_ms\":800,\"priority\":0,\"service\":\"model\",\"attempts\":2,"
                + "\"public\":false,\"affinity\":true,\"resumable\":false,\"itl_target_ms\":200},"
                + "{\"name\":\"r-order\",\"host\":\"site.example\",\"prefix\":\"/order/\",\"type\":\"unsafe\","
                + "\"timeout_ms\":" + orderTimeoutMillis + ",\"slo_ms\":1000,\"priority\":1,\"service\":\"app\","
                + "\"attempts\":1,\"public\":false},"
                + "{\"name\":\"r-record\",\"host\":\"site.example\",\"prefix\":\"/record/\",\"type\":\"safe\","
                + "\"timeout_ms\":5000,\"slo_ms\":1000,\"priority\":1,\"service\":\"app\",\"attempts\":2,"
                + "\"public\":false}],"
                + "\"services\":[{\"name\":\"model\",\"health_path\":\"/healthz\",\"max_conns\":310,\"protocol\":\"h1\","
                + "\"tls\":false},{\"name\":\"app\",\"health_path\":\"/healthz\",\"max_conns\":110,\"protocol\":\"h1\","
                + "\"tls\":false}],"
                + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
                + "\"idle_timeout_ms\":15000},"
                + "\"tenants\":[{\"name\":\"tenant-a\",\"api_keys\":[\"" + KEY + "\"],\"priority\":1,\"unit\":\"tokens\","
                + "\"default_tokens\":200,\"rate_per_s\":0,\"burst\":0}]}";
    }

    /** Returns the head of a request of the tenant. */
    static byte[] request(String method, String path, String attempt, int length, String... more) {
        List<String> lines = new ArrayList<>(List.of(
                method + " " + path + " HTTP/1.1",
                "Host: site.example",
                "Attempt-Id: " + attempt,
                "Authorization: Bearer " + KEY));
        if (length >= 0 && !method.equals("GET") && !method.equals("HEAD")) {
            lines.add("Content-Length: " + length);
        }
        lines.addAll(List.of(more));
        return Http.head(lines.toArray(String[]::new));
    }
}
