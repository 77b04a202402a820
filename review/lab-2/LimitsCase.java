import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * The operator raises the size of bodies. Requesters that keep their channels send larger bodies well after the change
 * is acknowledged; others do so on new channels.
 */
final class LimitsCase {
    private static final int SMALL_LIMIT = 65_536;
    private static final int LARGE_LIMIT = 1_048_576;
    private static final int LARGE_BODY = 200_000;
    private static final int CHANNELS_PER_ENTRY = 8;
    /** Time from the acknowledgement of a version from which all requests are handled by it, and some more. */
    private static final long APPLY_MILLIS = 2_000 + 1_500;

    private static int sent;

    public static void main(String[] arguments) {
        int status = 2;
        try (Lab lab = new Lab(Path.of(arguments[0]), Path.of(arguments[1]))) {
            status = run(lab);
            lab.log(status == 0 ? "the rule held" : status == 1 ? "the rule is broken" : "the case could not run");
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(status);
    }

    private static String configuration(int version, int maxBodyBytes) {
        return "{\"version\":" + version + ",\"routes\":[{\"name\":\"r-order\",\"host\":\"lab.example\","
                + "\"prefix\":\"/order/\",\"type\":\"unsafe\",\"timeout_ms\":4000,\"slo_ms\":400,\"priority\":0,"
                + "\"service\":\"app\",\"attempts\":1,\"public\":false,\"affinity\":false,\"resumable\":false}],"
                + "\"services\":[{\"name\":\"app\",\"health_path\":\"/healthz\",\"max_conns\":110}],"
                + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":" + maxBodyBytes
                + ",\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
                + "\"tenants\":[{\"name\":\"team\",\"api_keys\":[\"key1\"],\"priority\":1,"
                + "\"unit\":\"tokens\",\"default_tokens\":200,\"rate_per_s\":200000,\"burst\":200000}]}";
    }

    private static int run(Lab lab) throws Exception {
        lab.store.put("op/config", configuration(7, Lab.TROUBLE ? SMALL_LIMIT : LARGE_LIMIT));
        RunnerProcess runner = new RunnerProcess(lab, "i-1", Lab.freePort());
        runner.register("app", 6, 1);
        List<Lab.Entry> entries = lab.startEntries(3);
        Lab.sleep(1_500);
        List<Lab.Channel> kept = new ArrayList<>();
        for (Lab.Entry entry : entries) {
            for (int i = 0; i < CHANNELS_PER_ENTRY; i++) {
                Lab.Channel channel = entry.connect();
                kept.add(channel);
                int status = order(lab, entry, channel, 600, "small body on a kept channel").status;
                if (status != 200) {
                    return 2;
                }
            }
        }
        if (Lab.TROUBLE) {
            lab.store.put("op/config", configuration(9, LARGE_LIMIT));
            lab.log("version 9 with max_body_bytes " + LARGE_LIMIT + " is acknowledged");
        }
        Lab.sleep(APPLY_MILLIS);
        int refused = 0;
        for (int i = 0; i < kept.size(); i++) {
            Lab.Entry entry = entries.get(i / CHANNELS_PER_ENTRY);
            if (isDenied(order(lab, entry, kept.get(i), LARGE_BODY, "large body on a kept channel"))) {
                refused++;
            }
        }
        int refusedOnNew = 0;
        for (Lab.Entry entry : entries) {
            try (Lab.Channel channel = entry.connect()) {
                if (isDenied(order(lab, entry, channel, LARGE_BODY, "large body on a new channel"))) {
                    refusedOnNew++;
                }
            }
        }
        double allowed = 5 + sent / 500.0;
        lab.log("large bodies ended with a 4xx of the entries: " + refused + " of " + kept.size()
                + " on kept channels, " + refusedOnNew + " of " + entries.size() + " on new ones; allowed " + allowed
                + " of " + sent + " requests");
        return refused + refusedOnNew > allowed ? 1 : 0;
    }

    private static boolean isDenied(Lab.Answer answer) {
        boolean own = !answer.headers.containsKey("Server-Signature");
        boolean counted = answer.status >= 300 && answer.status < 500;
        return own && counted && answer.status != 408 && answer.status != 421 && answer.status != 429;
    }

    private static Lab.Answer order(Lab lab, Lab.Entry entry, Lab.Channel channel, int bodyBytes, String what) {
        String id = "b" + sent++;
        String head = "POST /order/x HTTP/1.1\r\nHost: lab.example\r\nAttempt-Id: " + id
                + "\r\nDeadline-Ms: 4000\r\nAuthorization: Bearer key1\r\nContent-Length: " + bodyBytes + "\r\n\r\n";
        Lab.Answer answer = channel.call(head, new byte[bodyBytes], 4_500);
        lab.log("request " + id + " to " + entry.name + ", " + what + " of " + bodyBytes + " bytes: status "
                + answer.status + ", signature " + answer.headers.get("Server-Signature") + ", end: " + answer.end);
        return answer;
    }
}
