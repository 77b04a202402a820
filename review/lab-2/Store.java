import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Stand-in of the platform's store on loopback: items with revisions, pages, watches, conditional changes and leases.
 * It answers each call at once and loses nothing.
 */
final class Store implements AutoCloseable {
    private static final int PAGE_ITEMS = 500;
    private static final Pattern STRING = Pattern.compile("\"([a-z_]+)\"\\s*:\\s*\"([^\"]*)\"");
    private static final Pattern NUMBER = Pattern.compile("\"([a-z_]+)\"\\s*:\\s*(-?[0-9]+)");

    private final HttpServer server;
    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Change> history = new ArrayList<>();
    private final Map<Long, long[]> leases = new HashMap<>();
    private long revision = 100;
    private long lastLease = 1000;

    Store() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 256);
        server.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task, "store");
            thread.setDaemon(true);
            return thread;
        }));
        server.createContext("/", this::handle);
        server.start();
    }

    private record Item(String value, long revision, long created, long lease) {}

    private record Change(String key, Item item, long revision) {}

    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    /** Writes an item as the operator or a runner does; returns its revision. */
    long put(String key, String text) {
        synchronized (items) {
            revision++;
            write(key, Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8)), 0);
            return revision;
        }
    }

    /** Returns the text of an item, or an empty text if there is none. */
    String text(String key) {
        synchronized (items) {
            Item item = items.get(key);
            return item == null ? "" : new String(Base64.getDecoder().decode(item.value()), StandardCharsets.UTF_8);
        }
    }

    void remove(String key) {
        synchronized (items) {
            revision++;
            erase(key);
        }
    }

    private void write(String key, String value, long lease) {
        Item before = items.get(key);
        Item item = new Item(value, revision, before == null ? revision : before.created(), lease);
        items.put(key, item);
        history.add(new Change(key, item, revision));
        items.notifyAll();
    }

    private void erase(String key) {
        if (items.remove(key) != null) {
            history.add(new Change(key, null, revision));
            items.notifyAll();
        }
    }

    private void expireLeases() {
        long now = System.nanoTime();
        for (Long lease : List.copyOf(leases.keySet())) {
            if (now - leases.get(lease)[1] >= 0) {
                endLease(lease);
            }
        }
    }

    private void endLease(long lease) {
        leases.remove(lease);
        revision++;
        for (String key : List.copyOf(items.keySet())) {
            if (items.get(key).lease() == lease) {
                erase(key);
            }
        }
    }

    private void handle(HttpExchange exchange) {
        try (exchange) {
            String path = exchange.getRequestURI().getPath();
            String query = exchange.getRequestURI().getRawQuery();
            String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
            String[] answer;
            synchronized (items) {
                expireLeases();
                answer = answer(path, query == null ? "" : query, body);
            }
            byte[] bytes = answer[1].getBytes(StandardCharsets.UTF_8);
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            exchange.sendResponseHeaders(Integer.parseInt(answer[0]), bytes.length);
            exchange.getResponseBody().write(bytes);
        } catch (IOException e) {
            // The caller has closed its connection.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private String[] answer(String path, String query, String body) throws InterruptedException {
        if (path.equals("/api/kv-key")) {
            Item item = items.get(parameter(query, "key"));
            return item == null
                    ? new String[] {"404", "{}"}
                    : new String[] {"200", entry(parameter(query, "key"), item)};
        }
        if (path.equals("/api/kv-range")) {
            return range(parameter(query, "prefix"), parameter(query, "after"));
        }
        if (path.equals("/api/kv-watch")) {
            return watch(
                    parameter(query, "prefix"),
                    Long.parseLong(parameter(query, "after")),
                    Long.parseLong(parameter(query, "wait_ms")));
        }
        if (path.equals("/api/kv-txn")) {
            return transaction(body);
        }
        if (path.equals("/api/kv-lease")) {
            long millis = number(body, "ttl_ms");
            leases.put(++lastLease, new long[] {millis, System.nanoTime() + millis * 1_000_000});
            return new String[] {"200", "{\"lease_id\":" + lastLease + ",\"ttl_ms\":" + millis + "}"};
        }
        long id = path.matches(".*/[0-9]+") ? Long.parseLong(path.substring(path.lastIndexOf('/') + 1)) : 0;
        if (path.startsWith("/api/kv-keep/")) {
            long[] lease = leases.get(id);
            if (lease == null) {
                return new String[] {"404", "{}"};
            }
            lease[1] = System.nanoTime() + lease[0] * 1_000_000;
            return new String[] {"200", "{\"ttl_ms\":" + lease[0] + "}"};
        }
        if (path.startsWith("/api/kv-lease-end/")) {
            endLease(id);
            return new String[] {"200", "{}"};
        }
        return new String[] {"404", "{}"};
    }

    private String[] range(String prefix, String after) {
        StringBuilder entries = new StringBuilder();
        int count = 0;
        boolean more = false;
        for (Map.Entry<String, Item> entry : items.tailMap(after, false).entrySet()) {
            if (!entry.getKey().startsWith(prefix)) {
                continue;
            }
            if (count == PAGE_ITEMS) {
                more = true;
                break;
            }
            entries.append(count++ == 0 ? "" : ",").append(entry(entry.getKey(), entry.getValue()));
        }
        return new String[] {
            "200", "{\"entries\":[" + entries + "],\"has_more\":" + more + ",\"at\":" + revision + "}"
        };
    }

    private String[] watch(String prefix, long after, long waitMillis) throws InterruptedException {
        long end = System.nanoTime() + waitMillis * 1_000_000;
        while (true) {
            StringBuilder events = new StringBuilder();
            for (Change change : history) {
                if (change.revision() > after && change.key().startsWith(prefix)) {
                    events.append(events.isEmpty() ? "" : ",").append(event(change));
                }
            }
            long leftMillis = (end - System.nanoTime()) / 1_000_000;
            if (!events.isEmpty() || leftMillis <= 0) {
                return new String[] {"200", "{\"events\":[" + events + "],\"at\":" + revision + "}"};
            }
            items.wait(leftMillis);
        }
    }

    private static String event(Change change) {
        return change.item() == null
                ? "{\"key\":\"" + change.key() + "\",\"revision\":" + change.revision() + ",\"deleted\":true}"
                : entry(change.key(), change.item());
    }

    /** Carries out a change; keys and values of such calls have no quotes, so that patterns are enough to read them. */
    private String[] transaction(String body) {
        String expected = list(body, "expected_rev");
        for (String row : objects(expected)) {
            Item item = items.get(text(row, "key"));
            if ((item == null ? 0 : item.revision()) != number(row, "revision")) {
                return new String[] {"412", "{\"entries\":[]}"};
            }
        }
        List<String> puts = objects(list(body, "put"));
        for (String row : puts) {
            long lease = number(row, "lease_id");
            if (lease != 0 && !leases.containsKey(lease)) {
                return new String[] {"404", "{}"};
            }
        }
        revision++;
        for (String row : puts) {
            write(text(row, "key"), text(row, "value"), number(row, "lease_id"));
        }
        Matcher removed = Pattern.compile("\"([^\"]+)\"").matcher(list(body, "remove"));
        while (removed.find()) {
            erase(removed.group(1));
        }
        return new String[] {"200", "{\"revision\":" + revision + "}"};
    }

    private static String list(String body, String name) {
        Matcher matcher = Pattern.compile("\"" + name + "\"\\s*:\\s*\\[([^\\]]*)\\]").matcher(body);
        return matcher.find() ? matcher.group(1) : "";
    }

    private static List<String> objects(String list) {
        List<String> objects = new ArrayList<>();
        Matcher matcher = Pattern.compile("\\{[^}]*\\}").matcher(list);
        while (matcher.find()) {
            objects.add(matcher.group());
        }
        return objects;
    }

    private static String text(String object, String name) {
        Matcher matcher = STRING.matcher(object);
        while (matcher.find()) {
            if (matcher.group(1).equals(name)) {
                return matcher.group(2);
            }
        }
        return "";
    }

    private static long number(String object, String name) {
        Matcher matcher = NUMBER.matcher(object);
        while (matcher.find()) {
            if (matcher.group(1).equals(name)) {
                return Long.parseLong(matcher.group(2));
            }
        }
        return 0;
    }

    private static String parameter(String query, String name) {
        for (String part : query.split("&")) {
            if (part.startsWith(name + "=")) {
                return URLDecoder.decode(part.substring(name.length() + 1), StandardCharsets.UTF_8);
            }
        }
        return "";
    }

    private static String entry(String key, Item item) {
        return "{\"key\":\"" + key + "\",\"value\":\"" + item.value() + "\",\"revision\":" + item.revision()
                + ",\"created\":" + item.created() + ",\"lease_id\":" + item.lease() + "}";
    }

    @Override
    public void close() {
        server.stop(0);
    }
}
