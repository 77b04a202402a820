import java.io.*;
import java.net.*;
import java.nio.charset.StandardCharsets;
import java.util.*;
import java.util.concurrent.*;

/** Stand-in for the platform's store: items with revisions, watches, transactions and leases, as PROTOCOL.md says. */
final class Store {
    record Item(String key, byte[] value, long revision, long created, long lease) {}

    record Change(String key, byte[] value, long revision) {}

    private final ServerSocket server;
    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Change> history = new ArrayList<>();
    private final Map<Long, Long> leaseEnds = new HashMap<>();
    private final Map<Long, Long> leaseTtls = new HashMap<>();
    private long revision = 1;
    private long nextLease = 1;
    /** Oldest revision from which a watch can still be answered. */
    private long historyFrom;
    /** Whether watches hear nothing, as before the history is discarded. */
    private boolean deaf;
    private int cuts;

    Store(String ip) throws IOException {
        server = new ServerSocket(0, 256, InetAddress.getByName(ip));
        Http.daemon("store", () -> Http.acceptLoop(server, this::serve));
    }

    String address() {
        return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
    }

    /** Writes a value as the operator or a runner does; returns its revision. */
    synchronized long put(String key, String value) {
        return write(key, value.getBytes(StandardCharsets.UTF_8), 0);
    }

    synchronized void remove(String key) {
        expire();
        if (items.remove(key) != null) {
            revision++;
            history.add(new Change(key, null, revision));
            notifyAll();
        }
    }

    synchronized String value(String key) {
        expire();
        Item item = items.get(key);
        return item == null ? null : new String(item.value, StandardCharsets.UTF_8);
    }

    private long write(String key, byte[] value, long lease) {
        expire();
        revision++;
        Item old = items.get(key);
        items.put(key, new Item(key, value, revision, old == null ? revision : old.created, lease));
        history.add(new Change(key, value, revision));
        notifyAll();
        return revision;
    }

    private void expire() {
        long now = System.nanoTime() / 1_000_000;
        for (Iterator<Map.Entry<Long, Long>> each = leaseEnds.entrySet().iterator(); each.hasNext(); ) {
            Map.Entry<Long, Long> lease = each.next();
            if (lease.getValue() <= now) {
                each.remove();
                endLease(lease.getKey());
            }
        }
    }

    private void endLease(long lease) {
        for (String key : List.copyOf(items.keySet())) {
            if (items.get(key).lease == lease) {
                items.remove(key);
                revision++;
                history.add(new Change(key, null, revision));
            }
        }
        notifyAll();
    }

    /** Lets watches hear nothing until {@link #discardHistory}. */
    synchronized void deafenWatches() {
        deaf = true;
    }

    /** Discards the history up to now and cuts the watches that wait. */
    synchronized void discardHistory() {
        deaf = false;
        historyFrom = revision;
        cuts++;
        notifyAll();
    }

    private void serve(Socket socket) throws Exception {
        Http.Reader in = new Http.Reader(socket.getInputStream());
        OutputStream out = socket.getOutputStream();
        for (Http.Message request = in.readRequest(); request != null; request = in.readRequest()) {
            String answer;
            int status = 200;
            try {
                answer = handle(request);
            } catch (Status e) {
                status = e.code;
                answer = e.body;
            }
            byte[] body = answer.getBytes(StandardCharsets.UTF_8);
            out.write(Http.head("HTTP/1.1 " + status + " S", "Content-Type: application/json", "Content-Length: "
                    + body.length));
            out.write(body);
            out.flush();
        }
    }

    private static final class Status extends Exception {
        final int code;
        final String body;

        Status(int code, String body) {
            this.code = code;
            this.body = body;
        }
    }

    private synchronized String handle(Http.Message request) throws Exception {
        expire();
        Map<String, String> query = request.query();
        String path = request.path();
        if (path.equals("/api/kv-range")) {
            StringBuilder entries = new StringBuilder();
            for (Item item : items.tailMap(query.getOrDefault("after", ""), false).values()) {
                if (item.key.startsWith(query.getOrDefault("prefix", ""))) {
                    entries.append(entries.length() == 0 ? "" : ",").append(json(item));
                }
            }
            return "{\"entries\":[" + entries + "],\"has_more\":false,\"at\":" + revision + "}";
        }
        if (path.equals("/api/kv-key")) {
            Item item = items.get(query.get("key"));
            if (item == null) {
                throw new Status(404, "{}");
            }
            return json(item);
        }
        if (path.equals("/api/kv-watch")) {
            return watch(query);
        }
        String body = new String(request.body, StandardCharsets.UTF_8);
        if (path.equals("/api/kv-txn")) {
            return transaction(body);
        }
        if (path.equals("/api/kv-lease")) {
            long ttl = Math.max(1_000, number(body, "ttl_ms"));
            long lease = nextLease++;
            leaseTtls.put(lease, ttl);
            leaseEnds.put(lease, System.nanoTime() / 1_000_000 + ttl);
            return "{\"lease_id\":" + lease + ",\"ttl_ms\":" + ttl + "}";
        }
        if (path.startsWith("/api/kv-keep/")) {
            long lease = Long.parseLong(path.substring("/api/kv-keep/".length()));
            if (!leaseEnds.containsKey(lease)) {
                throw new Status(404, "{}");
            }
            leaseEnds.put(lease, System.nanoTime() / 1_000_000 + leaseTtls.get(lease));
            return "{\"lease_id\":" + lease + ",\"ttl_ms\":" + leaseTtls.get(lease) + "}";
        }
        if (path.startsWith("/api/kv-lease-end/")) {
            long lease = Long.parseLong(path.substring("/api/kv-lease-end/".length()));
            if (leaseEnds.remove(lease) == null) {
                throw new Status(404, "{}");
            }
            endLease(lease);
            return "{}";
        }
        throw new Status(404, "{}");
    }

    private String watch(Map<String, String> query) throws Exception {
        long after = Long.parseLong(query.get("after"));
        if (after < historyFrom) {
            throw new Status(410, "{}");
        }
        int cutsBefore = cuts;
        long end = System.nanoTime() / 1_000_000 + Long.parseLong(query.getOrDefault("wait_ms", "0"));
        while (true) {
            StringBuilder events = new StringBuilder();
            for (Change change : deaf ? List.<Change>of() : history) {
                if (change.revision > after && change.key.startsWith(query.getOrDefault("prefix", ""))) {
                    events.append(events.length() == 0 ? "" : ",")
                            .append(
                                    change.value == null
                                            ? "{\"key\":\"" + change.key + "\",\"revision\":" + change.revision
                                                    + ",\"deleted\":true}"
                                            : json(new Item(change.key, change.value, change.revision, 0, 0)));
                }
            }
            long left = end - System.nanoTime() / 1_000_000;
            if (events.length() > 0 || left <= 0) {
                return "{\"events\":[" + events + "],\"at\":" + (deaf ? after : revision) + "}";
            }
            wait(left);
            expire();
            if (cuts != cutsBefore) {
                throw new IOException("the watch is cut");
            }
        }
    }

    private String transaction(String body) throws Status {
        int putAt = body.indexOf("\"put\"");
        String expected = body.substring(0, putAt);
        String rest = body.substring(putAt);
        boolean holds = true;
        for (String row : expected.split("\\{")) {
            if (row.contains("\"key\"")) {
                Item item = items.get(text(row, "key"));
                holds &= (item == null ? 0 : item.revision) == number(row, "revision");
            }
        }
        if (!holds) {
            throw new Status(412, "{\"entries\":[]}");
        }
        long written = revision;
        for (String row : rest.split("\\{")) {
            if (row.contains("\"value\"")) {
                long lease = number(row, "lease_id");
                if (lease != 0 && !leaseEnds.containsKey(lease)) {
                    throw new Status(404, "{}");
                }
                written = write(text(row, "key"), Base64.getDecoder().decode(text(row, "value")), lease);
            }
        }
        return "{\"revision\":" + written + "}";
    }

    private static String text(String json, String name) {
        int at = json.indexOf("\"" + name + "\":\"") + name.length() + 4;
        return json.substring(at, json.indexOf('"', at));
    }

    private static long number(String json, String name) {
        int at = json.indexOf("\"" + name + "\":") + name.length() + 3;
        int end = at;
        while (end < json.length() && Character.isDigit(json.charAt(end))) {
            end++;
        }
        return Long.parseLong(json.substring(at, end));
    }

    private static String json(Item item) {
        return "{\"key\":\"" + item.key + "\",\"value\":\"" + Base64.getEncoder().encodeToString(item.value)
                + "\",\"revision\":" + item.revision + ",\"created\":" + item.created + ",\"lease_id\":" + item.lease + "}";
    }
}
